//! Users' requests: submissions, polls and cancellations.
//!
//! The way of a submission:
//!
//! 1. [`Node::on_submit`] parses it. A job that the store has a final state of is answered at
//!    once, since final states never change.
//! 2. A job that is known is answered after a read. Any other passes admission control and is
//!    queued as a write.
//! 3. [`Node::send_user_writes`] puts queued writes into one transaction, which creates each job
//!    only if it neither exists nor has a final state.
//! 4. [`Node::on_user_writes_outcome`] replies 201. After a conflict, or without an answer, the
//!    request waits for a read, and [`Node::serve_pending_reads`] goes on by what the store shows.
//! 5. The leader reads the new job from the store and schedules it.
//!
//! An answer about a job is only given after a read that was sent after the request arrived
//! (the read barrier of `docs/safety.md`), or if the job's state is final.

mod batch;
mod pending_reads;
mod queue;
mod writes;

pub(super) use queue::{Continuation, UserRequests};
pub(super) use writes::{UserChange, UserWrite};

use super::{Node, RequestId};
use crate::{
    http_api::{Admission, Reply, check_admission},
    store_view::{JobProgress, StoreView},
};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState, JobStatus},
};
use queue::{JobContinuation, PendingRead};
use std::rc::Rc;

/// How long a user's request may wait for the store; users give up on a poll after 2 s.
const REQUEST_TIMEOUT_S: f64 = 1.5;
/// What the stored value of a job takes besides its specification, in bytes.
const STORED_JOB_OVERHEAD_BYTES: usize = 100;

impl Node {
    /// Asks a client to come back in a second.
    pub(super) fn reply_retry_later(&mut self, now: f64, request: RequestId, reason: &str) {
        tracing::debug!(request, reason, "request deferred");
        self.reply(now, request, Reply::retry_later(1, reason));
    }

    /// Asks the client to come back later if this request cannot be queued. Returns whether it
    /// did.
    pub(super) fn rejects_for_overload(&mut self, now: f64, request: RequestId) -> bool {
        if self.user_requests.is_full() {
            let reason = "too many requests are waiting";
            tracing::debug!(request, reason, "request deferred");
            self.reply(now, request, Reply::retry_later(2, reason));
            return true;
        }
        // While an outage lasts, an immediate answer is better than one after a timeout.
        if !self.store.is_available() {
            self.reply_retry_later(now, request, "the state service cannot be reached");
            return true;
        }
        false
    }

    /// Queues a request until a read that is sent from now on.
    pub(super) fn enqueue_for_read(
        &mut self,
        now: f64,
        request: RequestId,
        continuation: Continuation,
    ) {
        let pending = PendingRead { request, queued_at: now, not_before: now, continuation };
        self.user_requests.push_read(pending);
        self.store.request_read();
    }

    fn enqueue_job_for_read(
        &mut self,
        now: f64,
        request: RequestId,
        id: JobId,
        next: JobContinuation,
    ) {
        self.enqueue_for_read(now, request, Continuation::Job { id, next });
    }

    /// Replies with a job's state if that is final. Returns whether it did.
    fn reply_if_final(&mut self, now: f64, request: RequestId, id: &JobId) -> bool {
        let Some(status) = final_status(&self.store.view, id) else { return false };
        self.reply(now, request, Reply::json(200, &status));
        true
    }

    /// Handles a poll of a job's state.
    pub(super) fn on_poll(&mut self, now: f64, request: RequestId, id: JobId) {
        if self.reply_if_final(now, request, &id) || self.rejects_for_overload(now, request) {
            return;
        }
        self.enqueue_job_for_read(now, request, id, JobContinuation::Poll);
    }

    /// Handles the submission of a job.
    pub(super) fn on_submit(&mut self, now: f64, request: RequestId, body: &[u8]) {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => return self.reply(now, request, Reply::error(400, error.to_string())),
        };
        if self.reply_if_final(now, request, &spec.id) || self.rejects_for_overload(now, request) {
            return;
        }
        if self.store.view.jobs.contains_key(&spec.id) {
            return self.enqueue_job_for_read(now, request, spec.id, JobContinuation::Poll);
        }
        self.admit(now, request, spec);
    }

    /// Queues a job that is not known yet to be created, or to be rejected.
    ///
    /// A rejection waits for a read: a job that another node has accepted meanwhile must not be
    /// rejected.
    fn admit(&mut self, now: f64, request: RequestId, spec: JobSpec) {
        // Such a write would be refused together with its whole batch.
        if self.exceeds_value_limit(&spec) {
            let message = "the description is too long".into();
            let next = JobContinuation::Reject { status: 400, message };
            return self.enqueue_job_for_read(now, request, spec.id, next);
        }
        let machine_types = self.store.view.machine_types.all();
        match check_admission(&self.deployment, machine_types, &spec) {
            Admission::Accepted => {
                let id = spec.id.clone();
                let change = UserChange::Create(Rc::new(spec));
                self.user_requests.push_write(UserWrite::new(now, request, id, change));
            }
            Admission::Rejected(message) => {
                let next = JobContinuation::Reject { status: 422, message };
                self.enqueue_job_for_read(now, request, spec.id, next);
            }
            Admission::Unknown => {
                self.reply_retry_later(now, request, "machine types are not known yet");
            }
        }
    }

    fn exceeds_value_limit(&self, spec: &JobSpec) -> bool {
        let value = serde_json::to_vec(spec).expect("wire types always serialise");
        let max_bytes = (self.deployment.store.value_kb * 1024.0) as usize;
        value.len() + STORED_JOB_OVERHEAD_BYTES > max_bytes
    }

    /// Handles the cancellation of a job.
    pub(super) fn on_cancel(&mut self, now: f64, request: RequestId, id: JobId) {
        if self.reply_if_final(now, request, &id) || self.rejects_for_overload(now, request) {
            return;
        }
        if self.store.view.jobs.contains_key(&id) {
            let write = UserWrite::new(now, request, id, UserChange::Cancel);
            self.user_requests.push_write(write);
        } else {
            let next = JobContinuation::Cancel { attempts: 0 };
            self.enqueue_job_for_read(now, request, id, next);
        }
    }

    /// Asks the users to come back whose requests have waited for too long.
    pub(super) fn expire_user_requests(&mut self, now: f64) {
        for request in self.user_requests.take_overdue(now - REQUEST_TIMEOUT_S) {
            self.reply_retry_later(now, request, "the state service is slow");
        }
    }
}

/// The state of a job that is over. It never changes, so no read is needed.
fn final_status(view: &StoreView, id: &JobId) -> Option<JobStatus> {
    let state = *view.final_states.get(id)?;
    Some(JobStatus { id: id.clone(), state, done: None, running: None })
}

/// The state of a job in the view; `None` if there is no such job.
fn job_status(view: &StoreView, id: &JobId) -> Option<JobStatus> {
    if let Some(status) = final_status(view, id) {
        return Some(status);
    }
    view.jobs.get(id)?;
    let JobProgress { done, running } = view.job_progress.get(id).copied().unwrap_or_default();
    let state = if running > 0 { JobState::Running } else { JobState::Queued };
    Some(JobStatus { id: id.clone(), state, done: Some(done), running: Some(running) })
}
