//! Load balancing of workers' heartbeats over the controllers.
//!
//! Most of the cost of a heartbeat is the message itself. The leader needs the contents of each
//! heartbeat but need not receive it from the worker: other controllers receive heartbeats and
//! relay them in batches. The leader redirects workers to the controllers that have the fewest
//! workers, and to itself only if there is a single other controller that can relay.

use gladekeel_wire::settings::Deployment;
use std::collections::HashMap;

/// Approximate number of heartbeats per second that one core can serve.
const HEARTBEATS_PER_CORE_PER_S: f64 = 1000.0;
/// Fraction of the leader's capacity that receiving heartbeats may take. Beyond this fraction, the
/// leader redirects workers to other controllers.
const MAX_LEADER_LOAD: f64 = 0.5;
/// The leader's share of the workers if only one other controller can relay heartbeats.
const LEADER_SHARE_WITH_ONE_PEER: f64 = 0.3;
/// Minimum time between two redirections of a worker: a worker that returns sooner to the previous
/// controller may have been unable to reach the new one.
const MIN_REDIRECT_INTERVAL_S: f64 = 45.0;
/// A controller is overloaded if it has more than this multiple of its share of the workers, plus
/// [`OVERLOAD_ALLOWANCE`].
const OVERLOAD_FACTOR: f64 = 1.25;
/// Number of workers that a controller may have above [`OVERLOAD_FACTOR`] times its share.
const OVERLOAD_ALLOWANCE: f64 = 8.0;
/// Number of heartbeat intervals without a heartbeat after which a worker is no longer counted.
const EXPIRE_AFTER_HEARTBEATS: f64 = 5.0;

/// The controller that receives a worker's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatReceiver {
    /// The leader, which is this node.
    Leader,
    /// Another controller, by its index among the peers.
    Peer(usize),
}

/// A worker that sends heartbeats to one of the controllers.
#[derive(Debug)]
struct ReportingWorker {
    receiver: HeartbeatReceiver,
    last_heartbeat_at: f64,
    /// When the worker was last redirected; negative infinity if it never was.
    redirected_at: f64,
}

/// Counts the workers by the controller that receives their heartbeats, and decides which workers
/// are redirected to another controller.
#[derive(Debug)]
pub struct HeartbeatBalancer {
    /// The counted workers by machine name.
    workers: HashMap<String, ReportingWorker>,
    /// The number of workers that send their heartbeats to each peer, followed by the number of
    /// workers that send them to the leader.
    workers_per_receiver: Vec<usize>,
    /// Number of workers in the cluster up to which the leader redirects no worker.
    max_leader_workers: f64,
    expire_after_s: f64,
    last_expiry_at: f64,
}

impl HeartbeatBalancer {
    /// Creates a balancer without workers. `peers` is the number of controllers other than the
    /// leader.
    pub fn new(deployment: &Deployment, peers: usize) -> HeartbeatBalancer {
        let interval_s = deployment.workers.heartbeat_interval_s;
        let capacity = deployment.limits.cpu_share * HEARTBEATS_PER_CORE_PER_S;
        HeartbeatBalancer {
            workers: HashMap::new(),
            workers_per_receiver: vec![0; peers + 1],
            max_leader_workers: capacity * MAX_LEADER_LOAD * interval_s,
            expire_after_s: EXPIRE_AFTER_HEARTBEATS * interval_s,
            last_expiry_at: 0.0,
        }
    }

    /// Records a heartbeat that `receiver` has received, and returns the receiver to which the
    /// worker should be redirected, if any. `can_relay` states for each peer whether it can relay
    /// heartbeats.
    pub fn rebalance(
        &mut self,
        now: f64,
        machine: &str,
        receiver: HeartbeatReceiver,
        can_relay: &[bool],
    ) -> Option<HeartbeatReceiver> {
        self.expire_silent(now);
        self.record(now, machine, receiver);
        if now - self.workers[machine].redirected_at < MIN_REDIRECT_INTERVAL_S {
            return None;
        }
        let target = self.underloaded_receiver(receiver, can_relay)?;
        self.record(now, machine, target);
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.redirected_at = now;
        }
        Some(target)
    }

    /// The number of workers that send their heartbeats to each peer, followed by the number of
    /// workers that send them to the leader.
    pub fn workers_per_receiver(&self) -> &[usize] {
        &self.workers_per_receiver
    }

    /// Returns the controller that is furthest below its share of the workers, as a fraction of
    /// this share; `None` if `receiver` is not overloaded or no worker needs to be redirected.
    fn underloaded_receiver(
        &self,
        receiver: HeartbeatReceiver,
        can_relay: &[bool],
    ) -> Option<HeartbeatReceiver> {
        let total = self.workers.len() as f64;
        if total <= self.max_leader_workers || !can_relay.contains(&true) {
            return None;
        }
        let targets: Vec<f64> =
            target_shares(can_relay).into_iter().map(|share| share * total).collect();
        let current = |index: usize| self.workers_per_receiver[index] as f64;
        let own_index = self.index_of(receiver);
        if current(own_index) <= targets[own_index] * OVERLOAD_FACTOR + OVERLOAD_ALLOWANCE {
            return None;
        }
        let deficit = |index: &usize| (targets[*index] - current(*index)) / targets[*index];
        (0..targets.len())
            .filter(|index| *index != own_index)
            .filter(|index| targets[*index] > 0.0 && deficit(index) > 0.0)
            .max_by(|a, b| deficit(a).total_cmp(&deficit(b)))
            .map(|index| self.receiver_at(index))
    }

    /// Returns the index of a receiver in `workers_per_receiver`.
    fn index_of(&self, receiver: HeartbeatReceiver) -> usize {
        match receiver {
            HeartbeatReceiver::Peer(peer) => peer,
            HeartbeatReceiver::Leader => self.workers_per_receiver.len() - 1,
        }
    }

    fn receiver_at(&self, index: usize) -> HeartbeatReceiver {
        if index + 1 < self.workers_per_receiver.len() {
            HeartbeatReceiver::Peer(index)
        } else {
            HeartbeatReceiver::Leader
        }
    }

    fn record(&mut self, now: f64, machine: &str, receiver: HeartbeatReceiver) {
        let previous = if let Some(worker) = self.workers.get_mut(machine) {
            worker.last_heartbeat_at = now;
            Some(std::mem::replace(&mut worker.receiver, receiver))
        } else {
            let worker = ReportingWorker {
                receiver,
                last_heartbeat_at: now,
                redirected_at: f64::NEG_INFINITY,
            };
            self.workers.insert(machine.to_owned(), worker);
            None
        };
        if let Some(previous) = previous {
            let index = self.index_of(previous);
            self.workers_per_receiver[index] -= 1;
        }
        let index = self.index_of(receiver);
        self.workers_per_receiver[index] += 1;
    }

    /// Removes workers that no longer send heartbeats to any controller.
    fn expire_silent(&mut self, now: f64) {
        if now - self.last_expiry_at < self.expire_after_s {
            return;
        }
        self.last_expiry_at = now;
        let expire_after_s = self.expire_after_s;
        let mut workers = std::mem::take(&mut self.workers);
        workers.retain(|_, worker| {
            let is_alive = now - worker.last_heartbeat_at < expire_after_s;
            if !is_alive {
                let index = self.index_of(worker.receiver);
                self.workers_per_receiver[index] -= 1;
            }
            is_alive
        });
        self.workers = workers;
    }
}

/// Returns each peer's share of all workers, followed by the leader's share. The leader is also
/// busy with scheduling, so it takes a share only if a single peer can relay heartbeats.
fn target_shares(can_relay: &[bool]) -> Vec<f64> {
    let relaying_peers = can_relay.iter().filter(|can_relay| **can_relay).count().max(1);
    let leader_share = if relaying_peers == 1 { LEADER_SHARE_WITH_ONE_PEER } else { 0.0 };
    let peer_share = (1.0 - leader_share) / relaying_peers as f64;
    let peer_shares = can_relay.iter().map(|can_relay| if *can_relay { peer_share } else { 0.0 });
    peer_shares.chain([leader_share]).collect()
}
