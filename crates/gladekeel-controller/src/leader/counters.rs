//! The leader's counters, which are published as metrics.

use super::{autoscaling::cost::CostBreakdown, reconciliation::release::ReleaseProof};
use gladekeel_wire::worker::Command;

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
    /// Starts that were sent directly, without waiting for the worker's next heartbeat.
    pub direct_starts: u64,
    /// Starts that were sent with the response to a heartbeat.
    pub heartbeat_starts: u64,
    /// Forget commands that were sent.
    pub forgets: u64,
    /// Attempts that were released.
    pub releases: ReleaseCounters,
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

impl LeaderCounters {
    /// Counts the starts and forgets in the response to a heartbeat.
    pub(super) fn count_heartbeat_commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { .. } => self.heartbeat_starts += 1,
                Command::Forget { .. } => self.forgets += 1,
                Command::Stop { .. } => {}
            }
        }
    }
}

/// Released attempts, by what proved that they are off their machines.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ReleaseCounters {
    /// The worker reported the exit of the task.
    pub exited: u64,
    /// The task was absent from a heartbeat.
    pub absent: u64,
    /// The worker had begun a newer incarnation.
    pub new_incarnation: u64,
    /// The machine was deleted.
    pub machine_deleted: u64,
    /// The task was complete according to the store.
    pub stored_completion: u64,
}

impl ReleaseCounters {
    pub(super) fn count(&mut self, proof: ReleaseProof) {
        let counter = match proof {
            ReleaseProof::Exited => &mut self.exited,
            ReleaseProof::Absent => &mut self.absent,
            ReleaseProof::NewIncarnation => &mut self.new_incarnation,
            ReleaseProof::MachineDeleted => &mut self.machine_deleted,
            ReleaseProof::StoredCompletion => &mut self.stored_completion,
        };
        *counter += 1;
    }
}
