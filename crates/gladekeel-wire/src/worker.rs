//! What workers and controllers say to each other.

use crate::TaskId;
use serde::{Deserialize, Serialize};

/// The state of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Has its image, waits for the other tasks of its gang.
    Waiting,
    /// Running.
    Running,
    /// Told to stop, saving.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended; see the cause.
    Exited,
    /// A state that this version does not know; it occupies the machine.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitCause {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Error,
    /// Another task of its gang went away.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The other tasks of its gang did not come.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// Refused: no room on the machine.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Refused: the task is there under another attempt.
    Busy,
    /// Refused: no such task.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// One task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Its attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "trim")]
    pub state: TaskState,
    /// Why it ended, once it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether it saved its progress when stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "berth")]
    pub machine: String,
    /// The worker's own address.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The session; rises each time the worker's lease runs out.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Orders the messages of a session.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest token the worker has seen.
    #[serde(rename = "helm", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warning_s", default, skip_serializing_if = "Option::is_none")]
    pub termination_notice_s: Option<f64>,
    /// Every task on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// How long the task may take to save.
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    /// Remove an exited task from the reports.
    Forget {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The token under which the commands are given.
    #[serde(rename = "helm")]
    pub token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a 421: where to report instead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The node to report to, if known.
    #[serde(rename = "harbor", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// The body of a direct command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The token under which the commands are given.
    #[serde(rename = "helm")]
    pub token: u64,
    /// The session they are meant for.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// The commands.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
