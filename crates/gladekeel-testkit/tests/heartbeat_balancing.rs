//! Load balancing of workers' heartbeats over the leader and its peers.

use gladekeel_controller::node::heartbeats::balancing::{HeartbeatBalancer, HeartbeatReceiver};
use gladekeel_testkit::scenario::example_settings;

/// Whether each peer can relay heartbeats to the leader: there are two peers, and both can.
const USABLE: [bool; 2] = [true, true];

fn new_balancer(cpu_share: f64) -> HeartbeatBalancer {
    let mut deployment = example_settings(0, 3).deployment;
    deployment.limits.cpu_share = cpu_share;
    HeartbeatBalancer::new(&deployment, USABLE.len())
}

fn machine_name(machine: usize) -> String {
    format!("n-{machine:06}")
}

/// Sends one heartbeat from each machine to its receiver and applies the redirects to `receivers`.
/// Returns the number of redirected machines.
fn send_all_heartbeats(
    balancer: &mut HeartbeatBalancer,
    now: f64,
    receivers: &mut [HeartbeatReceiver],
    can_relay: &[bool],
) -> usize {
    let mut redirected = 0;
    for (machine, receiver) in receivers.iter_mut().enumerate() {
        if let Some(target) = balancer.rebalance(now, &machine_name(machine), *receiver, can_relay)
        {
            *receiver = target;
            redirected += 1;
        }
    }
    redirected
}

#[test]
fn a_leader_with_few_workers_does_not_redirect_them() {
    let mut receivers = vec![HeartbeatReceiver::Leader; 50];
    assert_eq!(send_all_heartbeats(&mut new_balancer(0.2), 0.0, &mut receivers, &USABLE), 0);
}

/// Guards against a leader that receives all heartbeats: with 2,400 machines, they used all CPU
/// time of a leader on a small processor.
#[test]
fn heartbeats_of_many_workers_are_balanced_over_the_peers() {
    let mut balancer = new_balancer(0.05);
    let mut receivers = vec![HeartbeatReceiver::Leader; 2400];
    for cycle in 0..3 {
        send_all_heartbeats(&mut balancer, f64::from(cycle) * 3.0, &mut receivers, &USABLE);
    }
    let workers = balancer.workers_per_receiver();
    assert!(workers[2] <= 100, "too many workers for the leader: {workers:?}");
    assert!(workers[0].abs_diff(workers[1]) <= 100, "unbalanced peers: {workers:?}");
}

/// Guards against a leader that leaves all heartbeats to the only peer that can relay them: the
/// peer was overloaded while the leader had spare capacity.
#[test]
fn a_leader_receives_a_share_if_a_single_peer_can_relay() {
    let mut balancer = new_balancer(0.05);
    let mut receivers = vec![HeartbeatReceiver::Peer(0); 900];
    send_all_heartbeats(&mut balancer, 0.0, &mut receivers, &[true, false]);
    let workers = balancer.workers_per_receiver();
    assert!((100..=300).contains(&workers[2]), "share of the leader: {workers:?}");
    assert_eq!(workers[1], 0, "share of the unusable peer: {workers:?}");
}

/// Guards against a peer that receives no heartbeats after it has recovered from an outage, during
/// which all its workers were redirected to another node.
#[test]
fn a_peer_that_is_usable_again_receives_its_share() {
    let mut balancer = new_balancer(0.05);
    let mut receivers = vec![HeartbeatReceiver::Peer(0); 1000];
    send_all_heartbeats(&mut balancer, 0.0, &mut receivers, &[true, false]);
    assert_eq!(balancer.workers_per_receiver()[1], 0);
    for cycle in 1..=20 {
        send_all_heartbeats(&mut balancer, f64::from(cycle) * 3.0, &mut receivers, &USABLE);
    }
    assert!(balancer.workers_per_receiver()[1] >= 350, "{:?}", balancer.workers_per_receiver());
    assert_eq!(
        send_all_heartbeats(&mut balancer, 63.0, &mut receivers, &USABLE),
        0,
        "redirects have not converged"
    );
}

/// Guards against redirecting a worker again when it returns to the leader soon after a redirect:
/// the worker could not reach the node to which it was redirected.
#[test]
fn a_worker_that_returns_after_a_redirect_is_not_redirected_again() {
    let mut balancer = new_balancer(0.001);
    for machine in 0..100 {
        balancer.rebalance(0.0, &machine_name(machine), HeartbeatReceiver::Leader, &USABLE);
    }
    let second_redirect =
        balancer.rebalance(1.0, &machine_name(99), HeartbeatReceiver::Leader, &USABLE);
    assert_eq!(second_redirect, None);
}

/// Guards against counting workers that no longer exist towards the load of the node that received
/// their heartbeats.
#[test]
fn workers_without_recent_heartbeats_are_not_counted() {
    let mut balancer = new_balancer(0.05);
    let mut receivers = vec![HeartbeatReceiver::Peer(0); 500];
    send_all_heartbeats(&mut balancer, 0.0, &mut receivers, &USABLE);
    balancer.rebalance(100.0, "n-1", HeartbeatReceiver::Peer(1), &USABLE);
    assert_eq!(balancer.workers_per_receiver(), [0, 1, 0]);
}
