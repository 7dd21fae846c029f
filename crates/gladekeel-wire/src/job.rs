//! What users send and get.

use crate::JobId;
use serde::{Deserialize, Serialize};

/// The most tasks that a job may have.
pub const MAX_TASKS: u32 = 100_000;

/// How urgent a job is. Ordered: a greater value goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs when nothing else wants the room.
    #[serde(rename = "idle")]
    Low,
    /// The ordinary class.
    Normal,
    /// Ahead of normal work.
    High,
    /// Ahead of everything.
    Production,
}

/// The shape of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Tasks that run together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
    /// Tasks that run until the job is cancelled.
    Service,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The user's id for the job.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// The class of jobs that it belongs to.
    #[serde(rename = "rig")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// The shape of the job.
    #[serde(rename = "build")]
    pub kind: JobKind,
    /// How urgent it is.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// The image that a machine needs first.
    #[serde(rename = "pattern")]
    pub image: String,
    /// The image's size.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types, or none for any.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone, if any.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether spot machines may be used.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    /// Progress between checkpoints; 0 if the task never saves.
    #[serde(rename = "mark_s")]
    pub checkpoint_interval_s: f64,
    /// Time needed to save when stopped.
    #[serde(rename = "stow_s")]
    pub checkpoint_write_s: f64,
    /// When the job should be complete, from its submission.
    #[serde(rename = "launch_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Why a submission is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidJob {
    /// Not the JSON of a job.
    #[error("not a job: {0}")]
    Json(String),
    /// A field holds something that cannot be meant.
    #[error("field {0} is out of range")]
    Field(&'static str),
}

impl JobSpec {
    /// Reads and checks a submission.
    pub fn parse(body: &[u8]) -> Result<JobSpec, InvalidJob> {
        // serde would take an array for a struct; the protocol wants an object.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err(InvalidJob::Json("not an object".into()));
        }
        let spec: JobSpec =
            serde_json::from_slice(body).map_err(|e| InvalidJob::Json(e.to_string()))?;
        spec.check()?;
        Ok(spec)
    }

    /// Checks every value's range.
    pub fn check(&self) -> Result<(), InvalidJob> {
        let amount = |v: f64| v.is_finite() && (0.0..=1e9).contains(&v);
        let text = |t: &str| !t.is_empty() && t.len() <= 200 && !t.chars().any(char::is_control);
        let require = |ok: bool, name| if ok { Ok(()) } else { Err(InvalidJob::Field(name)) };
        require((1..=MAX_TASKS).contains(&self.tasks), "pieces")?;
        require(amount(self.cpus) && self.cpus > 0.0, "vcpus")?;
        require(amount(self.gpus), "gpus")?;
        require(amount(self.memory_gb), "ram_gb")?;
        require(amount(self.image_gb), "size_gb")?;
        require(amount(self.estimate_s), "reckon_s")?;
        require(amount(self.checkpoint_interval_s), "mark_s")?;
        require(amount(self.checkpoint_write_s), "stow_s")?;
        require(self.deadline_s.is_none_or(amount), "launch_s")?;
        require(text(&self.class), "rig")?;
        require(text(&self.team), "crew")?;
        require(text(&self.image), "pattern")?;
        require(self.zone.as_deref().is_none_or(text), "yard")?;
        let types_fine = |types: &Vec<String>| types.len() <= 200 && types.iter().all(|t| text(t));
        require(self.machine_types.as_ref().is_none_or(types_fine), "hulls")
    }
}

/// The state of a job as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// Every task has completed.
    Done,
    /// Cancelled by its user.
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobState {
    /// Whether the state can never change again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

/// The answer to a submission, poll or cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Its state.
    #[serde(rename = "trim")]
    pub state: JobState,
    /// Completed tasks, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Running tasks, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// An error in words, as the body of 4xx and 5xx answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub error: String,
}
