//! The division of a process's sockets by use.

use gladekeel_controller::socket_budget::SocketBudget;
use gladekeel_wire::settings::ProcessLimits;

/// Guards against workers that take the connections of users: once a leader of 3,375
/// machines refused both at random.
#[test]
fn every_use_has_its_own_sockets() {
    for max_connections in [32, 100, 2900, 4545, 100_000] {
        let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections };
        let sockets = SocketBudget::new(&limits);
        let refusals = gladekeel_http::Limits::for_connections(sockets.inbound).refusals;
        let own_connections = max_connections / 40 + 8;
        assert!(
            sockets.inbound + refusals + sockets.worker_calls + own_connections <= max_connections
        );
        assert!(sockets.reserved_for_users + sockets.reserved_for_workers <= sockets.inbound);
        assert_eq!(sockets.worker_calls_beside(sockets.inbound), sockets.worker_calls);
        assert!(sockets.worker_calls_beside(0) <= sockets.inbound + sockets.worker_calls);
    }
    let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections: 4545 };
    let sockets = SocketBudget::new(&limits);
    assert!(sockets.inbound - sockets.reserved_for_users >= 3375, "half as many machines again");
}

/// Guards against a queue that drops relayed heartbeats: with 4,000 workers a thousand frames
/// were too few for those that arrive at once.
#[test]
fn the_queue_to_a_peer_holds_a_heartbeat_of_each_worker() {
    for max_connections in [32, 1000, 3500, 5000, 20_000] {
        let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections };
        let sockets = SocketBudget::new(&limits);
        assert!(sockets.peer_queue() >= sockets.inbound, "{max_connections}");
    }
}
