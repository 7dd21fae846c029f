//! The network: delays, cuts, and packets that are held back.

use super::Simulation;
use rand::Rng;

/// One end of a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum Endpoint {
    /// A controller.
    Node(usize),
    /// The state service.
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
    /// A node from one kind of other end, or from all.
    Node(usize, CutScope),
    /// Two zones from one another.
    Zones(String, String),
}

/// The other side of a node's cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutScope {
    /// Everything.
    All,
    /// Workers.
    Workers,
    /// The state service.
    Store,
    /// The cloud.
    Cloud,
    /// Other controllers.
    Mesh,
    /// Users.
    Users,
}

/// A cut that lasts until a time; with `hold`, packets arrive then.
#[derive(Debug, Clone)]
pub(super) struct ActiveCut {
    cut: Cut,
    until: f64,
    hold: bool,
}

/// What becomes of a packet.
enum Path {
    Open,
    Lost,
    Held(f64),
}

impl Simulation {
    fn zone_of(&self, end: &Endpoint) -> Option<String> {
        match end {
            Endpoint::Node(node) => Some(self.nodes[*node].settings.zone.clone()),
            Endpoint::Worker(zone) => Some(zone.clone()),
            _ => None,
        }
    }

    fn path(&self, a: &Endpoint, b: &Endpoint) -> Path {
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
                return if active.hold { Path::Held(active.until) } else { Path::Lost };
            }
        }
        Path::Open
    }

    /// Cuts something off for a while; with `hold` packets arrive afterwards.
    pub fn cut(&mut self, cut: Cut, for_s: f64, hold: bool) {
        self.fault_lasts(for_s);
        self.cuts.push(ActiveCut { cut, until: self.now + for_s, hold });
    }

    /// A trouble lasts for so long.
    pub fn fault_lasts(&mut self, for_s: f64) {
        self.invariants.faults_cleared_at = self.invariants.faults_cleared_at.max(self.now + for_s);
    }

    pub(super) fn delay(&mut self) -> f64 {
        let slow = self.rng.random::<f64>() < 0.01;
        self.network_slowdown * (self.rng.random_range(0.001..0.01) + if slow { 0.3 } else { 0.0 })
    }

    pub(super) fn deliver(
        &mut self,
        from: &Endpoint,
        to: &Endpoint,
        job: impl FnOnce(&mut Simulation) + 'static,
    ) {
        let delay = self.delay();
        match self.path(from, to) {
            Path::Open => self.after(delay, job),
            Path::Held(until) => self.after(until - self.now + delay, job),
            Path::Lost => {}
        }
    }
}
