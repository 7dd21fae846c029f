//! The division of a process's sockets.

use gladekeel_controller::socket_budget::SocketBudget;
use gladekeel_wire::settings::ProcessLimits;

/// Once workers' connections filled the places of users as well: a leader of 3,375
/// machines refused both at random.
#[test]
fn every_socket_has_its_place() {
    for max_connections in [32, 100, 2900, 4545, 100_000] {
        let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections };
        let sockets = SocketBudget::new(&limits);
        let refusals = gladekeel_http::Limits::for_connections(sockets.served).refusals;
        let own = max_connections / 40 + 8;
        assert!(sockets.served + refusals + sockets.worker_calls + own <= max_connections);
        assert!(sockets.reserved_for_users + sockets.reserved_for_workers <= sockets.served);
        assert_eq!(sockets.calls_beside(sockets.served), sockets.worker_calls);
        assert!(sockets.calls_beside(0) <= sockets.served + sockets.worker_calls);
    }
    let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections: 4545 };
    let sockets = SocketBudget::new(&limits);
    assert!(sockets.served - sockets.reserved_for_users >= 3375, "half as many machines again");
}

/// With 4,000 workers a thousand frames were too few for the reports of a single moment.
#[test]
fn a_report_of_each_worker_may_wait_for_the_leader() {
    for max_connections in [32, 1000, 3500, 5000, 20_000] {
        let limits = ProcessLimits { cpu_share: 0.1, memory_mb: 100.0, max_connections };
        let sockets = SocketBudget::new(&limits);
        assert!(sockets.mesh_queue() >= sockets.served, "{max_connections}");
    }
}
