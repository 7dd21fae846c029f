//! Transactions with users' changes: sending them and handling their outcomes.

use super::{
    job_status,
    queue::{Continuation, JobContinuation, PendingRead},
};
use crate::{
    http_api::Reply,
    keys,
    node::{
        CallId, Node, RequestId, jittered_backoff_until,
        outgoing_calls::{StoreCallPurpose, WritesInFlight},
        store_reads::SLOW_RESPONSE_S,
    },
    store_view::StoreView,
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState, JobStatus},
};
use std::rc::Rc;

/// Maximum number of attempts to write a change; after that the user should retry later.
pub(super) const MAX_WRITE_ATTEMPTS: u32 = 3;

/// A change that a user has requested.
#[derive(Debug)]
pub(in crate::node) struct UserWrite {
    pub request: RequestId,
    pub id: JobId,
    pub change: UserChange,
    /// When the request was received.
    pub queued_at: f64,
    /// Number of transactions with this change that have failed.
    pub attempts: u32,
}

/// The kind of change to a job.
#[derive(Debug)]
pub(in crate::node) enum UserChange {
    /// Create the job.
    Create(Rc<JobSpec>),
    /// Cancel the job.
    Cancel,
}

impl UserWrite {
    /// Creates a change that has not been attempted yet.
    pub fn new(now: f64, request: RequestId, id: JobId, change: UserChange) -> UserWrite {
        UserWrite { request, id, change, queued_at: now, attempts: 0 }
    }

    /// Whether the view shows the change, regardless of which request made it.
    fn is_visible(&self, view: &StoreView) -> bool {
        match self.change {
            UserChange::Create(_) => view.jobs.contains_key(&self.id),
            UserChange::Cancel => view.final_states.contains_key(&self.id),
        }
    }

    /// Whether a failed precondition may belong to this change; always `true` if the store named no
    /// key.
    fn may_have_conflicted(&self, failed_keys: &[String]) -> bool {
        let own_keys = [keys::job(&self.id), keys::final_state(&self.id)];
        failed_keys.is_empty() || own_keys.iter().any(|key| failed_keys.contains(key))
    }

    /// The reply for a committed change.
    fn committed_reply(self) -> Reply {
        let (status, state) = match self.change {
            UserChange::Create(_) => (201, JobState::Queued),
            UserChange::Cancel => (200, JobState::Cancelled),
        };
        Reply::json(status, &JobStatus { id: self.id, state, done: None, running: None })
    }
}

impl Node {
    /// Sends a transaction with queued changes, if one is due.
    pub(in crate::node) fn send_user_writes(&mut self, now: f64) {
        let rate_limit = &mut self.rate_limits.user_writes;
        if !self.user_requests.is_batch_due(now) || !rate_limit.can_take(now, 1.0) {
            return;
        }
        let max_writes = rate_limit.available(now).max(1.0) as usize;
        let batch = self.user_requests.take_batch(max_writes, &self.store.view, self.epoch);
        if batch.len() == 0 {
            return;
        }
        rate_limit.try_take(now, batch.len() as f64);
        self.user_requests.on_transaction_sent();
        let (writes, transaction) = batch.into_parts();
        let request = StoreRequest::Commit(transaction);
        self.call_store(now, StoreCallPurpose::UserWrites(writes), request);
    }

    /// Applies the outcome of a transaction with users' changes.
    pub(in crate::node) fn on_user_writes_outcome(
        &mut self,
        now: f64,
        writes: Vec<UserWrite>,
        outcome: StoreOutcome,
    ) {
        self.user_requests.on_transaction_finished();
        match outcome {
            StoreOutcome::Committed(_) => self.on_user_writes_committed(now, writes),
            StoreOutcome::Conflict(failed_keys) => {
                self.on_user_writes_conflict(now, writes, &failed_keys);
            }
            StoreOutcome::RateLimited => self.on_user_writes_rate_limited(now, writes),
            // The store uses this status for invalid transactions too. The transaction names no
            // lease, so the store refused it as too large. Nothing was written; a transaction of
            // half the size may be accepted.
            StoreOutcome::LeaseNotFound if writes.len() > 1 => {
                self.user_requests.halve_max_batch(writes.len());
                self.user_requests.requeue(writes);
            }
            StoreOutcome::Unavailable | StoreOutcome::LeaseNotFound => {
                for write in writes {
                    self.reply_retry_later(now, write.request, "the state service refuses");
                }
            }
            _ => self.on_user_writes_in_doubt(now, writes),
        }
    }

    fn on_user_writes_committed(&mut self, now: f64, writes: Vec<UserWrite>) {
        let is_cancellation = |write: &&UserWrite| matches!(write.change, UserChange::Cancel);
        let cancelled: Vec<JobId> =
            writes.iter().filter(is_cancellation).map(|write| write.id.clone()).collect();
        self.publish_cancellations(now, &cancelled);
        for id in cancelled {
            // If this node leads, the cancellation must not wait for this node's next read, which
            // may be slow.
            self.apply_pending_cancellation(&id, now);
        }
        for write in writes {
            self.reply(now, write.request, write.committed_reply());
        }
        if self.leadership.is_leading() {
            self.store.request_read();
        }
        self.notify_leader_of_store_change();
    }

    fn on_user_writes_rate_limited(&mut self, now: f64, writes: Vec<UserWrite>) {
        self.rate_limits.user_writes.empty(now);
        self.user_requests.back_off_until(jittered_backoff_until(now, &mut self.rng));
        self.user_requests.requeue(writes);
    }

    /// Handles a conflict: nothing was written. Changes whose own preconditions held are sent
    /// again; the other requests continue after a read.
    fn on_user_writes_conflict(
        &mut self,
        now: f64,
        writes: Vec<UserWrite>,
        failed_keys: &[String],
    ) {
        for mut write in writes {
            write.attempts += 1;
            if write.may_have_conflicted(failed_keys) {
                self.user_requests.push_read(write.into_pending_read(now));
            } else {
                self.user_requests.push_write_front(write);
            }
        }
        self.store.request_read();
    }

    /// Handles a transaction in doubt: the transaction may have been committed already, or may be
    /// committed later. A read shows which changes are visible; no change is sent again.
    fn on_user_writes_in_doubt(&mut self, now: f64, writes: Vec<UserWrite>) {
        for write in writes {
            let next = match write.change {
                UserChange::Create(_) => JobContinuation::ConfirmCreation,
                UserChange::Cancel => JobContinuation::Cancel { attempts: MAX_WRITE_ATTEMPTS },
            };
            self.user_requests.push_read(PendingRead {
                request: write.request,
                queued_at: now,
                not_before: now,
                continuation: Continuation::Job { id: write.id, next },
            });
        }
        self.store.request_read();
    }

    /// Replies to users whose change is visible in the store although the response to the
    /// transaction is slow. A visible job may have been created through another node, so the reply
    /// has status 200 (the job exists), not 201 (created).
    pub(in crate::node) fn reply_to_visible_writes(&mut self, now: f64) {
        for (call, write) in self.take_visible_writes(now) {
            if let Some(status) = job_status(&self.store.view, &write.id) {
                self.reply(now, write.request, Reply::json(200, &status));
            }
            if self.calls.finish_if_no_writes_left(call) {
                self.user_requests.on_transaction_finished();
            }
        }
    }

    fn take_visible_writes(&mut self, now: f64) -> Vec<(CallId, UserWrite)> {
        let view = &self.store.view;
        let mut visible = Vec::new();
        for WritesInFlight { call, sent_at, writes } in self.calls.user_writes_mut() {
            if now - sent_at >= SLOW_RESPONSE_S {
                let is_visible = |write: &mut UserWrite| write.is_visible(view);
                visible.extend(writes.extract_if(.., is_visible).map(|write| (call, write)));
            }
        }
        visible
    }
}
