//! The scaling plan for the machines of one type: how many to add, and how many are surplus.

use super::{demand::MachineTypeDemand, supply::MachineTypeSupply};
use crate::leader::Leader;
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{
    MachineTypeIdx,
    autoscaling::{Autoscaler, ScalingInput, ScalingPlan, Supply},
};
use std::collections::HashMap;

/// The autoscalers of a machine type.
#[derive(Debug, Default)]
struct MachineTypeAutoscalers {
    /// Plans for all jobs, on machines of any purchase model.
    any: Autoscaler,
    /// Plans for jobs that may not use spot machines, on on-demand machines.
    on_demand: Autoscaler,
}

/// The autoscalers of all machine types.
#[derive(Debug, Default)]
pub(super) struct Autoscalers(HashMap<MachineTypeIdx, MachineTypeAutoscalers>);

/// The plans for the machines of one type.
#[derive(Debug)]
pub(super) struct MachineTypePlan {
    /// The plan for all jobs, on machines of any purchase model.
    pub any: ScalingPlan,
    /// The plan for jobs that may not use spot machines, on on-demand machines.
    pub on_demand: ScalingPlan,
}

/// How many idle machines may be deleted, by purchase model.
#[derive(Debug, Clone, Copy)]
pub(super) struct Surplus {
    pub on_demand: usize,
    pub spot: usize,
}

impl MachineTypePlan {
    /// Returns how many machines are surplus. On-demand machines are surplus as soon as they are
    /// not required; spot machines are cheap, so enough are retained for the usual load.
    pub fn surplus(&self, supply: &MachineTypeSupply) -> Surplus {
        let on_demand = excess(&supply.on_demand, self.on_demand.required)
            .min(excess(&supply.any, self.any.required));
        let spot = excess(&supply.any, self.any.retain).saturating_sub(on_demand);
        Surplus { on_demand, spot }
    }
}

/// Returns by how many machines the supply exceeds the number of machines that are needed.
fn excess(supply: &Supply, needed: f64) -> usize {
    (supply.total() - needed.round()).max(0.0) as usize
}

impl Leader {
    /// Plans the machines of a type, for all jobs and for jobs that may not use spot machines.
    pub(super) fn plan_machine_type(
        &mut self,
        now: f64,
        settings: &RuntimeSettings,
        machine_type_idx: MachineTypeIdx,
        demand: &MachineTypeDemand,
        supply: &MachineTypeSupply,
        boot_s: f64,
    ) -> MachineTypePlan {
        let warm_pool = f64::from(self.cluster.warm_pool.target(machine_type_idx));
        let state = &mut self.cluster.autoscaler;
        let arrivals = state.arrivals.rates(machine_type_idx);
        let autoscalers = state.autoscalers.0.entry(machine_type_idx).or_default();
        let all =
            ScalingInput { demands: &demand.any, supply: &supply.any, arrivals: &arrivals, boot_s };
        let on_demand_only = ScalingInput {
            demands: &demand.on_demand_only,
            supply: &supply.on_demand,
            arrivals: &[],
            boot_s,
        };
        let any = autoscalers.any.plan(now, &all, &settings.autoscaler);
        let mut on_demand = autoscalers.on_demand.plan(now, &on_demand_only, &settings.autoscaler);
        on_demand.required = on_demand.required.max(warm_pool);
        MachineTypePlan { any, on_demand }
    }
}
