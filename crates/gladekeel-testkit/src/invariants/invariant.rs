//! The invariants by name, and their violations.

use std::fmt;

/// An invariant that a simulation checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No task is on two machines at once.
    SingleExecution,
    /// The tasks of a team use no more CPUs and GPUs than the team's limit.
    TeamQuota,
    /// A task is only on machines that its job allows.
    Placement,
    /// No task of a cancelled job is on a machine after the cancellation deadline.
    CancellationDeadline,
    /// No task of a cancelled job starts, unless its start command was in flight when the
    /// cancellation was confirmed.
    NoStartAfterCancellation,
    /// An accepted job is not refused or reported as unknown later.
    AcceptedJobKept,
    /// A job that nobody submitted is not reported as known.
    NoInventedJob,
    /// A job that can never run is not accepted.
    AcceptedJobCanRun,
    /// A final state of a job does not change, and only a job whose cancellation was requested
    /// is cancelled.
    StateOrder,
    /// A job that is reported as done has completed all its tasks.
    DoneIsCompleted,
    /// Requests about accepted jobs succeed once the faults are over.
    Availability,
    /// A job does not stay pending while free machines could run it.
    NoStarvation,
    /// The tasks of a gang begin to run together.
    GangStart,
    /// Repeated and malformed requests get the one status that is correct for them.
    ResponseStatus,
    /// Bytes that are not a valid request are refused.
    InvalidBytesRefused,
    /// A request in a scenario gets the status that its line states.
    ScenarioResponse,
    /// No two leaderships have the same fencing token.
    UniqueToken,
    /// The target of a scenario step, such as the host of a task, exists when the step is
    /// executed.
    ScenarioTarget,
}

impl Invariant {
    /// The name of the invariant in `expect violated NAME` of a scenario and in failure reports.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::SingleExecution => "single_execution",
            Invariant::TeamQuota => "team_quota",
            Invariant::Placement => "placement",
            Invariant::CancellationDeadline => "cancellation_deadline",
            Invariant::NoStartAfterCancellation => "no_start_after_cancellation",
            Invariant::AcceptedJobKept => "accepted_job_kept",
            Invariant::NoInventedJob => "no_invented_job",
            Invariant::AcceptedJobCanRun => "accepted_job_can_run",
            Invariant::StateOrder => "state_order",
            Invariant::DoneIsCompleted => "done_is_completed",
            Invariant::Availability => "availability",
            Invariant::NoStarvation => "no_starvation",
            Invariant::GangStart => "gang_start",
            Invariant::ResponseStatus => "response_status",
            Invariant::InvalidBytesRefused => "invalid_bytes_refused",
            Invariant::ScenarioResponse => "scenario_response",
            Invariant::UniqueToken => "unique_token",
            Invariant::ScenarioTarget => "scenario_target",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A violation of an invariant.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// When and how the invariant was violated.
    pub details: String,
}
