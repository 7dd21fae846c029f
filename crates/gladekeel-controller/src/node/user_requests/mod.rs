//! Users' requests: submissions, polls and cancellations.
//!
//! A submission is processed as follows:
//!
//! 1. [`Node::on_submit`] parses it. If the view of the store has a final state of the job, the
//!    node replies immediately, since final states never change.
//! 2. If the view has the job, the node replies after a read. Any other job goes through admission
//!    control and, if accepted, is queued as a write.
//! 3. [`Node::send_user_writes`] puts queued writes into one transaction, which creates each job
//!    only if the job neither exists nor has a final state.
//! 4. [`Node::on_user_writes_outcome`] replies with 201. After a conflict, or if the
//!    outcome is in doubt, the request waits for a read, and [`Node::serve_pending_reads`]
//!    continues according to what the read returns.
//! 5. The leader reads the new job from the store and schedules it.
//!
//! The node replies with a job's state only after a read that was sent after the request was
//! received (the read barrier of `docs/safety.md`), or if the state is final.

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

/// How long a user's request may wait for the store; users' polls time out after 2 s.
const REQUEST_TIMEOUT_S: f64 = 1.5;
/// Allowance in bytes for the part of a job's stored value that is not the specification.
const STORED_JOB_OVERHEAD_BYTES: usize = 100;

impl Node {
    /// Replies with status 503: the client should retry after one second.
    pub(super) fn reply_retry_later(&mut self, now: f64, request: RequestId, reason: &str) {
        tracing::debug!(request, reason, "request rejected: client should retry");
        self.reply(now, request, Reply::retry_later(1, reason));
    }

    /// Rejects a request if the queues are full or the store is unavailable; the reply tells the
    /// client to retry later. Returns whether the request was rejected.
    pub(super) fn reject_if_overloaded(&mut self, now: f64, request: RequestId) -> bool {
        if self.user_requests.is_full() {
            let reason = "too many requests are waiting";
            tracing::debug!(request, reason, "request rejected: client should retry");
            self.reply(now, request, Reply::retry_later(2, reason));
            return true;
        }
        // During an outage of the store, an immediate reply is better than one after a timeout.
        if !self.store.is_available() {
            self.reply_retry_later(now, request, "the state service cannot be reached");
            return true;
        }
        false
    }

    /// Queues a request until a read that is sent now or later has completed.
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

    /// Replies with a job's state if the state is final. Returns whether a reply was sent.
    fn reply_if_final(&mut self, now: f64, request: RequestId, id: &JobId) -> bool {
        let Some(status) = final_status(&self.store.view, id) else { return false };
        self.reply(now, request, Reply::json(200, &status));
        true
    }

    /// Handles a poll of a job's state.
    pub(super) fn on_poll(&mut self, now: f64, request: RequestId, id: JobId) {
        if self.reply_if_final(now, request, &id) || self.reject_if_overloaded(now, request) {
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
        if self.reply_if_final(now, request, &spec.id) || self.reject_if_overloaded(now, request) {
            return;
        }
        if self.store.view.jobs.contains_key(&spec.id) {
            return self.enqueue_job_for_read(now, request, spec.id, JobContinuation::Poll);
        }
        self.admit(now, request, spec);
    }

    /// Queues the creation or the rejection of a job that is not in the view of the store.
    ///
    /// A rejection waits for a read: a job that another node has accepted in the meantime must not
    /// be rejected.
    fn admit(&mut self, now: f64, request: RequestId, spec: JobSpec) {
        // The store would refuse a value above its size limit, and with it the whole batch.
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
        if self.reply_if_final(now, request, &id) || self.reject_if_overloaded(now, request) {
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

    /// Rejects the requests that have timed out: the replies tell users to retry later.
    pub(super) fn expire_user_requests(&mut self, now: f64) {
        for request in self.user_requests.take_overdue(now - REQUEST_TIMEOUT_S) {
            self.reply_retry_later(now, request, "the state service is slow");
        }
    }
}

/// The status of a job whose state is final; `None` for any other job. A final state never
/// changes, so no read is needed.
fn final_status(view: &StoreView, id: &JobId) -> Option<JobStatus> {
    let state = *view.final_states.get(id)?;
    Some(JobStatus { id: id.clone(), state, done: None, running: None })
}

/// The status of a job according to the view; `None` if the view has no such job.
fn job_status(view: &StoreView, id: &JobId) -> Option<JobStatus> {
    if let Some(status) = final_status(view, id) {
        return Some(status);
    }
    view.jobs.get(id)?;
    let JobProgress { done, running } = view.job_progress.get(id).copied().unwrap_or_default();
    let state = if running > 0 { JobState::Running } else { JobState::Queued };
    Some(JobStatus { id: id.clone(), state, done: Some(done), running: Some(running) })
}
