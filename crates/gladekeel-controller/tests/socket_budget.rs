//! The division of a process's sockets by use.

use gladekeel_controller::socket_budget::SocketBudget;
use gladekeel_wire::settings::ProcessLimits;

/// Guards against workers whose connections use up the sockets of users: a leader of 3,375 machines
/// once refused connections of workers and users at random.
#[test]
fn every_use_has_its_own_share_of_sockets() {
    for max_connections in [32, 100, 2900, 4545, 100_000] {
        let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections };
        let sockets = SocketBudget::new(&limits);
        let max_refusals = gladekeel_http::Limits::for_connections(sockets.inbound).max_refusals;
        let own_connections = max_connections / 40 + 8;
        assert!(
            sockets.inbound + max_refusals + sockets.worker_calls + own_connections
                <= max_connections
        );
        assert!(sockets.reserved_for_users + sockets.reserved_for_workers <= sockets.inbound);
        assert_eq!(sockets.max_worker_calls(sockets.inbound), sockets.worker_calls);
        assert!(sockets.max_worker_calls(0) <= sockets.inbound + sockets.worker_calls);
    }
    let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections: 4545 };
    let sockets = SocketBudget::new(&limits);
    assert!(
        sockets.inbound - sockets.reserved_for_users >= 3375,
        "too few connections for 3,375 machines, half as many again as the largest deployment"
    );
}

/// Guards against a send queue that drops relayed heartbeats: with 4,000 workers, a queue of a
/// thousand frames was too short for the heartbeats that arrive at once.
#[test]
fn the_send_queue_of_a_peer_holds_a_heartbeat_of_each_worker() {
    for max_connections in [32, 1000, 3500, 5000, 20_000] {
        let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections };
        let sockets = SocketBudget::new(&limits);
        assert!(sockets.peer_queue_capacity() >= sockets.inbound, "{max_connections} connections");
    }
}
