//! The users' API: submitting, polling and cancelling jobs.

mod json_names;
mod validation;

pub use validation::InvalidJob;

use crate::JobId;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// The scheduling priority of a job. Jobs of a higher priority are scheduled first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// The job uses resources that no other job needs.
    #[serde(rename = "idle")]
    Low,
    /// The usual priority.
    Normal,
    /// Scheduled ahead of normal jobs.
    High,
    /// Scheduled ahead of all other jobs.
    Production,
}

impl Priority {
    /// Returns the priority as a number; a greater number means a higher priority.
    pub fn level(self) -> u8 {
        self as u8
    }
}

/// Whether the tasks of a job run independently, as a gang or as a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// A job array: independent tasks, each of which runs to completion.
    Array,
    /// A gang: tasks that run together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
    /// A service: tasks that run until the job is cancelled.
    Service,
}

/// A job as a user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id that the user has chosen. Submitting the same id again is idempotent.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Class of similar jobs to which the job belongs; service-level objectives and run-time
    /// estimates apply to a class.
    #[serde(rename = "rig")]
    pub class: String,
    /// Team whose quota (guarantee and limit) applies.
    #[serde(rename = "crew")]
    pub team: String,
    /// Whether the job's tasks run independently, as a gang or as a service.
    #[serde(rename = "build")]
    pub kind: JobKind,
    /// Scheduling priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs requested by each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs requested by each task.
    pub gpus: f64,
    /// Memory requested by each task, in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Image that a machine fetches before it can run a task.
    #[serde(rename = "pattern")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Machine types that the job's tasks may run on; any type if `None`.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that the job's tasks must run in; any zone if `None`.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Affinity: whether all tasks must run in the same zone.
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    /// Anti-affinity: whether at most half of the tasks may run in the same zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether the job's tasks may run on spot instances.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The user's estimate of the run time of a task, in seconds.
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    /// Run time between two checkpoints, in seconds; 0 if the task writes none.
    #[serde(rename = "mark_s")]
    pub checkpoint_interval_s: f64,
    /// Time to write a checkpoint when the task is stopped, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_write_s: f64,
    /// Deadline for completion, in seconds after the submission; `None` if the job has none.
    #[serde(rename = "launch_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// The state of a job as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// The job is accepted, and none of its tasks is assigned to a machine.
    Queued,
    /// At least one task is assigned to a machine.
    Running,
    /// Every task has run to completion.
    Done,
    /// The user has cancelled the job.
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobState {
    /// Whether the state is final: a job in this state never changes its state again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

/// The response to a submission, poll or cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// State of the job.
    #[serde(rename = "trim")]
    pub state: JobState,
    /// Number of completed tasks; `None` if unknown. For display only: the number may be outdated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks that are assigned to machines; `None` if unknown. For display only: the
    /// number may be outdated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of 4xx and 5xx responses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Message for the user: what is wrong with the request, or why the request failed.
    pub error: String,
}
