//! A task on a fake worker.

use super::WorkerEvent;
use gladekeel_wire::{
    TaskId,
    job::{JobKind, JobSpec},
    worker::{ExitCause, TaskState, TaskStatus},
};

/// A task for which a worker has received a start command.
#[derive(Debug, Clone)]
pub struct FakeTask {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u64,
    /// Specification of the task's job.
    pub spec: JobSpec,
    /// Current state.
    pub state: TaskState,
    /// When the current state ends, unless a command or the task's gang ends the state earlier;
    /// `f64::MAX` if the state has no such time.
    pub state_ends_at: f64,
    /// Why the task has exited, or will exit; `None` if the cause is not yet known.
    pub cause: Option<ExitCause>,
    /// Whether the task wrote a checkpoint when it was stopped; `None` if the task did not exit on
    /// a stop command.
    pub saved: Option<bool>,
    /// When the task received a stop command with a grace period that is long enough to write a
    /// checkpoint; `None` before, and for a task that is in no gang.
    pub stop_requested_at: Option<f64>,
    /// Whether the task completed in an earlier attempt. The result is kept, so the task exits as
    /// completed as soon as it has its image, without running again.
    pub completed_before: bool,
}

impl FakeTask {
    /// The status of the task in a heartbeat.
    pub fn status(&self) -> TaskStatus {
        TaskStatus {
            task: self.task.clone(),
            attempt: self.attempt,
            state: self.state,
            cause: self.cause,
            saved: self.saved,
        }
    }

    /// Whether the task has its image and has not exited.
    pub fn has_started(&self) -> bool {
        matches!(self.state, TaskState::Waiting | TaskState::Running | TaskState::Checkpointing)
    }

    /// Ends the task; returns the event that reports the end to the invariant checker.
    pub fn exit(&mut self, cause: ExitCause, saved: Option<bool>) -> WorkerEvent {
        self.state = TaskState::Exited;
        self.cause = Some(cause);
        self.saved = saved;
        WorkerEvent::TaskEnded { task: self.task.clone(), completed: cause == ExitCause::Done }
    }

    /// Handles a stop command; returns an event if a task that had started ends at once.
    pub(super) fn stop(&mut self, now: f64, grace_s: f64) -> Option<WorkerEvent> {
        let can_save = self.state == TaskState::Running
            && self.spec.checkpoint_interval_s > 0.0
            && grace_s >= self.spec.checkpoint_write_s;
        if can_save && self.spec.kind == JobKind::Gang {
            // Heartbeats show the task as running until it exits. The time at which the task may
            // exit depends on the other tasks of its gang.
            self.stop_requested_at = self.stop_requested_at.or(Some(now));
            return None;
        }
        let saves_with_gang = self.stop_requested_at.is_some() && grace_s > 0.0;
        if saves_with_gang {
            return None;
        }
        if can_save {
            self.state = TaskState::Checkpointing;
            self.state_ends_at = now + self.spec.checkpoint_write_s;
            return None;
        }
        let saves = self.state == TaskState::Checkpointing && grace_s > 0.0;
        if saves {
            return None;
        }
        let had_started = self.state != TaskState::Fetching;
        let ended = self.exit(ExitCause::Stopped, Some(false));
        had_started.then_some(ended)
    }
}
