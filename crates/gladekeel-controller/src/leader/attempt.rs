//! A task on a machine, from its proposal to the commit of its release.

pub use crate::assignment_log::AttemptOutcome;
use gladekeel_sched::Resources;
use gladekeel_sched::{ImageIdx, JobIdx, MachineIdx, ZoneIdx};
use gladekeel_wire::worker::TaskState;

/// How far an attempt's assignment is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssignmentPhase {
    /// Decided, not committed: no `run` may be sent.
    Proposed,
    /// In the committed log: it may be on its machine.
    Committed,
    /// Proved to be off its machine; the log does not say so yet.
    Releasing(AttemptOutcome),
}

/// Why an attempt is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The job is cancelled.
    Cancelled,
    /// To make room.
    Preempted,
    /// It is slow and starts anew elsewhere.
    Straggler,
    /// The machine is going away.
    Drained,
    /// Another task of its gang is gone, and what has not been saved is lost.
    GangRestart,
    /// Its gang was not complete in time. A fetch goes on to its end, so that the next
    /// attempt finds the image; stopped before, the gang might never meet.
    GangIncomplete,
}

/// A task on a machine.
#[derive(Debug)]
pub struct Attempt {
    /// The job.
    pub job: JobIdx,
    /// The task's number.
    pub task_index: u32,
    /// The machine.
    pub machine: MachineIdx,
    /// The machine's zone, as far as known.
    pub zone: Option<ZoneIdx>,
    /// The machine's incarnation.
    pub incarnation: u64,
    /// How far the assignment is.
    pub phase: AssignmentPhase,
    /// What the worker last said of it under this token.
    pub reported_state: Option<TaskState>,
    /// When it was first seen running.
    pub running_since: Option<f64>,
    /// Why it should stop, if it should.
    pub stop_reason: Option<StopReason>,
    /// How often the stop was sent.
    pub stops_sent: u32,
    /// Whether its start was sent directly.
    pub start_sent: bool,
    /// What it takes.
    pub resources: Resources,
    /// Its image.
    pub image: ImageIdx,
    /// Whether an earlier token placed it: how long it has run is not known then.
    pub recovered: bool,
    /// The newest segment of the log that assigns it.
    pub segment: u64,
}

impl Attempt {
    /// Whether it counts as on its machine, in this incarnation of it.
    pub fn is_committed_in(&self, incarnation: u64) -> bool {
        self.phase == AssignmentPhase::Committed && self.incarnation == incarnation
    }
}
