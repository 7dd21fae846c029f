//! Which node each worker sends its heartbeats to.

use gladekeel_controller::node::heartbeats::balancing::{HeartbeatBalancer, HeartbeatReceiver};
use gladekeel_testkit::scenario::example_settings;

const USABLE: [bool; 2] = [true, true];

fn new_balancer(cpu_share: f64) -> HeartbeatBalancer {
    let mut params = example_settings(0, 3).deployment;
    params.limits.cpu_share = cpu_share;
    HeartbeatBalancer::new(&params, USABLE.len())
}

fn name(machine: usize) -> String {
    format!("n-{machine:06}")
}

/// Lets each machine send one heartbeat to its receiver; returns how many were redirected.
fn send_all_heartbeats(
    balancer: &mut HeartbeatBalancer,
    now: f64,
    receivers: &mut [HeartbeatReceiver],
    usable: &[bool],
) -> usize {
    let mut redirected = 0;
    for (machine, receiver) in receivers.iter_mut().enumerate() {
        if let Some(target) = balancer.rebalance(now, &name(machine), *receiver, usable) {
            *receiver = target;
            redirected += 1;
        }
    }
    redirected
}

#[test]
fn a_leader_of_few_workers_receives_their_heartbeats_itself() {
    let mut receivers = vec![HeartbeatReceiver::Leader; 50];
    assert_eq!(send_all_heartbeats(&mut new_balancer(0.2), 0.0, &mut receivers, &USABLE), 0);
}

/// The leader of 2,400 machines spent its whole small processor on their heartbeats.
#[test]
fn heartbeats_of_many_workers_are_balanced_over_the_other_nodes() {
    let mut balancer = new_balancer(0.05);
    let mut receivers = vec![HeartbeatReceiver::Leader; 2400];
    for cycle in 0..3 {
        send_all_heartbeats(&mut balancer, f64::from(cycle) * 3.0, &mut receivers, &USABLE);
    }
    let workers = balancer.workers_per_receiver();
    assert!(workers[2] <= 100, "the leader receives few: {workers:?}");
    assert!(workers[0].abs_diff(workers[1]) <= 100, "{workers:?}");
}

/// With one other node left, that one was overloaded and the leader was not.
#[test]
fn a_leader_takes_a_share_if_one_other_node_is_left() {
    let mut balancer = new_balancer(0.05);
    let mut receivers = vec![HeartbeatReceiver::Peer(0); 900];
    send_all_heartbeats(&mut balancer, 0.0, &mut receivers, &[true, false]);
    let workers = balancer.workers_per_receiver();
    assert!((100..=300).contains(&workers[2]), "{workers:?}");
    assert_eq!(workers[1], 0, "{workers:?}");
}

/// After a node has been down all of its workers are with another one.
#[test]
fn a_node_that_is_back_gets_its_share() {
    let mut balancer = new_balancer(0.05);
    let mut receivers = vec![HeartbeatReceiver::Peer(0); 1000];
    send_all_heartbeats(&mut balancer, 0.0, &mut receivers, &[true, false]);
    assert_eq!(balancer.workers_per_receiver()[1], 0);
    for cycle in 1..=20 {
        send_all_heartbeats(&mut balancer, f64::from(cycle) * 3.0, &mut receivers, &USABLE);
    }
    assert!(balancer.workers_per_receiver()[1] >= 350, "{:?}", balancer.workers_per_receiver());
    assert_eq!(send_all_heartbeats(&mut balancer, 63.0, &mut receivers, &USABLE), 0, "it settles");
}

/// A worker that returns could not reach the node to which it was redirected.
#[test]
fn a_worker_that_returns_after_a_redirect_is_not_redirected_again() {
    let mut balancer = new_balancer(0.001);
    for machine in 0..100 {
        balancer.rebalance(0.0, &name(machine), HeartbeatReceiver::Leader, &USABLE);
    }
    let redirect = balancer.rebalance(1.0, &name(99), HeartbeatReceiver::Leader, &USABLE);
    assert_eq!(redirect, None);
}

/// Workers that are gone must not count as load of their receiver.
#[test]
fn workers_without_heartbeats_are_forgotten() {
    let mut balancer = new_balancer(0.05);
    let mut receivers = vec![HeartbeatReceiver::Peer(0); 500];
    send_all_heartbeats(&mut balancer, 0.0, &mut receivers, &USABLE);
    balancer.rebalance(100.0, "n-1", HeartbeatReceiver::Peer(1), &USABLE);
    assert_eq!(balancer.workers_per_receiver(), [0, 1, 0]);
}
