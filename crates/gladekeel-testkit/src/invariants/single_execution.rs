//! No task is on two machines at once.
//!
//! Users' tasks have side effects. A task whose machine is unreachable may only start
//! elsewhere once it is proven that the first copy has stopped.

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
            let (first, second) = (&placement.machine, &machine.name);
            let details = format!("{now:.2}: {task} starts on {second} while it is on {first}");
            self.report(Invariant::SingleExecution, details);
        }
    }
}
