//! The network: message delays, and partitions that lose or buffer messages.

use super::Simulation;
use rand::Rng;

/// An end of a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum Endpoint {
    /// The node with this index.
    Node(usize),
    /// The store.
    Store,
    /// The cloud.
    Cloud,
    /// Any worker in this zone.
    Worker(String),
    /// The users and their load balancer.
    Users,
}

/// The endpoints that a partition separates.
#[derive(Debug, Clone, PartialEq)]
pub enum Partition {
    /// The node with this index from the endpoints in a scope.
    Node(usize, PartitionScope),
    /// The nodes and workers in one zone from those in another zone.
    Zones(String, String),
}

/// The endpoints from which a partition separates a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionScope {
    /// All endpoints.
    All,
    /// The workers.
    Workers,
    /// The store.
    Store,
    /// The cloud.
    Cloud,
    /// The other nodes.
    Peers,
    /// The users.
    Users,
}

/// A partition that is active until the time `until`. With `buffered`, messages arrive when the
/// partition ends; otherwise they are lost.
#[derive(Debug, Clone)]
pub(super) struct ActivePartition {
    partition: Partition,
    until: f64,
    buffered: bool,
}

/// How partitions affect the delivery of a message.
enum Delivery {
    Unaffected,
    Lost,
    BufferedUntil(f64),
}

impl Simulation {
    /// Returns the zone of a node or worker; `None` for all other endpoints.
    fn zone_of(&self, endpoint: &Endpoint) -> Option<String> {
        match endpoint {
            Endpoint::Node(node) => Some(self.nodes[*node].settings.zone.clone()),
            Endpoint::Worker(zone) => Some(zone.clone()),
            _ => None,
        }
    }

    /// Returns how the first active partition between `a` and `b` affects a message.
    fn delivery(&self, a: &Endpoint, b: &Endpoint) -> Delivery {
        for active in self.partitions.iter().filter(|active| self.now < active.until) {
            let separated = match &active.partition {
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
                    let is_in = |zone: &Option<String>, name: &str| zone.as_deref() == Some(name);
                    (is_in(&a, x) && is_in(&b, y)) || (is_in(&a, y) && is_in(&b, x))
                }
            };
            if separated {
                return if active.buffered {
                    Delivery::BufferedUntil(active.until)
                } else {
                    Delivery::Lost
                };
            }
        }
        Delivery::Unaffected
    }

    /// Begins a partition for `duration_s` seconds. With `buffered`, messages arrive when the
    /// partition ends; otherwise they are lost.
    pub fn partition(&mut self, partition: Partition, duration_s: f64, buffered: bool) {
        self.mark_fault_active(duration_s);
        self.partitions.push(ActivePartition { partition, until: self.now + duration_s, buffered });
    }

    /// Records that a fault is active for the next `duration_s` seconds. Liveness is not checked
    /// during this time.
    pub fn mark_fault_active(&mut self, duration_s: f64) {
        self.invariants.faults_cleared_at =
            self.invariants.faults_cleared_at.max(self.now + duration_s);
    }

    /// Draws the network delay of a message in seconds.
    pub(super) fn draw_delay_s(&mut self) -> f64 {
        let slow = self.rng.random::<f64>() < 0.01;
        self.network_slowdown * (self.rng.random_range(0.001..0.01) + if slow { 0.3 } else { 0.0 })
    }

    /// Calls `receive` when a message has crossed the network, unless a partition loses the
    /// message.
    pub(super) fn deliver(
        &mut self,
        from: &Endpoint,
        to: &Endpoint,
        receive: impl FnOnce(&mut Simulation) + 'static,
    ) {
        let delay_s = self.draw_delay_s();
        match self.delivery(from, to) {
            Delivery::Unaffected => self.after(delay_s, receive),
            Delivery::BufferedUntil(until) => self.after(until - self.now + delay_s, receive),
            Delivery::Lost => {}
        }
    }
}
