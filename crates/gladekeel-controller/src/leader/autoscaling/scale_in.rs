//! Scale-in: chooses the idle machines to delete.

use super::{machine_pool::PurchaseModel, plan::Surplus};
use crate::leader::{Leader, Machine, machine::DeletionReason};
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{MachineIdx, MachineTypeIdx};

/// A machine is not deleted before this age, since the cloud charges for at least one minute.
const MIN_AGE_S: f64 = 55.0;

impl Leader {
    /// Marks idle machines of a type for deletion, up to the surplus.
    pub(super) fn scale_in(
        &mut self,
        now: f64,
        settings: &RuntimeSettings,
        machine_type_idx: MachineTypeIdx,
        surplus: Surplus,
    ) {
        for (purchase_model, max) in
            [(PurchaseModel::OnDemand, surplus.on_demand), (PurchaseModel::Spot, surplus.spot)]
        {
            let idle = self.longest_idle(now, settings, machine_type_idx, purchase_model, max);
            for machine_idx in idle {
                self.cluster.mark_for_deletion(now, machine_idx, DeletionReason::Idle);
            }
        }
    }

    /// Returns up to `max` idle machines that may be deleted, the one that has been idle for the
    /// longest time first.
    fn longest_idle(
        &self,
        now: f64,
        settings: &RuntimeSettings,
        machine_type_idx: MachineTypeIdx,
        purchase_model: PurchaseModel,
        max: usize,
    ) -> Vec<MachineIdx> {
        let may_delete = |machine: &Machine| {
            machine.machine_type == Some(machine_type_idx)
                && machine.spot == purchase_model.is_spot()
                && !machine.is_leaving()
                && !machine.warm_pool
                && machine.liveness.was_seen()
                && machine.is_idle()
                && now - machine.workload.idle_since() >= settings.idle_timeout_s
                && machine.provisioned_at.age_s(now) >= MIN_AGE_S
        };
        let machines = self.cluster.machines.iter();
        let mut idle: Vec<(f64, MachineIdx)> = machines
            .filter(|(_, machine)| may_delete(machine))
            .map(|(machine_idx, machine)| (machine.workload.idle_since(), *machine_idx))
            .collect();
        idle.sort_by(|(idle_since, _), (other, _)| idle_since.total_cmp(other));
        idle.into_iter().take(max).map(|(_, machine_idx)| machine_idx).collect()
    }
}
