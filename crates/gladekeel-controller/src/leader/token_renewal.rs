//! Tracks whether the leader needs a new fencing token before it can continue.
//!
//! This module enforces "Who may decide" and "Direct commands" of `docs/safety.md`. A request whose
//! outcome is unknown may still be executed under the old token; once there is a new token, the
//! request can only fail. The node checks
//! [`Leader::needs_new_token`](super::Leader::needs_new_token) and, if it returns true, obtains a
//! new token by writing the leader key again.

use std::fmt;

/// Why a new fencing token is required.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TokenRenewalReason {
    /// A commit received no response and may be applied at any later time.
    UnansweredCommit,
    /// A commit failed because a key that only the leader writes had another version than
    /// expected, so the leader's view of the store is wrong.
    UnexpectedConflict,
    /// A direct start received no response and may be executed at any later time.
    UnansweredStart,
    /// A machine lists so many attempts that ended after a direct start that further starts must
    /// wait for its heartbeats. Under a new token the worker may forget them.
    TooManyEndedAttempts,
}

impl fmt::Display for TokenRenewalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TokenRenewalReason::UnansweredCommit => "unanswered commit",
            TokenRenewalReason::UnexpectedConflict => "unexpected conflict",
            TokenRenewalReason::UnansweredStart => "unanswered start",
            TokenRenewalReason::TooManyEndedAttempts => "too many ended attempts",
        })
    }
}

/// Whether a new fencing token is required, and the first reason that required it. Each term begins
/// without this requirement.
#[derive(Debug, Default)]
pub(super) struct TokenRenewal {
    reason: Option<TokenRenewalReason>,
}

impl TokenRenewal {
    /// Requires a new token. The leader commits, binds and starts nothing until it has the new
    /// token.
    pub fn require(&mut self, reason: TokenRenewalReason) {
        if self.reason.is_none() {
            tracing::warn!(%reason, "new fencing token required");
            self.reason = Some(reason);
        }
    }

    /// Whether a new token is required.
    pub fn is_required(&self) -> bool {
        self.reason.is_some()
    }
}
