//! The typed view of the store that every node keeps.
//!
//! [`gladekeel_store::Replica`] reports which keys have changed, and [`StoreView::apply`] applies
//! each change to the field for that kind of key. The view is as old as the last read of the
//! store; code that needs a current view reads the store first. A value that this version cannot
//! read is never treated as absent ("Unreadable data" in `docs/safety.md`).

use crate::{
    keys::{self, LeaderRecord},
    revision_clock::RevisionClock,
    stored_types::StoredMachineTypes,
};
use gladekeel_store::Change;
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState},
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};

/// A job as the store holds it.
#[derive(Debug, Clone)]
pub struct StoredJob {
    /// The specification that the user submitted.
    pub spec: Rc<JobSpec>,
    /// The version of the job's key. Jobs were accepted in the order of these versions.
    pub version: u64,
    /// The time at which the job was accepted, in seconds of Unix time; `None` if the stored value
    /// lacks it.
    pub accepted_at: Option<f64>,
}

/// The part of the store that all nodes replicate, as typed values.
#[derive(Debug, Default)]
pub struct StoreView {
    /// Jobs whose keys the leader has not removed yet.
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// Final states of all jobs that have ever reached one. A final state never changes.
    pub final_states: HashMap<JobId, JobState>,
    /// For each cancelled job in `jobs`, the latest known time on this node's clock at which the
    /// job was not cancelled yet. No user can have been notified of the cancellation before then.
    /// A cancelled job without an entry was cancelled before every time that this node knows of.
    pub cancelled_no_earlier_than: HashMap<JobId, f64>,
    /// Jobs whose cancellation this node or a peer has committed, but which a read may not have
    /// returned yet. The value is the time on this node's clock from which the cancellation
    /// deadline counts. Tasks of these jobs are stopped and none is started, but responses to users
    /// do not rely on this field.
    pub pending_cancellations: HashMap<JobId, f64>,
    /// Progress of jobs as last published by the leader, for display only.
    pub job_progress: BTreeMap<JobId, JobProgress>,
    /// Whether the store holds, or has held, assignments in the layout of the first version, which
    /// this version cannot read.
    pub has_legacy_assignments: bool,
    /// Keys of jobs and final states whose values cannot be read. While there are such keys,
    /// nothing is scheduled, and users who poll a job with such a key get no state.
    pub unreadable: BTreeSet<String>,
    /// The leader and its fencing token, which is the version of [`keys::LEADER`]. `None` if the
    /// key does not exist or its value cannot be read.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The clock that tells when the store made a change.
    pub revision_clock: RevisionClock,
    /// The highest fencing token that this node has seen; 0 if it has seen none.
    pub highest_token: u64,
    /// The machine types.
    pub machine_types: StoredMachineTypes,
    /// Runtime settings that operators have changed, by name.
    pub runtime_settings: BTreeMap<String, f64>,
    /// The version of [`keys::RUNTIME_SETTINGS`]; 0 if the key does not exist.
    pub runtime_settings_version: u64,
    /// Machines that operators have ordered to drain, each with the version of its
    /// [`keys::drain`] key.
    pub drain_orders: BTreeMap<String, u64>,
}

/// The numbers of a job's tasks that are done and of those that are assigned to machines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Number of tasks that have completed.
    pub done: u32,
    /// Number of tasks that are assigned to machines; all of these count as running.
    pub running: u32,
}

/// The object that a change of the store affects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeKind {
    /// A job was added or removed.
    Job(JobId),
    /// A job has received a final state.
    FinalState(JobId),
    /// The runtime settings were changed.
    RuntimeSettings,
    /// The drain order of the machine with this name was added or removed.
    Drain(String),
    /// A change of any other kind, which requires no action beyond the update of the view.
    Other,
}

impl StoreView {
    /// Whether a job is cancelled as far as this node knows, so that its tasks must stop.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.final_states.get(id) == Some(&JobState::Cancelled)
            || self.pending_cancellations.contains_key(id)
    }

    /// Whether the stored job or its stored final state cannot be read.
    pub fn is_unreadable(&self, id: &JobId) -> bool {
        !self.unreadable.is_empty()
            && (self.unreadable.contains(&keys::job(id))
                || self.unreadable.contains(&keys::final_state(id)))
    }

    /// Applies a change that was made after the time `made_after` on this node's clock, which is
    /// negative infinity if no such time is known. Returns which object the change affects.
    pub fn apply(&mut self, change: &Change, made_after: f64) -> ChangeKind {
        let key = change.key.as_str();
        if let Some(id) = key.strip_prefix(keys::JOB_PREFIX) {
            self.apply_job(id, change)
        } else if let Some(id) = key.strip_prefix(keys::FINAL_STATE_PREFIX) {
            self.apply_final_state(id, change, made_after)
        } else if let Some(machine) = key.strip_prefix(keys::DRAIN_PREFIX) {
            self.apply_drain_order(machine, change)
        } else if let Some(slot) = keys::parse_clock_slot(key) {
            self.revision_clock.apply(slot, change.current.as_ref());
            ChangeKind::Other
        } else if let Some(part) = keys::parse_machine_types_part(key) {
            self.apply_machine_types(part, change)
        } else if key.starts_with(keys::LEGACY_ASSIGNMENTS_PREFIX) {
            self.apply_legacy_assignments(change)
        } else if key == keys::LEADER {
            self.apply_leader(change)
        } else if key == keys::RUNTIME_SETTINGS {
            self.apply_runtime_settings(change)
        } else {
            ChangeKind::Other
        }
    }

    fn apply_job(&mut self, id: &str, change: &Change) -> ChangeKind {
        let Ok(id) = id.parse::<JobId>() else { return ChangeKind::Other };
        let spec = self.deserialise_or_mark_unreadable::<JobSpec>(change);
        match (&change.current, spec) {
            (Some((value, version)), Some(spec)) => {
                let accepted_at = value.get(keys::ACCEPTED_AT).and_then(Value::as_f64);
                let job = StoredJob { spec: Rc::new(spec), version: *version, accepted_at };
                self.jobs.insert(id.clone(), job);
            }
            (Some(_), None) => {}
            (None, _) => {
                self.cancelled_no_earlier_than.remove(&id);
                self.pending_cancellations.remove(&id);
                self.jobs.remove(&id);
            }
        }
        ChangeKind::Job(id)
    }

    fn apply_final_state(&mut self, id: &str, change: &Change, made_after: f64) -> ChangeKind {
        let Ok(id) = id.parse::<JobId>() else { return ChangeKind::Other };
        if let Some(state) = self.deserialise_or_mark_unreadable::<JobState>(change) {
            // The first final state is never replaced.
            let first = *self.final_states.entry(id.clone()).or_insert(state);
            let is_known = self.jobs.contains_key(&id) && made_after.is_finite();
            if first == JobState::Cancelled && is_known {
                self.cancelled_no_earlier_than.entry(id.clone()).or_insert(made_after);
            }
            self.job_progress.remove(&id);
        }
        ChangeKind::FinalState(id)
    }

    fn apply_drain_order(&mut self, machine: &str, change: &Change) -> ChangeKind {
        match &change.current {
            Some((_, version)) => self.drain_orders.insert(machine.to_owned(), *version),
            None => self.drain_orders.remove(machine),
        };
        ChangeKind::Drain(machine.to_owned())
    }

    fn apply_machine_types(&mut self, part: u32, change: &Change) -> ChangeKind {
        match &change.current {
            Some((value, version)) => {
                self.machine_types.set_part(part, deserialise(&change.key, value), *version);
            }
            None => self.machine_types.remove_part(part),
        }
        ChangeKind::Other
    }

    /// Records whether the store holds assignments of the first version. The flag stays set when
    /// the assignments are removed.
    fn apply_legacy_assignments(&mut self, change: &Change) -> ChangeKind {
        self.has_legacy_assignments |= change.current.is_some();
        ChangeKind::Other
    }

    fn apply_leader(&mut self, change: &Change) -> ChangeKind {
        let current = change.current.as_ref();
        self.leader =
            current.and_then(|(value, version)| Some((deserialise(&change.key, value)?, *version)));
        let token = self.leader.as_ref().map_or(0, |(_, token)| *token);
        self.highest_token = self.highest_token.max(token);
        ChangeKind::Other
    }

    fn apply_runtime_settings(&mut self, change: &Change) -> ChangeKind {
        let current = change.current.as_ref();
        self.runtime_settings =
            current.and_then(|(value, _)| deserialise(&change.key, value)).unwrap_or_default();
        self.runtime_settings_version = current.map_or(0, |(_, version)| *version);
        ChangeKind::RuntimeSettings
    }

    /// Deserialises the value of a changed key, and updates [`StoreView::unreadable`]. Returns
    /// `None` if the key was removed or its value cannot be read.
    fn deserialise_or_mark_unreadable<T: DeserializeOwned>(
        &mut self,
        change: &Change,
    ) -> Option<T> {
        let Some((value, _)) = &change.current else {
            self.unreadable.remove(&change.key);
            return None;
        };
        let parsed = deserialise(&change.key, value);
        if parsed.is_some() {
            self.unreadable.remove(&change.key);
        } else {
            self.unreadable.insert(change.key.clone());
        }
        parsed
    }
}

/// Deserialises a stored value. Logs an error and returns `None` if it cannot be read.
fn deserialise<T: DeserializeOwned>(key: &str, value: &Value) -> Option<T> {
    T::deserialize(value)
        .inspect_err(|error| tracing::error!(key, %error, "stored value unreadable"))
        .ok()
}
