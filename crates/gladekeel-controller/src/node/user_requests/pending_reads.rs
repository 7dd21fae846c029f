//! Processing of requests that waited for a read of the store, after the read has completed.

use super::{
    Continuation, JobContinuation, PendingRead, REQUEST_TIMEOUT_S, UserChange, UserWrite,
    job_status, writes::MAX_WRITE_ATTEMPTS,
};
use crate::{
    http_api::Reply,
    node::{Node, RequestId},
};
use gladekeel_wire::{JobId, job::JobStatus};

/// A request about a job that can continue, because the read for which it waited has completed.
struct ReadyRequest {
    request: RequestId,
    queued_at: f64,
    id: JobId,
}

impl ReadyRequest {
    /// Converts the request into a change for which `attempts` transactions have failed.
    fn into_write(self, change: UserChange, attempts: u32) -> UserWrite {
        let ReadyRequest { request, queued_at, id } = self;
        UserWrite { request, id, change, queued_at, attempts }
    }
}

impl Node {
    /// Serves the requests that waited for a read, after a read that was sent at `sent_at` has
    /// completed.
    pub(in crate::node) fn serve_pending_reads(&mut self, now: f64, sent_at: f64) {
        for pending in self.user_requests.take_ready(sent_at) {
            let PendingRead { request, queued_at, continuation, .. } = pending;
            match continuation {
                Continuation::ReplySettings => self.reply_settings(now, request),
                Continuation::Job { id, next } => {
                    self.continue_job_request(now, ReadyRequest { request, queued_at, id }, next);
                }
            }
        }
    }

    fn continue_job_request(&mut self, now: f64, ready: ReadyRequest, next: JobContinuation) {
        let view = &self.store.view;
        if view.is_unreadable(&ready.id) && !view.final_states.contains_key(&ready.id) {
            let reason = "what is stored of the job cannot be read";
            return self.reply_retry_later(now, ready.request, reason);
        }
        match (job_status(view, &ready.id), next) {
            (Some(status), JobContinuation::Cancel { attempts }) if !status.state.is_final() => {
                self.continue_cancellation(now, ready, attempts);
            }
            (Some(status), _) => self.reply_status(now, ready.request, &status),
            (None, JobContinuation::Create { spec, attempts }) => {
                let is_in_time = now - ready.queued_at < REQUEST_TIMEOUT_S;
                if attempts < MAX_WRITE_ATTEMPTS && is_in_time {
                    let write = ready.into_write(UserChange::Create(spec), attempts);
                    self.user_requests.push_write(write);
                } else {
                    self.reply_retry_later(now, ready.request, "not accepted yet");
                }
            }
            (None, JobContinuation::ConfirmCreation) => {
                self.reply_retry_later(now, ready.request, "not accepted yet");
            }
            (None, JobContinuation::Reject { status, message }) => {
                self.reply(now, ready.request, Reply::error(status, message));
            }
            (None, JobContinuation::Poll | JobContinuation::Cancel { .. }) => {
                self.reply(now, ready.request, Reply::error(404, "no such job"));
            }
        }
    }

    fn continue_cancellation(&mut self, now: f64, ready: ReadyRequest, attempts: u32) {
        if attempts < MAX_WRITE_ATTEMPTS {
            self.user_requests.push_write(ready.into_write(UserChange::Cancel, attempts));
        } else {
            self.reply_retry_later(now, ready.request, "not cancelled yet");
        }
    }

    fn reply_status(&mut self, now: f64, request: RequestId, status: &JobStatus) {
        self.reply(now, request, Reply::json(200, status));
    }
}
