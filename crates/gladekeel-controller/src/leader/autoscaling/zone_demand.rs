//! Zone-constrained demand: rents machines for jobs that may run in one zone only.
//!
//! The plan for a machine type counts its machines in all zones together. Without this module,
//! idle machines in one zone would count as supply for tasks that must run in another zone, and
//! those tasks would wait forever.

use super::machine_pool::{MachinePool, PurchaseModel};
use crate::leader::{Job, Leader};
use gladekeel_sched::{MachineTypeIdx, ZoneIdx};
use std::collections::BTreeMap;

/// Machines are rented for a zone-constrained job that has waited for longer than this.
const MAX_WAIT_S: f64 = 10.0;

/// A machine type in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachineTypeInZone {
    machine_type: MachineTypeIdx,
    zone: ZoneIdx,
}

/// Fractional numbers of machines, by type and zone.
#[derive(Debug, Default)]
struct MachinesByZone(BTreeMap<MachineTypeInZone, f64>);

impl MachinesByZone {
    fn add(&mut self, machine_type: MachineTypeIdx, zone: ZoneIdx, machines: f64) {
        *self.0.entry(MachineTypeInZone { machine_type, zone }).or_default() += machines;
    }

    fn get(&self, key: MachineTypeInZone) -> f64 {
        self.0.get(&key).copied().unwrap_or(0.0)
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The machines that the waiting tasks of zone-constrained jobs need.
#[derive(Debug, Default)]
struct ZoneDemand {
    /// Demand of jobs that may use spot machines.
    any: MachinesByZone,
    /// Demand of jobs that may not use spot machines.
    on_demand_only: MachinesByZone,
}

impl Leader {
    /// Requests machines in zones where waiting tasks must run but the free capacity does not
    /// suffice for them.
    pub(super) fn scale_out_for_zone_demand(&mut self, now: f64) {
        let demand = self.zone_demand(now);
        if demand.any.is_empty() && demand.on_demand_only.is_empty() {
            return;
        }
        let free_spot = self.free_by_zone(PurchaseModel::Spot);
        let free_on_demand = self.free_by_zone(PurchaseModel::OnDemand);
        for (key, machines) in demand.on_demand_only.0 {
            let missing = machines - free_on_demand.get(key);
            self.scale_out_in_zone(now, key, missing, &[PurchaseModel::OnDemand]);
        }
        for (key, machines) in demand.any.0 {
            let missing = machines - free_spot.get(key) - free_on_demand.get(key);
            let preferred = [PurchaseModel::Spot, PurchaseModel::OnDemand];
            self.scale_out_in_zone(now, key, missing, &preferred);
        }
    }

    /// Returns the demand of the zone-constrained jobs that have waited for too long.
    fn zone_demand(&self, now: f64) -> ZoneDemand {
        let mut demand = ZoneDemand::default();
        for job in self.jobs.values().filter(|job| has_waited_too_long(job, now)) {
            let Some(zone) = only_zone(job) else { continue };
            let Some(fit) = self.cheapest_fit(job) else { continue };
            let machines = job.pending.len() as f64 / f64::from(fit.tasks_per_machine);
            let by_zone = if job.spec.spot { &mut demand.any } else { &mut demand.on_demand_only };
            by_zone.add(fit.machine_type, zone, machines);
        }
        demand
    }

    /// Returns the free capacity of the machines of a purchase model, as a number of machines by
    /// type and zone. Machines that are being rented count as free.
    fn free_by_zone(&self, purchase_model: PurchaseModel) -> MachinesByZone {
        let mut free = MachinesByZone::default();
        for machine in self.cluster.machines.values() {
            let (Some(machine_type), Some(zone)) = (machine.machine_type, machine.zone) else {
                continue;
            };
            let Some(capacity) = self.catalog.capacity(machine_type) else { continue };
            if machine.spot == purchase_model.is_spot() && !machine.is_leaving() {
                let used = machine.requested().dominant_share_of(capacity).min(1.0);
                free.add(machine_type, zone, 1.0 - used);
            }
        }
        for (pool, count) in self.cluster.cloud.pending_rents() {
            if pool.purchase_model == purchase_model {
                free.add(pool.machine_type, pool.zone, f64::from(count));
            }
        }
        free
    }

    /// Requests the missing machines in a zone from the first pool that may have capacity, trying
    /// the purchase models in the preferred order.
    fn scale_out_in_zone(
        &mut self,
        now: f64,
        MachineTypeInZone { machine_type, zone }: MachineTypeInZone,
        missing: f64,
        preferred: &[PurchaseModel],
    ) {
        let count = missing.ceil().max(0.0) as u32;
        let mut pools = preferred.iter().map(|purchase_model| MachinePool {
            machine_type,
            zone,
            purchase_model: *purchase_model,
        });
        let pool = pools.find(|pool| self.cluster.cloud.may_have_capacity(*pool, now));
        if let Some(pool) = pool.filter(|_| count > 0) {
            self.cluster.cloud.request_scale_out(pool, count);
        }
    }
}

/// Whether a job could be scheduled now and has waited for longer than [`MAX_WAIT_S`], within which
/// the regular plan should have provided machines.
fn has_waited_too_long(job: &Job, now: f64) -> bool {
    !job.is_finished()
        && !job.pending.is_empty()
        && !job.backoff.is_active(now)
        && job.pending.waited_s(now) > MAX_WAIT_S
}

/// Returns the only zone in which further tasks of a job may run, if the job is limited to one
/// zone.
fn only_zone(job: &Job) -> Option<ZoneIdx> {
    job.zone.or_else(|| job.zone_placement.first_zone().filter(|_| job.spec.single_zone))
}
