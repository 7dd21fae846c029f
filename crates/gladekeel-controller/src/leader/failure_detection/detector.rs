//! Which machines are dead, and which may outlast the time that a cancelled job has.

use crate::leader::{AssignmentPhase, Leader, Machine, machine::DeletionReason};
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{DenseIndex, ZoneIdx};
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
/// Added to that, for one that boots in no time.
const BOOT_MARGIN_S: f64 = 10.0;
/// The usual time of a boot, where the type is not known.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// A zone counts as heard if a machine reported within this part of `silent_s`.
const HEARD_PART: f64 = 0.6;
/// Added to the time in which one that answers should have reported.
const MUTE_MARGIN_S: f64 = 4.0;
/// A new leader asks so many machines at once how they are, if it has a whole core: answers of
/// thousands would keep a small processor busy for longer than their next reports take.
const ASKED_A_CORE: f64 = 500.0;
/// A machine that is silent for so many leases is dead, whatever else is heard.
const LEASES_SILENT: f64 = 3.0;

impl Leader {
    /// Deletes machines on which tasks of a cancelled job may outlast the time they have.
    /// Leases end most of what is out of reach in time, but a machine that hangs ends
    /// none, and what the cloud deletes is gone for certain.
    pub(in crate::leader) fn end_cancelled(&mut self, now: f64) {
        let workers = &self.deployment.workers;
        // A new leader may not know when the user was told; the machines that it hears
        // are given time to say that they have stopped.
        let known_by = self.since + workers.heartbeat_timeout_s() + 2.0;
        let mut over = Vec::new();
        self.cancelled_on_machines.retain(|ix| {
            let Some(job) = self.jobs.get(ix) else { return false };
            let until = match job.cancelled_no_earlier_than {
                f64::NEG_INFINITY => known_by,
                after => after + workers.cancellation_deadline_s - DELETE_S,
            };
            if now >= until {
                let ids = self.attempts.of_job(*ix).ids();
                let attempts = ids.iter().filter_map(|id| self.attempts.get(*id));
                over.extend(
                    attempts.filter(|a| a.phase == AssignmentPhase::Committed).map(|a| a.machine),
                );
            }
            !self.attempts.of_job(*ix).is_empty()
        });
        for ix in over {
            let Some(machine) = self.cluster.machines.get_mut(&ix) else { continue };
            if machine.deletion_reason.is_none() && !machine.deleted {
                tracing::info!(machine = machine.name, "may still run a cancelled task: deleted");
                machine.deletion_reason = Some(DeletionReason::CancelledTaskMayRun);
                self.cluster.leaving.insert(ix);
            }
        }
    }

    /// Marks machines that are dead: silent, failed to boot, taken.
    pub(in crate::leader) fn detect_failures(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        own_zone: &str,
        heard_zones: &[&str],
    ) {
        let joined: BTreeSet<ZoneIdx> = std::iter::once(&own_zone)
            .chain(heard_zones)
            .filter_map(|zone| self.catalog.zones.get(*zone))
            .collect();
        let survey = self.survey(now, options, joined);
        self.note_reach(now, &survey);
        let limits = self.silence_limits(now, options);
        for (ix, machine) in &mut self.cluster.machines {
            if machine.deletion_reason.is_some() || machine.deleted {
                continue;
            }
            let kind = machine
                .machine_type
                .and_then(|kind| self.catalog.machine_types.get(kind.position())?.as_ref());
            let boot_s = kind.map_or(UNKNOWN_BOOT_S, |kind| kind.boot_s);
            let reached = self.cluster.zones_reachable_since.get(&machine.zone);
            let reached_s = reached.map_or(-1.0, |since| now - since);
            if machine.is_late(now, &limits) {
                self.commands.request_probe(*ix);
            }
            let reason = machine.reason_to_delete(now, &limits, &survey, reached_s, boot_s);
            if reason.is_some() {
                machine.deletion_reason = reason;
                self.cluster.leaving.insert(*ix);
            }
        }
    }

    /// Who is heard and who has answered, by zone. `joined` are the zones of the leader and
    /// of the controllers that it hears.
    fn survey(
        &self,
        now: f64,
        options: &RuntimeSettings,
        joined: BTreeSet<ZoneIdx>,
    ) -> ClusterObservation {
        // A zone's silence must show well before a machine counts as dead.
        let heard_s = HEARD_PART * options.unreachable_after_s;
        let mut survey = ClusterObservation { joined, ..ClusterObservation::default() };
        for machine in self.cluster.machines.values().filter(|m| m.should_send_heartbeats()) {
            let zone = survey.zones.entry(machine.zone).or_default();
            zone.reporting += 1;
            if now - machine.silent_since < heard_s {
                zone.heard += 1;
                survey.heard_any = true;
            }
            zone.answered_at = zone.answered_at.max(machine.last_probe_answer);
        }
        survey
    }

    /// Notes how many machines should report, and which zones are within reach. Silence
    /// counts only while a zone is: right after a cut its machines have been silent for
    /// long and are about to be heard again.
    fn note_reach(&mut self, now: f64, survey: &ClusterObservation) {
        self.reachability.set_expected(survey.zones.values().map(|zone| zone.reporting).sum());
        for (zone, view) in &survey.zones {
            if let Some(zone) = zone {
                // One that was not heard of yet is given time.
                self.reachability.set_expected_in(*zone, view.reporting, now);
            }
        }
        let since = &mut self.cluster.zones_reachable_since;
        since.retain(|zone, _| survey.zones.contains_key(zone) && survey.in_reach(*zone));
        for zone in survey.zones.keys().filter(|zone| survey.in_reach(**zone)) {
            since.entry(*zone).or_insert(now);
        }
    }

    fn silence_limits(&self, now: f64, options: &RuntimeSettings) -> DetectionThresholds {
        let workers = &self.deployment.workers;
        let late_s = workers.heartbeat_timeout_s();
        DetectionThresholds {
            ask_s: workers.probe_after_s(),
            asks_unknown: self.cluster.machines.len() as f64
                <= ASKED_A_CORE * self.deployment.limits.cpu_share,
            late_s,
            lease_s: workers.lease_s,
            silent_s: options.unreachable_after_s,
            mute_s: MUTE_REPORTS * late_s + MUTE_MARGIN_S,
            cut_s: (workers.lease_s + 2.0 * options.unreachable_after_s)
                .min(workers.cancellation_deadline_s - GIVE_UP_S),
            cancellations_due: now
                >= self.store_contact_at + workers.cancellation_deadline_s - DELETE_S,
        }
    }
}

/// For how long silence means what.
struct DetectionThresholds {
    /// A machine is asked.
    ask_s: f64,
    /// Machines that this leader has not heard yet are asked at once.
    asks_unknown: bool,
    /// Its reports are late.
    late_s: f64,
    /// Its lease has run out.
    lease_s: f64,
    /// It may count as dead.
    silent_s: f64,
    /// One that answers reaches no controller with its reports.
    mute_s: f64,
    /// A zone that is silent as a whole is given up.
    cut_s: f64,
    /// The state service has been out of reach for so long that a job which was cancelled
    /// right after the last contact must soon be off every machine, hanging ones included.
    cancellations_due: bool,
}

/// Who was heard, as of one look at all machines.
#[derive(Default)]
struct ClusterObservation {
    zones: BTreeMap<Option<ZoneIdx>, ZoneObservation>,
    /// Zones of the leader and of the controllers that it hears.
    joined: BTreeSet<ZoneIdx>,
    heard_any: bool,
}

/// Who was heard in a zone.
#[derive(Default)]
struct ZoneObservation {
    reporting: usize,
    heard: usize,
    /// When one of its machines last answered a direct request.
    answered_at: Latest,
}

/// The latest of some times, if there is one.
#[derive(Debug, Clone, Copy, Default)]
struct Latest(Option<f64>);

impl Latest {
    fn max(self, at: Option<f64>) -> Latest {
        Latest(self.0.into_iter().chain(at).reduce(f64::max))
    }

    fn is_after(self, at: f64) -> bool {
        self.0.is_some_and(|latest| latest > at)
    }
}

impl ClusterObservation {
    /// Whether a controller is in the zone, or the zone is not known.
    fn is_joined(&self, zone: Option<ZoneIdx>) -> bool {
        zone.is_none_or(|zone| self.joined.contains(&zone))
    }

    /// Whether a zone is within reach: a machine there is heard, or any machine is and a
    /// controller is there. Without a single machine, the leader may be the one that is
    /// cut off.
    fn in_reach(&self, zone: Option<ZoneIdx>) -> bool {
        let heard = self.zones.get(&zone).is_some_and(|view| view.heard > 0);
        heard || (self.heard_any && self.is_joined(zone))
    }

    /// Whether others of a zone have answered after a time.
    fn answered_after(&self, zone: Option<ZoneIdx>, at: f64) -> bool {
        let here = self.zones.get(&zone).is_some_and(|view| view.answered_at.is_after(at));
        let mut anywhere = self.zones.values().map(|view| view.answered_at);
        here || (self.is_joined(zone) && anywhere.any(|answered| answered.is_after(at)))
    }
}

impl Machine {
    /// Whether it is asked whether it is there: it is late, or it was up before this leader
    /// began, so that its tasks are known before its next report.
    fn is_late(&self, now: f64, limits: &DetectionThresholds) -> bool {
        let unknown = self.last_seen.is_none() && self.has_booted();
        self.should_send_heartbeats()
            && !self.is_empty_and_drained()
            && !self.reports_to_nobody(now, limits)
            && (now - self.silent_since > limits.ask_s || (unknown && limits.asks_unknown))
    }

    fn is_empty_and_drained(&self) -> bool {
        self.draining && self.attempts.is_empty()
    }

    /// Whether it answers, but its lease has run out: nobody hears its reports, and it would
    /// lose every long task again and again.
    fn reports_to_nobody(&self, now: f64, limits: &DetectionThresholds) -> bool {
        let answers_s = self.answering_probes_since.map_or(0.0, |since| now - since);
        answers_s > limits.mute_s
            && now - self.silent_since < limits.late_s
            && self.newest_message.0 > self.last_heartbeat.1
    }

    /// Why it is to be deleted, if it is: what it says, or that it says nothing.
    fn reason_to_delete(
        &mut self,
        now: f64,
        limits: &DetectionThresholds,
        survey: &ClusterObservation,
        reached_s: f64,
        boot_s: f64,
    ) -> Option<DeletionReason> {
        let quiet = now - self.silent_since;
        if self.is_empty_and_drained() {
            tracing::info!(machine = self.name, "drained: returned");
            return Some(DeletionReason::Drained);
        }
        if self.reports_to_nobody(now, limits) {
            tracing::info!(machine = self.name, quiet, "reports to nobody: deleted");
            return Some(DeletionReason::OutboundPartition);
        }
        if !self.should_send_heartbeats() {
            // One that was up already has not reported to this leader yet; it may be
            // about to.
            let booted_s = now - self.rented_at;
            let overdue = booted_s > boot_s * BOOT_MULTIPLE + BOOT_MARGIN_S;
            if quiet <= limits.silent_s || !overdue {
                return None;
            }
            tracing::info!(machine = self.name, "never came up: deleted");
            return Some(DeletionReason::BootTimeout);
        }
        // It may report to another node and be well, or a cut may have begun when it was
        // about to report, or no worker can be reached from here: its silence counts only if
        // it does not answer while others of its zone do.
        if self.unresponsive_since.is_some_and(|mute| survey.answered_after(self.zone, mute)) {
            self.suspect_since.get_or_insert(now);
        }
        let dead = self.suspect_since.is_some_and(|since| now - since >= SUSPECT_S);
        // Silence of a whole zone may be a cut, and its machines may be at work behind it:
        // only a long one is taken for their end, unless cancelled tasks that this leader
        // has not heard of may be on them.
        let silent = (quiet.min(reached_s) > limits.silent_s && dead)
            || (survey.heard_any && quiet > limits.cut_s)
            || (survey.heard_any && limits.cancellations_due && quiet > limits.silent_s)
            || quiet > LEASES_SILENT * limits.lease_s;
        if !silent {
            return None;
        }
        tracing::info!(machine = self.name, quiet, "silent: deleted");
        Some(DeletionReason::HeartbeatTimeout)
    }
}
