//! The division of a process's sockets by use.
//!
//! The budget is derived from `max_connections`. Users' requests, workers' heartbeats and the
//! leader's calls each have their own share, so that none of these three can use up the sockets of
//! another.

use gladekeel_wire::settings::ProcessLimits;

/// Minimum capacity of the send queue of a peer, in frames.
const MIN_PEER_QUEUE_CAPACITY: usize = 1024;

/// The division of a process's sockets by use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBudget {
    /// Maximum number of inbound connections, from users and workers.
    pub inbound: usize,
    /// Number of inbound connections that are reserved for users, operators and health checks.
    pub reserved_for_users: usize,
    /// Number of inbound connections that are reserved for workers.
    pub reserved_for_workers: usize,
    /// Maximum number of connections to workers while all inbound connections are open. Includes
    /// connections with a call in progress and idle connections that are kept for later calls.
    pub worker_calls: usize,
    /// Number of sockets for the listeners, the store, the cloud and the peers, and for
    /// connections that are being refused.
    overhead: usize,
}

impl SocketBudget {
    /// Divides the `max_connections` sockets of a process.
    ///
    /// Most sockets are for inbound connections of workers: each worker holds a connection, and a
    /// worker whose connection is refused sends its heartbeats to another controller. Calls to
    /// workers get a smaller share because they are short.
    pub fn new(limits: &ProcessLimits) -> SocketBudget {
        let all = limits.max_connections;
        let worker_calls = (all / 8).max(2);
        let max_refusals = all / 32 + 4;
        let own_connections = all / 40 + 8;
        let overhead = max_refusals + own_connections;
        let inbound = (all * 4 / 5).min(all - worker_calls - overhead);
        SocketBudget {
            inbound,
            reserved_for_users: (all / 20).max(2),
            reserved_for_workers: inbound / 2,
            worker_calls,
            overhead,
        }
    }

    /// Maximum number of frames in the send queue of a peer; further frames are dropped. After a
    /// failover all workers of this controller may send a heartbeat at once, and each heartbeat is
    /// relayed as a frame.
    pub fn peer_queue_capacity(&self) -> usize {
        MIN_PEER_QUEUE_CAPACITY.max(self.inbound)
    }

    /// Maximum number of connections to workers while `open_inbound` inbound connections are open.
    /// Connections to workers may use the sockets that inbound connections leave unused, because
    /// an idle connection that is kept saves opening a new one for the next command.
    pub fn max_worker_calls(&self, open_inbound: usize) -> usize {
        // Keeps `overhead` sockets free for connections that are accepted before this function is
        // called again.
        let budget = self.inbound + self.worker_calls;
        let unused = budget.saturating_sub(open_inbound + self.overhead);
        unused.max(self.worker_calls)
    }
}

/// The number of open connections of a process, by use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SocketUsage {
    /// Connections from users, operators and health checks.
    pub users: usize,
    /// Connections from workers.
    pub workers: usize,
    /// Connections from clients that have not sent a request yet.
    pub unclassified: usize,
    /// Connections to workers.
    pub worker_calls: usize,
    /// Connections from and to other controllers.
    pub peers: usize,
}
