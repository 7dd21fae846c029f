//! Service-level objectives.

use serde::Deserialize;

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// What it measures.
    pub kind: ObjectiveKind,
    /// Class of jobs that it applies to; all jobs if `None`.
    pub class: Option<String>,
    /// Target in seconds.
    pub within_s: Option<f64>,
    /// Part of the jobs that must meet the target, from 0 to 1.
    pub share: Option<f64>,
    /// Target as a multiple of the job's deadline.
    #[serde(rename = "times")]
    pub deadline_multiple: Option<f64>,
}

impl Objective {
    /// Whether it measures `kind` and names this class of jobs.
    pub fn applies_to(&self, kind: &ObjectiveKind, class: &str) -> bool {
        self.kind == *kind && self.class.as_deref() == Some(class)
    }
}

/// What a service-level objective measures.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// Time from submission to completion.
    Completion,
    /// Time from submission to the start of its tasks.
    Start,
    /// Completion by the job's own deadline.
    Deadline,
    /// A team's guaranteed resources.
    Guarantee,
    /// A kind that this version does not know, by its name. It is ignored.
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
