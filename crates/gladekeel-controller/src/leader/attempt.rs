//! An attempt: one assignment of a task to a machine, from the proposal of the assignment to the
//! commit of its release.

pub use crate::assignment_log::AttemptOutcome;
use gladekeel_sched::{ImageIdx, JobIdx, MachineIdx, Resources, ZoneIdx};
use gladekeel_wire::worker::TaskState;

/// The progress of an attempt's assignment. The attempt holds its resources in every phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssignmentPhase {
    /// The assignment is decided but not committed: the start must not be sent to the worker yet.
    Proposed,
    /// The assignment is committed in the assignment log: the task may be on its machine.
    Committed,
    /// The task is proven not to be on its machine; the release is not committed yet.
    Releasing(AttemptOutcome),
}

/// Why an attempt is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The job was cancelled.
    Cancelled,
    /// A waiting job takes precedence and needs the resources.
    Preempted,
    /// The task is a straggler and restarts on another machine.
    Straggler,
    /// The machine is being drained or reclaimed.
    Drained,
    /// Another task of the gang was lost, so the whole gang restarts. The progress of this task
    /// since its last checkpoint is lost.
    GangRestart,
    /// Some tasks of the gang did not start in time. An image fetch in progress is not stopped, so
    /// that the next attempt finds the image cached; otherwise the gang might never be complete.
    GangIncomplete,
}

/// An assignment of a task to a machine.
#[derive(Debug)]
pub struct Attempt {
    /// The job that the task belongs to.
    pub job: JobIdx,
    /// The index of the task in its job.
    pub task_index: u32,
    /// The machine that the task is assigned to.
    pub machine: MachineIdx,
    /// The zone of the machine; `None` until it is known.
    pub zone: Option<ZoneIdx>,
    /// The incarnation of the machine's worker for which the attempt was made.
    pub incarnation: u64,
    /// The phase of the assignment.
    pub phase: AssignmentPhase,
    /// The state that the worker last reported to this leader; `None` if it has reported none.
    pub reported_state: Option<TaskState>,
    /// When this leader first saw the task running, in seconds on the node's clock.
    pub running_since: Option<f64>,
    /// Why the attempt must stop; `None` if the attempt need not stop.
    pub stop_reason: Option<StopReason>,
    /// Number of stops sent to the worker for `stop_reason`; reset to 0 when a stop may have been
    /// lost.
    pub stops_sent: u32,
    /// Whether the start may be sent only in heartbeat responses from now on, because it was
    /// already sent outside of them once or because an earlier leader made the attempt.
    pub no_direct_start: bool,
    /// The resources that the task requests.
    pub resources: Resources,
    /// The image of the job.
    pub image: ImageIdx,
    /// Whether an earlier leader made the attempt, so that its run time is not known.
    pub recovered: bool,
    /// The newest segment of the assignment log that contains the assignment.
    pub segment: u64,
}

impl Attempt {
    /// Whether the task may be on its machine under this incarnation of the worker: the assignment
    /// is committed and was made for this incarnation.
    pub fn is_committed_in(&self, incarnation: u64) -> bool {
        self.phase == AssignmentPhase::Committed && self.incarnation == incarnation
    }
}
