//! An attempt: one assignment of a task to a machine, from the proposal to the commit of its
//! release.

pub use crate::assignment_log::AttemptOutcome;
use gladekeel_sched::{ImageIdx, JobIdx, MachineIdx, Resources, ZoneIdx};
use gladekeel_wire::worker::TaskState;

/// How far the assignment of an attempt is. It holds its resources in every phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssignmentPhase {
    /// Decided, not committed: no start may be sent.
    Proposed,
    /// Committed in the assignment log: the task may be on its machine.
    Committed,
    /// Proven to be off its machine; the release is not committed yet.
    Releasing(AttemptOutcome),
}

/// Why an attempt is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The job is cancelled.
    Cancelled,
    /// A waiting job has a better claim to the resources.
    Preempted,
    /// It is slow and restarts on another machine.
    Straggler,
    /// The machine is drained or reclaimed.
    Drained,
    /// Another task of its gang is gone: the gang restarts, and progress since its last
    /// checkpoint is lost.
    GangRestart,
    /// Its gang was not complete in time. An image fetch is left to complete, so that the next
    /// attempt finds the image: if it were stopped, the gang might never be complete.
    GangIncomplete,
}

/// An assignment of a task to a machine.
#[derive(Debug)]
pub struct Attempt {
    /// The job.
    pub job: JobIdx,
    /// The index of the task in its job.
    pub task_index: u32,
    /// The machine.
    pub machine: MachineIdx,
    /// The zone of the machine, once known.
    pub zone: Option<ZoneIdx>,
    /// The incarnation of the machine's worker for which the attempt was made.
    pub incarnation: u64,
    /// How far the assignment is.
    pub phase: AssignmentPhase,
    /// The state that the worker reported last to this leader, if it has reported any.
    pub reported_state: Option<TaskState>,
    /// When this leader first saw it running.
    pub running_since: Option<f64>,
    /// Why it is to stop, if it is.
    pub stop_reason: Option<StopReason>,
    /// How often a stop was sent since the reason was set, or since a stop may have been lost.
    pub stops_sent: u32,
    /// Whether no direct start is to be sent any more: one was, or an earlier leader made the
    /// attempt. Starts in responses to heartbeats do not count.
    pub start_sent: bool,
    /// The resources that it requests.
    pub resources: Resources,
    /// The image of its job.
    pub image: ImageIdx,
    /// Whether an earlier leader made it, so that it is not known how long it has run.
    pub recovered: bool,
    /// The newest segment of the assignment log that contains the assignment.
    pub segment: u64,
}

impl Attempt {
    /// Whether it counts as on its machine, in this incarnation of the worker.
    pub fn is_committed_in(&self, incarnation: u64) -> bool {
        self.phase == AssignmentPhase::Committed && self.incarnation == incarnation
    }
}
