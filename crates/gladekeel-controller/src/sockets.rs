//! How a process divides the sockets that it may hold.

use gladekeel_wire::settings::Limits;

/// Connections by what they are for. What is left over is for the listeners, the state
/// service, the cloud, other controllers, and newcomers until they are let in or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sockets {
    /// From users and workers.
    pub served: usize,
    /// Of these, kept for users, operators and health checks.
    pub kept_users: usize,
    /// Of these, kept for workers.
    pub kept_workers: usize,
    /// To workers: commands and questions under way, and connections kept for more.
    pub calls: usize,
    /// Kept back beside what is served.
    rest: usize,
}

impl Sockets {
    /// The division under these limits. Most go to workers: each of them holds a
    /// connection to the leader, and one that finds no place reports through another
    /// node. Calls to workers are short.
    pub fn of(limits: &Limits) -> Sockets {
        let all = limits.max_connections;
        let calls = (all / 8).max(2);
        // Newcomers that are being refused, and the process's own connections.
        let rest = all / 32 + 4 + all / 40 + 8;
        let served = (all * 4 / 5).min(all - calls - rest);
        Sockets { served, kept_users: (all / 20).max(2), kept_workers: served / 2, calls, rest }
    }

    /// Connections to workers while so many are served: those that nobody uses. A kept
    /// connection spares a new one for the next command.
    pub fn calls_beside(&self, served: usize) -> usize {
        // Some stay free for those who come until this is asked again.
        let free = (self.served + self.calls).saturating_sub(served + self.rest);
        free.max(self.calls)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Once workers' connections filled the places of users as well: a leader of 3,375
    /// machines refused both at random.
    #[test]
    fn every_socket_has_its_place() {
        for max_connections in [32, 100, 2900, 4545, 100_000] {
            let limits = Limits { cpu_share: 0.1, memory_mb: 100.0, max_connections };
            let sockets = Sockets::of(&limits);
            let refusals = gladekeel_http::Limits::for_connections(sockets.served).refusals;
            let own = max_connections / 40 + 8;
            assert!(sockets.served + refusals + sockets.calls + own <= max_connections);
            assert!(sockets.kept_users + sockets.kept_workers <= sockets.served);
            assert_eq!(sockets.calls_beside(sockets.served), sockets.calls);
            assert!(sockets.calls_beside(0) <= sockets.served + sockets.calls);
        }
        let limits = Limits { cpu_share: 0.1, memory_mb: 100.0, max_connections: 4545 };
        let sockets = Sockets::of(&limits);
        assert!(sockets.served - sockets.kept_users >= 3375, "half as many machines again");
    }
}
