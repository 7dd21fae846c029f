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
    JunkRefused,
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
            Invariant::SingleExecution => "ran_twice",
            Invariant::TeamQuota => "quota",
            Invariant::Placement => "wrong_place",
            Invariant::CancellationDeadline => "ran_cancelled",
            Invariant::NoStartAfterCancellation => "started_cancelled",
            Invariant::AcceptedJobKept => "forgotten",
            Invariant::NoInventedJob => "invented",
            Invariant::AcceptedJobCanRun => "cannot_run",
            Invariant::StateOrder => "went_back",
            Invariant::DoneIsCompleted => "not_done",
            Invariant::Availability => "unanswered",
            Invariant::NoStarvation => "left_waiting",
            Invariant::GangStart => "ran_alone",
            Invariant::ResponseStatus => "odd",
            Invariant::JunkRefused => "junk",
            Invariant::ScenarioResponse => "http",
            Invariant::UniqueToken => "token_reused",
            Invariant::ScenarioTarget => "nobody",
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
