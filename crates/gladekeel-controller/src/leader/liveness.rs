//! Which machines are dead, and which may outlast the time that a cancelled job has.

use super::{Leader, Phase};
use crate::options::Options;
use std::collections::{BTreeMap, BTreeSet};

/// How long others of its zone answer while a machine does not answer: it is asked
/// at least once more meanwhile.
const SUSPECT_S: f64 = 2.5;
/// Time that a deletion may take, with a cloud that is slow and asked for much.
const DELETE_S: f64 = 15.0;
/// A machine whose lease has run out and that answers, but has not reported for so many
/// times as long as its reports may take, reaches no controller.
const MUTE_REPORTS: f64 = 2.0;
/// A zone that is silent as a whole is given up so long before a cancellation that its
/// silence may have begun with must have ended.
const GIVE_UP_S: f64 = 8.0;
/// A machine that boots longer than this many times the usual time does not come.
const BOOT_MULTIPLE: f64 = 2.5;

impl Leader {
    /// Deletes machines on which tasks of a cancelled job may outlast the time they have.
    /// Leases end most of what is out of reach in time, but a machine that hangs ends
    /// none, and what the cloud deletes is gone for certain.
    pub(super) fn end_cancelled(&mut self, now: f64) {
        let workers = &self.params.workers;
        // A new leader may not know when the user was told; the machines that it hears
        // are given time to say that they have stopped.
        let known_by = self.since + workers.late_s() + 2.0;
        let mut over = Vec::new();
        self.ending.retain(|ix| {
            let Some(job) = self.jobs.get(ix) else { return false };
            let until = match job.cancelled_after {
                f64::NEG_INFINITY => known_by,
                after => after + workers.cancel_s - DELETE_S,
            };
            if now >= until {
                let ids = self.attempts.of_job(*ix).ids();
                let attempts = ids.iter().filter_map(|id| self.attempts.get(*id));
                over.extend(attempts.filter(|a| a.phase == Phase::Live).map(|a| a.machine));
            }
            !self.attempts.of_job(*ix).is_empty()
        });
        for ix in over {
            let Some(machine) = self.cluster.machines.get_mut(&ix) else { continue };
            if machine.delete.is_none() && !machine.gone {
                tracing::info!(machine = machine.name, "may still run a cancelled task: deleted");
                machine.delete = Some("may still run a cancelled task");
                self.cluster.leaving.insert(ix);
            }
        }
    }

    /// Marks machines that are dead: silent, failed to boot, taken.
    pub(super) fn find_dead(
        &mut self,
        now: f64,
        options: &Options,
        own_zone: &str,
        heard_zones: &[&str],
    ) {
        let boots: BTreeMap<u32, f64> = self
            .catalog
            .types
            .iter()
            .enumerate()
            .filter_map(|(kind, t)| Some((kind as u32, t.as_ref()?.boot_s)))
            .collect();
        // A zone's silence must show well before a machine counts as dead.
        let heard_s = 0.6 * options.silent_s;
        let ask_s = self.params.workers.ask_s();
        let silent_s = options.silent_s;
        let mut zones: BTreeMap<Option<u32>, (usize, usize)> = BTreeMap::new();
        let mut answered: BTreeMap<Option<u32>, f64> = BTreeMap::new();
        for machine in self.cluster.machines.values().filter(|m| m.should_report()) {
            let (heard, all) = zones.entry(machine.zone).or_default();
            *all += 1;
            *heard += usize::from(now - machine.quiet_since < heard_s);
            if let Some(at) = machine.answered_at {
                let last = answered.entry(machine.zone).or_insert(at);
                *last = last.max(at);
            }
        }
        let any_answered = answered.values().copied().fold(f64::NEG_INFINITY, f64::max);
        self.contact.set_reporting(zones.values().map(|(_, all)| all).sum());
        for (zone, (_, all)) in &zones {
            if let Some(zone) = zone {
                // One that was not heard of yet is given time.
                self.contact.set_reporting_of(*zone, *all, now);
            }
        }
        let heard_any = zones.values().any(|(heard, _)| *heard > 0);
        let lease_s = self.params.workers.lease_s;
        let late_s = self.params.workers.late_s();
        let mute_s = MUTE_REPORTS * late_s + 4.0;
        let cut_s = (lease_s + 2.0 * silent_s).min(self.params.workers.cancel_s - GIVE_UP_S);
        // A zone is within reach if a machine there is heard, or if any machine is,
        // and the zone is the leader's own or a controller there is heard. Without
        // a single machine, the leader may be the one that is cut off.
        let joined = |zone: Option<u32>| {
            let name = zone.map(|zone| self.catalog.zones.name(zone).as_str());
            name.is_none_or(|name| name == own_zone || heard_zones.contains(&name))
        };
        let in_reach = |zone: Option<u32>| {
            zones.get(&zone).is_some_and(|(heard, _)| *heard > 0) || (heard_any && joined(zone))
        };
        let reached: BTreeSet<Option<u32>> =
            zones.keys().copied().filter(|zone| in_reach(*zone)).collect();
        // Silence counts only while the zone is within reach: right after a cut its
        // machines have been silent for long and are about to be heard again.
        let since = &mut self.cluster.reached_since;
        since.retain(|zone, _| reached.contains(zone));
        for zone in reached {
            since.entry(zone).or_insert(now);
        }
        for (ix, machine) in &mut self.cluster.machines {
            if machine.delete.is_some() || machine.gone {
                continue;
            }
            let quiet = now - machine.quiet_since;
            if machine.drained && machine.attempts.is_empty() {
                tracing::info!(machine = machine.name, "drained: returned");
                machine.delete = Some("drained");
                self.cluster.leaving.insert(*ix);
                continue;
            }
            let answers_s = machine.answers_since.map_or(0.0, |since| now - since);
            if answers_s > mute_s && quiet < late_s && machine.newest.0 > machine.reported.1 {
                // It answers, but its lease has run out: nobody hears its reports, and
                // it would lose every long task again and again.
                tracing::info!(machine = machine.name, quiet, "reports to nobody: deleted");
                machine.delete = Some("reports to nobody");
                self.cluster.leaving.insert(*ix);
            } else if machine.should_report() {
                let reached = self.cluster.reached_since.get(&machine.zone);
                let reached_s = reached.map_or(-1.0, |since| now - since);
                // Silence of a whole zone may be a cut, and its machines may be at
                // work behind it: only a long one is taken for their end.
                // A late one is asked; so is one that was up before this leader began, so
                // that its tasks are known before its next report.
                if quiet > ask_s || (machine.heard_at.is_none() && machine.was_up()) {
                    self.direct.probes_wanted.insert(*ix);
                }
                // It may report to another node and be well, or a cut may have begun when
                // it was about to report, or no worker can be reached from here: its silence
                // counts only if it does not answer while others of its zone do.
                let others = machine.mute_since.is_some_and(|mute| {
                    answered.get(&machine.zone).is_some_and(|at| *at > mute)
                        || (any_answered > mute && joined(machine.zone))
                });
                if others {
                    machine.suspect_since.get_or_insert(now);
                }
                let dead = machine.suspect_since.is_some_and(|since| now - since >= SUSPECT_S);
                if (quiet.min(reached_s) > silent_s && dead)
                    || (heard_any && quiet > cut_s)
                    || quiet > 3.0 * lease_s
                {
                    tracing::info!(machine = machine.name, quiet, "silent: deleted");
                    machine.delete = Some("silent");
                    self.cluster.leaving.insert(*ix);
                }
            } else {
                let boot = machine.kind.and_then(|kind| boots.get(&kind)).copied().unwrap_or(60.0);
                // One that was up already has not reported to this leader yet; it may be
                // about to.
                if quiet > silent_s && now - machine.rented_at > boot * BOOT_MULTIPLE + 10.0 {
                    tracing::info!(machine = machine.name, "never came up: deleted");
                    machine.delete = Some("never came up");
                    self.cluster.leaving.insert(*ix);
                }
            }
        }
    }
}
