//! Looks at which machines have room, for jobs that wait beside them.

use super::Sim;
use crate::rules::RoomOn;
use gladekeel_wire::worker::TaskState;
use std::collections::BTreeSet;

/// Time between looks for jobs that wait beside free machines.
const LOOK_S: f64 = 5.0;

impl Sim {
    /// Tells the checker now and then which machines have room.
    pub(super) fn look_for_waiting(&mut self) {
        let (now, lease_s) = (self.now, self.lease_s);
        let mut held = BTreeSet::new();
        let mut rooms = Vec::new();
        for worker in self.workers.values() {
            let here = worker.tasks.iter().filter(|task| task.state != TaskState::Exited);
            held.extend(here.map(|task| task.task.job.clone()));
            let well = !(worker.hung || worker.deaf || worker.mute || worker.sick)
                && worker.slow <= 1.0
                && worker.leaves_at.is_none()
                && now - worker.lease_from < lease_s;
            if well {
                rooms.push(RoomOn {
                    machine_type: worker.machine_type.clone(),
                    zone: worker.zone.clone(),
                    spot: worker.spot,
                    free: worker.free(),
                });
            }
        }
        self.rules.check_waiting(now, &rooms, &held);
        self.after(LOOK_S, Sim::look_for_waiting);
    }
}
