//! Once a client has observed that a job is cancelled, its tasks are gone within the
//! cancellation deadline, and none begins that was not in flight by then.

use super::{Invariant, InvariantChecker};
use crate::stand_ins::worker::MachineIdentity;
use gladekeel_wire::{TaskId, job::JobSpec};

/// How long after a confirmed cancellation a task may still begin, its image's fetch not
/// counted. Such a start was in flight: its command stood in a heartbeat response, which the
/// worker drops after 4 s. A direct command is older only if a partition or a hung machine
/// delayed it; it is excused if it was sent before the cancellation was confirmed, and then
/// its task has to be gone by the deadline like any other. What else begins later was started
/// by a controller that should have known of the cancellation.
const IN_FLIGHT_S: f64 = 4.0;

impl InvariantChecker {
    /// A start leaves a controller for a worker, without waiting for its heartbeat.
    pub fn on_direct_start_sent(&mut self, now: f64, task: &TaskId) {
        self.direct_starts.insert(task.clone(), now);
    }

    /// A start reaches a worker in the response to its heartbeat.
    pub fn on_start_in_heartbeat_response(&mut self, task: &TaskId) {
        self.direct_starts.remove(task);
    }

    /// Checks that the tasks of cancelled jobs are gone in time.
    pub fn check_cancellation_deadlines(&mut self, now: f64) {
        let deadline_s = self.deployment.workers.cancellation_deadline_s;
        let overdue = self.cancelled.iter().filter(|job| {
            let observed = self.observed_jobs.get(*job);
            observed.and_then(|job| job.cancelled_at).is_some_and(|at| now - at > deadline_s)
        });
        let tasks: Vec<TaskId> = overdue
            .flat_map(|job| self.running.of_job(job))
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            if self.reported_after_cancellation.insert(task.clone()) {
                self.report(Invariant::CancellationDeadline, format!("{now:.2}: {task}"));
            }
        }
    }

    pub(super) fn check_start_after_cancellation(
        &mut self,
        now: f64,
        task: &TaskId,
        spec: &JobSpec,
        machine: &MachineIdentity,
    ) {
        let observed = self.observed_jobs.get(&task.job);
        let Some(cancelled_at) = observed.and_then(|job| job.cancelled_at) else { return };
        let sent_at = self.direct_starts.get(task);
        let delayed_direct_start = sent_at.is_some_and(|sent_at| *sent_at <= cancelled_at);
        let in_flight_s = IN_FLIGHT_S + self.image_fetch_s(spec, &machine.machine_type);
        if !delayed_direct_start && now - cancelled_at > in_flight_s {
            let details =
                format!("{now:.2}: {task} on {}, cancelled at {cancelled_at:.2}", machine.name);
            self.report(Invariant::NoStartAfterCancellation, details);
        }
    }

    /// How long a machine of a type takes to fetch the image of a job.
    fn image_fetch_s(&self, spec: &JobSpec, machine_type: &str) -> f64 {
        let machine_type = self.machine_types.iter().find(|known| known.name == machine_type);
        let gb_per_s = machine_type.map_or(1.0, |machine_type| machine_type.fetch_gb_per_s);
        spec.image_gb / gb_per_s
    }
}
