//! Limits on the size of transactions, and the time at which the next transaction may be sent.

use crate::assignment_log::segment_capacity;
use gladekeel_store::TokenBucket;
use gladekeel_wire::settings::Deployment;

/// Minimum time between two transactions, in seconds. Changes that accumulate during this time are
/// committed as a group.
const GROUP_COMMIT_INTERVAL_S: f64 = 0.15;
/// How much longer a transaction may wait for rate-limit tokens, in seconds, if the available
/// tokens do not cover the pending writes. The wait saves writes: one large transaction fills its
/// segments, while several small ones do not.
const MAX_TOKEN_WAIT_S: f64 = 0.3;
/// Delay before the writes of a failed transaction are retried, in seconds.
const RETRY_DELAY_S: f64 = 0.25;
/// Lower bound of the size limits of segments and values, in bytes, however low the store's limits
/// are. A segment of this size holds a few rows.
const MIN_VALUE_BYTES: usize = 256;

/// Limits of the store, taken from the settings and reduced when the store refuses a transaction.
#[derive(Debug, Default)]
pub(super) struct TransactionLimits {
    /// Maximum number of writes in a transaction.
    pub max_ops: usize,
    /// Maximum size of a segment before its text encoding, in bytes.
    pub segment_capacity: usize,
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
}

impl TransactionLimits {
    pub fn new(deployment: &Deployment) -> TransactionLimits {
        let value_bytes = (deployment.store.value_kb * 1024.0) as usize;
        TransactionLimits {
            max_ops: deployment.store.txn_ops,
            segment_capacity: segment_capacity(value_bytes),
            value_bytes,
        }
    }

    /// Halves the limits after the store has refused a transaction as too large. `writes` is the
    /// number of writes in that transaction.
    pub fn halve(&mut self, writes: usize) {
        self.max_ops = (writes / 2).max(1);
        self.segment_capacity = (self.segment_capacity / 2).max(MIN_VALUE_BYTES);
        self.value_bytes = (self.value_bytes / 2).max(MIN_VALUE_BYTES);
        tracing::warn!(
            max_ops = self.max_ops,
            segment_bytes = self.segment_capacity,
            reason = "transaction refused as too large",
            "transaction limits reduced below those of the settings"
        );
    }
}

/// Decides when the next transaction may be sent.
#[derive(Debug, Default)]
pub(super) struct GroupCommitTimer {
    /// The time before which no transaction may be sent, in seconds on the node's clock.
    not_before: f64,
}

impl GroupCommitTimer {
    /// Whether a transaction may be sent now.
    pub fn is_due(&self, now: f64) -> bool {
        now >= self.not_before
    }

    /// Returns how many writes the next transaction may contain: as many as the rate limit and the
    /// store's limits allow now. Returns `None` if the rate limit allows no write, or if it is
    /// better to wait until the rate limit allows more of the `wanted_ops`.
    pub fn allowed_ops(
        &self,
        now: f64,
        limits: &TransactionLimits,
        wanted_ops: usize,
        budget: &mut TokenBucket,
    ) -> Option<usize> {
        let available = budget.available(now);
        if available < 1.0 {
            return None;
        }
        let allowed = limits.max_ops.min(available as usize);
        let max_ops = limits.max_ops.min(budget.burst() as usize);
        let should_wait =
            allowed < wanted_ops.min(max_ops) && now < self.not_before + MAX_TOKEN_WAIT_S;
        (!should_wait).then_some(allowed)
    }

    /// Records that a transaction was sent.
    pub fn record_sent(&mut self, now: f64) {
        self.not_before = now + GROUP_COMMIT_INTERVAL_S;
    }

    /// Records that a transaction was not executed.
    pub fn record_failure(&mut self, now: f64) {
        self.not_before = now + RETRY_DELAY_S;
    }
}
