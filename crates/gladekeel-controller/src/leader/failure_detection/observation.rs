//! The observations of the failure detector, collected in one pass over all machines.

use super::thresholds::DetectionThresholds;
use crate::leader::Machine;
use gladekeel_sched::ZoneIdx;
use std::collections::{BTreeMap, BTreeSet};

/// Which machines were seen and when machines last responded to direct commands, by zone.
#[derive(Default)]
pub(super) struct ClusterObservation {
    zones: BTreeMap<Option<ZoneIdx>, ZoneObservation>,
    /// The zones of this leader and of the other controllers that it can reach.
    controller_zones: BTreeSet<ZoneIdx>,
    any_machine_seen: bool,
}

/// The observations in one zone.
#[derive(Default)]
struct ZoneObservation {
    /// The number of machines from which heartbeats are expected.
    expected: usize,
    /// How many of the expected machines were seen recently.
    seen_recently: usize,
    /// When any machine in the zone last responded to a probe or another direct command; `None` if
    /// none has responded.
    last_direct_response: Option<f64>,
}

impl ZoneObservation {
    fn add(&mut self, machine: &Machine, now: f64, thresholds: &DetectionThresholds) {
        self.expected += 1;
        if machine.liveness.since_last_seen_s(now) < thresholds.recently_seen_s {
            self.seen_recently += 1;
        }
        let responses = [self.last_direct_response, machine.liveness.last_direct_response()];
        self.last_direct_response = responses.into_iter().flatten().reduce(f64::max);
    }

    fn responded_after(&self, time: f64) -> bool {
        self.last_direct_response.is_some_and(|response| response > time)
    }
}

impl ClusterObservation {
    /// Collects the observations of all machines from which heartbeats are expected.
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

    /// Whether any machine was seen recently. If none was, this leader may itself be partitioned.
    pub fn any_machine_seen(&self) -> bool {
        self.any_machine_seen
    }

    /// The zones from which heartbeats are expected, with the number of machines expected to send
    /// them.
    pub fn expected_by_zone(&self) -> impl Iterator<Item = (Option<ZoneIdx>, usize)> {
        self.zones.iter().map(|(zone, observed)| (*zone, observed.expected))
    }

    /// Whether heartbeats are expected from a zone and the zone is reachable: a machine in the zone
    /// was seen recently, or a controller is in the zone and any machine at all was seen recently.
    pub fn is_reachable(&self, zone: Option<ZoneIdx>) -> bool {
        self.zones.get(&zone).is_some_and(|observed| {
            observed.seen_recently > 0 || (self.any_machine_seen && self.has_controller(zone))
        })
    }

    /// The zones for which [`ClusterObservation::is_reachable`] holds.
    pub fn reachable_zones(&self) -> impl Iterator<Item = Option<ZoneIdx>> {
        self.zones.keys().copied().filter(|zone| self.is_reachable(*zone))
    }

    /// Whether machines that share the network path of a machine in `zone` have responded to probes
    /// or other direct commands after `time`, so that a machine that has not responded has probably
    /// failed, rather than the network. The path is shared by the machines of `zone` and, if a
    /// controller is in `zone`, by all machines.
    pub fn others_responded_after(&self, zone: Option<ZoneIdx>, time: f64) -> bool {
        let in_zone = self.zones.get(&zone).is_some_and(|observed| observed.responded_after(time));
        in_zone
            || (self.has_controller(zone)
                && self.zones.values().any(|observed| observed.responded_after(time)))
    }

    /// Whether a controller is in the zone, or the zone is unknown.
    fn has_controller(&self, zone: Option<ZoneIdx>) -> bool {
        zone.is_none_or(|zone| self.controller_zones.contains(&zone))
    }
}
