//! The failure detector: which machines to probe, and which to delete since they have failed.
//!
//! A silent machine may be well: it may send its heartbeats to another controller, or be cut
//! off together with its zone, or this leader may be the one that is cut off. A machine counts
//! as failed only if it does not respond to probes either, while others that share its
//! way to a controller do. Without that proof only a silence of several leases ends it, or the
//! deadline of a cancellation ("Machines" and "Cancelled work ends in time" in
//! `docs/safety.md`).

use super::{
    observation::ClusterObservation,
    reachability::{HeartbeatSilence, ReachableZones, ZoneReachability},
    thresholds::{DetectionContext, DetectionThresholds},
};
use crate::{
    leader::{Leader, Machine, machine::DeletionReason},
    runtime_settings::RuntimeSettings,
};
use gladekeel_sched::ZoneIdx;
use gladekeel_wire::settings::WorkerTimings;
use std::collections::BTreeSet;

/// For how long others must have responded to probes while a machine did not, in seconds. It
/// is probed at least once more meanwhile.
const SUSPECT_S: f64 = 2.5;
/// A machine that has not booted after so many times the usual time has failed to.
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
/// Added to that, in seconds, for machine types that boot at once.
const BOOT_TIMEOUT_MARGIN_S: f64 = 10.0;
/// The usual boot time of a machine whose type is not known, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Follows heartbeats and judges machines by them.
#[derive(Debug)]
pub(in crate::leader) struct FailureDetector {
    zones: ZoneReachability,
    reachable_zones: ReachableZones,
}

impl FailureDetector {
    /// A detector for a new token. Silence of zones counts from now, but zones that were
    /// reachable under the previous token have been so all the while.
    pub fn new(
        now: f64,
        workers: &WorkerTimings,
        reachable_zones: ReachableZones,
    ) -> FailureDetector {
        FailureDetector { zones: ZoneReachability::new(now, workers), reachable_zones }
    }

    /// What goes on to count under the next token.
    pub fn into_reachable_zones(self) -> ReachableZones {
        self.reachable_zones
    }

    /// Records that a machine of a zone was seen.
    pub fn record_heartbeat(&mut self, zone: ZoneIdx, now: f64) {
        self.zones.record_heartbeat(zone, now);
    }

    /// Whether none of a zone's machines is seen although heartbeats are overdue.
    pub fn is_zone_unreachable(&self, zone: ZoneIdx, now: f64) -> bool {
        self.zones.is_unreachable(zone, now)
    }

    /// The zones of which no machine is seen although heartbeats are overdue.
    pub fn unreachable_zones(&self, now: f64) -> impl Iterator<Item = ZoneIdx> {
        self.zones.unreachable_zones(now)
    }

    /// For how long no machine at all was seen.
    pub fn silence(&self, now: f64) -> HeartbeatSilence {
        self.zones.silence(now)
    }

    /// Takes over a new observation of the cluster.
    fn apply_observation(&mut self, now: f64, observation: &ClusterObservation) {
        let expected_by_zone = observation.expected_by_zone();
        self.zones.set_expected(expected_by_zone.map(|(_, expected)| expected).sum());
        for (zone, expected) in observation.expected_by_zone() {
            if let Some(zone) = zone {
                self.zones.set_expected_in(zone, expected, now);
            }
        }
        self.reachable_zones.update(now, observation);
    }
}

/// What the failure detector concludes about a machine.
#[derive(Debug, Default)]
struct Verdict {
    /// The machine is to be probed.
    needs_probe: bool,
    /// The machine is to be deleted.
    deletion: Option<DeletionReason>,
}

/// One pass of the failure detector over all machines.
struct DetectionPass<'a> {
    now: f64,
    thresholds: &'a DetectionThresholds,
    observation: &'a ClusterObservation,
    reachable_zones: &'a ReachableZones,
}

impl DetectionPass<'_> {
    /// Judges a machine whose deletion is not planned. `boot_s` is the usual boot time of its
    /// type, in seconds.
    fn assess(&self, machine: &mut Machine, boot_s: f64) -> Verdict {
        Verdict {
            needs_probe: self.needs_probe(machine),
            deletion: self.deletion_reason(machine, boot_s),
        }
    }

    /// Whether a machine is to be probed: its heartbeat is overdue, or it was up before this
    /// term and its tasks should be known sooner than by its next heartbeat.
    fn needs_probe(&self, machine: &Machine) -> bool {
        let is_unseen = !machine.liveness.was_seen() && machine.has_booted();
        let is_overdue = machine.liveness.silent_s(self.now) > self.thresholds.probe_after_s;
        machine.should_send_heartbeats()
            && !is_drained(machine)
            && !self.is_outbound_partitioned(machine)
            && (is_overdue || (is_unseen && self.thresholds.probes_unseen_machines))
    }

    fn deletion_reason(&self, machine: &mut Machine, boot_s: f64) -> Option<DeletionReason> {
        if is_drained(machine) {
            return Some(DeletionReason::Drained);
        }
        if self.is_outbound_partitioned(machine) {
            return Some(DeletionReason::OutboundPartition);
        }
        if !machine.should_send_heartbeats() {
            return self.has_boot_timed_out(machine, boot_s).then_some(DeletionReason::BootTimeout);
        }
        self.update_suspicion(machine);
        self.has_heartbeat_timed_out(machine).then_some(DeletionReason::HeartbeatTimeout)
    }

    /// Whether a machine responds to probes although its lease has expired: its heartbeats
    /// reach no controller, so it would lose every long task again and again.
    fn is_outbound_partitioned(&self, machine: &Machine) -> bool {
        let liveness = &machine.liveness;
        liveness.answering_probes_s(self.now) > self.thresholds.outbound_partition_s
            && liveness.silent_s(self.now) < self.thresholds.heartbeat_timeout_s
            && machine.newest_message.incarnation > liveness.last_heartbeat_incarnation()
    }

    /// Whether a machine that was never seen has not booted in time. One that was up before
    /// this term may be about to send its first heartbeat to this leader.
    fn has_boot_timed_out(&self, machine: &Machine, boot_s: f64) -> bool {
        let timeout_s = boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_S;
        machine.liveness.silent_s(self.now) > self.thresholds.unreachable_after_s
            && machine.provisioned_at.age_s(self.now) > timeout_s
    }

    /// Notes when others have responded since a machine became unresponsive: that tells its
    /// failure from a partition between it and this leader.
    fn update_suspicion(&self, machine: &mut Machine) {
        let unresponsive_since = machine.liveness.unresponsive_since();
        if unresponsive_since
            .is_some_and(|since| self.observation.others_answered_after(machine.zone, since))
        {
            machine.liveness.record_suspicion(self.now);
        }
    }

    /// Whether the silence of a machine means that it has failed. That of its whole zone may be
    /// a partition with work going on behind it, which only a long silence ends, unless
    /// tasks whose cancellation this leader has not learned of may be there.
    fn has_heartbeat_timed_out(&self, machine: &Machine) -> bool {
        let thresholds = self.thresholds;
        let silent_s = machine.liveness.silent_s(self.now);
        let any_seen = self.observation.any_machine_seen();
        self.has_failed_alone(machine)
            || (any_seen && silent_s > thresholds.silent_zone_s)
            || (any_seen
                && thresholds.unknown_cancellations_due
                && silent_s > thresholds.unreachable_after_s)
            || silent_s > thresholds.max_silence_s
    }

    /// Whether a machine is silent while its zone is reachable and others respond to probes.
    /// Right after a partition all machines of the zone have been silent for long, and are
    /// about to be seen again: only silence while the zone is reachable counts.
    fn has_failed_alone(&self, machine: &Machine) -> bool {
        let silent_s = machine.liveness.silent_s(self.now);
        let reachable_s = self.reachable_zones.reachable_s(machine.zone, self.now);
        reachable_s.is_some_and(|reachable_s| {
            silent_s.min(reachable_s) > self.thresholds.unreachable_after_s
        }) && machine.liveness.is_suspect_for(SUSPECT_S, self.now)
    }
}

/// Whether operators have ordered a machine drained and no attempt is left on it.
fn is_drained(machine: &Machine) -> bool {
    machine.draining && machine.is_idle()
}

impl Leader {
    /// Runs the failure detector: requests probes, and marks failed machines for deletion.
    /// `own_zone` is this leader's, `peer_zones` are those of the controllers that it reaches.
    pub(in crate::leader) fn detect_failures(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        own_zone: &str,
        peer_zones: &[&str],
    ) {
        let thresholds = self.detection_thresholds(now, options);
        let controller_zones = self.controller_zones(own_zone, peer_zones);
        let machines = self.cluster.machines.values();
        let observation = ClusterObservation::collect(now, machines, controller_zones, &thresholds);
        self.failure_detector.apply_observation(now, &observation);
        let pass = DetectionPass {
            now,
            thresholds: &thresholds,
            observation: &observation,
            reachable_zones: &self.failure_detector.reachable_zones,
        };
        let mut failed = Vec::new();
        for (machine_idx, machine) in &mut self.cluster.machines {
            if machine.deletion.is_planned() {
                continue;
            }
            let machine_type = machine.machine_type.and_then(|idx| self.catalog.machine_type(idx));
            let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
            let verdict = pass.assess(machine, boot_s);
            if verdict.needs_probe {
                self.commands.request_probe(*machine_idx);
            }
            failed.extend(verdict.deletion.map(|reason| (*machine_idx, reason)));
        }
        for (machine_idx, reason) in failed {
            self.cluster.mark_for_deletion(now, machine_idx, reason);
        }
    }

    fn detection_thresholds(&self, now: f64, options: &RuntimeSettings) -> DetectionThresholds {
        let context = DetectionContext {
            now,
            unreachable_after_s: options.unreachable_after_s,
            machines: self.cluster.machines.len(),
            store_contact_at: self.store_contact_at,
        };
        DetectionThresholds::new(&self.deployment, &context)
    }

    fn controller_zones(&self, own_zone: &str, peer_zones: &[&str]) -> BTreeSet<ZoneIdx> {
        let zones = std::iter::once(&own_zone).chain(peer_zones);
        zones.filter_map(|zone| self.catalog.zones.get(*zone)).collect()
    }
}
