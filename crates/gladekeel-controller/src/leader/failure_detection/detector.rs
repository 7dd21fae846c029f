//! The failure detector, which decides which machines to probe, and which to delete as failed.
//!
//! A machine from which no message arrives may be healthy: it may send its heartbeats to another
//! controller, its whole zone may be partitioned, or this leader may be partitioned. A machine
//! therefore counts as failed only if it does not respond to probes either, while other machines on
//! the same network path to a controller do. Without that proof, a machine is deleted only after a
//! longer time without messages (`silent_zone_s`, `max_silence_s`), or when a cancellation deadline
//! requires it ("Machines" and "Cancelled work ends in time" in `docs/safety.md`).

use super::{
    observation::ClusterObservation,
    reachability::{ReachableZones, TimeWithoutMessages, ZoneReachability},
    thresholds::{DetectionContext, DetectionThresholds},
};
use crate::{
    leader::{Leader, Machine, machine::DeletionReason},
    runtime_settings::RuntimeSettings,
};
use gladekeel_sched::ZoneIdx;
use gladekeel_wire::settings::WorkerTimings;
use std::collections::BTreeSet;

/// How long a machine must have been suspect before it counts as failed, in seconds. A machine is
/// suspect while other machines respond to probes and this one does not. The machine is probed at
/// least once more during this time.
const MIN_SUSPECT_S: f64 = 2.5;
/// The boot timeout of a machine, as a multiple of the usual boot time of its type.
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
/// Margin that is added to the boot timeout, in seconds, because the usual boot time of some
/// machine types is near zero.
const BOOT_TIMEOUT_MARGIN_S: f64 = 10.0;
/// The boot time assumed for a machine of unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// The state that the failure detector keeps between its passes: the reachability of zones.
#[derive(Debug)]
pub(in crate::leader) struct FailureDetector {
    zones: ZoneReachability,
    reachable_zones: ReachableZones,
}

impl FailureDetector {
    /// Creates a detector for a new fencing token. Each zone is treated as last seen at `now`.
    /// Zones that were reachable under the previous token are treated as reachable without
    /// interruption.
    pub fn new(
        now: f64,
        workers: &WorkerTimings,
        reachable_zones: ReachableZones,
    ) -> FailureDetector {
        FailureDetector { zones: ZoneReachability::new(now, workers), reachable_zones }
    }

    /// Returns the part of the state that stays valid under the next token.
    pub fn into_reachable_zones(self) -> ReachableZones {
        self.reachable_zones
    }

    /// Records a new message from a machine in a zone: either a heartbeat or the response to a
    /// direct command.
    pub fn record_message(&mut self, zone: ZoneIdx, now: f64) {
        self.zones.record_message(zone, now);
    }

    /// Whether a zone counts as unreachable: heartbeats from the zone are overdue, and none of its
    /// machines has been seen in the meantime.
    pub fn is_zone_unreachable(&self, zone: ZoneIdx, now: f64) -> bool {
        self.zones.is_unreachable(zone, now)
    }

    /// The zones for which [`FailureDetector::is_zone_unreachable`] holds.
    pub fn unreachable_zones(&self, now: f64) -> impl Iterator<Item = ZoneIdx> {
        self.zones.unreachable_zones(now)
    }

    /// Returns the time since any machine was last seen, and how many machines should send
    /// heartbeats.
    pub fn time_without_messages(&self, now: f64) -> TimeWithoutMessages {
        self.zones.time_without_messages(now)
    }

    /// Updates the reachability of zones from a new observation of the cluster.
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

/// The conclusions of the failure detector about one machine.
#[derive(Debug, Default)]
struct Assessment {
    /// Whether the machine is to be probed.
    needs_probe: bool,
    /// Why the machine is to be deleted; `None` if it is to be kept.
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
    /// Assesses a machine whose deletion is not planned. `boot_s` is the usual boot time of the
    /// machine's type, in seconds.
    fn assess(&self, machine: &mut Machine, boot_s: f64) -> Assessment {
        Assessment {
            needs_probe: self.needs_probe(machine),
            deletion: self.deletion_reason(machine, boot_s),
        }
    }

    /// Whether a machine is to be probed: its heartbeat is overdue, or the machine was up before
    /// this term and the leader should learn its tasks before its next heartbeat arrives.
    fn needs_probe(&self, machine: &Machine) -> bool {
        let is_unseen = !machine.liveness.was_seen() && machine.has_booted();
        let is_overdue =
            machine.liveness.since_last_seen_s(self.now) > self.thresholds.probe_after_s;
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

    /// Whether a machine responds to probes although its lease has expired. Its heartbeats reach
    /// no controller, so its lease would expire again and again, and no long task would complete.
    fn is_outbound_partitioned(&self, machine: &Machine) -> bool {
        let liveness = &machine.liveness;
        liveness.responsive_without_heartbeats_s(self.now) > self.thresholds.outbound_partition_s
            && liveness.since_last_seen_s(self.now) < self.thresholds.heartbeat_timeout_s
            && machine.newest_message.incarnation > liveness.last_heartbeat_incarnation()
    }

    /// Whether a machine that was never seen has failed to boot in time. A machine that was up
    /// before this term may be about to send its first heartbeat to this leader, so the time
    /// without a message from the machine in this term must also exceed the unreachable timeout.
    fn has_boot_timed_out(&self, machine: &Machine, boot_s: f64) -> bool {
        let timeout_s = boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_S;
        machine.liveness.since_last_seen_s(self.now) > self.thresholds.unreachable_after_s
            && machine.provisioned_at.age_s(self.now) > timeout_s
    }

    /// Marks a machine as suspect if other machines have responded since it became unresponsive.
    /// Such responses distinguish a failed machine from a partition between the machine and this
    /// leader.
    fn update_suspicion(&self, machine: &mut Machine) {
        let unresponsive_since = machine.liveness.unresponsive_since();
        if unresponsive_since
            .is_some_and(|since| self.observation.others_responded_after(machine.zone, since))
        {
            machine.liveness.record_suspicion(self.now);
        }
    }

    /// Whether a machine has sent no message for so long that it counts as failed. If no message
    /// arrives from its whole zone, the cause may be a partition behind which tasks continue to
    /// run: the machine then counts as failed only after a longer time, or earlier if it may run
    /// tasks whose cancellation this leader has not learned of.
    fn has_heartbeat_timed_out(&self, machine: &Machine) -> bool {
        let thresholds = self.thresholds;
        let since_last_seen_s = machine.liveness.since_last_seen_s(self.now);
        let any_seen = self.observation.any_machine_seen();
        self.has_failed_alone(machine)
            || (any_seen && since_last_seen_s > thresholds.silent_zone_s)
            || (any_seen
                && thresholds.unknown_cancellations_due
                && since_last_seen_s > thresholds.unreachable_after_s)
            || since_last_seen_s > thresholds.max_silence_s
    }

    /// Whether a machine sends no messages while its zone is reachable and other machines respond
    /// to probes. Only time during which the zone is reachable counts: right after a partition, no
    /// machine of the zone has been seen for a long time, and all are about to be seen again.
    fn has_failed_alone(&self, machine: &Machine) -> bool {
        let since_last_seen_s = machine.liveness.since_last_seen_s(self.now);
        let reachable_s = self.reachable_zones.reachable_s(machine.zone, self.now);
        reachable_s.is_some_and(|reachable_s| {
            since_last_seen_s.min(reachable_s) > self.thresholds.unreachable_after_s
        }) && machine.liveness.is_suspect_for(MIN_SUSPECT_S, self.now)
    }
}

/// Whether operators have ordered a machine to be drained and no attempt is left on it.
fn is_drained(machine: &Machine) -> bool {
    machine.draining && machine.is_idle()
}

impl Leader {
    /// Runs the failure detector, which requests probes and marks failed machines for deletion.
    /// `own_zone` is the zone of this leader; `peer_zones` are the zones of the other controllers
    /// that this leader can reach.
    pub(in crate::leader) fn detect_failures(
        &mut self,
        now: f64,
        settings: &RuntimeSettings,
        own_zone: &str,
        peer_zones: &[&str],
    ) {
        let thresholds = self.detection_thresholds(now, settings);
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
            let assessment = pass.assess(machine, boot_s);
            if assessment.needs_probe {
                self.commands.request_probe(*machine_idx);
            }
            failed.extend(assessment.deletion.map(|reason| (*machine_idx, reason)));
        }
        for (machine_idx, reason) in failed {
            self.cluster.mark_for_deletion(now, machine_idx, reason);
        }
    }

    fn detection_thresholds(&self, now: f64, settings: &RuntimeSettings) -> DetectionThresholds {
        let context = DetectionContext {
            now,
            unreachable_after_s: settings.unreachable_after_s,
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
