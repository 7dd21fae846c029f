//! Service-level objectives.

use serde::Deserialize;

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// Quantity that the objective measures.
    pub kind: ObjectiveKind,
    /// Class of jobs that the objective applies to; the platform means all jobs if it is `None`.
    /// The scheduler applies only objectives that name a class.
    pub class: Option<String>,
    /// Target in seconds; `None` if the objective has no target in seconds.
    pub within_s: Option<f64>,
    /// Fraction of the jobs that must meet the target, from 0 to 1; `None` if not stated.
    pub share: Option<f64>,
    /// Target as a multiple of the job's deadline; `None` if the objective has no target relative
    /// to the deadline.
    #[serde(rename = "times")]
    pub deadline_multiple: Option<f64>,
}

impl Objective {
    /// Whether the objective measures `kind` and names `class`; `false` for an objective without a
    /// class.
    pub fn applies_to(&self, kind: &ObjectiveKind, class: &str) -> bool {
        self.kind == *kind && self.class.as_deref() == Some(class)
    }
}

/// The quantity that a service-level objective measures.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// Time from the submission of a job to its completion.
    Completion,
    /// Time from the submission of a job to the start of its tasks.
    Start,
    /// Completion of a job by the job's own deadline.
    Deadline,
    /// Guaranteed resources of a team.
    Guarantee,
    /// A kind that this version does not know, with its name. Objectives of such a kind are
    /// ignored.
    Other(String),
}

impl From<String> for ObjectiveKind {
    fn from(name: String) -> ObjectiveKind {
        match name.as_str() {
            "finished" => ObjectiveKind::Completion,
            "wait" => ObjectiveKind::Start,
            "deadline" => ObjectiveKind::Deadline,
            "guarantee" => ObjectiveKind::Guarantee,
            _ => ObjectiveKind::Other(name),
        }
    }
}
