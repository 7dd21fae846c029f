//! Collects the free capacity of healthy machines, for the check that no job stays pending while
//! free machines could run it.

use super::Simulation;
use crate::invariants::FreeCapacity;
use gladekeel_wire::worker::TaskState;
use std::collections::BTreeSet;

/// Time between two checks for jobs that stay pending.
const CHECK_INTERVAL_S: f64 = 5.0;

impl Simulation {
    /// Checks for jobs that stay pending while free machines could run them, and schedules the next
    /// check.
    pub(super) fn check_pending_jobs(&mut self) {
        let (now, lease_s) = (self.now, self.lease_s);
        let mut active = BTreeSet::new();
        let mut free = Vec::new();
        for worker in self.workers.values() {
            let present = worker.tasks.iter().filter(|task| task.state != TaskState::Exited);
            active.extend(present.map(|task| task.task.job.clone()));
            let healthy = !(worker.hung
                || worker.inbound_partitioned
                || worker.outbound_partitioned
                || worker.fails_tasks)
                && worker.slowdown <= 1.0
                && worker.terminates_at.is_none()
                && now - worker.lease_renewed_at < lease_s;
            if healthy {
                free.push(FreeCapacity {
                    machine_type: worker.machine.machine_type.clone(),
                    zone: worker.machine.zone.clone(),
                    spot: worker.machine.spot,
                    free: worker.free(),
                });
            }
        }
        self.invariants.check_pending(now, &free, &active);
        self.after(CHECK_INTERVAL_S, Simulation::check_pending_jobs);
    }
}
