//! A task is only on a machine that its job allows.
//!
//! A job may exclude spot machines, restrict machine type and zone, and require that all its
//! tasks are in one zone or that at most half of them are in the same zone.

use super::{Invariant, InvariantChecker, running_tasks::TasksByZone};
use crate::stand_ins::worker::MachineIdentity;
use gladekeel_wire::{TaskId, job::JobSpec};

impl InvariantChecker {
    pub(super) fn check_placement(
        &mut self,
        now: f64,
        task: &TaskId,
        spec: &JobSpec,
        machine: &MachineIdentity,
    ) {
        let others = self.running.other_tasks_by_zone(task, &machine.zone);
        if !allows_machine(spec, machine) || !allows_zone(spec, &others) {
            let details = format!("{now:.2}: {task} on {} in zone {}", machine.name, machine.zone);
            self.report(Invariant::Placement, details);
        }
    }
}

/// Whether the job allows the machine, regardless of where its other tasks are.
fn allows_machine(spec: &JobSpec, machine: &MachineIdentity) -> bool {
    let spot = spec.spot || !machine.spot;
    let machine_type =
        spec.machine_types.as_ref().is_none_or(|types| types.contains(&machine.machine_type));
    let zone = spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone);
    spot && machine_type && zone
}

/// Whether the job allows one more task in a zone, given where its other tasks are.
fn allows_zone(spec: &JobSpec, others: &TasksByZone) -> bool {
    let single_zone = !spec.single_zone || others.other_zones == 0;
    let spread = !spec.spread || others.same_zone < spec.tasks.div_ceil(2);
    single_zone && spread
}
