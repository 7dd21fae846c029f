//! The leader's counters, which are published as metrics.

use super::autoscaling::cost::CostBreakdown;

/// Counters since this node began to lead. They keep their values when the node renews its fencing
/// token.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct LeaderCounters {
    /// Task starts, each counted when the assignment of the task is committed.
    pub task_starts: u64,
    /// Tasks that were restarted as stragglers.
    pub straggler_restarts: u64,
    /// Tasks that were preempted.
    pub preemptions: u64,
    /// Tasks that failed.
    pub task_failures: u64,
    /// Machines that were rented.
    pub machines_rented: u64,
    /// Machines that were deleted.
    pub machines_deleted: u64,
    /// Scheduling cycles that were due, including cycles without pending tasks.
    pub scheduling_cycles: u64,
    /// Number of times that a scheduling cycle has examined a machine or a pool.
    pub machines_examined: u64,
    /// Number of times that an attempt was looked up.
    pub attempt_lookups: u64,
    /// Transactions committed to the store.
    pub commits: u64,
    /// Writes in committed transactions.
    pub writes: u64,
    /// Estimate of the money spent, broken down by how machines were used.
    pub cost: CostBreakdown,
}
