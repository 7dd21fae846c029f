//! Which controller each worker reports to.
//!
//! Most of what a report costs is that a message of its own arrives. The leader decides by
//! every report but need not hear each worker itself: other controllers hear them, and pass
//! their reports on many at a time. The leader sends workers to the controllers that have
//! fewest, itself last of all.

use gladekeel_wire::settings::Params;
use std::collections::HashMap;

/// Reports a second that a whole core serves, about.
const REPORTS_A_CORE: f64 = 1000.0;
/// A leader whose workers send more than this part of what it could serve has others hear
/// them.
const OWN_PART: f64 = 0.5;
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
    /// How many workers each peer hears.
    heard_by_peer: Vec<usize>,
    /// Workers that the leader can hear itself.
    own_limit: f64,
    forget_after_s: f64,
    forgot_at: f64,
}

impl ReportSharing {
    /// Nobody has reported yet, to any of so many peers.
    pub fn new(params: &Params, peers: usize) -> ReportSharing {
        let report_s = params.workers.report_s;
        ReportSharing {
            reporters: HashMap::new(),
            heard_by_peer: vec![0; peers],
            own_limit: params.limits.cpu_share * REPORTS_A_CORE * OWN_PART * report_s,
            forget_after_s: FORGOTTEN_REPORTS * report_s,
            forgot_at: 0.0,
        }
    }

    /// Takes note of a report, and tells which peer the worker should report to instead, if
    /// any. `usable` are the peers that pass reports on.
    pub fn place(
        &mut self,
        now: f64,
        machine: &str,
        listener: Listener,
        usable: &[bool],
    ) -> Option<usize> {
        self.forget_silent(now);
        self.note(now, machine, listener);
        let (target, fewest) = (0..usable.len())
            .filter(|peer| usable[*peer])
            .map(|peer| (peer, self.heard_by_peer[peer]))
            .min_by_key(|(_, count)| *count)?;
        let moved_at = self.reporters[machine].moved_at;
        if now - moved_at < STAYS_S || !self.should_move(listener, fewest, usable) {
            return None;
        }
        self.note(now, machine, Listener::Peer(target));
        if let Some(reporter) = self.reporters.get_mut(machine) {
            reporter.moved_at = now;
        }
        Some(target)
    }

    /// How many workers each peer hears.
    pub fn heard_by_peer(&self) -> &[usize] {
        &self.heard_by_peer
    }

    fn should_move(&self, listener: Listener, fewest: usize, usable: &[bool]) -> bool {
        let all = self.reporters.len() as f64;
        if all <= self.own_limit {
            return false;
        }
        let Listener::Peer(peer) = listener else { return true };
        let part = all / usable.iter().filter(|usable| **usable).count().max(1) as f64;
        self.heard_by_peer[peer] as f64 > part * UNEVEN + UNEVEN_SPARE && (fewest as f64) < part
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
        if before != Some(listener) {
            if let Some(Listener::Peer(peer)) = before {
                self.heard_by_peer[peer] -= 1;
            }
            if let Listener::Peer(peer) = listener {
                self.heard_by_peer[peer] += 1;
            }
        }
    }

    /// Forgets workers that no longer report.
    fn forget_silent(&mut self, now: f64) {
        if now - self.forgot_at < self.forget_after_s {
            return;
        }
        self.forgot_at = now;
        let (after_s, heard_by_peer) = (self.forget_after_s, &mut self.heard_by_peer);
        self.reporters.retain(|_, reporter| {
            let stays = now - reporter.reported_at < after_s;
            if let (false, Listener::Peer(peer)) = (stays, reporter.listener) {
                heard_by_peer[peer] -= 1;
            }
            stays
        });
    }
}
