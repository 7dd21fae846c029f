//! What the store says, in types: the view that every node has.

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
    /// Its description.
    pub spec: Rc<JobSpec>,
    /// Version of its key; orders jobs by acceptance.
    pub version: u64,
    /// Time of day at which it was accepted, in seconds.
    pub accepted_at: Option<f64>,
}

/// The store, typed.
#[derive(Debug, Default)]
pub struct StoreView {
    /// Jobs that are not cleared away.
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// Final states, for ever.
    pub final_states: HashMap<JobId, JobState>,
    /// Jobs that are cancelled and not cleared away: the last time at which that was not
    /// so yet, on this node's clock. Their users cannot have been told earlier.
    pub cancelled_no_earlier_than: HashMap<JobId, f64>,
    /// Jobs of which another controller told that it has committed their cancellation,
    /// and when: it ends work, starts nothing and makes no user's answer.
    pub pending_cancellations: HashMap<JobId, f64>,
    /// Finished and running tasks as the leader last told, for display.
    pub job_progress: BTreeMap<JobId, JobProgress>,
    /// Whether the store holds assignments in a layout that this version cannot read.
    pub has_legacy_assignments: bool,
    /// Keys of jobs and final states whose values cannot be read. As long as there are any,
    /// nothing is placed and nothing is said of these jobs.
    pub unreadable: BTreeSet<String>,
    /// Who leads, and the token.
    pub leader: Option<(LeaderRecord, u64)>,
    /// Highest token ever seen.
    pub highest_token: u64,
    /// Machine types.
    pub machine_types: StoredTypes,
    /// The operators' settings.
    pub options: BTreeMap<String, f64>,
    /// Version of their key.
    pub options_version: u64,
    /// Machines to drain, with versions.
    pub drain_orders: BTreeMap<String, u64>,
}

/// How many of a job's tasks are finished and running, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Finished.
    pub done: u32,
    /// On machines.
    pub running: u32,
}

/// What a change was about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeKind {
    /// A new job.
    Job(JobId),
    /// A final state.
    FinalState(JobId),
    /// The operators' settings.
    Options,
    /// A machine that is to be drained, or no longer.
    Drain(String),
    /// Anything else.
    Other,
}

fn read<T: DeserializeOwned>(key: &str, value: &Value) -> Option<T> {
    T::deserialize(value)
        .inspect_err(|error| tracing::error!(key, %error, "unreadable value in the store"))
        .ok()
}

impl StoreView {
    /// Whether a job's tasks must end, as far as this node knows.
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

    /// Reads the value behind a key, if there is one, and remembers whether that failed.
    fn read_or_note<T: DeserializeOwned>(&mut self, change: &Change) -> Option<T> {
        let value = change.current.as_ref().map(|(value, _)| read(&change.key, value));
        if matches!(value, Some(None)) {
            self.unreadable.insert(change.key.clone());
        } else {
            self.unreadable.remove(&change.key);
        }
        value.flatten()
    }

    /// Takes over a change of the replica that was made after the time `after`.
    pub fn apply(&mut self, change: &Change, after: f64) -> ChangeKind {
        let key = change.key.as_str();
        if let Some(name) = key.strip_prefix(keys::JOB_PREFIX) {
            let Ok(id) = name.parse::<JobId>() else { return ChangeKind::Other };
            let spec = self.read_or_note::<JobSpec>(change);
            let stored =
                change.current.as_ref().zip(spec).map(|((value, version), spec)| StoredJob {
                    spec: Rc::new(spec),
                    version: *version,
                    accepted_at: value.get(keys::ACCEPTED_AT).and_then(Value::as_f64),
                });
            if let Some(stored) = stored {
                self.jobs.insert(id.clone(), stored);
            } else if change.current.is_none() {
                self.cancelled_no_earlier_than.remove(&id);
                self.pending_cancellations.remove(&id);
                self.jobs.remove(&id);
            }
            return ChangeKind::Job(id);
        }
        if let Some(name) = key.strip_prefix(keys::FINAL_STATE_PREFIX) {
            let Ok(id) = name.parse::<JobId>() else { return ChangeKind::Other };
            if let Some(state) = self.read_or_note::<JobState>(change) {
                // The first final state wins, for ever.
                let first = *self.final_states.entry(id.clone()).or_insert(state);
                if first == JobState::Cancelled && self.jobs.contains_key(&id) {
                    self.cancelled_no_earlier_than.entry(id.clone()).or_insert(after);
                }
                self.job_progress.remove(&id);
            }
            return ChangeKind::FinalState(id);
        }
        if key.starts_with(keys::LEGACY_ASSIGNMENTS_PREFIX) {
            self.has_legacy_assignments |= change.current.is_some();
        } else if key == keys::LEADER {
            self.leader = change
                .current
                .as_ref()
                .and_then(|(value, version)| Some((read(key, value)?, *version)));
            self.highest_token =
                self.highest_token.max(self.leader.as_ref().map_or(0, |(_, token)| *token));
        } else if let Some(part) = keys::parse_machine_types_part(key) {
            let stored =
                change.current.as_ref().map(|(value, version)| (read(key, value), *version));
            self.machine_types.apply(part, stored);
        }
        if key == keys::OPTIONS {
            let now = change.current.as_ref();
            self.options = now.and_then(|(value, _)| read(key, value)).unwrap_or_default();
            self.options_version = now.map_or(0, |(_, version)| *version);
            return ChangeKind::Options;
        }
        if let Some(machine) = key.strip_prefix(keys::DRAIN_PREFIX) {
            match &change.current {
                Some((_, version)) => self.drain_orders.insert(machine.to_owned(), *version),
                None => self.drain_orders.remove(machine),
            };
            return ChangeKind::Drain(machine.to_owned());
        }
        ChangeKind::Other
    }
}
