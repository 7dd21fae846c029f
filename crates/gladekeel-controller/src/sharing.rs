//! Which controller each worker reports to.
//!
//! Most of what a report costs is that a message of its own arrives. The leader decides by
//! every report but need not hear each worker itself: other controllers hear them, and pass
//! their reports on many at a time. The leader sends workers to the controllers that have
//! fewest, itself last of all.

use gladekeel_wire::settings::Deployment;
use std::collections::HashMap;

/// Reports a second that a whole core serves, about.
const REPORTS_A_CORE: f64 = 1000.0;
/// A leader whose workers send more than this part of what it could serve has others hear
/// them.
const OWN_PART: f64 = 0.5;
/// What the leader hears itself if there is a single other controller.
const OWN_PART_OF_TWO: f64 = 0.3;
/// A worker that was sent to another controller is not sent on for this long: it may have
/// come back because it could not reach that one.
const STAYS_S: f64 = 45.0;
/// A controller may have this many times its part of the workers, and a few more, before
/// some are sent on.
const UNEVEN: f64 = 1.25;
/// See [`UNEVEN`].
const UNEVEN_SPARE: f64 = 8.0;
/// A worker that has not reported for this many times as long as its reports take counts no
/// more.
const FORGOTTEN_REPORTS: f64 = 5.0;

/// Who hears a worker's reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// This node, which leads.
    Leader,
    /// Another node, by its index among the peers.
    Peer(usize),
}

#[derive(Debug)]
struct Reporter {
    listener: Listener,
    reported_at: f64,
    moved_at: f64,
}

/// The workers that report, by who hears them.
#[derive(Debug)]
pub struct ReportSharing {
    reporters: HashMap<String, Reporter>,
    /// How many workers each peer hears, and last the leader.
    heard: Vec<usize>,
    /// Workers that the leader can hear itself.
    own_limit: f64,
    forget_after_s: f64,
    forgot_at: f64,
}

impl ReportSharing {
    /// Nobody has reported yet, to any of so many peers.
    pub fn new(params: &Deployment, peers: usize) -> ReportSharing {
        let report_s = params.workers.heartbeat_interval_s;
        ReportSharing {
            reporters: HashMap::new(),
            heard: vec![0; peers + 1],
            own_limit: params.limits.cpu_share * REPORTS_A_CORE * OWN_PART * report_s,
            forget_after_s: FORGOTTEN_REPORTS * report_s,
            forgot_at: 0.0,
        }
    }

    /// Takes note of a report, and tells where the worker should report to instead, if
    /// anywhere. `usable` are the peers that pass reports on.
    pub fn place(
        &mut self,
        now: f64,
        machine: &str,
        listener: Listener,
        usable: &[bool],
    ) -> Option<Listener> {
        self.forget_silent(now);
        self.note(now, machine, listener);
        if now - self.reporters[machine].moved_at < STAYS_S {
            return None;
        }
        let target = self.better_than(listener, usable)?;
        self.note(now, machine, target);
        if let Some(reporter) = self.reporters.get_mut(machine) {
            reporter.moved_at = now;
        }
        Some(target)
    }

    /// How many workers each peer hears, and last the leader.
    pub fn heard(&self) -> &[usize] {
        &self.heard
    }

    /// Who has too few workers, if this listener has too many.
    fn better_than(&self, listener: Listener, usable: &[bool]) -> Option<Listener> {
        let all = self.reporters.len() as f64;
        if all <= self.own_limit || !usable.contains(&true) {
            return None;
        }
        let fair: Vec<f64> = parts(usable).into_iter().map(|part| part * all).collect();
        let at = self.index(listener);
        if self.heard[at] as f64 <= fair[at] * UNEVEN + UNEVEN_SPARE {
            return None;
        }
        let lacks = |at: &usize| (fair[*at] - self.heard[*at] as f64) / fair[*at];
        let target = (0..fair.len())
            .filter(|other| *other != at && fair[*other] > 0.0 && lacks(other) > 0.0)
            .max_by(|a, b| lacks(a).total_cmp(&lacks(b)))?;
        Some(if target < usable.len() { Listener::Peer(target) } else { Listener::Leader })
    }

    fn index(&self, listener: Listener) -> usize {
        match listener {
            Listener::Peer(peer) => peer,
            Listener::Leader => self.heard.len() - 1,
        }
    }

    fn note(&mut self, now: f64, machine: &str, listener: Listener) {
        let before = if let Some(reporter) = self.reporters.get_mut(machine) {
            reporter.reported_at = now;
            Some(std::mem::replace(&mut reporter.listener, listener))
        } else {
            let reporter = Reporter { listener, reported_at: now, moved_at: f64::NEG_INFINITY };
            self.reporters.insert(machine.to_owned(), reporter);
            None
        };
        if let Some(before) = before {
            let at = self.index(before);
            self.heard[at] -= 1;
        }
        let at = self.index(listener);
        self.heard[at] += 1;
    }

    /// Forgets workers that no longer report.
    fn forget_silent(&mut self, now: f64) {
        if now - self.forgot_at < self.forget_after_s {
            return;
        }
        self.forgot_at = now;
        let after_s = self.forget_after_s;
        let mut reporters = std::mem::take(&mut self.reporters);
        reporters.retain(|_, reporter| {
            let stays = now - reporter.reported_at < after_s;
            if !stays {
                let at = self.index(reporter.listener);
                self.heard[at] -= 1;
            }
            stays
        });
        self.reporters = reporters;
    }
}

/// The part of all workers that each peer should hear, and last the leader. The leader has the
/// deciding to do: it hears some only if a single other controller is left.
fn parts(usable: &[bool]) -> Vec<f64> {
    let others = usable.iter().filter(|usable| **usable).count().max(1);
    let own = if others == 1 { OWN_PART_OF_TWO } else { 0.0 };
    let each = (1.0 - own) / others as f64;
    usable.iter().map(|usable| if *usable { each } else { 0.0 }).chain([own]).collect()
}
