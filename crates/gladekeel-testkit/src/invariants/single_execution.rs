//! No task is on two machines at once.
//!
//! Users' tasks have side effects. A task whose machine is unreachable may only start
//! elsewhere once it is proven that the first copy is gone.

use super::{Invariant, InvariantChecker};
use crate::stand_ins::worker::MachineIdentity;
use gladekeel_wire::TaskId;

impl InvariantChecker {
    pub(super) fn check_single_execution(
        &mut self,
        now: f64,
        task: &TaskId,
        machine: &MachineIdentity,
    ) {
        if let Some(placement) = self.running.of_task(task).first() {
            let details =
                format!("{now:.2}: {task} on {} starts on {}", placement.machine, machine.name);
            self.report(Invariant::SingleExecution, details);
        }
    }
}
