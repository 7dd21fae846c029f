//! What the store says, in types: the view that every node has.

use crate::keys::{self, AssignRecord, Bits, LeaderRecord, ProgressRecord};
use gladekeel_store::Change;
use gladekeel_wire::{
    JobId,
    cloud::MachineTypes,
    job::{JobSpec, JobState},
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{
    collections::{BTreeMap, HashMap},
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
    pub fates: HashMap<JobId, JobState>,
    /// Progress by job and chunk, with versions.
    pub progress: BTreeMap<JobId, BTreeMap<u32, (ProgressRecord, u64)>>,
    /// Pages of assignments, with versions.
    pub pages: BTreeMap<usize, (AssignRecord, u64)>,
    /// Who leads, and the token.
    pub leader: Option<(LeaderRecord, u64)>,
    /// Highest token ever seen.
    pub token: u64,
    /// Machine types, with the key's version.
    pub types: Option<(Rc<MachineTypes>, u64)>,
    /// The operators' settings.
    pub options: BTreeMap<String, f64>,
    /// Version of their key.
    pub options_version: u64,
    /// Machines to drain, with versions.
    pub drains: BTreeMap<String, u64>,
    running: HashMap<JobId, u32>,
}

/// What a change was about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Topic {
    /// A new job.
    Job(JobId),
    /// A final state.
    Fate(JobId),
    /// The operators' settings.
    Options,
    /// Anything else.
    Other,
}

fn read<T: DeserializeOwned>(key: &str, value: &Value) -> Option<T> {
    T::deserialize(value)
        .inspect_err(|error| tracing::error!(key, %error, "unreadable value in the store"))
        .ok()
}

impl World {
    /// Takes over a change of the replica.
    pub fn apply(&mut self, change: &Change) -> Topic {
        let key = change.key.as_str();
        if let Some(name) = key.strip_prefix(keys::JOB) {
            let Ok(id) = name.parse::<JobId>() else { return Topic::Other };
            let stored = change.now.as_ref().and_then(|(value, version)| {
                Some(StoredJob {
                    spec: Rc::new(read(key, value)?),
                    version: *version,
                    accepted_at: value.get(keys::ACCEPTED_AT).and_then(Value::as_f64),
                })
            });
            match stored {
                Some(stored) => self.jobs.insert(id.clone(), stored),
                None => self.jobs.remove(&id),
            };
            return Topic::Job(id);
        }
        if let Some(name) = key.strip_prefix(keys::FATE) {
            let (Ok(id), Some((value, _))) = (name.parse::<JobId>(), &change.now) else {
                return Topic::Other;
            };
            if let Some(state) = read::<JobState>(key, value) {
                // The first final state wins, for ever.
                self.fates.entry(id.clone()).or_insert(state);
            }
            return Topic::Fate(id);
        }
        if let Some(name) = key.strip_prefix(keys::PROGRESS) {
            let Some((id, chunk)) = name.rsplit_once('/') else { return Topic::Other };
            let (Ok(id), Ok(chunk)) = (id.parse::<JobId>(), chunk.parse::<u32>()) else {
                return Topic::Other;
            };
            let chunks = self.progress.entry(id.clone()).or_default();
            match change.now.as_ref().and_then(|(v, version)| Some((read(key, v)?, *version))) {
                Some(record) => {
                    chunks.insert(chunk, record);
                }
                None => {
                    chunks.remove(&chunk);
                }
            }
            if chunks.is_empty() {
                self.progress.remove(&id);
            }
        } else if let Some(page) = key.strip_prefix(keys::ASSIGN) {
            let Ok(page) = page.parse::<usize>() else { return Topic::Other };
            let new: Option<(AssignRecord, u64)> =
                change.now.as_ref().and_then(|(v, version)| Some((read(key, v)?, *version)));
            let old = match new.clone() {
                Some(record) => self.pages.insert(page, record),
                None => self.pages.remove(&page),
            };
            self.count_running(old.map(|(record, _)| record), -1);
            self.count_running(new.map(|(record, _)| record), 1);
        } else if key == keys::LEADER {
            self.leader = change
                .now
                .as_ref()
                .and_then(|(value, version)| Some((read(key, value)?, *version)));
            self.token = self.token.max(self.leader.as_ref().map_or(0, |(_, token)| *token));
        } else if key == keys::TYPES {
            self.types = change
                .now
                .as_ref()
                .and_then(|(value, version)| Some((Rc::new(read(key, value)?), *version)));
        }
        if key == keys::OPTIONS {
            let now = change.now.as_ref();
            self.options = now.and_then(|(value, _)| read(key, value)).unwrap_or_default();
            self.options_version = now.map_or(0, |(_, version)| *version);
            return Topic::Options;
        }
        if let Some(machine) = key.strip_prefix(keys::DRAIN) {
            match &change.now {
                Some((_, version)) => self.drains.insert(machine.to_owned(), *version),
                None => self.drains.remove(machine),
            };
        }
        Topic::Other
    }

    fn count_running(&mut self, record: Option<AssignRecord>, sign: i64) {
        for (_, _, tasks) in record.iter().flat_map(|record| &record.m) {
            for (job, ..) in tasks {
                let count = self.running.entry(job.clone()).or_default();
                *count = (i64::from(*count) + sign).max(0) as u32;
                if *count == 0 {
                    self.running.remove(job);
                }
            }
        }
    }

    /// Tasks of a job that are on machines, for display.
    pub fn running(&self, id: &JobId) -> u32 {
        self.running.get(id).copied().unwrap_or(0)
    }

    /// Finished tasks of a job.
    pub fn finished(&self, id: &JobId, tasks: u32) -> (Bits, Bits) {
        let (mut done, mut restarted) = (Bits::default(), Bits::default());
        for (chunk, (record, _)) in self.progress.get(id).into_iter().flatten() {
            done.add_hex(*chunk, &record.done, tasks);
            restarted.add_hex(*chunk, &record.restarted, tasks);
        }
        (done, restarted)
    }
}
