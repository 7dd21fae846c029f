//! Supply: the machines of a type that are up, booting or requested.

use super::machine_pool::PurchaseModel;
use crate::leader::{Leader, Machine};
use gladekeel_sched::{MachineTypeIdx, autoscaling::Supply};

/// A machine that has not come up within this multiple of its type's boot time, and
/// [`BOOT_GRACE_S`], is no longer counted on.
const BOOT_GRACE_FACTOR: f64 = 1.6;
const BOOT_GRACE_S: f64 = 5.0;
/// A machine that should be up by now is expected to be in so many seconds.
const OVERDUE_BOOT_S: f64 = 5.0;

/// The machines of one type.
#[derive(Debug, Default)]
pub(super) struct MachineTypeSupply {
    /// All.
    pub any: Supply,
    /// The on-demand ones alone.
    pub on_demand: Supply,
}

impl MachineTypeSupply {
    /// The supplies that a machine counts in.
    fn of(&mut self, purchase_model: PurchaseModel) -> impl Iterator<Item = &mut Supply> {
        let on_demand = (!purchase_model.is_spot()).then_some(&mut self.on_demand);
        [Some(&mut self.any), on_demand].into_iter().flatten()
    }
}

impl Leader {
    /// The supply of a machine type whose machines boot in `boot_s` and count as lost after a
    /// silence of `unreachable_after_s`.
    pub(super) fn supply(
        &self,
        now: f64,
        machine_type_idx: MachineTypeIdx,
        boot_s: f64,
        unreachable_after_s: f64,
    ) -> MachineTypeSupply {
        let mut type_supply = MachineTypeSupply::default();
        for machine in self.cluster.machines.values() {
            if machine.machine_type != Some(machine_type_idx) || machine.is_leaving() {
                continue;
            }
            let age_s = machine.provisioned_at.age_s(now);
            for supply in type_supply.of(PurchaseModel::from_spot_flag(machine.spot)) {
                if self.counts_as_up(machine, now, unreachable_after_s) {
                    supply.up += 1.0;
                } else if !machine.has_booted()
                    && age_s <= boot_s * BOOT_GRACE_FACTOR + BOOT_GRACE_S
                {
                    supply.booting.push((boot_s - age_s).max(OVERDUE_BOOT_S));
                }
            }
        }
        for (pool, count) in self.cluster.cloud.pending_rents() {
            if pool.machine_type == machine_type_idx {
                for supply in type_supply.of(pool.purchase_model) {
                    supply.booting.extend(std::iter::repeat_n(boot_s, count as usize));
                }
            }
        }
        type_supply
    }

    /// Whether a machine is up as far as known. One that was up before this leader began counts
    /// as long as its silence may have another reason: it is short, or all of its zone cannot
    /// be reached.
    fn counts_as_up(&self, machine: &Machine, now: f64, unreachable_after_s: f64) -> bool {
        let is_unreachable = |zone| self.failure_detector.is_zone_unreachable(zone, now);
        let zone_unreachable = || machine.zone.is_some_and(is_unreachable);
        machine.liveness.was_seen()
            || (machine.has_booted()
                && (machine.liveness.silent_s(now) < unreachable_after_s || zone_unreachable()))
    }
}
