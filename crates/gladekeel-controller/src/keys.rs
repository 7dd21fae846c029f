//! The layout of the state service's keys and the values behind them.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `gk/job/<id>` | the job's description and when it was accepted | any node, once |
//! | `gk/fate/<id>` | `"done"` or `"aborted"` | the leader, or any node for a cancellation; once |
//! | `gk/leader` | who leads; its version is the fencing token | the leader |
//! | `gk/types` | machine types | the leader |
//! | `gk/types/<n>` | those that `gk/types` has no room for | the leader |
//! | `gk/options` | the operators' settings | any node, for an operator |
//! | `gk/drain/<machine>` | the machine is to be drained | any node, for an operator |
//! | `gl/<slot>` | a segment of the leader's log, see [`crate::assignment_log`] | the leader |
//!
//! Every node follows `gk/`. Only a node that begins to lead reads `gl/`.

use gladekeel_wire::JobId;
use serde::{Deserialize, Serialize};

/// Prefix of all keys.
pub const REPLICATED_PREFIX: &str = "gk/";
/// Who leads.
pub const LEADER: &str = "gk/leader";
/// Machine types.
pub const MACHINE_TYPES: &str = "gk/types";
/// The operators' settings.
pub const OPTIONS: &str = "gk/options";
/// Prefix of machines to drain.
pub const DRAIN_PREFIX: &str = "gk/drain/";
/// Prefix of jobs.
pub const JOB_PREFIX: &str = "gk/job/";
/// Field of a stored job: the time of day at which it was accepted.
pub const ACCEPTED_AT: &str = "accepted_at";
/// Prefix of final states.
pub const FINAL_STATE_PREFIX: &str = "gk/fate/";
/// Prefix of the log's segments.
pub const ASSIGNMENT_LOG_PREFIX: &str = "gl/";
/// Prefix of the pages in which the first version kept assignments.
pub const LEGACY_ASSIGNMENTS_PREFIX: &str = "gk/assign/";

/// The key of a job.
pub fn job(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The key of a job's final state.
pub fn final_state(id: &JobId) -> String {
    format!("{FINAL_STATE_PREFIX}{id}")
}

/// The key that says that a machine is to be drained.
pub fn drain(machine: &str) -> String {
    format!("{DRAIN_PREFIX}{machine}")
}

/// The key of a part of the machine types: the first one stands alone where it can.
pub fn machine_types_part(part: u32) -> String {
    if part == 0 { MACHINE_TYPES.to_owned() } else { format!("{MACHINE_TYPES}/{part}") }
}

/// The part of the machine types that a key holds, if it does.
pub fn parse_machine_types_part(key: &str) -> Option<u32> {
    let rest = key.strip_prefix(MACHINE_TYPES)?;
    if rest.is_empty() { Some(0) } else { rest.strip_prefix('/')?.parse().ok() }
}

/// The key of a slot of the log.
pub fn log(slot: u32) -> String {
    format!("{ASSIGNMENT_LOG_PREFIX}{slot:06}")
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node's name.
    pub node: String,
    /// Its incarnation: a node that was restarted is another candidate.
    #[serde(rename = "run")]
    pub incarnation: u64,
}
