//! Which zones the leader can reach, according to the messages that arrive from their machines.

use super::observation::ClusterObservation;
use gladekeel_sched::ZoneIdx;
use gladekeel_wire::settings::WorkerTimings;
use std::collections::BTreeMap;

/// A zone counts as unreachable once this many consecutive heartbeats from it are missing.
const MAX_MISSING_HEARTBEATS: f64 = 30.0;
/// The minimum time without a message from a zone before the zone counts as unreachable, in
/// seconds.
const MIN_ZONE_TIMEOUT_S: f64 = 1.5;

/// When machines were last seen, overall and by zone.
///
/// The scheduler places no tasks in an unreachable zone, and a leader that sees no machine at all
/// resigns.
#[derive(Debug)]
pub(in crate::leader) struct ZoneReachability {
    /// When any machine was last seen, in seconds on the node's clock.
    last_seen: f64,
    /// The number of machines from which heartbeats are expected.
    expected: usize,
    zones: BTreeMap<ZoneIdx, ZoneHeartbeats>,
    heartbeat_interval_s: f64,
    heartbeat_timeout_s: f64,
}

/// The number of machines in one zone from which heartbeats are expected, and when any machine in
/// the zone was last seen.
#[derive(Debug, Default)]
struct ZoneHeartbeats {
    expected: usize,
    last_seen: f64,
}

/// The time since any machine was last seen, and how many machines should send heartbeats.
#[derive(Debug, Clone, Copy)]
pub struct TimeWithoutMessages {
    /// The number of machines from which heartbeats are expected.
    pub expected_machines: usize,
    /// The time since any machine was last seen, in seconds.
    pub since_last_seen_s: f64,
}

impl ZoneReachability {
    /// Creates the state in which no machine has been seen yet. The time without messages is
    /// counted from `now`.
    pub fn new(now: f64, workers: &WorkerTimings) -> ZoneReachability {
        ZoneReachability {
            last_seen: now,
            expected: 0,
            zones: BTreeMap::new(),
            heartbeat_interval_s: workers.heartbeat_interval_s,
            heartbeat_timeout_s: workers.heartbeat_timeout_s(),
        }
    }

    /// Records a new message from a machine in a zone: either a heartbeat or the response to a
    /// direct command.
    pub fn record_message(&mut self, zone: ZoneIdx, now: f64) {
        self.last_seen = now;
        self.zones.entry(zone).or_default().last_seen = now;
    }

    /// Sets the total number of machines from which heartbeats are expected.
    pub fn set_expected(&mut self, machines: usize) {
        self.expected = machines;
    }

    /// Sets the number of machines in a zone from which heartbeats are expected. For a new zone,
    /// the time without messages is counted from `now`.
    pub fn set_expected_in(&mut self, zone: ZoneIdx, machines: usize, now: f64) {
        let new_zone = ZoneHeartbeats { expected: 0, last_seen: now };
        self.zones.entry(zone).or_insert(new_zone).expected = machines;
    }

    /// Whether so many heartbeats from a zone are missing that the zone is probably partitioned.
    /// Tasks placed in the zone now would not start until the partition ends.
    pub fn is_unreachable(&self, zone: ZoneIdx, now: f64) -> bool {
        self.zones.get(&zone).is_some_and(|zone| {
            let machines = zone.expected.max(1) as f64;
            let missing_s = MAX_MISSING_HEARTBEATS * self.heartbeat_interval_s / machines;
            now - zone.last_seen > missing_s.clamp(MIN_ZONE_TIMEOUT_S, self.heartbeat_timeout_s)
        })
    }

    /// The zones for which [`ZoneReachability::is_unreachable`] holds.
    pub fn unreachable_zones(&self, now: f64) -> impl Iterator<Item = ZoneIdx> {
        self.zones.keys().copied().filter(move |zone| self.is_unreachable(*zone, now))
    }

    /// Returns the time since any machine was last seen, and how many machines should send
    /// heartbeats.
    pub fn time_without_messages(&self, now: f64) -> TimeWithoutMessages {
        TimeWithoutMessages {
            expected_machines: self.expected,
            since_last_seen_s: now - self.last_seen,
        }
    }
}

/// Since when each zone has been reachable without interruption, as observed by the failure
/// detector. The state survives a change of fencing token. The key `None` stands for the machines
/// whose zone is unknown.
#[derive(Debug, Default)]
pub(in crate::leader) struct ReachableZones {
    since: BTreeMap<Option<ZoneIdx>, f64>,
}

impl ReachableZones {
    /// Updates the state with the zones that are reachable now.
    pub(super) fn update(&mut self, now: f64, observation: &ClusterObservation) {
        self.since.retain(|zone, _| observation.is_reachable(*zone));
        for zone in observation.reachable_zones() {
            self.since.entry(zone).or_insert(now);
        }
    }

    /// For how long a zone has been reachable, in seconds; `None` if it is not known to be
    /// reachable.
    pub fn reachable_s(&self, zone: Option<ZoneIdx>, now: f64) -> Option<f64> {
        self.since.get(&zone).map(|since| now - since)
    }
}
