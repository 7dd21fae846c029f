//! An estimate of the money spent, by what machines were doing.

use crate::leader::Leader;
use gladekeel_wire::worker::TaskState;

/// How often what machines cost is added up.
const SPEND_EVERY_S: f64 = 10.0;

/// Money by what machines were doing; parts of a machine count as parts.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct CostBreakdown {
    /// Not up yet.
    pub boot: f64,
    /// Up without any work.
    pub idle: f64,
    /// Room left over beside work.
    pub gaps: f64,
    /// Assigned, not running yet: on the way, fetching.
    pub waiting: f64,
    /// Running.
    pub running: f64,
}

impl Leader {
    /// Adds up what machines cost since the last time, by what they were doing.
    pub(in crate::leader) fn count_cost(&mut self, now: f64) {
        if now - self.cost_counted_at < SPEND_EVERY_S {
            return;
        }
        let hours = (now - self.cost_counted_at).max(0.0) / 3600.0;
        self.cost_counted_at = now;
        let spend = &mut self.cluster.counters.cost;
        for machine in self.cluster.machines.values().filter(|m| !m.deletion.is_confirmed()) {
            let Some(kind) = machine.machine_type else { continue };
            let (Some(machine_type), Some(whole)) =
                (self.catalog.machine_type(kind), self.catalog.capacity(kind))
            else {
                continue;
            };
            let spot = machine_type.spot_price.filter(|_| machine.spot);
            let cost = spot.unwrap_or(machine_type.price) * hours;
            if !machine.liveness.was_seen() {
                spend.boot += cost;
            } else if machine.is_idle() {
                spend.idle += cost;
            } else {
                let (mut running, mut waiting) = (0.0, 0.0);
                for attempt in machine.attempts().iter().filter_map(|id| self.attempts.get(*id)) {
                    let part = attempt.resources.dominant_share_of(whole);
                    match attempt.reported_state {
                        Some(TaskState::Running) => running += part,
                        _ => waiting += part,
                    }
                }
                spend.running += cost * running;
                spend.waiting += cost * waiting;
                spend.gaps += cost * (1.0 - running - waiting).max(0.0);
            }
        }
        if now - self.cost_logged_at >= 60.0 {
            self.cost_logged_at = now;
            tracing::info!(?spend, machines = self.cluster.machines.len(), "spent so far");
        }
    }
}
