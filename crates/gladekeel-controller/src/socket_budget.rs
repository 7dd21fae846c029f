//! How a process divides the sockets that it may hold.

use gladekeel_wire::settings::ProcessLimits;

/// Frames that may wait for another controller at the least.
const LEAST_MESH_QUEUE: usize = 1024;

/// Connections by what they are for. What is left over is for the listeners, the state
/// service, the cloud, other controllers, and newcomers until they are let in or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBudget {
    /// From users and workers.
    pub served: usize,
    /// Of these, kept for users, operators and health checks.
    pub reserved_for_users: usize,
    /// Of these, kept for workers.
    pub reserved_for_workers: usize,
    /// To workers: commands and questions under way, and connections kept for more.
    pub worker_calls: usize,
    /// Kept back beside what is served.
    rest: usize,
}

impl SocketBudget {
    /// The division under these limits. Most go to workers: each of them holds a
    /// connection to the leader, and one that finds no place reports through another
    /// node. Calls to workers are short.
    pub fn new(limits: &ProcessLimits) -> SocketBudget {
        let all = limits.max_connections;
        let calls = (all / 8).max(2);
        // Newcomers that are being refused, and the process's own connections.
        let rest = all / 32 + 4 + all / 40 + 8;
        let served = (all * 4 / 5).min(all - calls - rest);
        SocketBudget {
            served,
            reserved_for_users: (all / 20).max(2),
            reserved_for_workers: served / 2,
            worker_calls: calls,
            rest,
        }
    }

    /// Frames that may wait for another controller; newer ones are dropped. All workers that
    /// are served may report within a moment, after a takeover, and each report is a frame.
    pub fn mesh_queue(&self) -> usize {
        LEAST_MESH_QUEUE.max(self.served)
    }

    /// Connections to workers while so many are served: those that nobody uses. A kept
    /// connection spares a new one for the next command.
    pub fn calls_beside(&self, served: usize) -> usize {
        // Some stay free for those who come until this is asked again.
        let free = (self.served + self.worker_calls).saturating_sub(served + self.rest);
        free.max(self.worker_calls)
    }
}

/// Connections that a process holds, by what they are for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SocketUse {
    /// From users, operators and health checks.
    pub users: usize,
    /// From workers.
    pub workers: usize,
    /// From clients that have not sent a request yet.
    pub unknown: usize,
    /// To workers, for direct commands.
    pub calls: usize,
    /// To and from other controllers.
    pub mesh: usize,
}
