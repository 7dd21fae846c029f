//! Reconciliation of individual attempts with the tasks reported by a heartbeat.

use super::{
    heartbeat::{HeartbeatToken, TaskObservation},
    release::ReleaseProof,
};
use crate::leader::{
    AssignmentPhase, AttemptId, AttemptOutcome, Job, Leader, ReportedAttempt, StopReason,
};
use gladekeel_sched::{JobIdx, MachineIdx};
use gladekeel_wire::{
    TaskId,
    worker::{Command, ExitCause, TaskState, TaskStatus},
};

/// Whether the task of an attempt may still be on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum TaskPresence {
    /// The task may still be on its machine.
    MayBePresent,
    /// The task has exited, or its attempt is no longer (or not yet) in the `Committed` phase.
    Gone,
}

impl Leader {
    /// Reconciles an attempt with what a heartbeat of its machine shows. Adds the commands that
    /// are due for the attempt to `commands`, or releases the attempt.
    pub(super) fn reconcile_attempt(
        &mut self,
        now: f64,
        id: AttemptId,
        observation: TaskObservation<'_>,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.phase != AssignmentPhase::Committed {
            return;
        }
        let task =
            TaskId { job: self.job_names.name(attempt.job).clone(), index: attempt.task_index };
        if let Some(status) = observation.reported {
            if self.apply_task_status(now, id, status) == TaskPresence::MayBePresent {
                self.resend_stop(id, task, status.state, commands);
            }
        } else if observation.may_start && self.can_start(id) {
            commands.push(Command::Start { task, attempt: self.reported_attempt(id) });
        } else if observation.token == HeartbeatToken::Current && self.can_release_absent(id) {
            self.release(now, id, AttemptOutcome::Requeued, ReleaseProof::Absent);
        }
    }

    /// Whether an attempt whose task is not on its machine may be started there now.
    fn can_start(&self, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(id) else { return false };
        // Committing a gang may take several transactions. No task of the gang may start before all
        // of these transactions are committed.
        let is_gang = self.jobs.get(&attempt.job).is_some_and(Job::is_gang);
        let is_uncommitted = is_gang && self.attempts.of_job(attempt.job).uncommitted() > 0;
        !self.token_renewal.is_required()
            && !self.is_job_finished(attempt.job)
            && !is_uncommitted
            && attempt.stop_reason.is_none()
            && self.is_machine_usable(attempt.machine)
    }

    /// Whether an attempt whose task is not on its machine can be released: the attempt must not be
    /// started any more, and no direct start of the attempt can still be executed.
    fn can_release_absent(&self, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(id) else { return false };
        let must_not_start = attempt.stop_reason.is_some()
            || self.is_job_finished(attempt.job)
            || !self.is_machine_usable(attempt.machine);
        let machine = self.cluster.machines.get(&attempt.machine);
        let may_still_start = |attempt: ReportedAttempt| {
            machine.is_some_and(|machine| machine.commands.starts.may_still_start(attempt))
        };
        must_not_start && !self.as_reported(id).is_some_and(may_still_start)
    }

    /// Whether a job is finished or removed, so that none of its tasks may be started any more. The
    /// exit of some tasks of a finished gang may still be unreported.
    fn is_job_finished(&self, job_idx: JobIdx) -> bool {
        self.jobs.get(&job_idx).is_none_or(Job::is_finished)
    }

    /// Whether a machine exists and is not leaving the cluster.
    fn is_machine_usable(&self, machine_idx: MachineIdx) -> bool {
        self.cluster.machines.get(&machine_idx).is_some_and(|machine| !machine.is_leaving())
    }

    /// Adds another stop to `commands` for an attempt that has a stop reason, unless the task may
    /// first finish saving its progress or fetching its image.
    fn resend_stop(
        &mut self,
        id: AttemptId,
        task: TaskId,
        state: TaskState,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (Some(stop_reason), job_idx) = (attempt.stop_reason, attempt.job) else { return };
        let may_continue = match state {
            TaskState::Checkpointing => stop_reason != StopReason::Cancelled,
            TaskState::Fetching => stop_reason == StopReason::GangIncomplete,
            _ => false,
        };
        if may_continue {
            return;
        }
        self.attempts.update(id, |attempt| attempt.stops_sent += 1);
        let grace_s = self.jobs[&job_idx].grace_period_s(stop_reason);
        commands.push(Command::Stop { task, attempt: self.reported_attempt(id), grace_s });
    }

    /// Applies the status of a task, as reported by its machine in a heartbeat or in the response
    /// to a direct command. Returns whether the task may still be on the machine.
    pub(in crate::leader) fn apply_task_status(
        &mut self,
        now: f64,
        id: AttemptId,
        status: &TaskStatus,
    ) -> TaskPresence {
        let committed = self.attempts.update(id, |attempt| {
            let is_committed = attempt.phase == AssignmentPhase::Committed;
            if is_committed {
                attempt.reported_state = Some(status.state);
            }
            is_committed.then_some((attempt.job, attempt.stop_reason))
        });
        let Some((job_idx, stop_reason)) = committed.flatten() else { return TaskPresence::Gone };
        if status.state == TaskState::Checkpointing && stop_reason.is_none() {
            self.continue_gang_stop(job_idx);
        }
        self.record_running(now, id, status);
        if status.state != TaskState::Exited {
            return TaskPresence::MayBePresent;
        }
        self.apply_task_exit(now, id, status);
        TaskPresence::Gone
    }

    /// Stops the remaining tasks of a gang that an earlier leader began to stop. The progress that
    /// the tasks save can be used only if all tasks of the gang are stopped in time.
    fn continue_gang_stop(&mut self, job_idx: JobIdx) {
        if self.jobs.get(&job_idx).is_some_and(Job::is_gang) {
            self.stop_gang(job_idx, StopReason::Drained);
        }
    }

    /// Records when a task was first seen running, and that its machine has fetched the image, if
    /// the reported state shows this.
    fn record_running(&mut self, now: f64, id: AttemptId, status: &TaskStatus) {
        let has_started = match status.state {
            TaskState::Waiting => false,
            TaskState::Running | TaskState::Checkpointing => true,
            TaskState::Fetching | TaskState::Exited | TaskState::Other => return,
        };
        let Some(attempt) = self.attempts.get(id) else { return };
        let (image, machine_idx) = (attempt.image, attempt.machine);
        if has_started && attempt.running_since.is_none() {
            tracing::debug!(task = %status.task, "task running");
            self.attempts.update(id, |attempt| attempt.running_since = Some(now));
        }
        if let Some(machine) = self.cluster.machines.get_mut(&machine_idx) {
            machine.images.record_fetched(image);
        }
    }

    /// Adds a stop or a forget for a task whose reported attempt is not assigned to this machine:
    /// the assignment log never assigned the attempt here, or its release is committed.
    pub(super) fn reconcile_unassigned_task(
        &mut self,
        now: f64,
        machine_idx: MachineIdx,
        id: AttemptId,
        status: &TaskStatus,
        token: HeartbeatToken,
        commands: &mut Vec<Command>,
    ) {
        // A gang task may have been placed on another machine under the same attempt id.
        let is_assigned_here =
            self.attempts.get(id).is_some_and(|attempt| attempt.machine == machine_idx);
        if is_assigned_here || token != HeartbeatToken::Current {
            return;
        }
        let (task, attempt) = (status.task.clone(), status.attempt);
        let Some(machine) = self.cluster.machines.get(&machine_idx) else { return };
        if status.state != TaskState::Exited {
            commands.push(Command::Stop { task, attempt, grace_s: 0.0 });
        } else if !machine.commands.starts.forbids_forget(status.into()) {
            // The attempt is no longer assigned here, so its release is committed. The worker
            // refuses starts under earlier tokens, and none under this one would run the task.
            if status.cause != Some(ExitCause::Done) && self.attempt_log.may_write(now) {
                let (token, machine) = (self.token, &machine.name);
                tracing::info!(%task, attempt, machine, token, cause = ?status.cause, "forget sent");
            }
            commands.push(Command::Forget { task, attempt });
        }
    }
}
