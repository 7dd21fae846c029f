//! Which controller each worker reports to.

use gladekeel_controller::node::heartbeats::balancing::{HeartbeatBalancer, HeartbeatReceiver};
use gladekeel_testkit::scenario::example_settings;

const USABLE: [bool; 2] = [true, true];

fn sharing(cpu_share: f64) -> HeartbeatBalancer {
    let mut params = example_settings(0, 3).deployment;
    params.limits.cpu_share = cpu_share;
    HeartbeatBalancer::new(&params, USABLE.len())
}

fn name(machine: usize) -> String {
    format!("n-{machine:06}")
}

/// Lets each machine report once to whoever hears it; returns how many were sent elsewhere.
fn report_all(
    sharing: &mut HeartbeatBalancer,
    now: f64,
    listeners: &mut [HeartbeatReceiver],
    usable: &[bool],
) -> usize {
    let mut moved = 0;
    for (machine, listener) in listeners.iter_mut().enumerate() {
        if let Some(target) = sharing.rebalance(now, &name(machine), *listener, usable) {
            *listener = target;
            moved += 1;
        }
    }
    moved
}

#[test]
fn a_leader_of_few_workers_hears_them_itself() {
    let mut listeners = vec![HeartbeatReceiver::Leader; 50];
    assert_eq!(report_all(&mut sharing(0.2), 0.0, &mut listeners, &USABLE), 0);
}

/// The leader of 2,400 machines spent its whole small processor on hearing them.
#[test]
fn many_workers_are_heard_by_the_other_controllers_evenly() {
    let mut sharing = sharing(0.05);
    let mut listeners = vec![HeartbeatReceiver::Leader; 2400];
    for round in 0..3 {
        report_all(&mut sharing, f64::from(round) * 3.0, &mut listeners, &USABLE);
    }
    let heard = sharing.workers_per_receiver();
    assert!(heard[2] <= 100, "the leader hears few: {heard:?}");
    assert!(heard[0].abs_diff(heard[1]) <= 100, "{heard:?}");
}

/// With one other controller left, that one was busy without end and the leader was not.
#[test]
fn a_leader_helps_a_single_other_controller() {
    let mut sharing = sharing(0.05);
    let mut listeners = vec![HeartbeatReceiver::Peer(0); 900];
    report_all(&mut sharing, 0.0, &mut listeners, &[true, false]);
    let heard = sharing.workers_per_receiver();
    assert!((100..=300).contains(&heard[2]), "{heard:?}");
    assert_eq!(heard[1], 0, "{heard:?}");
}

/// After a controller has been away all of its workers are with another one.
#[test]
fn a_controller_that_is_back_gets_its_part() {
    let mut sharing = sharing(0.05);
    let mut listeners = vec![HeartbeatReceiver::Peer(0); 1000];
    report_all(&mut sharing, 0.0, &mut listeners, &[true, false]);
    assert_eq!(sharing.workers_per_receiver()[1], 0);
    for round in 1..=20 {
        report_all(&mut sharing, f64::from(round) * 3.0, &mut listeners, &USABLE);
    }
    assert!(sharing.workers_per_receiver()[1] >= 350, "{:?}", sharing.workers_per_receiver());
    assert_eq!(report_all(&mut sharing, 63.0, &mut listeners, &USABLE), 0, "it settles");
}

/// A worker that comes back could not reach where it was sent.
#[test]
fn a_worker_that_comes_back_stays() {
    let mut sharing = sharing(0.001);
    for machine in 0..100 {
        sharing.rebalance(0.0, &name(machine), HeartbeatReceiver::Leader, &USABLE);
    }
    let sent = sharing.rebalance(1.0, &name(99), HeartbeatReceiver::Leader, &USABLE);
    assert_eq!(sent, None);
}

/// Workers that are gone make no room for others to be sent to.
#[test]
fn silent_workers_are_forgotten() {
    let mut sharing = sharing(0.05);
    let mut listeners = vec![HeartbeatReceiver::Peer(0); 500];
    report_all(&mut sharing, 0.0, &mut listeners, &USABLE);
    sharing.rebalance(100.0, "n-1", HeartbeatReceiver::Peer(1), &USABLE);
    assert_eq!(sharing.workers_per_receiver(), [0, 1, 0]);
}
