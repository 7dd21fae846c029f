//! Reconciliation of single attempts with the tasks that a heartbeat reports.

use super::heartbeat::{HeartbeatToken, TaskObservation};
use crate::leader::{AssignmentPhase, AttemptId, AttemptOutcome, Job, Leader, StopReason};
use gladekeel_sched::{JobIdx, MachineIdx};
use gladekeel_wire::{
    TaskId,
    worker::{Command, TaskState, TaskStatus},
};

/// Whether a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum TaskProgress {
    /// It may still be on its machine.
    Ongoing,
    /// It has exited, or its release is under way already.
    Ended,
}

impl Leader {
    /// Reconciles an attempt on a machine with what a heartbeat of the machine shows of it.
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
            if self.apply_task_status(now, id, status) == TaskProgress::Ongoing {
                self.repeat_stop(id, task, status.state, commands);
            }
        } else if observation.may_start && self.can_start(id) {
            commands.push(Command::Start { task, attempt: self.reported_attempt(id) });
        } else if observation.token == HeartbeatToken::Current && self.can_release_absent(id) {
            self.release(id, AttemptOutcome::Requeued);
        }
    }

    /// Whether an attempt that is not on its machine may be started there now.
    fn can_start(&self, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(id) else { return false };
        // The commit of a gang may take several transactions; it is started after the last.
        let is_gang = self.jobs.get(&attempt.job).is_some_and(Job::is_gang);
        let is_uncommitted = is_gang && self.attempts.of_job(attempt.job).uncommitted() > 0;
        !self.token_renewal.is_required()
            && !self.is_job_finished(attempt.job)
            && !is_uncommitted
            && attempt.stop_reason.is_none()
            && self.is_machine_staying(attempt.machine)
    }

    /// Whether an attempt that is not on its machine is to end, and no command can start it
    /// there any more.
    fn can_release_absent(&self, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(id) else { return false };
        let is_to_end = attempt.stop_reason.is_some()
            || self.is_job_finished(attempt.job)
            || !self.is_machine_staying(attempt.machine);
        let machine = self.cluster.machines.get(&attempt.machine);
        is_to_end && !machine.is_some_and(|machine| machine.commands.may_still_start(id))
    }

    /// Whether a job needs nothing more. Tasks of a finished gang may not have reported
    /// their exit yet.
    fn is_job_finished(&self, job_idx: JobIdx) -> bool {
        self.jobs.get(&job_idx).is_none_or(Job::is_finished)
    }

    fn is_machine_staying(&self, machine_idx: MachineIdx) -> bool {
        self.cluster.machines.get(&machine_idx).is_some_and(|machine| !machine.is_leaving())
    }

    /// Sends a stop again for an attempt that is to stop, unless it is saving its progress and
    /// may complete that.
    fn repeat_stop(
        &mut self,
        id: AttemptId,
        task: TaskId,
        state: TaskState,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (Some(stop_reason), job_idx) = (attempt.stop_reason, attempt.job) else { return };
        let may_continue = match state {
            TaskState::Saving => stop_reason != StopReason::Cancelled,
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

    /// Applies the status of an attempt that its machine reports, in a heartbeat or in the
    /// response to a direct command.
    pub(in crate::leader) fn apply_task_status(
        &mut self,
        now: f64,
        id: AttemptId,
        status: &TaskStatus,
    ) -> TaskProgress {
        let committed = self.attempts.update(id, |attempt| {
            let is_committed = attempt.phase == AssignmentPhase::Committed;
            if is_committed {
                attempt.reported_state = Some(status.state);
            }
            is_committed.then_some((attempt.job, attempt.stop_reason))
        });
        let Some((job_idx, stop_reason)) = committed.flatten() else { return TaskProgress::Ended };
        if status.state == TaskState::Saving && stop_reason.is_none() {
            self.continue_gang_stop(job_idx);
        }
        self.record_running(now, id, status);
        if status.state != TaskState::Exited {
            return TaskProgress::Ongoing;
        }
        self.apply_task_exit(now, id, status);
        TaskProgress::Ended
    }

    /// Stops the rest of a gang of which an earlier leader began to stop tasks: what they save
    /// counts only if all of them are stopped in time.
    fn continue_gang_stop(&mut self, job_idx: JobIdx) {
        if self.jobs.get(&job_idx).is_some_and(Job::is_gang) {
            self.stop_gang(job_idx, StopReason::Drained);
        }
    }

    /// Records what the state of a task shows: since when it has run, and that its machine has
    /// the image.
    fn record_running(&mut self, now: f64, id: AttemptId, status: &TaskStatus) {
        let has_started = match status.state {
            TaskState::Waiting => false,
            TaskState::Running | TaskState::Saving => true,
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

    /// Stops or forgets a task that a machine reports under an attempt which the assignment
    /// log does not have there, or whose release is committed.
    pub(super) fn reconcile_unassigned_task(
        &mut self,
        machine_idx: MachineIdx,
        id: AttemptId,
        status: &TaskStatus,
        token: HeartbeatToken,
        commands: &mut Vec<Command>,
    ) {
        // A task of a gang may have been placed elsewhere under the same number.
        let is_assigned_here =
            self.attempts.get(id).is_some_and(|attempt| attempt.machine == machine_idx);
        if is_assigned_here || token != HeartbeatToken::Current {
            return;
        }
        let (task, attempt) = (status.task.clone(), status.attempt);
        let machine = self.cluster.machines.get(&machine_idx);
        if status.state != TaskState::Exited {
            commands.push(Command::Stop { task, attempt, grace_s: 0.0 });
        } else if machine.is_some_and(|machine| !machine.commands.may_still_start(id)) {
            // Its exit is committed since the log has it no more, and no start of it can still
            // arrive after a heartbeat under the current token.
            commands.push(Command::Forget { task, attempt });
        }
    }
}
