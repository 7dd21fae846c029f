//! Why a scenario cannot be run, or did not pass.

use crate::invariants::Violation;
use std::fmt;

/// Why a scenario did not pass.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A line cannot be read.
    #[error("line {line}: {error}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        error: LineError,
    },
    /// The scenario was run, and some checks failed.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    FailedChecks(Vec<FailedCheck>),
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line ends too early.
    #[error("expected {expected}, found the end of the line")]
    Missing {
        /// What should have followed.
        expected: &'static str,
    },
    /// A token is none of those that may stand in its place.
    #[error("expected {expected}, found {found:?}")]
    Unexpected {
        /// What should stand there.
        expected: &'static str,
        /// The token.
        found: String,
    },
    /// The settings that the `world` line asks for are not valid.
    #[error("invalid settings: {0}")]
    Settings(#[from] toml::de::Error),
}

impl LineError {
    /// A token that is none of those that may stand in its place.
    pub(super) fn unexpected(expected: &'static str, found: &str) -> LineError {
        LineError::Unexpected { expected, found: found.to_owned() }
    }
}

/// A check that failed in one run of the scenario.
#[derive(Debug)]
pub struct FailedCheck {
    /// The seed of the run, if the scenario is run with several.
    pub seed: Option<u64>,
    /// The check.
    pub check: Check,
}

/// What is checked.
#[derive(Debug)]
pub enum Check {
    /// An `expect` line.
    Expectation {
        /// Number of the line, from 1.
        line: usize,
        /// What was found instead.
        mismatch: Mismatch,
    },
    /// An invariant that no `expect violated` line names.
    Invariant(Violation),
    /// A request to the store or the cloud that no client may send.
    Protocol(String),
}

/// The difference between what a line expects and what was found.
#[derive(Debug)]
pub struct Mismatch {
    /// What was looked at.
    pub subject: String,
    /// What was found.
    pub found: String,
    /// What was expected.
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
