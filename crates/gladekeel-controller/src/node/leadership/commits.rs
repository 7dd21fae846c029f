//! The leader's commits, and the handling of commits whose response is slow.
//!
//! A commit is in doubt while its outcome is unknown. It is then looked up in the store rather than
//! assumed to have failed (`docs/safety.md`, "Who may decide"). If a commit remains in doubt until
//! it times out, the leader requests a new token, under which the old commit can only fail.

use crate::node::{Node, outgoing_calls::StoreCallPurpose};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::store::KeyValue;

/// Time without a response after which a leader's commit is looked up in the store, and the
/// interval at which the lookup is repeated.
const CONFIRM_COMMIT_AFTER_S: f64 = 0.5;

impl Node {
    /// Sends the leader's next commit, if one is due.
    pub(in crate::node) fn send_leader_commit(&mut self, now: f64) {
        let Some(leader) = self.leadership.leader_mut() else { return };
        let token = leader.token;
        let bucket = self.rate_limits.leader_writes.bucket_at(now);
        if let Some(transaction) = leader.next_commit(now, bucket) {
            let purpose = StoreCallPurpose::LeaderCommit { token };
            self.call_store(now, purpose, StoreRequest::Commit(transaction));
        }
    }

    /// Applies the outcome of a leader's commit.
    pub(in crate::node) fn on_leader_commit_outcome(
        &mut self,
        now: f64,
        token: u64,
        outcome: &StoreOutcome,
    ) {
        let Some(leader) = self.leadership.leader_under_mut(token) else { return };
        if *outcome == StoreOutcome::RateLimited {
            self.rate_limits.leader_writes.on_rate_limited(now);
        }
        if leader.on_commit_outcome(now, outcome) {
            self.store.request_read();
        }
    }

    /// Looks up the leader's commit in the store if its response is slow.
    pub(in crate::node) fn send_commit_confirmation(&mut self, now: f64) {
        let Some(leader) = self.leadership.leader() else { return };
        let (token, marker) = (leader.token, leader.commit_marker());
        let is_slow = self
            .calls
            .leader_commit(token)
            .is_some_and(|(_, commit)| now - commit.sent_at >= CONFIRM_COMMIT_AFTER_S);
        if let Some(marker) = marker
            && is_slow
            && now - self.leadership.confirmation_sent_at >= CONFIRM_COMMIT_AFTER_S
        {
            let request = StoreRequest::List { prefix: marker.key.clone(), after: None };
            self.leadership.confirmation_sent_at = now;
            self.call_store(now, StoreCallPurpose::ConfirmCommit { token }, request);
        }
    }

    /// Resolves a commit in doubt as committed if the lookup shows that it was applied.
    ///
    /// The whole commit was applied if and only if its marker (the key and text of its first log
    /// segment) is in the store: nothing else writes to this key under the leader's token.
    pub(in crate::node) fn on_commit_confirmation(
        &mut self,
        now: f64,
        token: u64,
        outcome: StoreOutcome,
    ) {
        let StoreOutcome::Page(page) = outcome else { return };
        let Some((commit, _)) = self.calls.leader_commit(token) else { return };
        let Some(leader) = self.leadership.leader_under_mut(token) else { return };
        let Some(marker) = leader.commit_marker() else { return };
        let is_marker =
            |row: &&KeyValue| row.key == marker.key && row.value == marker.text.as_str();
        if let Some(version) = page.entries.iter().find(is_marker).map(|row| row.version) {
            self.calls.finish_store_call(commit);
            if leader.on_commit_outcome(now, &StoreOutcome::Committed(version)) {
                self.store.request_read();
            }
        }
    }
}
