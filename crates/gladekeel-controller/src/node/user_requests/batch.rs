//! Transactions that batch the changes of many users.

use super::{UserChange, UserWrite};
use crate::{keys, store_view::StoreView};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState},
    store::{Precondition, Transaction, Write},
};

/// Estimated size of a batch, in bytes, above which no change is added to it.
const MAX_BATCH_BYTES: usize = 48 * 1024;
/// Estimated size in bytes of a change without the job's specification: keys, preconditions and
/// punctuation.
const BYTES_PER_CHANGE: usize = 400;

/// Users' changes and the transaction that writes them.
#[derive(Debug, Default)]
pub(in crate::node) struct WriteBatch {
    writes: Vec<UserWrite>,
    transaction: Transaction,
    estimated_bytes: usize,
}

impl WriteBatch {
    /// Whether the batch already changes this job: two changes of one job would conflict.
    pub fn contains(&self, id: &JobId) -> bool {
        self.writes.iter().any(|write| write.id == *id)
    }

    /// Whether the batch is full: it has at least `max_writes` changes or exceeds the size limit.
    pub fn is_full(&self, max_writes: usize) -> bool {
        self.writes.len() >= max_writes || self.estimated_bytes > MAX_BATCH_BYTES
    }

    /// The number of changes in the batch.
    pub fn len(&self) -> usize {
        self.writes.len()
    }

    /// Splits the batch into its changes and the transaction that writes them.
    pub fn into_parts(self) -> (Vec<UserWrite>, Transaction) {
        (self.writes, self.transaction)
    }

    /// Adds a change. `epoch` is the Unix time at which this node's clock was 0, in seconds.
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

    /// Adds the creation of a job. `accepted_at` is in Unix time, because a later leader needs the
    /// age of the job, not the time since that leader first read the job.
    fn create(&mut self, spec: &JobSpec, accepted_at: f64) {
        let mut value = serde_json::to_value(spec).expect("wire types always serialise");
        value[keys::ACCEPTED_AT] = accepted_at.into();
        self.estimated_bytes += value.to_string().len() + BYTES_PER_CHANGE;
        let key = keys::job(&spec.id);
        self.require(keys::final_state(&spec.id), 0);
        self.require(key.clone(), 0);
        self.transaction.writes.push(Write::Put { key, value, lease: None });
    }

    /// Adds the cancellation of a job; `version` is the version of the job's key. The transaction
    /// fails if the job already has a final state.
    fn cancel(&mut self, id: &JobId, version: u64) {
        let value = serde_json::to_value(JobState::Cancelled).expect("wire types always serialise");
        self.estimated_bytes += BYTES_PER_CHANGE;
        let key = keys::final_state(id);
        self.require(key.clone(), 0);
        self.require(keys::job(id), version);
        self.transaction.writes.push(Write::Put { key, value, lease: None });
    }

    /// Makes the transaction fail unless `key` has `version`; 0 means that the key must not exist.
    fn require(&mut self, key: String, version: u64) {
        self.transaction.preconditions.push(Precondition { key, version });
    }
}
