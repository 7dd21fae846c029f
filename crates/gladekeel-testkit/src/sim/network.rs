//! The network: delays, cuts, and packets that are held back.

use super::Sim;
use rand::Rng;

/// One end of a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A controller.
    Node(usize),
    /// The state service.
    State,
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
    Node(usize, From),
    /// Two zones from one another.
    Zones(String, String),
}

/// The other side of a node's cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum From {
    /// Everything.
    All,
    /// Workers.
    Workers,
    /// The state service.
    State,
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

impl Sim {
    fn zone_of(&self, end: &End) -> Option<String> {
        match end {
            End::Node(node) => Some(self.nodes[*node].settings.zone.clone()),
            End::Worker(zone) => Some(zone.clone()),
            _ => None,
        }
    }

    fn path(&self, a: &End, b: &End) -> Path {
        for active in self.cuts.iter().filter(|active| self.now < active.until) {
            let hit = match &active.cut {
                Cut::Node(node, from) => {
                    let other = match (a, b) {
                        (End::Node(n), other) | (other, End::Node(n)) if n == node => other,
                        _ => continue,
                    };
                    match from {
                        From::All => true,
                        From::Workers => matches!(other, End::Worker(_)),
                        From::State => *other == End::State,
                        From::Cloud => *other == End::Cloud,
                        From::Mesh => matches!(other, End::Node(_)),
                        From::Users => *other == End::Users,
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
        self.trouble(for_s);
        self.cuts.push(ActiveCut { cut, until: self.now + for_s, hold });
    }

    /// A trouble lasts for so long.
    pub fn trouble(&mut self, for_s: f64) {
        self.rules.calm_from = self.rules.calm_from.max(self.now + for_s);
    }

    pub(super) fn delay(&mut self) -> f64 {
        let slow = self.rng.random::<f64>() < 0.01;
        self.links_slow * (self.rng.random_range(0.001..0.01) + if slow { 0.3 } else { 0.0 })
    }

    pub(super) fn deliver(&mut self, from: &End, to: &End, job: impl FnOnce(&mut Sim) + 'static) {
        let delay = self.delay();
        match self.path(from, to) {
            Path::Open => self.after(delay, job),
            Path::Held(until) => self.after(until - self.now + delay, job),
            Path::Lost => {}
        }
    }
}
