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
pub enum Cut {
    /// A node from one kind of participant, or from all.
    Node(usize, CutScope),
    /// Two zones from one another.
    Zones(String, String),
}

/// From whom a node is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutScope {
    /// Everything.
    All,
    /// Workers.
    Workers,
    /// The store.
    Store,
    /// The cloud.
    Cloud,
    /// Other nodes.
    Mesh,
    /// Users.
    Users,
}

/// A cut that lasts until a time; with `hold`, messages arrive then.
#[derive(Debug, Clone)]
pub(super) struct ActiveCut {
    cut: Cut,
    until: f64,
    hold: bool,
}

/// What becomes of a message.
enum Delivery {
    Open,
    Lost,
    HeldUntil(f64),
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
        for active in self.cuts.iter().filter(|active| self.now < active.until) {
            let hit = match &active.cut {
                Cut::Node(node, from) => {
                    let other = match (a, b) {
                        (Endpoint::Node(n), other) | (other, Endpoint::Node(n)) if n == node => {
                            other
                        }
                        _ => continue,
                    };
                    match from {
                        CutScope::All => true,
                        CutScope::Workers => matches!(other, Endpoint::Worker(_)),
                        CutScope::Store => *other == Endpoint::Store,
                        CutScope::Cloud => *other == Endpoint::Cloud,
                        CutScope::Mesh => matches!(other, Endpoint::Node(_)),
                        CutScope::Users => *other == Endpoint::Users,
                    }
                }
                Cut::Zones(x, y) => {
                    let (a, b) = (self.zone_of(a), self.zone_of(b));
                    let is = |p: &Option<String>, q: &str| p.as_deref() == Some(q);
                    (is(&a, x) && is(&b, y)) || (is(&a, y) && is(&b, x))
                }
            };
            if hit {
                return if active.hold {
                    Delivery::HeldUntil(active.until)
                } else {
                    Delivery::Lost
                };
            }
        }
        Delivery::Open
    }

    /// Cuts connections for a while; with `hold`, messages arrive afterwards.
    pub fn cut(&mut self, cut: Cut, duration_s: f64, hold: bool) {
        self.fault_lasts(duration_s);
        self.cuts.push(ActiveCut { cut, until: self.now + duration_s, hold });
    }

    /// Notes that a fault is active for so long: liveness is not checked meanwhile.
    pub fn fault_lasts(&mut self, duration_s: f64) {
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
            Delivery::Open => self.after(delay, receive),
            Delivery::HeldUntil(until) => self.after(until - self.now + delay, receive),
            Delivery::Lost => {}
        }
    }
}
