//! The worker's API: heartbeats, commands, and redirection to another controller.
//!
//! A worker sends a [`Heartbeat`] to a controller at a fixed interval and executes the
//! commands of the response. Any controller accepts heartbeats; it relays them to the leader or
//! responds with status 421 and a [`Redirect`]. The leader may also send commands directly to
//! the worker ([`DirectCommands`]).
//!
//! Two numbers protect a worker from stale commands: it refuses commands with a fencing token
//! below the highest that it has seen, and direct commands that name another incarnation.

use crate::TaskId;
use serde::{Deserialize, Serialize};

/// The state of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The machine is fetching the task's image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The image has been fetched; the task waits for the other tasks of its gang.
    Waiting,
    /// The task is running.
    Running,
    /// The task is stopping and writes a checkpoint within its grace period.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has exited; [`TaskStatus::cause`] holds the reason.
    Exited,
    /// A state that this version does not know; the task still holds its resources.
    #[serde(other)]
    Other,
}

/// The reason why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitCause {
    /// The task ran to completion.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// The task failed on its own.
    Error,
    /// Another task of the gang exited while this task was running.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The other tasks of the gang did not start in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// The start was refused: the machine lacks the resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The start was refused: another attempt of the task is on this machine.
    Busy,
    /// The start was refused: the task does not exist.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// The status of a task, as reported in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Number of the attempt that is running or has run on this machine.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    #[serde(rename = "trim")]
    pub state: TaskState,
    /// Reason why the attempt exited; `None` until the attempt exits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether the attempt wrote a checkpoint when it was stopped; `None` if not reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat: the complete state of its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "berth")]
    pub machine: String,
    /// Address at which the worker receives [direct commands](DirectCommands).
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Type of the machine.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Incarnation of the worker. The number increases each time the worker's lease expires, when
    /// the worker kills its tasks and starts over.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation; determines the order of
    /// heartbeats that arrive through different controllers.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "helm", default)]
    pub token: u64,
    /// Termination notice of a spot instance: seconds until the cloud reclaims the machine; `None`
    /// without a notice.
    #[serde(rename = "warning_s", default, skip_serializing_if = "Option::is_none")]
    pub termination_notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones until a [`Command::Forget`] removes them.
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
        /// Number of the attempt that the worker is to start.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt of a task.
    #[serde(rename = "halt")]
    Stop {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Number of the attempt that the worker is to stop.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period in seconds: time to write a checkpoint.
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    /// Remove an exited attempt from the heartbeats, because the leader has committed the exit to
    /// the store.
    Forget {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Number of the exited attempt that the worker is to remove from its heartbeats.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat. The response also renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader that issues the commands.
    #[serde(rename = "helm")]
    pub token: u64,
    /// Commands, which the worker executes in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a 421 response, which redirects a worker to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller to send heartbeats to; `None` if unknown, in which case the worker
    /// tries any other controller.
    #[serde(rename = "harbor", default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}

/// Direct commands, which the leader sends to a worker without waiting for the worker's next
/// heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader.
    #[serde(rename = "helm")]
    pub token: u64,
    /// Incarnation of the worker that the commands are meant for; a worker in another incarnation
    /// refuses them.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Commands, which the worker executes in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
