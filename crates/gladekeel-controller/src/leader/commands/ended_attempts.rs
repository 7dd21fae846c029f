//! The renewal of the fencing token when workers list too many ended attempts.
//!
//! An attempt that was started directly is not forgotten under the token of its start, unless its
//! task is complete. A machine that lists as many such attempts as it may gets its starts with the
//! responses to its heartbeats, which takes longer. A new token lets the worker forget them.

use crate::leader::{Leader, machine::Machine};

/// Minimum duration of a term before ended attempts alone are a reason for a new token, in seconds.
/// For a moment after each new token, nothing is scheduled.
const MIN_TERM_S: f64 = 120.0;

impl Machine {
    /// Whether the machine gets no direct starts because of the ended attempts that it lists.
    pub(super) fn withholds_direct_starts(&self) -> bool {
        self.commands.starts.are_mostly_ended(|id| self.attempts().contains(id))
    }
}

impl Leader {
    /// Whether the leader needs a new fencing token so that workers can forget ended attempts.
    /// While a stored value cannot be read, the leader keeps its token: it could not lead under a
    /// new one.
    pub(in crate::leader) fn ended_attempts_need_new_token(&self, now: f64) -> bool {
        self.commands.are_direct_starts_withheld()
            && !self.scheduling_suspended
            && now - self.term_started_at > MIN_TERM_S
    }
}
