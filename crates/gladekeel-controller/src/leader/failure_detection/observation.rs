//! The signals that the failure detector weighs, as of one pass over all machines.

use super::thresholds::DetectionThresholds;
use crate::leader::Machine;
use gladekeel_sched::ZoneIdx;
use std::collections::{BTreeMap, BTreeSet};

/// Who was seen and who has responded to probes, by zone.
#[derive(Default)]
pub(super) struct ClusterObservation {
    zones: BTreeMap<Option<ZoneIdx>, ZoneObservation>,
    /// Zones of this leader and of the controllers that it reaches.
    controller_zones: BTreeSet<ZoneIdx>,
    any_machine_seen: bool,
}

/// The same of one zone.
#[derive(Default)]
struct ZoneObservation {
    /// Machines of which heartbeats are expected.
    expected: usize,
    /// Those of them that were seen recently.
    seen_recently: usize,
    /// When a machine of the zone last responded to a probe.
    last_probe_answer: Option<f64>,
}

impl ZoneObservation {
    fn add(&mut self, machine: &Machine, now: f64, thresholds: &DetectionThresholds) {
        self.expected += 1;
        if machine.liveness.silent_s(now) < thresholds.recently_seen_s {
            self.seen_recently += 1;
        }
        let answers = [self.last_probe_answer, machine.liveness.last_probe_answer()];
        self.last_probe_answer = answers.into_iter().flatten().reduce(f64::max);
    }

    fn answered_after(&self, time: f64) -> bool {
        self.last_probe_answer.is_some_and(|answer| answer > time)
    }
}

impl ClusterObservation {
    /// Looks at all machines of which heartbeats are expected.
    pub fn collect<'a>(
        now: f64,
        machines: impl Iterator<Item = &'a Machine>,
        controller_zones: BTreeSet<ZoneIdx>,
        thresholds: &DetectionThresholds,
    ) -> ClusterObservation {
        let mut observation =
            ClusterObservation { controller_zones, ..ClusterObservation::default() };
        for machine in machines.filter(|machine| machine.should_send_heartbeats()) {
            observation.zones.entry(machine.zone).or_default().add(machine, now, thresholds);
        }
        observation.any_machine_seen =
            observation.zones.values().any(|zone| zone.seen_recently > 0);
        observation
    }

    /// Whether any machine was seen recently. If none was, this leader may be the one that is
    /// partitioned.
    pub fn any_machine_seen(&self) -> bool {
        self.any_machine_seen
    }

    /// The zones with machines of which heartbeats are expected, and how many those are.
    pub fn expected_by_zone(&self) -> impl Iterator<Item = (Option<ZoneIdx>, usize)> {
        self.zones.iter().map(|(zone, observed)| (*zone, observed.expected))
    }

    /// Whether heartbeats of a zone are expected and it is reachable: a machine there was seen
    /// recently, or a controller is there and any machine at all was seen.
    pub fn is_reachable(&self, zone: Option<ZoneIdx>) -> bool {
        self.zones.get(&zone).is_some_and(|observed| {
            observed.seen_recently > 0 || (self.any_machine_seen && self.has_controller(zone))
        })
    }

    /// The zones that are reachable.
    pub fn reachable_zones(&self) -> impl Iterator<Item = Option<ZoneIdx>> {
        self.zones.keys().copied().filter(|zone| self.is_reachable(*zone))
    }

    /// Whether other machines have responded to probes after the given time, so that one that
    /// has not is itself to blame: machines of its zone, or of any if a controller is there.
    pub fn others_answered_after(&self, zone: Option<ZoneIdx>, time: f64) -> bool {
        let in_zone = self.zones.get(&zone).is_some_and(|observed| observed.answered_after(time));
        in_zone
            || (self.has_controller(zone)
                && self.zones.values().any(|observed| observed.answered_after(time)))
    }

    /// Whether a controller is in the zone, or the zone is not known.
    fn has_controller(&self, zone: Option<ZoneIdx>) -> bool {
        zone.is_none_or(|zone| self.controller_zones.contains(&zone))
    }
}
