//! Queues of users' requests to which the node has not replied yet, in order of arrival.
//!
//! A request waits for a read of the store, or for the transaction that writes its change.

use super::{UserChange, UserWrite, batch::WriteBatch};
use crate::{node::RequestId, store_view::StoreView};
use gladekeel_wire::{JobId, job::JobSpec};
use std::{collections::VecDeque, rc::Rc};

/// Maximum number of queued requests. Further requests are rejected with a reply that tells users
/// to retry later.
const MAX_QUEUED: usize = 400;
/// Maximum number of transactions with users' changes in flight. More than one is allowed so that
/// a slow response does not delay other changes.
const MAX_TRANSACTIONS_IN_FLIGHT: usize = 4;

/// A request that waits for a read of the store.
#[derive(Debug)]
pub(in crate::node) struct PendingRead {
    pub request: RequestId,
    /// When the request was received, or when the outcome of its transaction turned out to be
    /// unknown.
    pub queued_at: f64,
    /// The read barrier: only a read that was sent at this time or later serves the request.
    pub not_before: f64,
    pub continuation: Continuation,
}

/// The next step of a request after the read for which it waited.
#[derive(Debug)]
pub(in crate::node) enum Continuation {
    /// Reply to an operator with the runtime settings.
    ReplySettings,
    /// Continue a user's request about a job.
    Job {
        /// The job's id.
        id: JobId,
        /// The next step of the request.
        next: JobContinuation,
    },
}

/// The next step of a request about a job after the read for which it waited.
#[derive(Debug)]
pub(in crate::node) enum JobContinuation {
    /// Reply with the job's state, or with 404 if there is no such job.
    Poll,
    /// Reply with the job's state, or create the job if it does not exist.
    Create {
        /// The job's specification.
        spec: Rc<JobSpec>,
        /// Number of failed attempts to create the job.
        attempts: u32,
    },
    /// Reply with the job's state, or reject the submission if the job does not exist.
    Reject {
        /// The HTTP status of the reply.
        status: u16,
        /// The error message of the reply.
        message: String,
    },
    /// Cancel the job unless its state is final.
    Cancel {
        /// Number of failed attempts to cancel the job.
        attempts: u32,
    },
    /// Reply with the job's state, or with 503 if the job is not visible: the transaction that
    /// creates it is in doubt.
    ConfirmCreation,
}

/// The queues of users' requests.
#[derive(Debug)]
pub(in crate::node) struct UserRequests {
    pending_reads: Vec<PendingRead>,
    /// Changes that are not part of a transaction yet.
    writes: VecDeque<UserWrite>,
    transactions_in_flight: usize,
    /// No transaction is sent before this time.
    not_before: f64,
    /// Maximum number of changes in one transaction.
    max_batch: usize,
}

impl UserRequests {
    /// Creates empty queues for a store that accepts `max_batch` changes in one transaction.
    pub fn new(max_batch: usize) -> UserRequests {
        UserRequests {
            pending_reads: Vec::new(),
            writes: VecDeque::new(),
            transactions_in_flight: 0,
            not_before: 0.0,
            max_batch,
        }
    }

    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.pending_reads.len() + self.writes.len()
    }

    /// Whether the queues are full, so that no more requests are accepted.
    pub fn is_full(&self) -> bool {
        self.len() >= MAX_QUEUED
    }

    /// Whether requests wait for a read.
    pub fn has_pending_reads(&self) -> bool {
        !self.pending_reads.is_empty()
    }

    /// Queues a request for the next read.
    pub fn push_read(&mut self, pending: PendingRead) {
        self.pending_reads.push(pending);
    }

    /// Queues a change for the next transaction.
    pub fn push_write(&mut self, write: UserWrite) {
        self.writes.push_back(write);
    }

    /// Queues a change ahead of all others.
    pub fn push_write_front(&mut self, write: UserWrite) {
        self.writes.push_front(write);
    }

    /// Queues the changes of a failed transaction ahead of all others, preserving their order.
    pub fn requeue(&mut self, writes: Vec<UserWrite>) {
        for write in writes.into_iter().rev() {
            self.writes.push_front(write);
        }
    }

    /// Removes and returns the requests that may be served after a read sent at `sent_at`.
    pub fn take_ready(&mut self, sent_at: f64) -> Vec<PendingRead> {
        self.pending_reads.extract_if(.., |pending| pending.not_before <= sent_at).collect()
    }

    /// Removes and returns the requests that were queued at `deadline` or earlier.
    pub fn take_overdue(&mut self, deadline: f64) -> Vec<RequestId> {
        let is_overdue = |pending: &mut PendingRead| pending.queued_at <= deadline;
        let mut overdue: Vec<RequestId> =
            self.pending_reads.extract_if(.., is_overdue).map(|pending| pending.request).collect();
        while self.writes.front().is_some_and(|write| write.queued_at <= deadline) {
            overdue.extend(self.writes.pop_front().map(|write| write.request));
        }
        overdue
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        let reads = self.pending_reads.drain(..).map(|pending| pending.request);
        let writes = self.writes.drain(..).map(|write| write.request);
        reads.chain(writes).collect()
    }

    /// Whether a transaction should be sent, provided that the rate limit allows it.
    pub fn is_batch_due(&self, now: f64) -> bool {
        self.transactions_in_flight < MAX_TRANSACTIONS_IN_FLIGHT
            && !self.writes.is_empty()
            && now >= self.not_before
    }

    /// Removes and returns the changes of the next transaction, `max_writes` at most. `epoch` is
    /// the Unix time at which this node's clock was 0, in seconds.
    pub fn take_batch(&mut self, max_writes: usize, view: &StoreView, epoch: f64) -> WriteBatch {
        let max_writes = self.max_batch.min(max_writes);
        let mut batch = WriteBatch::default();
        let mut remaining = VecDeque::new();
        while let Some(write) = self.writes.pop_front() {
            if batch.contains(&write.id) || batch.is_full(max_writes) {
                remaining.push_back(write);
            } else {
                batch.push(write, view, epoch);
            }
        }
        self.writes = remaining;
        batch
    }

    /// Records that a transaction was sent.
    pub fn on_transaction_sent(&mut self) {
        self.transactions_in_flight += 1;
    }

    /// Records that a transaction is no longer in flight.
    pub fn on_transaction_finished(&mut self) {
        self.transactions_in_flight -= 1;
    }

    /// Prevents transactions from being sent before `time`.
    pub fn back_off_until(&mut self, time: f64) {
        self.not_before = time;
    }

    /// Reduces the maximum batch size to half of `refused`, the number of changes in a transaction
    /// that the store has refused as too large: the store's limits are lower than the configured
    /// ones.
    pub fn halve_max_batch(&mut self, refused: usize) {
        self.max_batch = refused / 2;
        tracing::warn!(
            max_batch = self.max_batch,
            "transaction refused as too large: batch size halved"
        );
    }
}

impl UserWrite {
    /// Converts the change into a request that continues after a read sent at `now` or later.
    pub fn into_pending_read(self, now: f64) -> PendingRead {
        let next = match self.change {
            UserChange::Create(spec) => JobContinuation::Create { spec, attempts: self.attempts },
            UserChange::Cancel => JobContinuation::Cancel { attempts: self.attempts },
        };
        PendingRead {
            request: self.request,
            queued_at: self.queued_at,
            not_before: now,
            continuation: Continuation::Job { id: self.id, next },
        }
    }
}
