//! Cost accounting: estimates the money spent on machines, broken down by how the machines were
//! used.

use crate::leader::{Leader, Machine};
use gladekeel_wire::worker::TaskState;

/// Interval at which costs are added up.
const ACCOUNTING_INTERVAL_S: f64 = 10.0;
/// Interval at which the costs are logged.
const LOG_INTERVAL_S: f64 = 60.0;
const SECONDS_PER_HOUR: f64 = 3600.0;

/// Costs by how machines were used, in the cloud's currency. The cost of a machine with tasks is
/// divided between its tasks and its free resources, by their shares of its capacity.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct CostBreakdown {
    /// Cost of machines that were not up yet.
    pub boot: f64,
    /// Cost of machines that were up without any task.
    pub idle: f64,
    /// Cost of free resources on machines that had tasks.
    pub gaps: f64,
    /// Cost of tasks that were assigned but not running, for example while their image was fetched.
    pub waiting: f64,
    /// Cost of running tasks.
    pub running: f64,
}

/// When costs were last added up and logged. The sums themselves are in the leader's counters,
/// which outlive its fencing token.
#[derive(Debug)]
pub(in crate::leader) struct CostAccounting {
    accounted_until: f64,
    logged_at: f64,
}

impl CostAccounting {
    /// Starts accounting for costs from `now` on.
    pub fn new(now: f64) -> CostAccounting {
        CostAccounting { accounted_until: now, logged_at: now }
    }

    /// Returns the length of the current accounting interval in hours and begins the next one;
    /// `None` if the current interval is still shorter than [`ACCOUNTING_INTERVAL_S`].
    fn end_interval(&mut self, now: f64) -> Option<f64> {
        let elapsed_s = now - self.accounted_until;
        if elapsed_s < ACCOUNTING_INTERVAL_S {
            return None;
        }
        self.accounted_until = now;
        Some(elapsed_s.max(0.0) / SECONDS_PER_HOUR)
    }

    /// Whether costs should be logged now; if so, a new logging interval begins.
    fn log_due(&mut self, now: f64) -> bool {
        let due = now - self.logged_at >= LOG_INTERVAL_S;
        if due {
            self.logged_at = now;
        }
        due
    }
}

impl Leader {
    /// Adds up the costs of machines since the last accounting, if an accounting interval is over.
    pub(in crate::leader) fn account_costs(&mut self, now: f64) {
        let Some(hours) = self.cost_accounting.end_interval(now) else { return };
        let mut costs = self.cluster.counters.cost;
        for machine in
            self.cluster.machines.values().filter(|machine| !machine.deletion.is_confirmed())
        {
            self.add_machine_cost(&mut costs, machine, hours);
        }
        self.cluster.counters.cost = costs;
        if self.cost_accounting.log_due(now) {
            tracing::info!(?costs, machines = self.cluster.machines.len(), "cost estimate updated");
        }
    }

    /// Adds the cost of a machine for a period of `hours` hours.
    fn add_machine_cost(&self, costs: &mut CostBreakdown, machine: &Machine, hours: f64) {
        let Some(machine_type_idx) = machine.machine_type else { return };
        let Some(machine_type) = self.catalog.machine_type(machine_type_idx) else { return };
        let Some(capacity) = self.catalog.capacity(machine_type_idx) else { return };
        let spot_price = machine_type.spot_price.filter(|_| machine.spot);
        let cost = spot_price.unwrap_or(machine_type.price) * hours;
        if !machine.liveness.was_seen() {
            costs.boot += cost;
        } else if machine.is_idle() {
            costs.idle += cost;
        } else {
            let (mut running, mut waiting) = (0.0, 0.0);
            for attempt in machine.attempts().iter().filter_map(|id| self.attempts.get(*id)) {
                let share = attempt.resources.dominant_share_of(capacity);
                match attempt.reported_state {
                    Some(TaskState::Running) => running += share,
                    _ => waiting += share,
                }
            }
            costs.running += cost * running;
            costs.waiting += cost * waiting;
            costs.gaps += cost * (1.0 - running - waiting).max(0.0);
        }
    }
}
