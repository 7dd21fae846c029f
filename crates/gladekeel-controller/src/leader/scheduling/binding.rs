//! Binds a task to a machine: proposes the assignment and immediately counts the task's resources
//! as used.
//!
//! Upholds "Write ahead" of `docs/safety.md`: the start is sent only after the assignment log
//! writer has committed the proposal.

use crate::leader::{AssignmentPhase, Attempt, AttemptId, Leader, ReportedAttempt, StopReason};
use gladekeel_sched::{DenseIndex, JobIdx, MachineIdx};

/// The decision to bind the next pending task of a job to a machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskBinding {
    /// The job whose next pending task is bound.
    pub job: JobIdx,
    /// The machine that the task is bound to.
    pub machine: MachineIdx,
    /// The attempt number that all tasks of a gang share; `None` if the job is not a gang.
    pub gang_attempt: Option<u64>,
}

impl Leader {
    /// Proposes the assignment of a job's next pending task. From now on, the task's resources
    /// count against the team's quota and the machine's capacity, and the job's
    /// [`zone_placement`](crate::leader::Job::zone_placement) includes the attempt.
    pub(super) fn bind(&mut self, binding: TaskBinding, now: f64) {
        let (Some(job), Some(machine)) =
            (self.jobs.get_mut(&binding.job), self.cluster.machines.get_mut(&binding.machine))
        else {
            return;
        };
        let Some(task_index) = job.pending.pop_next() else { return };
        let is_listed = |gang_attempt| {
            let attempt = ReportedAttempt { number: gang_attempt, task_index };
            machine.commands.starts.forbids_forget(attempt)
        };
        if binding.gang_attempt.is_some_and(is_listed) {
            // The worker would ignore a start of an attempt that it still lists as exited.
            job.pending.requeue(task_index, now);
            return self.stop_gang(binding.job, StopReason::GangRestart);
        }
        let id = match binding.gang_attempt {
            Some(gang_attempt) => {
                job.gang_attempt = gang_attempt;
                AttemptId::of_gang_task(gang_attempt, task_index)
            }
            None => AttemptId::from_log_value(self.attempt_numbers.reserve(1)),
        };
        let cache_gb = machine
            .machine_type
            .and_then(|machine_type| self.catalog.machine_type(machine_type))
            .map_or(0.0, |machine_type| machine_type.cache_gb);
        let image_cached = machine.images.is_cached_or_fetching(job.image);
        machine.images.record_use(job.image, job.spec.image_gb, cache_gb);
        machine.workload.add(id, job.task_request);
        job.zone_placement.add(machine.zone);
        self.teams[job.team.position()].used += job.task_request;
        self.attempts.insert(
            id,
            Attempt {
                job: binding.job,
                task_index,
                machine: binding.machine,
                zone: machine.zone,
                incarnation: machine.newest_message.incarnation,
                phase: AssignmentPhase::Proposed,
                reported_state: None,
                running_since: None,
                stop_reason: None,
                stops_sent: 0,
                no_direct_start: false,
                resources: job.task_request,
                image: job.image,
                recovered: false,
                segment: 0,
            },
        );
        self.log_writer.pending().add_proposal(id);
        self.changed_progress.insert(binding.job);
        tracing::debug!(
            job = %job.id,
            task = task_index,
            machine = machine.name,
            image_cached,
            now,
            "task bound"
        );
    }
}
