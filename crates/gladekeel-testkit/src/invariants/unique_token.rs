//! No two leaderships have the same fencing token.
//!
//! Attempts are numbered by token, and workers tell an old leader's commands by it.

use super::{Invariant, InvariantChecker};

impl InvariantChecker {
    /// A node leads under a token since a time of its own clock.
    pub fn on_leadership(&mut self, now: f64, token: u64, since: f64) {
        if *self.leadership_terms.entry(token).or_insert(since) != since {
            self.report(Invariant::UniqueToken, format!("{now:.2}: {token}"));
        }
    }
}
