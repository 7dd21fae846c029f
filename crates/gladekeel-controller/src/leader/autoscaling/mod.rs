//! Autoscaling: decides how many machines of each type there should be, issues the requests that
//! rent and delete machines, and accounts for their costs.
//!
//! The leader calls [`Leader::autoscale`] at each maintenance interval. For each machine type it
//! compares the [demand] of jobs with the [supply] of machines, makes a [plan], and then scales
//! [out](scale_out) or [in](scale_in). Scaling out and in only records which machines to rent or
//! delete; [`cloud_requests`] issues the requests as the cloud's limits allow.

mod arrivals;
pub(in crate::leader) mod cloud_requests;
pub(in crate::leader) mod cost;
mod demand;
mod machine_pool;
mod plan;
mod scale_in;
mod scale_out;
mod supply;
pub(in crate::leader) mod warm_pool;
mod zone_demand;

use crate::leader::Leader;
use crate::runtime_settings::RuntimeSettings;
use arrivals::ArrivalHistory;
use demand::MachineTypeDemand;
use gladekeel_sched::MachineTypeIdx;
use plan::Autoscalers;

/// The state that the autoscaler keeps between runs.
#[derive(Debug, Default)]
pub(in crate::leader) struct AutoscalerState {
    autoscalers: Autoscalers,
    arrivals: ArrivalHistory,
}

impl Leader {
    /// Decides which machines to rent and which idle ones to delete.
    pub(in crate::leader) fn autoscale(&mut self, now: f64, settings: &RuntimeSettings) {
        self.cluster.cloud.clear_scale_outs();
        self.cluster.autoscaler.arrivals.decay(now);
        let mut demands = self.demands_by_machine_type(now);
        for machine_type_idx in self.catalog.machine_type_indices() {
            let demand = demands.remove(&machine_type_idx).unwrap_or_default();
            self.autoscale_machine_type(now, settings, machine_type_idx, &demand);
        }
        self.scale_out_for_zone_demand(now);
    }

    /// Decides which machines of one type to rent and which idle ones to delete.
    fn autoscale_machine_type(
        &mut self,
        now: f64,
        settings: &RuntimeSettings,
        machine_type_idx: MachineTypeIdx,
        demand: &MachineTypeDemand,
    ) {
        let Some(machine_type) = self.catalog.machine_type(machine_type_idx) else { return };
        let boot_s = machine_type.boot_s;
        let supply = self.supply(now, machine_type_idx, boot_s, settings.unreachable_after_s);
        let plan = self.plan_machine_type(now, settings, machine_type_idx, demand, &supply, boot_s);
        tracing::debug!(
            machine_type = %machine_type_idx,
            up = supply.any.up,
            booting = supply.any.booting.len(),
            scale_out = plan.any.scale_out,
            required = plan.any.required,
            retain = plan.any.retain,
            pending = demand.any.iter().map(|job| job.pending).sum::<f64>(),
            running = demand.any.iter().map(|job| job.running).sum::<f64>(),
            "scaling plan computed for machine type"
        );
        self.scale_out(now, machine_type_idx, &plan);
        self.scale_in(now, settings, machine_type_idx, plan.surplus(&supply));
    }
}
