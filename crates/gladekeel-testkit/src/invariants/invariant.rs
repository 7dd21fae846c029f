//! The invariants by name, and their violations.

use std::fmt;

/// An invariant that a simulation checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No task is on two machines at once.
    SingleExecution,
    /// A team's tasks use no more than the team's limit.
    TeamQuota,
    /// A task is only on machines that its job allows.
    Placement,
    /// The tasks of a cancelled job are gone when the deadline has passed.
    CancellationDeadline,
    /// No task of a cancelled job starts, unless its start was in flight.
    NoStartAfterCancellation,
    /// An accepted job stays known.
    AcceptedJobKept,
    /// A job that nobody submitted is unknown.
    NoInventedJob,
    /// A job that can never run is not accepted.
    AcceptedJobCanRun,
    /// The state of a job does not go back from a final one.
    StateOrder,
    /// A job that is reported as done has completed all its tasks.
    DoneIsCompleted,
    /// Requests are answered once the faults are over.
    Availability,
    /// A job does not stay pending next to a machine that could take it.
    NoStarvation,
    /// The tasks of a gang begin to run together.
    GangStart,
    /// Repeated and malformed requests get their one right status.
    ResponseStatus,
    /// Bytes that are no request are refused.
    InvalidBytesRefused,
    /// A request of the scenario gets the status that the scenario says.
    ScenarioResponse,
    /// No two leaderships have the same fencing token.
    UniqueToken,
    /// What a line of the scenario refers to exists when it is executed.
    ScenarioTarget,
}

impl Invariant {
    /// The name in `expect violated NAME` of a scenario and in reports.
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

/// An invariant that did not hold.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Which invariant.
    pub invariant: Invariant,
    /// When it was violated and by what.
    pub details: String,
}
