//! What users ask for: accepted, cancelled, told.

pub(super) mod queue;

use super::admin_requests::AdminChange;
use super::{
    Continuation, MAX_USER_COMMITS, Node, OVERTAKE_S, PendingRequest, RequestId, StoreCallPurpose,
    UserWrite, WAIT_S,
};
use crate::{
    http_api::{Admission, Reply, check_admission},
    keys,
    store_view::{JobProgress, StoreView},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState, JobStatus},
    store::{Precondition, Transaction, Write},
};
use rand::Rng;
use std::{collections::VecDeque, rc::Rc};

/// How often a change is written before its user is told to come back.
const MAX_TRIES: u32 = 3;
/// Most bytes of users' changes in one transaction.
const MAX_BATCH_BYTES: usize = 48 * 1024;
/// What a change takes beside a job's description: keys, guards and punctuation.
const CHANGE_BYTES: usize = 400;

impl Node {
    /// Whether users should be sent here. Without contact to the state service this
    /// node is of use only if the others are known to be no better off; one that hears
    /// none of them cannot know.
    pub(super) fn ready(&self, now: f64) -> bool {
        if self.replica.revision().is_none() {
            return false;
        }
        if self.last_store_contact.is_some_and(|at| now - at < 3.0) || self.peers.is_empty() {
            return true;
        }
        let mut heard =
            self.peers.iter().filter(|p| p.last_seen.is_some_and(|at| now - at < 2.5)).peekable();
        heard.peek().is_some() && heard.all(|peer| peer.store_contact_age_ms >= 2500)
    }

    /// Makes a change for an operator, who is answered once it is made or not.
    pub(crate) fn admin_write(
        &mut self,
        now: f64,
        id: RequestId,
        txn: Transaction,
        change: AdminChange,
    ) {
        if self.overloaded(now, id) {
            return;
        }
        self.rate_limits.user_writes.try_take(now, 1.0);
        self.call_state(now, StoreCallPurpose::Admin(id, change), StoreRequest::Commit(txn));
    }

    pub(super) fn later(&mut self, now: f64, id: RequestId, what: &str) {
        tracing::debug!(id, what, "told to come back");
        self.reply(now, id, Reply::retry_later(1, what));
    }

    pub(crate) fn overloaded(&mut self, now: f64, id: RequestId) -> bool {
        let over = self.user_queue.is_full();
        if over {
            tracing::debug!(id, "told to come back: too many requests are waiting");
            self.reply(now, id, Reply::retry_later(2, "too many requests are waiting"));
        } else if self.store_unreachable || self.replica.revision().is_none() {
            // Known to be out of reach: said at once, rather than after a wait.
            self.later(now, id, "the state service cannot be reached");
            return true;
        }
        over
    }

    pub(crate) fn wait(
        &mut self,
        now: f64,
        request: RequestId,
        id: Option<JobId>,
        then: Continuation,
    ) {
        self.user_queue.waiting.push(PendingRequest { request, id, since: now, from: now, then });
        self.store_reads.wanted = true;
    }

    pub(super) fn on_poll(&mut self, now: f64, request: RequestId, id: JobId) {
        if let Some(status) = self.final_status(&id) {
            self.reply(now, request, Reply::json(200, &status));
        } else if !self.overloaded(now, request) {
            self.wait(now, request, Some(id), Continuation::Poll);
        }
    }

    /// A final state never changes, so it can be told without asking the store.
    pub(super) fn final_status(&self, id: &JobId) -> Option<JobStatus> {
        self.store.final_states.get(id)?;
        job_status(&self.store, id)
    }

    pub(super) fn on_submit(&mut self, now: f64, request: RequestId, body: &[u8]) {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => return self.reply(now, request, Reply::error(400, error.to_string())),
        };
        let value = serde_json::to_vec(&spec).expect("wire types always serialise");
        // Such a write would be refused together with everything in its batch.
        let too_long = value.len() + 100 > (self.deployment.store.value_kb * 1024.0) as usize;
        let id = spec.id.clone();
        if let Some(status) = self.final_status(&id) {
            return self.reply(now, request, Reply::json(200, &status));
        }
        if self.overloaded(now, request) {
            return;
        }
        if self.store.jobs.contains_key(&id) {
            return self.wait(now, request, Some(id), Continuation::Poll);
        }
        // A job that was accepted once is never refused later, so look first.
        if too_long {
            let then = Continuation::Refuse(400, "the description is too long".into());
            return self.wait(now, request, Some(id), then);
        }
        match check_admission(&self.deployment, self.store.machine_types.all(), &spec) {
            Admission::Rejected(why) => {
                self.wait(now, request, Some(id), Continuation::Refuse(422, why));
            }
            Admission::Unknown => self.later(now, request, "machine types are not known yet"),
            Admission::Accepted => {
                let spec = Some(Rc::new(spec));
                self.user_queue.writes.push_back(UserWrite {
                    request,
                    id,
                    spec,
                    since: now,
                    tries: 0,
                });
            }
        }
    }

    pub(super) fn on_cancel(&mut self, now: f64, request: RequestId, id: JobId) {
        if let Some(status) = self.final_status(&id) {
            return self.reply(now, request, Reply::json(200, &status));
        }
        if self.overloaded(now, request) {
            return;
        }
        if self.store.jobs.contains_key(&id) {
            self.user_queue.writes.push_back(UserWrite {
                request,
                id,
                spec: None,
                since: now,
                tries: 0,
            });
        } else {
            self.wait(now, request, Some(id), Continuation::Cancel { tries: 0 });
        }
    }

    /// The store was read after these requests came in.
    pub(super) fn serve(&mut self, now: f64, waiters: Vec<PendingRequest>) {
        for PendingRequest { request, id, since, then, .. } in waiters {
            let Some(id) = id else {
                self.answer_settings(now, request);
                continue;
            };
            if self.store.is_unreadable(&id) && !self.store.final_states.contains_key(&id) {
                self.later(now, request, "what is stored of the job cannot be read");
                continue;
            }
            let status = job_status(&self.store, &id);
            let open = status.as_ref().is_some_and(|status| !status.state.is_final());
            match (then, status) {
                (Continuation::Cancel { tries }, _) if open && tries < MAX_TRIES => {
                    self.user_queue.writes.push_back(UserWrite {
                        request,
                        id,
                        spec: None,
                        since,
                        tries,
                    });
                }
                (Continuation::Cancel { .. }, Some(_)) if open => {
                    self.later(now, request, "not cancelled yet");
                }
                (_, Some(status)) => self.reply(now, request, Reply::json(200, &status)),
                (Continuation::Create { spec, tries }, None)
                    if tries < MAX_TRIES && now - since < WAIT_S =>
                {
                    let spec = Some(spec);
                    self.user_queue.writes.push_back(UserWrite { request, id, spec, since, tries });
                }
                (Continuation::Create { .. } | Continuation::Unknown, None) => {
                    self.later(now, request, "not accepted yet");
                }
                (Continuation::Refuse(code, why), None) => {
                    self.reply(now, request, Reply::error(code, why));
                }
                (
                    Continuation::Poll | Continuation::Cancel { .. } | Continuation::Settings,
                    None,
                ) => {
                    self.reply(now, request, Reply::error(404, "no such job"));
                }
            }
        }
    }

    /// Applies the outcome of a transaction with users' changes.
    pub(super) fn users_written(
        &mut self,
        now: f64,
        writes: Vec<UserWrite>,
        outcome: StoreOutcome,
    ) {
        self.user_queue.in_flight -= 1;
        match outcome {
            StoreOutcome::Committed(_) => self.user_writes_committed(now, writes),
            StoreOutcome::Conflict(failed) => self.user_writes_conflicted(now, writes, &failed),
            StoreOutcome::RateLimited => {
                self.rate_limits.user_writes.drain(now);
                self.user_queue.not_before = now + 0.1 + self.rng.random::<f64>() * 0.1;
                self.queue_again(writes);
            }
            // Too large: the limits are lower than the settings say. Nothing was done, and
            // what goes in halves may be taken.
            StoreOutcome::LeaseNotFound if writes.len() > 1 => {
                self.user_queue.most_at_once = writes.len() / 2;
                tracing::warn!(
                    at_once = self.user_queue.most_at_once,
                    "the state service takes less than its settings say: writing less at once"
                );
                self.queue_again(writes);
            }
            StoreOutcome::Unavailable | StoreOutcome::LeaseNotFound => {
                for write in writes {
                    self.later(now, write.request, "the state service refuses");
                }
            }
            _ => self.user_writes_unanswered(now, writes),
        }
    }

    fn user_writes_committed(&mut self, now: f64, writes: Vec<UserWrite>) {
        let cancelled = writes.iter().filter(|write| write.spec.is_none());
        let cancelled: Vec<JobId> = cancelled.map(|write| write.id.clone()).collect();
        self.publish_cancellations(now, &cancelled);
        for id in cancelled {
            // A leader's own reading may not come for long either.
            self.call_off(&id, now);
        }
        for write in writes {
            let (status, state) = match write.spec {
                Some(_) => (201, JobState::Queued),
                None => (200, JobState::Cancelled),
            };
            let answer = JobStatus { id: write.id, state, done: None, running: None };
            self.reply(now, write.request, Reply::json(status, &answer));
        }
        self.store_reads.wanted |= self.leader.is_some();
        self.nudge();
    }

    /// Nothing was done. Changes whose own keys are as expected go again; the others are
    /// decided anew after a reading.
    fn user_writes_conflicted(&mut self, now: f64, writes: Vec<UserWrite>, failed: &[String]) {
        for mut write in writes {
            write.tries += 1;
            let own = [keys::job(&write.id), keys::final_state(&write.id)];
            if !failed.is_empty() && !own.iter().any(|key| failed.contains(key)) {
                self.user_queue.writes.push_front(write);
                continue;
            }
            let then = match write.spec {
                Some(spec) => Continuation::Create { spec, tries: write.tries },
                None => Continuation::Cancel { tries: write.tries },
            };
            self.user_queue.waiting.push(PendingRequest {
                request: write.request,
                id: Some(write.id),
                since: write.since,
                from: now,
                then,
            });
        }
        self.store_reads.wanted = true;
    }

    /// The changes may have been made, or may be later: a reading tells whether they show.
    fn user_writes_unanswered(&mut self, now: f64, writes: Vec<UserWrite>) {
        for write in writes {
            let then = match write.spec {
                // If it shows, it is accepted.
                Some(_) => Continuation::Unknown,
                None => Continuation::Cancel { tries: MAX_TRIES },
            };
            self.user_queue.waiting.push(PendingRequest {
                request: write.request,
                id: Some(write.id),
                since: now,
                from: now,
                then,
            });
        }
        self.store_reads.wanted = true;
    }

    /// Puts changes back in front of the queue, in their order.
    fn queue_again(&mut self, writes: Vec<UserWrite>) {
        for write in writes.into_iter().rev() {
            self.user_queue.writes.push_front(write);
        }
    }

    /// Answers users whose change shows in the store although its own answer is slow. A job
    /// that shows may have been put there through another node, so it is told as known.
    pub(super) fn answer_written(&mut self, now: f64) {
        let mut shown = Vec::new();
        for (call, (purpose, _, sent_at)) in &mut self.store_calls {
            let StoreCallPurpose::Users(writes) = purpose else { continue };
            if now - *sent_at < OVERTAKE_S {
                continue;
            }
            let store = &self.store;
            shown.extend(
                writes
                    .extract_if(.., |write| match write.spec {
                        Some(_) => store.jobs.contains_key(&write.id),
                        None => store.final_states.contains_key(&write.id),
                    })
                    .map(|write| (*call, write)),
            );
        }
        for (call, write) in shown {
            if let Some(status) = job_status(&self.store, &write.id) {
                self.reply(now, write.request, Reply::json(200, &status));
            }
            if self
                .store_calls
                .get(&call)
                .is_some_and(|(p, ..)| matches!(p, StoreCallPurpose::Users(w) if w.is_empty()))
            {
                self.store_calls.remove(&call);
                self.user_queue.in_flight -= 1;
            }
        }
    }

    pub(super) fn send_user_writes(&mut self, now: f64) {
        if self.user_queue.in_flight >= MAX_USER_COMMITS
            || self.user_queue.writes.is_empty()
            || now < self.user_queue.not_before
        {
            return;
        }
        if !self.rate_limits.user_writes.can_take(now, 1.0) {
            return;
        }
        let most = self
            .user_queue
            .most_at_once
            .min(self.rate_limits.user_writes.available(now).max(1.0) as usize);
        let mut batch = Batch::default();
        let mut kept = VecDeque::new();
        while let Some(write) = self.user_queue.writes.pop_front() {
            if batch.has(&write.id) || batch.writes.len() >= most || batch.bytes > MAX_BATCH_BYTES {
                kept.push_back(write);
                continue;
            }
            match &write.spec {
                Some(spec) => batch.create(spec, self.epoch + write.since),
                None => {
                    let version = self.store.jobs.get(&write.id).map_or(0, |job| job.version);
                    batch.cancel(&write.id, version);
                }
            }
            batch.writes.push(write);
        }
        self.user_queue.writes = kept;
        if batch.writes.is_empty() {
            return;
        }
        self.rate_limits.user_writes.try_take(now, batch.writes.len() as f64);
        self.user_queue.in_flight += 1;
        self.call_state(
            now,
            StoreCallPurpose::Users(batch.writes),
            StoreRequest::Commit(batch.txn),
        );
    }
}

/// Users' changes that go into one transaction.
#[derive(Default)]
struct Batch {
    writes: Vec<UserWrite>,
    txn: Transaction,
    /// About how large the transaction is.
    bytes: usize,
}

impl Batch {
    /// Whether it changes a job already: two changes of one in a transaction would clash.
    fn has(&self, id: &JobId) -> bool {
        self.writes.iter().any(|write| write.id == *id)
    }

    /// Adds a new job, accepted at a time of day: a later leader must know how old the job
    /// is, not since when it has known the job.
    fn create(&mut self, spec: &JobSpec, accepted_at: f64) {
        let mut value = serde_json::to_value(spec).expect("wire types always serialise");
        value[keys::ACCEPTED_AT] = accepted_at.into();
        self.bytes += value.to_string().len() + CHANGE_BYTES;
        let key = keys::job(&spec.id);
        self.txn.preconditions.push(Precondition { key: keys::final_state(&spec.id), version: 0 });
        self.txn.preconditions.push(Precondition { key: key.clone(), version: 0 });
        self.txn.writes.push(Write::Put { key, value, lease: None });
    }

    /// Adds a cancellation of a job whose key has a version.
    fn cancel(&mut self, id: &JobId, version: u64) {
        let value = serde_json::to_value(JobState::Cancelled).expect("wire types always serialise");
        self.bytes += CHANGE_BYTES;
        let key = keys::final_state(id);
        self.txn.preconditions.push(Precondition { key: key.clone(), version: 0 });
        self.txn.preconditions.push(Precondition { key: keys::job(id), version });
        self.txn.writes.push(Write::Put { key, value, lease: None });
    }
}

/// The state of a job as the store has it; none if there is no such job.
fn job_status(store: &StoreView, id: &JobId) -> Option<JobStatus> {
    if let Some(state) = store.final_states.get(id) {
        return Some(JobStatus { id: id.clone(), state: *state, done: None, running: None });
    }
    store.jobs.get(id)?;
    let JobProgress { done, running } = store.job_progress.get(id).copied().unwrap_or_default();
    let state = if running > 0 { JobState::Running } else { JobState::Queued };
    Some(JobStatus { id: id.clone(), state, done: Some(done), running: Some(running) })
}
