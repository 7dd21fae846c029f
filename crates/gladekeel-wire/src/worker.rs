//! The worker's API: heartbeats, commands, and redirection to another controller.
//!
//! A worker sends a [`Heartbeat`] to a controller at a fixed interval and executes the
//! commands of the response. Any controller accepts one and relays it to the leader, or
//! answers 421 with a [`Redirect`]. The leader may also call the worker directly
//! ([`DirectCommands`]).
//!
//! Two numbers protect a worker from stale commands: it refuses those with a fencing token
//! below the highest it has seen, and direct ones that name another incarnation.

use crate::TaskId;
use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// Its image is there; it waits for the other tasks of its gang.
    Waiting,
    /// Running.
    Running,
    /// Stopping: it writes a checkpoint within its grace period.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited; [`TaskStatus::cause`] says why.
    Exited,
    /// A state that this version does not know; the task still holds its resources.
    #[serde(other)]
    Other,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitCause {
    /// Ran to completion.
    Done,
    /// Stopped by a command.
    Stopped,
    /// Failed by itself.
    Error,
    /// Another task of its gang exited while it ran.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The other tasks of its gang did not start in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// Start refused: the machine lacks the resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Start refused: another attempt of the task is on this machine.
    Busy,
    /// Start refused: there is no such task.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Attempt that runs or ran here.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of this attempt.
    #[serde(rename = "trim")]
    pub state: TaskState,
    /// Why it exited; `None` before that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether it wrote a checkpoint when it was stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat: the complete state of its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "berth")]
    pub machine: String,
    /// Address at which the worker takes direct commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Incarnation of the worker. It increases each time the worker's lease expires, when
    /// the worker kills its tasks and starts over.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Sequence number within the incarnation; orders heartbeats that arrive by different
    /// controllers.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "helm", default)]
    pub token: u64,
    /// Termination notice of a spot instance: seconds until the cloud reclaims the machine.
    #[serde(rename = "warning_s", default, skip_serializing_if = "Option::is_none")]
    pub termination_notice_s: Option<f64>,
    /// Every task on the machine, exited ones included until they are forgotten.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum Command {
    /// Start an attempt of a task.
    #[serde(rename = "run")]
    Start {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Attempt to start.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt of a task.
    #[serde(rename = "halt")]
    Stop {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Attempt to stop.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period in seconds: time to write a checkpoint.
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    /// Remove an exited attempt from the heartbeats: its exit has been committed.
    Forget {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Attempt to forget.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat. It also renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader that gives the commands.
    #[serde(rename = "helm")]
    pub token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a 421 response: the controller to send heartbeats to instead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of that controller; `None` if it is not known, and the worker tries any other.
    #[serde(rename = "harbor", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands that the leader sends to a worker without waiting for its next heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader.
    #[serde(rename = "helm")]
    pub token: u64,
    /// Incarnation that the commands are meant for; another one refuses them.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
