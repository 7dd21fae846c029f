//! How large transactions may be, and when the next one may be sent.

use crate::assignment_log::segment_capacity;
use gladekeel_store::TokenBucket;
use gladekeel_wire::settings::Deployment;

/// Time between transactions: what is decided meanwhile is committed as a group.
const GROUP_COMMIT_INTERVAL_S: f64 = 0.15;
/// How much longer a transaction waits for rate-limit tokens if there is more to write than they
/// allow: one wide transaction fills its segments, several narrow ones do not.
const WIDEN_S: f64 = 0.3;
/// Time until a transaction that failed is tried again.
const RETRY_DELAY_S: f64 = 0.25;
/// Lower bound of segments and values in bytes, however little the store accepts: a few rows.
const MIN_VALUE_BYTES: usize = 256;

/// Limits of the store, as its settings say or as refusals have shown.
#[derive(Debug, Default)]
pub(super) struct TransactionLimits {
    /// Writes in a transaction.
    pub max_ops: usize,
    /// Bytes of a segment.
    pub segment_capacity: usize,
    /// Bytes of a value.
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

    /// Halves the limits after the store has refused a transaction of this many writes as too
    /// large.
    pub fn halve(&mut self, writes: usize) {
        self.max_ops = (writes / 2).max(1);
        self.segment_capacity = (self.segment_capacity / 2).max(MIN_VALUE_BYTES);
        self.value_bytes = (self.value_bytes / 2).max(MIN_VALUE_BYTES);
        tracing::warn!(
            max_ops = self.max_ops,
            segment_bytes = self.segment_capacity,
            reason = "transaction refused as too large",
            "store limits reduced"
        );
    }
}

/// When the next transaction may be sent.
#[derive(Debug, Default)]
pub(super) struct GroupCommitTimer {
    not_before: f64,
}

impl GroupCommitTimer {
    /// Whether a transaction may be sent.
    pub fn is_due(&self, now: f64) -> bool {
        now >= self.not_before
    }

    /// How many writes the next transaction may have: as many as the rate limit allows now. None
    /// if it is better to wait until it allows more of the `wanted_ops`.
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
        let waits_to_widen = allowed < wanted_ops.min(max_ops) && now < self.not_before + WIDEN_S;
        (!waits_to_widen).then_some(allowed)
    }

    /// A transaction was sent.
    pub fn sent(&mut self, now: f64) {
        self.not_before = now + GROUP_COMMIT_INTERVAL_S;
    }

    /// A transaction was not executed.
    pub fn failed(&mut self, now: f64) {
        self.not_before = now + RETRY_DELAY_S;
    }
}
