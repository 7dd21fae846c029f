//! The administration API.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The operators' settings with their version: the answer to `GET` and `PUT
/// /admin/settings`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedSettings {
    /// Version of the stored settings; 0 if none are stored. A `PUT` names the
    /// version that it changes, so that concurrent changes are not overwritten.
    pub version: u64,
    /// Values by name.
    pub settings: BTreeMap<String, f64>,
}

/// What a `PUT /admin/settings` asks for; the values are checked one by one, so that an
/// error can name the setting and its range.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Version of the settings that are changed.
    pub version: u64,
    /// The new values by name.
    pub settings: BTreeMap<String, serde_json::Value>,
}

/// The answer to a drain or undrain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// The machine.
    pub machine: String,
    /// Whether it gets no more work.
    pub draining: bool,
}

/// Another controller as this one sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub node: String,
    /// Seconds since it was heard.
    pub heard_s: Option<f64>,
    /// Seconds between its last contact to the state service and its last message.
    pub contact_s: Option<f64>,
}

/// A team's use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Its name.
    pub team: String,
    /// CPUs of its tasks on machines.
    pub cpus: f64,
    /// GPUs of its tasks on machines.
    pub gpus: f64,
    /// Guaranteed CPUs.
    pub guaranteed_cpus: f64,
    /// CPUs it may use at most.
    pub limit_cpus: f64,
    /// Unfinished jobs.
    pub jobs: u32,
    /// Tasks of them on no machine.
    pub waiting: u64,
}

/// A machine as the leader sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// Its name.
    pub machine: String,
    /// `booting`, `idle`, `working`, `draining` or `leaving`.
    pub state: String,
    /// Its type, once known.
    pub machine_type: Option<String>,
    /// Its zone, once known.
    pub zone: Option<String>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Tasks on it.
    pub tasks: usize,
    /// Seconds since its last report.
    pub quiet_s: Option<f64>,
}

/// The answer to `GET /admin/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The node that answers.
    pub node: String,
    /// Who leads, if anybody does.
    pub leader: Option<String>,
    /// The fencing token.
    pub token: u64,
    /// Seconds since this node's last contact to the state service.
    pub contact_s: Option<f64>,
    /// The other nodes.
    pub nodes: Vec<NodeStatus>,
    /// Use against guarantees and limits.
    pub teams: Vec<TeamStatus>,
    /// Machines by state; only the leader knows.
    pub machines: Option<BTreeMap<String, u32>>,
}

/// The answer to `GET /admin/machines`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    /// All machines that the leader knows.
    pub machines: Vec<MachineStatus>,
}
