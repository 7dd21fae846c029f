//! What a leader counts, for metrics.

use super::autoscaling::cost::CostBreakdown;

/// Counters since this node began to lead; they go on over new tokens in a row.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct LeaderCounters {
    /// Tasks whose start was committed.
    pub starts: u64,
    /// Tasks that were restarted as stragglers.
    pub restarts: u64,
    /// Tasks that were preempted.
    pub preemptions: u64,
    /// Tasks that failed.
    pub failures: u64,
    /// Machines rented.
    pub rented: u64,
    /// Machines deleted.
    pub deleted: u64,
    /// Scheduling cycles that were due, those with nothing to bind included.
    pub scheduling_cycles: u64,
    /// Machines that scheduling cycles have examined, once for each time.
    pub machines_examined: u64,
    /// Attempts that were looked up, once for each time.
    pub attempt_lookups: u64,
    /// Transactions committed.
    pub commits: u64,
    /// Writes in committed transactions.
    pub writes: u64,
    /// Estimate of the money spent, by what machines were doing.
    pub cost: CostBreakdown,
}
