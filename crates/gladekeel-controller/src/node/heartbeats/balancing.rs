//! Load balancing of workers' heartbeats over the controllers.
//!
//! Most of what a heartbeat costs is the message itself. The leader needs the contents of each
//! heartbeat but need not receive it from the worker: other controllers receive heartbeats and
//! relay many at a time. The leader redirects workers to the controllers that have fewest, and
//! to itself last of all.

use gladekeel_wire::settings::Deployment;
use std::collections::HashMap;

/// Heartbeats a second that a whole core serves, approximately.
const HEARTBEATS_PER_CORE_PER_S: f64 = 1000.0;
/// The part of its capacity that a leader spends on receiving heartbeats before it has others
/// receive them.
const MAX_LEADER_LOAD: f64 = 0.5;
/// The leader's share of the workers if there is a single other controller.
const LEADER_SHARE_OF_TWO: f64 = 0.3;
/// A worker that was redirected stays for this long: it may have come back because it could
/// not reach the other controller.
const MIN_STAY_S: f64 = 45.0;
/// A controller is overloaded beyond this many times its share of the workers...
const OVERLOAD_FACTOR: f64 = 1.25;
/// ...and this many more.
const OVERLOAD_ALLOWANCE: f64 = 8.0;
/// A worker without a heartbeat for this many intervals is no longer counted.
const EXPIRE_AFTER_HEARTBEATS: f64 = 5.0;

/// The controller that receives a worker's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatReceiver {
    /// This node, which leads.
    Leader,
    /// Another node, by its index among the peers.
    Peer(usize),
}

#[derive(Debug)]
struct ReportingWorker {
    receiver: HeartbeatReceiver,
    last_heartbeat_at: f64,
    redirected_at: f64,
}

/// Counts workers by receiver and decides which of them are redirected.
#[derive(Debug)]
pub struct HeartbeatBalancer {
    workers: HashMap<String, ReportingWorker>,
    /// Workers of each peer, and last of the leader.
    workers_per_receiver: Vec<usize>,
    /// Workers whose heartbeats the leader can receive itself.
    max_leader_workers: f64,
    expire_after_s: f64,
    last_expiry_at: f64,
}

impl HeartbeatBalancer {
    /// A balancer for a leader with this many peers that has not seen any worker.
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

    /// Records a heartbeat that arrived at `receiver`, and returns the receiver to which the
    /// worker should be redirected, if any. `usable` says of each peer whether it can relay
    /// heartbeats.
    pub fn rebalance(
        &mut self,
        now: f64,
        machine: &str,
        receiver: HeartbeatReceiver,
        usable: &[bool],
    ) -> Option<HeartbeatReceiver> {
        self.expire_silent(now);
        self.record(now, machine, receiver);
        if now - self.workers[machine].redirected_at < MIN_STAY_S {
            return None;
        }
        let target = self.underloaded_receiver(receiver, usable)?;
        self.record(now, machine, target);
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.redirected_at = now;
        }
        Some(target)
    }

    /// How many workers each peer receives heartbeats of, and last the leader.
    pub fn workers_per_receiver(&self) -> &[usize] {
        &self.workers_per_receiver
    }

    /// The receiver that lacks most of its share, if this one is overloaded.
    fn underloaded_receiver(
        &self,
        receiver: HeartbeatReceiver,
        usable: &[bool],
    ) -> Option<HeartbeatReceiver> {
        let total = self.workers.len() as f64;
        if total <= self.max_leader_workers || !usable.contains(&true) {
            return None;
        }
        let targets: Vec<f64> =
            target_shares(usable).into_iter().map(|share| share * total).collect();
        let current = |index: usize| self.workers_per_receiver[index] as f64;
        let own_index = self.index_of(receiver);
        if current(own_index) <= targets[own_index] * OVERLOAD_FACTOR + OVERLOAD_ALLOWANCE {
            return None;
        }
        let lacking_share = |index: &usize| (targets[*index] - current(*index)) / targets[*index];
        (0..targets.len())
            .filter(|index| *index != own_index)
            .filter(|index| targets[*index] > 0.0 && lacking_share(index) > 0.0)
            .max_by(|a, b| lacking_share(a).total_cmp(&lacking_share(b)))
            .map(|index| self.receiver_at(index))
    }

    /// The index of a receiver in `workers_per_receiver`.
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

    /// Removes workers that have stopped sending heartbeats, to any receiver.
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

/// Each peer's share of all workers, and last the leader's. The leader has the scheduling to
/// do, so it takes a share only if a single other controller is left.
fn target_shares(usable: &[bool]) -> Vec<f64> {
    let usable_peers = usable.iter().filter(|usable| **usable).count().max(1);
    let leader_share = if usable_peers == 1 { LEADER_SHARE_OF_TWO } else { 0.0 };
    let peer_share = (1.0 - leader_share) / usable_peers as f64;
    let peer_shares = usable.iter().map(|usable| if *usable { peer_share } else { 0.0 });
    peer_shares.chain([leader_share]).collect()
}
