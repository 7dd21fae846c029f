//! The network: delays, partitions, and messages that are held back.

use super::Simulation;
use rand::Rng;

/// A participant of a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum Endpoint {
    /// A node.
    Node(usize),
    /// The store.
    Store,
    /// The cloud.
    Cloud,
    /// A worker in this zone.
    Worker(String),
    /// Users and their load balancer.
    Users,
}

/// What a cut separates.
#[derive(Debug, Clone, PartialEq)]
pub enum Partition {
    /// A node from one kind of participant, or from all.
    Node(usize, PartitionScope),
    /// Two zones from one another.
    Zones(String, String),
}

/// From whom a node is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionScope {
    /// Everything.
    All,
    /// Workers.
    Workers,
    /// The store.
    Store,
    /// The cloud.
    Cloud,
    /// Other nodes.
    Peers,
    /// Users.
    Users,
}

/// A cut that lasts until a time; with `buffered`, messages arrive then.
#[derive(Debug, Clone)]
pub(super) struct ActivePartition {
    partition: Partition,
    until: f64,
    buffered: bool,
}

/// What becomes of a message.
enum Delivery {
    Unaffected,
    Lost,
    BufferedUntil(f64),
}

impl Simulation {
    fn zone_of(&self, end: &Endpoint) -> Option<String> {
        match end {
            Endpoint::Node(node) => Some(self.nodes[*node].settings.zone.clone()),
            Endpoint::Worker(zone) => Some(zone.clone()),
            _ => None,
        }
    }

    fn delivery(&self, a: &Endpoint, b: &Endpoint) -> Delivery {
        for active in self.partitions.iter().filter(|active| self.now < active.until) {
            let hit = match &active.partition {
                Partition::Node(node, from) => {
                    let other = match (a, b) {
                        (Endpoint::Node(n), other) | (other, Endpoint::Node(n)) if n == node => {
                            other
                        }
                        _ => continue,
                    };
                    match from {
                        PartitionScope::All => true,
                        PartitionScope::Workers => matches!(other, Endpoint::Worker(_)),
                        PartitionScope::Store => *other == Endpoint::Store,
                        PartitionScope::Cloud => *other == Endpoint::Cloud,
                        PartitionScope::Peers => matches!(other, Endpoint::Node(_)),
                        PartitionScope::Users => *other == Endpoint::Users,
                    }
                }
                Partition::Zones(x, y) => {
                    let (a, b) = (self.zone_of(a), self.zone_of(b));
                    let is = |p: &Option<String>, q: &str| p.as_deref() == Some(q);
                    (is(&a, x) && is(&b, y)) || (is(&a, y) && is(&b, x))
                }
            };
            if hit {
                return if active.buffered {
                    Delivery::BufferedUntil(active.until)
                } else {
                    Delivery::Lost
                };
            }
        }
        Delivery::Unaffected
    }

    /// Cuts connections for a while; with `buffered`, messages arrive afterwards.
    pub fn partition(&mut self, partition: Partition, duration_s: f64, buffered: bool) {
        self.mark_fault_active(duration_s);
        self.partitions.push(ActivePartition { partition, until: self.now + duration_s, buffered });
    }

    /// Notes that a fault is active for so long: liveness is not checked meanwhile.
    pub fn mark_fault_active(&mut self, duration_s: f64) {
        self.invariants.faults_cleared_at =
            self.invariants.faults_cleared_at.max(self.now + duration_s);
    }

    pub(super) fn delay(&mut self) -> f64 {
        let slow = self.rng.random::<f64>() < 0.01;
        self.network_slowdown * (self.rng.random_range(0.001..0.01) + if slow { 0.3 } else { 0.0 })
    }

    pub(super) fn deliver(
        &mut self,
        from: &Endpoint,
        to: &Endpoint,
        receive: impl FnOnce(&mut Simulation) + 'static,
    ) {
        let delay = self.delay();
        match self.delivery(from, to) {
            Delivery::Unaffected => self.after(delay, receive),
            Delivery::BufferedUntil(until) => self.after(until - self.now + delay, receive),
            Delivery::Lost => {}
        }
    }
}
