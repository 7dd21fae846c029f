//! No two leaderships have the same fencing token.
//!
//! Attempts are numbered by fencing token, and workers recognize the commands of an old leader
//! by its token.

use super::{Invariant, InvariantChecker};

impl InvariantChecker {
    /// Records that a node leads under a token; `since` is when its leadership began, by the
    /// node's own clock.
    pub fn on_leadership(&mut self, now: f64, token: u64, since: f64) {
        if *self.leadership_started_at.entry(token).or_insert(since) != since {
            let details = format!("{now:.2}: two leaderships have the token {token}");
            self.report(Invariant::UniqueToken, details);
        }
    }
}
