//! Errors of scenarios: lines that cannot be parsed and checks that failed.

use crate::invariants::Violation;
use std::fmt;

/// The reason why a scenario did not pass.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A line cannot be parsed or executed.
    #[error("line {line}: {error}")]
    Line {
        /// Number of the line, starting at 1.
        line: usize,
        /// The error in the line.
        error: LineError,
    },
    /// The scenario ran to its end, and at least one check failed.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    FailedChecks(Vec<FailedCheck>),
}

/// An error in a line of a scenario.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line ends too early.
    #[error("expected {expected}, found the end of the line")]
    Missing {
        /// The token that is missing.
        expected: &'static str,
    },
    /// A token is not allowed at its position.
    #[error("expected {expected}, found {found:?}")]
    Unexpected {
        /// The tokens that are allowed at the position.
        expected: &'static str,
        /// The token that was found.
        found: String,
    },
    /// The settings that the `world` line describes are not valid.
    #[error("invalid settings: {0}")]
    Settings(#[from] toml::de::Error),
}

impl LineError {
    /// Returns the error for a token that is not allowed at its position.
    pub(super) fn unexpected(expected: &'static str, found: &str) -> LineError {
        LineError::Unexpected { expected, found: found.to_owned() }
    }
}

/// A check that failed in one run of the scenario.
#[derive(Debug)]
pub struct FailedCheck {
    /// The seed of the run; `None` if the scenario does not have a range of seeds.
    pub seed: Option<u64>,
    /// The check and its result.
    pub check: Check,
}

/// A failed check and its findings.
#[derive(Debug)]
pub enum Check {
    /// An `expect` line that does not hold.
    Expectation {
        /// Number of the line, starting at 1.
        line: usize,
        /// The difference between the expectation and the simulation.
        mismatch: Mismatch,
    },
    /// An invariant was violated, and no `expect violated` line names the invariant.
    Invariant(Violation),
    /// A request to the store or the cloud that violates the protocol.
    Protocol(String),
}

/// The difference between the value that a line expects and the value that was found.
#[derive(Debug)]
pub struct Mismatch {
    /// The job, quantity or invariant that was checked.
    pub subject: String,
    /// The value that was found.
    pub found: String,
    /// The value or the bound that was expected.
    pub expected: String,
}

impl fmt::Display for FailedCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(seed) = self.seed {
            write!(f, "seed {seed}: ")?;
        }
        match &self.check {
            Check::Expectation { line, mismatch } => write!(f, "line {line}: {mismatch}"),
            Check::Invariant(Violation { invariant, details }) => {
                write!(f, "invariant {invariant} violated: {details}")
            }
            Check::Protocol(error) => write!(f, "protocol: {error}"),
        }
    }
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}, expected {}", self.subject, self.found, self.expected)
    }
}
