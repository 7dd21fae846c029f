//! Supply: the machines of a type that are up, booting or requested.

use super::machine_pool::PurchaseModel;
use crate::leader::{Leader, Machine};
use gladekeel_sched::{MachineTypeIdx, autoscaling::Supply};

/// A machine that is not up after this multiple of its type's boot time plus [`BOOT_GRACE_S`] no
/// longer counts as supply.
const BOOT_GRACE_FACTOR: f64 = 1.6;
/// Seconds that a machine may take to boot beyond [`BOOT_GRACE_FACTOR`] times the boot time.
const BOOT_GRACE_S: f64 = 5.0;
/// Minimum expected remaining boot time in seconds, also of a machine that should already be up.
const MIN_BOOT_REMAINING_S: f64 = 5.0;

/// The supply of machines of one type.
#[derive(Debug, Default)]
pub(super) struct MachineTypeSupply {
    /// The supply of all machines.
    pub any: Supply,
    /// The supply of on-demand machines only.
    pub on_demand: Supply,
}

impl MachineTypeSupply {
    /// Returns the supplies that include a machine with this purchase model.
    fn including(&mut self, purchase_model: PurchaseModel) -> impl Iterator<Item = &mut Supply> {
        let on_demand = (!purchase_model.is_spot()).then_some(&mut self.on_demand);
        [Some(&mut self.any), on_demand].into_iter().flatten()
    }
}

impl Leader {
    /// Returns the supply of a machine type whose machines boot in `boot_s` seconds. A machine that
    /// was up before this leader began to lead counts as lost once its worker has not been seen for
    /// `unreachable_after_s` seconds.
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
            for supply in type_supply.including(PurchaseModel::from_spot_flag(machine.spot)) {
                if self.counts_as_up(machine, now, unreachable_after_s) {
                    supply.up += 1.0;
                } else if !machine.has_booted()
                    && age_s <= boot_s * BOOT_GRACE_FACTOR + BOOT_GRACE_S
                {
                    supply.booting.push((boot_s - age_s).max(MIN_BOOT_REMAINING_S));
                }
            }
        }
        for (pool, count) in self.cluster.cloud.pending_rents() {
            if pool.machine_type == machine_type_idx {
                for supply in type_supply.including(pool.purchase_model) {
                    supply.booting.extend(std::iter::repeat_n(boot_s, count as usize));
                }
            }
        }
        type_supply
    }

    /// Whether a machine is up as far as the leader knows. A machine that was up before this leader
    /// began to lead also counts unless its worker has not been seen for `unreachable_after_s`
    /// seconds although the machine's zone is reachable.
    fn counts_as_up(&self, machine: &Machine, now: f64, unreachable_after_s: f64) -> bool {
        let is_unreachable = |zone| self.failure_detector.is_zone_unreachable(zone, now);
        let zone_unreachable = || machine.zone.is_some_and(is_unreachable);
        machine.liveness.was_seen()
            || (machine.has_booted()
                && (machine.liveness.since_last_seen_s(now) < unreachable_after_s
                    || zone_unreachable()))
    }
}
