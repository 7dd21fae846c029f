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

/// The workers that report, by who hears them.
#[derive(Debug)]
pub struct HeartbeatBalancer {
    workers: HashMap<String, ReportingWorker>,
    /// How many workers each peer hears, and last the leader.
    workers_per_receiver: Vec<usize>,
    /// Workers that the leader can hear itself.
    own_limit: f64,
    expire_after_s: f64,
    expired_at: f64,
}

impl HeartbeatBalancer {
    /// Nobody has reported yet, to any of so many peers.
    pub fn new(deployment: &Deployment, peers: usize) -> HeartbeatBalancer {
        let report_s = deployment.workers.heartbeat_interval_s;
        HeartbeatBalancer {
            workers: HashMap::new(),
            workers_per_receiver: vec![0; peers + 1],
            own_limit: deployment.limits.cpu_share * REPORTS_A_CORE * OWN_PART * report_s,
            expire_after_s: FORGOTTEN_REPORTS * report_s,
            expired_at: 0.0,
        }
    }

    /// Takes note of a report, and tells where the worker should report to instead, if
    /// anywhere. `usable` are the peers that pass reports on.
    pub fn rebalance(
        &mut self,
        now: f64,
        machine: &str,
        listener: HeartbeatReceiver,
        usable: &[bool],
    ) -> Option<HeartbeatReceiver> {
        self.expire_silent(now);
        self.record(now, machine, listener);
        if now - self.workers[machine].redirected_at < STAYS_S {
            return None;
        }
        let target = self.underloaded_receiver(listener, usable)?;
        self.record(now, machine, target);
        if let Some(reporter) = self.workers.get_mut(machine) {
            reporter.redirected_at = now;
        }
        Some(target)
    }

    /// How many workers each peer hears, and last the leader.
    pub fn workers_per_receiver(&self) -> &[usize] {
        &self.workers_per_receiver
    }

    /// Who has too few workers, if this listener has too many.
    fn underloaded_receiver(
        &self,
        listener: HeartbeatReceiver,
        usable: &[bool],
    ) -> Option<HeartbeatReceiver> {
        let all = self.workers.len() as f64;
        if all <= self.own_limit || !usable.contains(&true) {
            return None;
        }
        let fair: Vec<f64> = target_shares(usable).into_iter().map(|part| part * all).collect();
        let at = self.index(listener);
        if self.workers_per_receiver[at] as f64 <= fair[at] * UNEVEN + UNEVEN_SPARE {
            return None;
        }
        let lacks = |at: &usize| (fair[*at] - self.workers_per_receiver[*at] as f64) / fair[*at];
        let target = (0..fair.len())
            .filter(|other| *other != at && fair[*other] > 0.0 && lacks(other) > 0.0)
            .max_by(|a, b| lacks(a).total_cmp(&lacks(b)))?;
        Some(if target < usable.len() {
            HeartbeatReceiver::Peer(target)
        } else {
            HeartbeatReceiver::Leader
        })
    }

    fn index(&self, listener: HeartbeatReceiver) -> usize {
        match listener {
            HeartbeatReceiver::Peer(peer) => peer,
            HeartbeatReceiver::Leader => self.workers_per_receiver.len() - 1,
        }
    }

    fn record(&mut self, now: f64, machine: &str, listener: HeartbeatReceiver) {
        let before = if let Some(reporter) = self.workers.get_mut(machine) {
            reporter.last_heartbeat_at = now;
            Some(std::mem::replace(&mut reporter.receiver, listener))
        } else {
            let reporter = ReportingWorker {
                receiver: listener,
                last_heartbeat_at: now,
                redirected_at: f64::NEG_INFINITY,
            };
            self.workers.insert(machine.to_owned(), reporter);
            None
        };
        if let Some(before) = before {
            let at = self.index(before);
            self.workers_per_receiver[at] -= 1;
        }
        let at = self.index(listener);
        self.workers_per_receiver[at] += 1;
    }

    /// Forgets workers that no longer report.
    fn expire_silent(&mut self, now: f64) {
        if now - self.expired_at < self.expire_after_s {
            return;
        }
        self.expired_at = now;
        let after_s = self.expire_after_s;
        let mut reporters = std::mem::take(&mut self.workers);
        reporters.retain(|_, reporter| {
            let stays = now - reporter.last_heartbeat_at < after_s;
            if !stays {
                let at = self.index(reporter.receiver);
                self.workers_per_receiver[at] -= 1;
            }
            stays
        });
        self.workers = reporters;
    }
}

/// The part of all workers that each peer should hear, and last the leader. The leader has the
/// deciding to do: it hears some only if a single other controller is left.
fn target_shares(usable: &[bool]) -> Vec<f64> {
    let others = usable.iter().filter(|usable| **usable).count().max(1);
    let own = if others == 1 { OWN_PART_OF_TWO } else { 0.0 };
    let each = (1.0 - own) / others as f64;
    usable.iter().map(|usable| if *usable { each } else { 0.0 }).chain([own]).collect()
}
