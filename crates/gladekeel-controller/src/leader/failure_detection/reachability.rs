//! Which machines and zones the leader hears.

use gladekeel_sched::ZoneIdx;
use gladekeel_wire::settings::WorkerTimings;
use std::collections::BTreeMap;

/// A zone of which so many reports in a row are missing is out of reach.
const QUIET_REPORTS: f64 = 30.0;
/// It is so after this long at the least.
const QUIET_LEAST_S: f64 = 1.5;

/// Reports as they arrive, for all machines together and by zone.
#[derive(Debug)]
pub(in crate::leader) struct ZoneReachability {
    /// When any machine was heard.
    heard_at: f64,
    /// How many machines should report, as of the last look.
    reporting: usize,
    zones: BTreeMap<ZoneIdx, Zone>,
    report_s: f64,
    late_s: f64,
}

/// The same of one zone.
#[derive(Debug, Default)]
struct Zone {
    reporting: usize,
    heard_at: f64,
}

impl ZoneReachability {
    /// Nothing was heard yet; silence counts from now.
    pub fn new(now: f64, workers: &WorkerTimings) -> ZoneReachability {
        ZoneReachability {
            heard_at: now,
            reporting: 0,
            zones: BTreeMap::new(),
            report_s: workers.heartbeat_interval_s,
            late_s: workers.heartbeat_timeout_s(),
        }
    }

    /// Records that a machine of a zone was heard.
    pub fn record_heartbeat(&mut self, zone: ZoneIdx, now: f64) {
        self.heard_at = now;
        self.zones.entry(zone).or_default().heard_at = now;
    }

    /// Sets how many machines should report, in all.
    pub fn set_expected(&mut self, all: usize) {
        self.reporting = all;
    }

    /// Sets how many machines of a zone should report.
    pub fn set_expected_in(&mut self, zone: ZoneIdx, all: usize, now: f64) {
        let new = Zone { reporting: 0, heard_at: now };
        self.zones.entry(zone).or_insert(new).reporting = all;
    }

    /// Whether none of a zone's machines is heard although by their number some should
    /// be: work that is placed there now would wait behind a cut.
    pub fn is_unreachable(&self, zone: ZoneIdx, now: f64) -> bool {
        self.zones.get(&zone).is_some_and(|zone| {
            let due_s = QUIET_REPORTS * self.report_s / zone.reporting.max(1) as f64;
            now - zone.heard_at > due_s.clamp(QUIET_LEAST_S, self.late_s)
        })
    }

    /// The zones that are quiet.
    pub fn unreachable_zones(&self, now: f64) -> impl Iterator<Item = ZoneIdx> {
        self.zones.keys().copied().filter(move |zone| self.is_unreachable(*zone, now))
    }

    /// Machines that should report, and how long none of them has.
    pub fn silence(&self, now: f64) -> (usize, f64) {
        (self.reporting, now - self.heard_at)
    }
}
