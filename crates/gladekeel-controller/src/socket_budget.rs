//! How a process divides the sockets that it may hold.
//!
//! One budget, made from `max_connections`, so that no use of sockets can starve another:
//! users' requests, workers' heartbeats and the leader's calls each have their own part.

use gladekeel_wire::settings::ProcessLimits;

/// Minimum length of the queue of frames to a peer.
const MIN_PEER_QUEUE: usize = 1024;

/// The division of a process's sockets by use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBudget {
    /// Maximum of inbound connections, from users and workers.
    pub inbound: usize,
    /// Of the inbound connections, those reserved for users, operators and health checks.
    pub reserved_for_users: usize,
    /// Of the inbound connections, those reserved for workers.
    pub reserved_for_workers: usize,
    /// Maximum of connections to workers while all inbound connections are open: calls in
    /// progress, and idle connections kept for more.
    pub worker_calls: usize,
    /// Sockets for the listeners, the store, the cloud, peers, and for connections that are
    /// being refused.
    overhead: usize,
}

impl SocketBudget {
    /// Divides the sockets that a process may hold. Most go to workers: each of them holds a
    /// connection, and one that is refused sends its heartbeats to another controller.
    /// Calls to workers are short.
    pub fn new(limits: &ProcessLimits) -> SocketBudget {
        let all = limits.max_connections;
        let worker_calls = (all / 8).max(2);
        let refusals = all / 32 + 4;
        let own_connections = all / 40 + 8;
        let overhead = refusals + own_connections;
        let inbound = (all * 4 / 5).min(all - worker_calls - overhead);
        SocketBudget {
            inbound,
            reserved_for_users: (all / 20).max(2),
            reserved_for_workers: inbound / 2,
            worker_calls,
            overhead,
        }
    }

    /// Maximum of frames in the queue to a peer; newer ones are dropped. After a failover all
    /// workers of this controller may send a heartbeat at once, each relayed as a frame.
    pub fn peer_queue(&self) -> usize {
        MIN_PEER_QUEUE.max(self.inbound)
    }

    /// Maximum of connections to workers while `open_inbound` inbound connections are open:
    /// what those leave unused. An idle connection that is kept spares a new one for the
    /// next command.
    pub fn worker_calls_beside(&self, open_inbound: usize) -> usize {
        // The overhead stays free for connections that are accepted until the next call.
        let budget = self.inbound + self.worker_calls;
        let unused = budget.saturating_sub(open_inbound + self.overhead);
        unused.max(self.worker_calls)
    }
}

/// Number of connections that a process holds, by use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SocketUsage {
    /// From users, operators and health checks.
    pub users: usize,
    /// From workers.
    pub workers: usize,
    /// From clients that have not sent a request yet.
    pub unclassified: usize,
    /// To workers.
    pub worker_calls: usize,
    /// From and to other controllers.
    pub peers: usize,
}
