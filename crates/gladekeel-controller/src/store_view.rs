//! The typed view of the store that every node has.
//!
//! [`gladekeel_store::Replica`] says which keys have changed; [`StoreView::apply`] puts each
//! change into the field for its kind of key. The view is as old as the last read of the store:
//! who needs a current one reads the store first. A value that this version cannot read is never
//! taken for an absent one ("What cannot be read" in `docs/safety.md`).

use crate::{
    keys::{self, LeaderRecord},
    stored_types::StoredTypes,
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

/// A job as the store has it.
#[derive(Debug, Clone)]
pub struct StoredJob {
    /// What its user submitted.
    pub spec: Rc<JobSpec>,
    /// The version of its key. Jobs were accepted in the order of their versions.
    pub version: u64,
    /// When it was accepted, as a time of day in seconds.
    pub accepted_at: Option<f64>,
}

/// The content of the store that all nodes replicate.
#[derive(Debug, Default)]
pub struct StoreView {
    /// Jobs whose keys the leader has not removed yet.
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// Final states of all jobs ever. They never change.
    pub final_states: HashMap<JobId, JobState>,
    /// Cancelled jobs in `jobs`: a time on this node's clock at which each was not cancelled yet,
    /// as late as known. Their users cannot have been told of the cancellation earlier.
    pub cancelled_no_earlier_than: HashMap<JobId, f64>,
    /// Jobs whose cancellation another controller has committed, as it says, and when it said so
    /// on this node's clock. Their tasks are stopped and none is started, but no user is answered
    /// by it.
    pub pending_cancellations: HashMap<JobId, f64>,
    /// Progress as the leader last published it, for display only.
    pub job_progress: BTreeMap<JobId, JobProgress>,
    /// Whether the store holds assignments in the layout of the first version, which this one
    /// cannot read.
    pub has_legacy_assignments: bool,
    /// Keys of jobs and final states whose values cannot be read. While there are any, nothing is
    /// scheduled, and users who ask for these jobs get no state.
    pub unreadable: BTreeSet<String>,
    /// The leader, and the version of its key: the fencing token.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The highest fencing token ever seen.
    pub highest_token: u64,
    /// Machine types.
    pub machine_types: StoredTypes,
    /// Runtime settings that operators have changed, by name.
    pub options: BTreeMap<String, f64>,
    /// The version of the key of `options`; 0 if it does not exist.
    pub options_version: u64,
    /// Machines that operators want drained, with the versions of the keys.
    pub drain_orders: BTreeMap<String, u64>,
}

/// How many of a job's tasks are done and running.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Tasks that have completed.
    pub done: u32,
    /// Tasks on machines.
    pub running: u32,
}

/// What a change of the store concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeKind {
    /// A job was added or removed.
    Job(JobId),
    /// A job has a final state.
    FinalState(JobId),
    /// The runtime settings.
    RuntimeSettings,
    /// A machine is to be drained, or no longer.
    Drain(String),
    /// Anything that needs no reaction.
    Other,
}

impl StoreView {
    /// Whether a job's tasks must stop, as far as this node knows.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.final_states.get(id) == Some(&JobState::Cancelled)
            || self.pending_cancellations.contains_key(id)
    }

    /// Whether what the store holds of a job cannot be read.
    pub fn is_unreadable(&self, id: &JobId) -> bool {
        !self.unreadable.is_empty()
            && (self.unreadable.contains(&keys::job(id))
                || self.unreadable.contains(&keys::final_state(id)))
    }

    /// Applies a change that was made after the time `made_after` on this node's clock.
    pub fn apply(&mut self, change: &Change, made_after: f64) -> ChangeKind {
        let key = change.key.as_str();
        if let Some(id) = key.strip_prefix(keys::JOB_PREFIX) {
            self.apply_job(id, change)
        } else if let Some(id) = key.strip_prefix(keys::FINAL_STATE_PREFIX) {
            self.apply_final_state(id, change, made_after)
        } else if let Some(machine) = key.strip_prefix(keys::DRAIN_PREFIX) {
            self.apply_drain_order(machine, change)
        } else if let Some(part) = keys::parse_machine_types_part(key) {
            self.apply_machine_types(part, change)
        } else if key.starts_with(keys::LEGACY_ASSIGNMENTS_PREFIX) {
            self.apply_legacy_assignments(change)
        } else if key == keys::LEADER {
            self.apply_leader(change)
        } else if key == keys::OPTIONS {
            self.apply_options(change)
        } else {
            ChangeKind::Other
        }
    }

    fn apply_job(&mut self, id: &str, change: &Change) -> ChangeKind {
        let Ok(id) = id.parse::<JobId>() else { return ChangeKind::Other };
        let spec = self.read_or_mark_unreadable::<JobSpec>(change);
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
        if let Some(state) = self.read_or_mark_unreadable::<JobState>(change) {
            // The first final state stands for ever.
            let first = *self.final_states.entry(id.clone()).or_insert(state);
            if first == JobState::Cancelled && self.jobs.contains_key(&id) {
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
                self.machine_types.set_part(part, read(&change.key, value), *version);
            }
            None => self.machine_types.remove_part(part),
        }
        ChangeKind::Other
    }

    /// A store that once had such assignments counts as having them from then on.
    fn apply_legacy_assignments(&mut self, change: &Change) -> ChangeKind {
        self.has_legacy_assignments |= change.current.is_some();
        ChangeKind::Other
    }

    fn apply_leader(&mut self, change: &Change) -> ChangeKind {
        let current = change.current.as_ref();
        self.leader =
            current.and_then(|(value, version)| Some((read(&change.key, value)?, *version)));
        let token = self.leader.as_ref().map_or(0, |(_, token)| *token);
        self.highest_token = self.highest_token.max(token);
        ChangeKind::Other
    }

    fn apply_options(&mut self, change: &Change) -> ChangeKind {
        let current = change.current.as_ref();
        self.options = current.and_then(|(value, _)| read(&change.key, value)).unwrap_or_default();
        self.options_version = current.map_or(0, |(_, version)| *version);
        ChangeKind::RuntimeSettings
    }

    /// Reads the changed value, if there is one, and remembers whether that failed.
    fn read_or_mark_unreadable<T: DeserializeOwned>(&mut self, change: &Change) -> Option<T> {
        let Some((value, _)) = &change.current else {
            self.unreadable.remove(&change.key);
            return None;
        };
        let read = read(&change.key, value);
        if read.is_some() {
            self.unreadable.remove(&change.key);
        } else {
            self.unreadable.insert(change.key.clone());
        }
        read
    }
}

fn read<T: DeserializeOwned>(key: &str, value: &Value) -> Option<T> {
    T::deserialize(value)
        .inspect_err(|error| tracing::error!(key, %error, "stored value unreadable"))
        .ok()
}
