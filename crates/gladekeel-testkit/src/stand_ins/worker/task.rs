//! A task on a fake worker.

use super::WorkerEvent;
use gladekeel_wire::{
    TaskId,
    job::{JobKind, JobSpec},
    worker::{ExitCause, TaskState, TaskStatus},
};

/// A task that a worker was told to start.
#[derive(Debug, Clone)]
pub struct FakeTask {
    /// Which task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u64,
    /// The description of its job.
    pub spec: JobSpec,
    /// Its state.
    pub state: TaskState,
    /// When this state ends by itself.
    pub state_ends_at: f64,
    /// Why it has exited, or why it will.
    pub cause: Option<ExitCause>,
    /// Whether it saved its progress before it exited.
    pub saved: Option<bool>,
    /// When a task of a gang was told to stop, with time enough to save.
    pub stop_requested_at: Option<f64>,
}

impl FakeTask {
    /// Its part of a heartbeat.
    pub fn status(&self) -> TaskStatus {
        TaskStatus {
            task: self.task.clone(),
            attempt: self.attempt,
            state: self.state,
            cause: self.cause,
            saved: self.saved,
        }
    }

    /// Whether it has its image and has not exited.
    pub fn has_started(&self) -> bool {
        matches!(self.state, TaskState::Waiting | TaskState::Running | TaskState::Saving)
    }

    /// Exits.
    pub fn exit(&mut self, cause: ExitCause, saved: Option<bool>) -> WorkerEvent {
        self.state = TaskState::Exited;
        self.cause = Some(cause);
        self.saved = saved;
        WorkerEvent::TaskEnded { task: self.task.clone(), completed: cause == ExitCause::Done }
    }

    /// Handles a stop command; returns that the task has ended, if it has at once.
    pub(super) fn stop(&mut self, now: f64, grace_s: f64) -> Option<WorkerEvent> {
        let can_save = self.state == TaskState::Running
            && self.spec.checkpoint_interval_s > 0.0
            && grace_s >= self.spec.checkpoint_write_s;
        if can_save && self.spec.kind == JobKind::Gang {
            // It reports `running` until it exits; when it may depends on the others.
            self.stop_requested_at = self.stop_requested_at.or(Some(now));
            return None;
        }
        let saves_with_gang = self.stop_requested_at.is_some() && grace_s > 0.0;
        if saves_with_gang {
            return None;
        }
        if can_save {
            self.state = TaskState::Saving;
            self.state_ends_at = now + self.spec.checkpoint_write_s;
            return None;
        }
        let saves = self.state == TaskState::Saving && grace_s > 0.0;
        if saves {
            return None;
        }
        let had_started = self.state != TaskState::Fetching;
        let ended = self.exit(ExitCause::Stopped, Some(false));
        had_started.then_some(ended)
    }
}
