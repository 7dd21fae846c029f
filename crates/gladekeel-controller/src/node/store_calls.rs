//! Readings of the state service, and who leads by them.

use super::leadership::election::ObservedLeader;
use super::{
    Action, CHANGE_S, CONFIRM_S, CallId, Node, OVERTAKE_S, PendingRequest, STATE_S,
    StoreCallPurpose, Takeover,
};
use crate::{
    keys,
    leader::{Leader, LeaderTerm, LogRow},
    runtime_settings::RuntimeSettings,
    store_view::ChangeKind,
};
use gladekeel_store::{Change, StoreOutcome, StoreRequest};
use gladekeel_wire::store::KeyValue;
use rand::Rng;

impl Node {
    pub(super) fn call_state(
        &mut self,
        now: f64,
        purpose: StoreCallPurpose,
        request: StoreRequest,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.store_requests += 1;
        self.store_writes += request.write_count() as u64;
        let changes = matches!(
            purpose,
            StoreCallPurpose::Users(_) | StoreCallPurpose::Lead(_) | StoreCallPurpose::Log(_)
        );
        let limit_s = if changes { CHANGE_S } else { STATE_S };
        self.store_calls.insert(call, (purpose, request.clone(), now));
        self.actions.push(Action::CallStore { call, request, timeout_s: limit_s });
    }

    pub(super) fn on_state(&mut self, now: f64, call: CallId, outcome: StoreOutcome) {
        let Some((purpose, request, sent_at)) = self.store_calls.remove(&call) else { return };
        match purpose {
            StoreCallPurpose::Sync | StoreCallPurpose::Load => self.on_read(now, sent_at, outcome),
            StoreCallPurpose::Admin(id, change) => self.admin_written(now, id, change, &outcome),
            StoreCallPurpose::Users(writes) => self.users_written(now, writes, outcome),
            StoreCallPurpose::Lead(token) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) {
                    if outcome == StoreOutcome::RateLimited {
                        self.rate_limits.leader_writes.refused(now);
                    }
                    self.store_reads.wanted |= leader.commit_answered(now, &outcome);
                }
            }
            StoreCallPurpose::Log(token) => self.on_log(now, token, outcome),
            StoreCallPurpose::Confirm(token) => self.on_confirm(now, token, outcome),
            StoreCallPurpose::Election => {
                self.store_reads.wanted |= self.election.answered(now, sent_at, &request, &outcome);
            }
        }
    }

    pub(super) fn on_read(&mut self, now: f64, sent_at: f64, outcome: StoreOutcome) {
        self.store_reads.in_flight -= 1;
        match outcome {
            StoreOutcome::Page(rows) => {
                let changes = self.replica.apply_page(rows);
                self.apply(now, &changes);
                self.store_reads.wanted = true;
            }
            StoreOutcome::Watched(events) => {
                let changes = self.replica.apply_watch(events);
                self.apply(now, &changes);
                if let Some(leader) = &mut self.leader {
                    leader.suspend_scheduling(!self.store.unreadable.is_empty());
                }
                self.last_store_contact =
                    Some(self.last_store_contact.map_or(sent_at, |at| at.max(sent_at)));
                self.store_unreachable = false;
                self.store_reads.answered();
                self.lead_or_follow(now);
                // Everyone who came before this reading was sent is served by it.
                let (served, waiting) = std::mem::take(&mut self.user_queue.waiting)
                    .into_iter()
                    .partition(|waiter: &PendingRequest| waiter.from <= sent_at);
                self.user_queue.waiting = waiting;
                self.serve(now, served);
                self.answer_written(now);
            }
            StoreOutcome::Compacted => {
                // Once: the reading anew may be under way already.
                if self.replica.revision().is_some() {
                    self.replica.invalidate();
                }
                self.store_reads.wanted = true;
            }
            StoreOutcome::RateLimited => {
                self.store_reads.not_before = now + 0.1 + self.rng.random::<f64>() * 0.1;
                self.store_reads.wanted = true;
            }
            outcome => {
                // A slow answer is not an outage; a refusal, or several in a row, is.
                let several = self.store_reads.lost();
                if outcome == StoreOutcome::Unknown && !several {
                    return;
                }
                self.store_unreachable = true;
                self.store_reads.not_before = now + 0.25;
                for request in self.user_queue.take_all() {
                    self.later(now, request, "the state service cannot be reached");
                }
            }
        }
    }

    pub(super) fn apply(&mut self, now: f64, changes: &[Change]) {
        // What is new here was not so yet when the last reading before was sent.
        let after = self.last_store_contact.unwrap_or(f64::NEG_INFINITY);
        for change in changes {
            match self.store.apply(change, after) {
                ChangeKind::Job(id) => {
                    if let Some(leader) = &mut self.leader {
                        if change.current.is_some() {
                            leader.add_job(&self.store, &id, now);
                        } else {
                            leader.forget_job(&id);
                        }
                    }
                }
                ChangeKind::FinalState(id) => {
                    if let Some(leader) = &mut self.leader {
                        leader.apply_final_state(&self.store, &id);
                    }
                }
                ChangeKind::Options => {
                    // What a later version stored and this one does not know is left out.
                    let usual = RuntimeSettings::new(&self.deployment.workers);
                    let known = usual.values();
                    let stored = self.store.options.iter();
                    let stored = stored
                        .filter(|(name, _)| known.contains_key(*name))
                        .map(|(name, value)| (name.clone(), *value))
                        .collect();
                    self.runtime_settings = usual.with(&stored).unwrap_or(usual);
                }
                ChangeKind::Drain(machine) => {
                    if let Some(leader) = &mut self.leader {
                        leader.apply_drain(&self.store, &machine);
                    }
                }
                ChangeKind::Other => {}
            }
        }
    }

    pub(super) fn seen(&self) -> ObservedLeader {
        match &self.store.leader {
            None => ObservedLeader::Vacant,
            Some((record, _)) if *record == self.record => ObservedLeader::ThisIncarnation,
            Some((record, version)) if record.node == self.record.node => {
                ObservedLeader::StaleIncarnation(*version)
            }
            Some(_) => ObservedLeader::OtherNode,
        }
    }

    /// The store was read: begin to lead, go on under a new token, or stop.
    pub(super) fn lead_or_follow(&mut self, now: f64) {
        let token = match &self.store.leader {
            Some((record, token)) if *record == self.record => *token,
            _ => {
                self.takeover = None;
                self.held_answers.clear();
                if let Some(leader) = self.leader.take() {
                    tracing::warn!(token = leader.token, "no longer leading");
                }
                return;
            }
        };
        if self.leader.as_ref().is_some_and(|leader| leader.token == token)
            || self.takeover.as_ref().is_some_and(|takeover| takeover.token == token)
            || token <= self.last_used_token
        {
            return;
        }
        // The same incarnation under a higher token: what it knows of machines holds.
        let cluster = match (self.leader.take(), self.takeover.take()) {
            (Some(leader), _) => Some(leader.into_cluster_state()),
            (None, takeover) => takeover.and_then(|takeover| takeover.cluster),
        };
        // Answers of the cloud are of use to the same knowledge that asked.
        self.leadership += u64::from(cluster.is_none());
        let rows = Vec::new();
        self.takeover = Some(Takeover { token, rows, in_flight: false, not_before: now, cluster });
    }

    /// The leader's call that changes the store, if one is under way: when it was sent.
    pub(super) fn lead_call(&self, token: u64) -> Option<(CallId, f64)> {
        let mut calls = self.store_calls.iter();
        let found =
            calls.find(|(_, (p, ..))| matches!(p, StoreCallPurpose::Lead(of) if *of == token));
        found.map(|(call, (.., sent_at))| (*call, *sent_at))
    }

    /// Looks in the store for a transaction whose answer is slow to come.
    pub(super) fn send_confirmation(&mut self, now: f64) {
        let Some(leader) = &self.leader else { return };
        let (token, mark) = (leader.token, leader.commit_marker());
        let slow = self.lead_call(token).is_some_and(|(_, at)| now - at >= CONFIRM_S);
        if let Some((key, _)) = mark
            && slow
            && now - self.confirm_at >= CONFIRM_S
        {
            self.confirm_at = now;
            let call = StoreRequest::List { prefix: key.clone(), after: None };
            self.call_state(now, StoreCallPurpose::Confirm(token), call);
        }
    }

    pub(super) fn on_confirm(&mut self, now: f64, token: u64, outcome: StoreOutcome) {
        let (StoreOutcome::Page(rows), Some((call, _))) = (outcome, self.lead_call(token)) else {
            return;
        };
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.token == token) else {
            return;
        };
        let Some((key, text)) = leader.commit_marker() else { return };
        // Nobody else writes there under this token, and all of it was made at once.
        let made = rows.entries.iter().find(|row| row.key == *key && row.value == text.as_str());
        if let Some(version) = made.map(|row| row.version) {
            self.store_calls.remove(&call);
            self.store_reads.wanted |=
                leader.commit_answered(now, &StoreOutcome::Committed(version));
        }
    }

    pub(super) fn on_log(&mut self, now: f64, token: u64, outcome: StoreOutcome) {
        let Some(takeover) = self.takeover.as_mut().filter(|t| t.token == token) else { return };
        takeover.in_flight = false;
        let StoreOutcome::Page(rows) = outcome else {
            takeover.not_before = now + 0.2;
            return;
        };
        takeover.rows.extend(rows.entries);
        if rows.truncated {
            return;
        }
        let read = |row: KeyValue| {
            let slot = row.key.strip_prefix(keys::ASSIGNMENT_LOG_PREFIX)?.parse().ok()?;
            Some(LogRow { slot, version: row.version, text: row.value.as_str()?.to_owned() })
        };
        let rows: Option<Vec<LogRow>> =
            std::mem::take(&mut takeover.rows).into_iter().map(read).collect();
        let (cluster, salt) = (takeover.cluster.take(), self.rng.random());
        let leader = match rows {
            // Attempts of a job that cannot be read would count as attempts of none.
            Some(rows)
                if !self.store.has_legacy_assignments && self.store.unreadable.is_empty() =>
            {
                let (epoch, deployment) = (self.epoch, self.deployment.clone());
                Leader::new(
                    &self.store,
                    rows,
                    LeaderTerm { token, now, epoch, deployment, salt },
                    cluster,
                )
                .ok()
            }
            _ => None,
        };
        let answers = std::mem::take(&mut self.held_answers);
        if let Some(mut leader) = leader {
            self.last_used_token = token;
            self.takeover = None;
            for (request, outcome) in answers {
                leader.cloud_answered(now, &request, outcome);
            }
            self.leader = Some(leader);
        } else if let Some(takeover) = &mut self.takeover {
            // Placing without it would start tasks twice. Operators must look.
            let keys = &self.store.unreadable;
            tracing::error!(?keys, "the log in the state service cannot be read: placing nothing");
            takeover.not_before = now + 5.0;
        }
    }

    pub(super) fn send_reading(&mut self, now: f64) {
        if now < self.store_reads.not_before {
            return;
        }
        let since = now - self.store_reads.sent_at;
        let due = match self.store_reads.in_flight {
            0 => {
                let idle_s = if self.leader.is_some() { 0.25 } else { 0.4 };
                self.store_reads.wanted || !self.user_queue.waiting.is_empty() || since >= idle_s
            }
            // Pages of a whole reading come one after the other.
            1 => self.replica.revision().is_some() && since >= OVERTAKE_S,
            _ => false,
        };
        if !due || !self.rate_limits.requests.try_take(now, 1.0) {
            return;
        }
        self.store_reads.begin(now);
        let prefix = keys::REPLICATED_PREFIX.to_owned();
        match self.replica.revision() {
            Some(since) => {
                self.call_state(now, StoreCallPurpose::Sync, StoreRequest::Watch { prefix, since });
            }
            None => {
                let after = self.replica.next_page_after();
                self.call_state(now, StoreCallPurpose::Load, StoreRequest::List { prefix, after });
            }
        }
    }
}
