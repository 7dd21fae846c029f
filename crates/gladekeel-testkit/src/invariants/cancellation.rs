//! Once a client has observed that a job is cancelled, the job's tasks end within the
//! cancellation deadline, and a task of the job only starts if its start command was already in
//! flight.

use super::{Invariant, InvariantChecker};
use crate::stand_ins::worker::MachineIdentity;
use gladekeel_wire::{TaskId, job::JobSpec};

/// After the cancellation of a job was confirmed, a task of the job may still start for this many
/// seconds plus the time to fetch its image. The start command was then in flight in a heartbeat
/// response, which the worker drops after 4 s. A direct command, which is sent outside heartbeat
/// responses, can arrive later if a partition or a hung machine delays the command. A late start is
/// permitted if its direct command was sent before the cancellation was confirmed; the task must
/// then end by the cancellation deadline like any other task. Any other later start was commanded
/// by a controller that should have known of the cancellation.
const IN_FLIGHT_S: f64 = 4.0;

impl InvariantChecker {
    /// Records that a controller sends the start command of a task directly to the worker, without
    /// waiting for the worker's next heartbeat.
    pub fn on_direct_start_sent(&mut self, now: f64, task: &TaskId) {
        self.direct_starts.insert(task.clone(), now);
    }

    /// Records that a worker received the start command of a task in a heartbeat response. From
    /// then on, a direct command that was delayed no longer permits the task to start late.
    pub fn on_start_in_heartbeat_response(&mut self, task: &TaskId) {
        self.direct_starts.remove(task);
    }

    /// Reports the tasks of cancelled jobs that are on machines after the cancellation deadline,
    /// each task once.
    pub fn check_cancellation_deadlines(&mut self, now: f64) {
        let deadline_s = self.deployment.workers.cancellation_deadline_s;
        let overdue = self.cancelled.iter().filter(|job| {
            let observed = self.observed_jobs.get(*job);
            let cancelled_at = observed.and_then(|job| job.cancelled_at);
            cancelled_at.is_some_and(|cancelled_at| now - cancelled_at > deadline_s)
        });
        let tasks: Vec<TaskId> = overdue
            .flat_map(|job| self.running.of_job(job))
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            if self.reported_after_cancellation.insert(task.clone()) {
                let details = format!("{now:.2}: {task} is still on a machine");
                self.report(Invariant::CancellationDeadline, details);
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

    /// How long a machine of this type takes to fetch the image of a job, in seconds.
    fn image_fetch_s(&self, spec: &JobSpec, machine_type: &str) -> f64 {
        let machine_type = self.machine_types.iter().find(|known| known.name == machine_type);
        let gb_per_s = machine_type.map_or(1.0, |machine_type| machine_type.fetch_gb_per_s);
        spec.image_gb / gb_per_s
    }
}
