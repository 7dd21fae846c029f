//! Transactions that carry the changes of many users.

use super::{UserChange, UserWrite};
use crate::{keys, store_view::StoreView};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState},
    store::{Precondition, Transaction, Write},
};

/// Size limit of a batch, in estimated bytes.
const MAX_BATCH_BYTES: usize = 48 * 1024;
/// What a change takes besides the job's specification: keys, preconditions and punctuation.
const BYTES_PER_CHANGE: usize = 400;

/// Users' changes and the transaction that writes them.
#[derive(Debug, Default)]
pub(in crate::node) struct WriteBatch {
    writes: Vec<UserWrite>,
    transaction: Transaction,
    estimated_bytes: usize,
}

impl WriteBatch {
    /// Whether the batch changes a job already: two changes of one job conflict.
    pub fn contains(&self, id: &JobId) -> bool {
        self.writes.iter().any(|write| write.id == *id)
    }

    /// Whether no change may be added, if `max_writes` are allowed.
    pub fn is_full(&self, max_writes: usize) -> bool {
        self.writes.len() >= max_writes || self.estimated_bytes > MAX_BATCH_BYTES
    }

    /// How many changes the batch holds.
    pub fn len(&self) -> usize {
        self.writes.len()
    }

    /// The changes and the transaction.
    pub fn into_parts(self) -> (Vec<UserWrite>, Transaction) {
        (self.writes, self.transaction)
    }

    /// Adds a change. `epoch` is the time of day at which this node's clock was 0.
    pub fn push(&mut self, write: UserWrite, view: &StoreView, epoch: f64) {
        match &write.change {
            UserChange::Create(spec) => self.create(spec, epoch + write.queued_at),
            UserChange::Cancel => {
                let version = view.jobs.get(&write.id).map_or(0, |job| job.version);
                self.cancel(&write.id, version);
            }
        }
        self.writes.push(write);
    }

    /// Creates a job. `accepted_at` is a time of day: a later leader must know how old the
    /// job is, not since when it has known the job.
    fn create(&mut self, spec: &JobSpec, accepted_at: f64) {
        let mut value = serde_json::to_value(spec).expect("wire types always serialise");
        value[keys::ACCEPTED_AT] = accepted_at.into();
        self.estimated_bytes += value.to_string().len() + BYTES_PER_CHANGE;
        let key = keys::job(&spec.id);
        self.require(keys::final_state(&spec.id), 0);
        self.require(key.clone(), 0);
        self.transaction.writes.push(Write::Put { key, value, lease: None });
    }

    /// Cancels a job whose key has this version, unless it has a final state already.
    fn cancel(&mut self, id: &JobId, version: u64) {
        let value = serde_json::to_value(JobState::Cancelled).expect("wire types always serialise");
        self.estimated_bytes += BYTES_PER_CHANGE;
        let key = keys::final_state(id);
        self.require(key.clone(), 0);
        self.require(keys::job(id), version);
        self.transaction.writes.push(Write::Put { key, value, lease: None });
    }

    /// Makes the transaction fail unless a key has this version; 0 if it must not exist.
    fn require(&mut self, key: String, version: u64) {
        self.transaction.preconditions.push(Precondition { key, version });
    }
}
