//! Looks at which machines have room, for jobs that wait beside them.

use super::Simulation;
use crate::invariants::FreeCapacity;
use gladekeel_wire::worker::TaskState;
use std::collections::BTreeSet;

/// Time between looks for jobs that wait beside free machines.
const LOOK_S: f64 = 5.0;

impl Simulation {
    /// Tells the checker now and then which machines have room.
    pub(super) fn check_pending_jobs(&mut self) {
        let (now, lease_s) = (self.now, self.lease_s);
        let mut held = BTreeSet::new();
        let mut rooms = Vec::new();
        for worker in self.workers.values() {
            let here = worker.tasks.iter().filter(|task| task.state != TaskState::Exited);
            held.extend(here.map(|task| task.task.job.clone()));
            let well = !(worker.hung
                || worker.inbound_partitioned
                || worker.outbound_partitioned
                || worker.fails_tasks)
                && worker.slowdown <= 1.0
                && worker.terminates_at.is_none()
                && now - worker.lease_renewed_at < lease_s;
            if well {
                rooms.push(FreeCapacity {
                    machine_type: worker.machine_type.clone(),
                    zone: worker.zone.clone(),
                    spot: worker.spot,
                    free: worker.free(),
                });
            }
        }
        self.invariants.check_pending(now, &rooms, &held);
        self.after(LOOK_S, Simulation::check_pending_jobs);
    }
}
