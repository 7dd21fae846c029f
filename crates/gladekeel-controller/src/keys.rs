//! The keys of the store and their values.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `gk/job/<id>` | a [`JobSpec`](gladekeel_wire::job::JobSpec) with [`ACCEPTED_AT`] | any node, once; removed by the leader |
//! | `gk/fate/<id>` | a [`JobState`](gladekeel_wire::job::JobState): `"done"` or `"aborted"` | the leader, or any node for a cancellation; once |
//! | `gk/leader` | a [`LeaderRecord`]; its version is the fencing token | the leader; attached to its lease |
//! | `gk/types` | machine types, see [`crate::stored_types`] | the leader |
//! | `gk/types/<n>` | the machine types that do not fit into `gk/types` | the leader |
//! | `gk/options` | runtime settings by name | any node, for an operator |
//! | `gk/drain/<machine>` | `true`: an operator has ordered the machine to drain | any node, for an operator |
//! | `gk/clock/<slot>` | a time in seconds of Unix time, see [`crate::revision_clock`] | any node |
//! | `gl/<slot>` | a segment, see [`crate::assignment_log`] | the leader |
//!
//! Every node replicates the keys under `gk/`. Only a node that becomes the leader reads those
//! under `gl/`. Nodes of earlier versions use the same keys and may run alongside this version.

use gladekeel_wire::JobId;
use serde::{Deserialize, Serialize};

/// Prefix of the keys that every node replicates.
pub const REPLICATED_PREFIX: &str = "gk/";
/// The key of the [`LeaderRecord`].
pub const LEADER: &str = "gk/leader";
/// The key of the first part of the machine types, and the prefix of the other parts' keys.
pub const MACHINE_TYPES: &str = "gk/types";
/// The key of the runtime settings.
pub const RUNTIME_SETTINGS: &str = "gk/options";
/// Prefix of the keys of drain orders.
pub const DRAIN_PREFIX: &str = "gk/drain/";
/// Prefix of the keys of jobs.
pub const JOB_PREFIX: &str = "gk/job/";
/// Field of a stored job that holds the time at which the job was accepted, in seconds of Unix
/// time.
pub const ACCEPTED_AT: &str = "accepted_at";
/// Prefix of the keys of jobs' final states.
pub const FINAL_STATE_PREFIX: &str = "gk/fate/";
/// Prefix of the keys of the revision clock's slots.
pub const REVISION_CLOCK_PREFIX: &str = "gk/clock/";
/// Prefix of the keys of the assignment log's slots.
pub const ASSIGNMENT_LOG_PREFIX: &str = "gl/";
/// Prefix of the keys under which the first version stored assignments.
pub const LEGACY_ASSIGNMENTS_PREFIX: &str = "gk/assign/";

/// The key of a job.
pub fn job(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The key of a job's final state.
pub fn final_state(id: &JobId) -> String {
    format!("{FINAL_STATE_PREFIX}{id}")
}

/// The key of a machine's drain order.
pub fn drain(machine: &str) -> String {
    format!("{DRAIN_PREFIX}{machine}")
}

/// The key of a part of the machine types. Part 0 holds all machine types if they fit into it.
pub fn machine_types_part(part: u32) -> String {
    if part == 0 { MACHINE_TYPES.to_owned() } else { format!("{MACHINE_TYPES}/{part}") }
}

/// The number of the part of the machine types that a key holds; `None` for any other key.
pub fn parse_machine_types_part(key: &str) -> Option<u32> {
    let rest = key.strip_prefix(MACHINE_TYPES)?;
    if rest.is_empty() { Some(0) } else { rest.strip_prefix('/')?.parse().ok() }
}

/// The key of a slot of the revision clock.
pub fn clock_slot(slot: u32) -> String {
    format!("{REVISION_CLOCK_PREFIX}{slot:02}")
}

/// The slot of the revision clock that a key holds; `None` for any other key.
pub fn parse_clock_slot(key: &str) -> Option<u32> {
    key.strip_prefix(REVISION_CLOCK_PREFIX)?.parse().ok()
}

/// The key of a slot of the assignment log.
pub fn log_slot(slot: u32) -> String {
    format!("{ASSIGNMENT_LOG_PREFIX}{slot:06}")
}

/// The slot of the assignment log that a key holds; `None` for any other key.
pub fn parse_log_slot(key: &str) -> Option<u32> {
    key.strip_prefix(ASSIGNMENT_LOG_PREFIX)?.parse().ok()
}

/// The value of [`LEADER`], which names the node that leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name.
    pub node: String,
    /// The leader's incarnation, a random number that its process drew at the start. A restarted
    /// node is a different candidate.
    #[serde(rename = "run")]
    pub incarnation: u64,
}
