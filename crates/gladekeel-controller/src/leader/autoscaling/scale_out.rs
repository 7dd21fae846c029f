//! Scale-out: chooses the pools from which the machines of a plan are rented.

use super::{
    machine_pool::{MachinePool, PurchaseModel},
    plan::MachineTypePlan,
};
use crate::leader::Leader;
use gladekeel_sched::{MachineTypeIdx, ZoneIdx};
use std::collections::BTreeMap;

impl Leader {
    /// Requests the machines that a plan adds: spot machines for the jobs that may use them, and
    /// on-demand machines for the other jobs. If spot pools provide fewer machines than requested,
    /// the next run requests the rest on demand.
    pub(super) fn scale_out(
        &mut self,
        now: f64,
        machine_type_idx: MachineTypeIdx,
        plan: &MachineTypePlan,
    ) {
        let Some(machine_type) = self.catalog.machine_type(machine_type_idx) else { return };
        let offers_spot = machine_type.spot_price.is_some();
        let total = plan.any.scale_out.ceil() as usize;
        let on_demand_only = (plan.on_demand.scale_out.ceil() as usize).min(total);
        let spot_pools = if offers_spot {
            self.pools_with_capacity(now, machine_type_idx, PurchaseModel::Spot)
        } else {
            Vec::new()
        };
        self.scale_out_evenly(&spot_pools, total.saturating_sub(on_demand_only));
        let on_demand = if spot_pools.is_empty() { total } else { on_demand_only };
        let on_demand_pools =
            self.pools_with_capacity(now, machine_type_idx, PurchaseModel::OnDemand);
        self.scale_out_evenly(&on_demand_pools, on_demand);
    }

    /// Returns the pools of a machine type that may have capacity, the one with the fewest machines
    /// first.
    fn pools_with_capacity(
        &self,
        now: f64,
        machine_type_idx: MachineTypeIdx,
        purchase_model: PurchaseModel,
    ) -> Vec<MachinePool> {
        let Some(machine_type) = self.catalog.machine_type(machine_type_idx) else {
            return Vec::new();
        };
        let zones = machine_type.zones.iter();
        let mut pools: Vec<MachinePool> = zones
            .filter_map(|zone| self.catalog.zones.get(zone.as_str()))
            .map(|zone| MachinePool { machine_type: machine_type_idx, zone, purchase_model })
            .filter(|pool| self.cluster.cloud.may_have_capacity(*pool, now))
            .collect();
        let counts = self.machines_by_zone(machine_type_idx, purchase_model);
        pools.sort_by_key(|pool| counts.get(&pool.zone).copied().unwrap_or(0));
        pools
    }

    /// Returns the number of machines of a type and purchase model in each zone.
    fn machines_by_zone(
        &self,
        machine_type_idx: MachineTypeIdx,
        purchase_model: PurchaseModel,
    ) -> BTreeMap<ZoneIdx, usize> {
        let mut counts = BTreeMap::new();
        for machine in self.cluster.machines.values() {
            if machine.machine_type == Some(machine_type_idx)
                && machine.spot == purchase_model.is_spot()
                && let Some(zone) = machine.zone
            {
                *counts.entry(zone).or_default() += 1;
            }
        }
        counts
    }

    /// Divides `count` machines evenly between pools; if a remainder is left, each of the first
    /// pools gets one machine more. The requests are queued in the order of zones.
    fn scale_out_evenly(&mut self, pools: &[MachinePool], count: usize) {
        let mut shares: Vec<(MachinePool, usize)> = Vec::new();
        for (position, pool) in pools.iter().copied().enumerate() {
            let extra = usize::from(position < count % pools.len());
            shares.push((pool, count / pools.len() + extra));
        }
        shares.sort_unstable_by_key(|(pool, share)| (pool.zone, *share));
        for (pool, share) in shares.into_iter().filter(|(_, share)| *share > 0) {
            self.cluster.cloud.request_scale_out(pool, share as u32);
        }
    }
}
