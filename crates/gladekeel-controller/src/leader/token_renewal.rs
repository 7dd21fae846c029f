//! Whether the leader needs a new fencing token before it goes on.
//!
//! Upholds "Who may decide" and "Direct commands" of `docs/safety.md`: what may still be executed
//! under the old token can only fail under a new one. The node asks
//! [`Leader::needs_new_token`](super::Leader::needs_new_token) and has the leader's key written
//! again.

use std::fmt;

/// What only a new fencing token settles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TokenRenewalReason {
    /// A commit had no response and may be applied at any later time.
    UnansweredCommit,
    /// A commit failed by the version of a key that only the leader writes: the leader's view of
    /// the store is wrong.
    UnexpectedConflict,
    /// A start had no response and may be executed at any later time.
    UnansweredStart,
}

impl fmt::Display for TokenRenewalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TokenRenewalReason::UnansweredCommit => "unanswered commit",
            TokenRenewalReason::UnexpectedConflict => "unexpected conflict",
            TokenRenewalReason::UnansweredStart => "unanswered start",
        })
    }
}

/// The first reason for a new token, once there is one. It goes with the leader: the one under the
/// new token begins without.
#[derive(Debug, Default)]
pub(super) struct TokenRenewal {
    reason: Option<TokenRenewalReason>,
}

impl TokenRenewal {
    /// Has the leader commit, bind and start nothing more until it has a new token.
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
