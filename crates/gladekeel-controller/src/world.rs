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
pub struct World {
    /// Jobs that are not cleared away.
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// Final states, for ever.
    pub final_states: HashMap<JobId, JobState>,
    /// Jobs that are cancelled and not cleared away: the last time at which that was not
    /// so yet, on this node's clock. Their users cannot have been told earlier.
    pub cancelled_after: HashMap<JobId, f64>,
    /// Jobs of which another controller told that it has committed their cancellation,
    /// and when: it ends work, starts nothing and makes no user's answer.
    pub called_off: HashMap<JobId, f64>,
    /// Finished and running tasks as the leader last told, for display.
    pub counts: BTreeMap<JobId, Counts>,
    /// Whether the store holds assignments in a layout that this version cannot read.
    pub old_layout: bool,
    /// Keys of jobs and final states whose values cannot be read. As long as there are any,
    /// nothing is placed and nothing is said of these jobs.
    pub unreadable: BTreeSet<String>,
    /// Who leads, and the token.
    pub leader: Option<(LeaderRecord, u64)>,
    /// Highest token ever seen.
    pub token: u64,
    /// Machine types.
    pub types: StoredTypes,
    /// The operators' settings.
    pub options: BTreeMap<String, f64>,
    /// Version of their key.
    pub options_version: u64,
    /// Machines to drain, with versions.
    pub drains: BTreeMap<String, u64>,
}

/// How many of a job's tasks are finished and running, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Finished.
    pub done: u32,
    /// On machines.
    pub running: u32,
}

/// What a change was about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Topic {
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

impl World {
    /// Whether a job's tasks must end, as far as this node knows.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.final_states.get(id) == Some(&JobState::Cancelled) || self.called_off.contains_key(id)
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
    pub fn apply(&mut self, change: &Change, after: f64) -> Topic {
        let key = change.key.as_str();
        if let Some(name) = key.strip_prefix(keys::JOB) {
            let Ok(id) = name.parse::<JobId>() else { return Topic::Other };
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
                self.cancelled_after.remove(&id);
                self.called_off.remove(&id);
                self.jobs.remove(&id);
            }
            return Topic::Job(id);
        }
        if let Some(name) = key.strip_prefix(keys::FINAL_STATE) {
            let Ok(id) = name.parse::<JobId>() else { return Topic::Other };
            if let Some(state) = self.read_or_note::<JobState>(change) {
                // The first final state wins, for ever.
                let first = *self.final_states.entry(id.clone()).or_insert(state);
                if first == JobState::Cancelled && self.jobs.contains_key(&id) {
                    self.cancelled_after.entry(id.clone()).or_insert(after);
                }
                self.counts.remove(&id);
            }
            return Topic::FinalState(id);
        }
        if key.starts_with(keys::OLD_PAGES) {
            self.old_layout |= change.current.is_some();
        } else if key == keys::LEADER {
            self.leader = change
                .current
                .as_ref()
                .and_then(|(value, version)| Some((read(key, value)?, *version)));
            self.token = self.token.max(self.leader.as_ref().map_or(0, |(_, token)| *token));
        } else if let Some(part) = keys::part_of_types(key) {
            let stored =
                change.current.as_ref().map(|(value, version)| (read(key, value), *version));
            self.types.apply(part, stored);
        }
        if key == keys::OPTIONS {
            let now = change.current.as_ref();
            self.options = now.and_then(|(value, _)| read(key, value)).unwrap_or_default();
            self.options_version = now.map_or(0, |(_, version)| *version);
            return Topic::Options;
        }
        if let Some(machine) = key.strip_prefix(keys::DRAIN) {
            match &change.current {
                Some((_, version)) => self.drains.insert(machine.to_owned(), *version),
                None => self.drains.remove(machine),
            };
            return Topic::Drain(machine.to_owned());
        }
        Topic::Other
    }
}
