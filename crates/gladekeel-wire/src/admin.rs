//! The administration API: cluster status, machines, runtime settings, cordons.
//!
//! Served under `/admin/` by every controller; `gladekeel` commands are its usual client.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The runtime settings with their version: the response to `GET` and `PUT
/// /admin/settings`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedSettings {
    /// Version of the stored settings; 0 if none are stored. A `PUT` names the
    /// version that it changes, so that concurrent changes are not overwritten.
    pub version: u64,
    /// Values by name.
    pub settings: BTreeMap<String, f64>,
}

/// The body of `PUT /admin/settings`. Values are any JSON here and are validated one by
/// one, so that an error can name the setting and its range.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Version of the settings that this change was made from; the change is refused if
    /// another one has been stored since.
    pub version: u64,
    /// The new values by name; settings that are not named keep their values.
    pub settings: BTreeMap<String, serde_json::Value>,
}

/// The response to `POST /admin/machines/NAME/drain` and `.../undrain`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Name of the machine.
    pub machine: String,
    /// Whether the machine is cordoned: no new tasks are assigned to it, and it is deleted
    /// once it is empty.
    pub draining: bool,
}

/// A peer controller as seen by the one that responds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the peer.
    pub node: String,
    /// Seconds since its last heartbeat; `None` before the first one.
    #[serde(rename = "heard_s")]
    pub last_heartbeat_age_s: Option<f64>,
    /// Seconds between the peer's last successful read of the store and its last
    /// heartbeat; `None` if it has not read the store.
    #[serde(rename = "contact_s")]
    pub store_contact_age_s: Option<f64>,
}

/// Resource usage of a team against its quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub team: String,
    /// CPUs of its assigned tasks.
    pub cpus: f64,
    /// GPUs of its assigned tasks.
    pub gpus: f64,
    /// CPUs that the team is guaranteed.
    pub guaranteed_cpus: f64,
    /// Maximum of CPUs that its tasks may hold together.
    pub limit_cpus: f64,
    /// Jobs that are neither done nor cancelled.
    pub jobs: u32,
    /// Tasks of these jobs that are not assigned to a machine.
    pub waiting: u64,
}

/// A machine as the leader sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// Name of the machine.
    pub machine: String,
    /// `booting`, `idle`, `working`, `draining` or `leaving`.
    pub state: String,
    /// Machine type; `None` until the cloud or the worker has reported it.
    pub machine_type: Option<String>,
    /// Zone; `None` until the cloud or the worker has reported it.
    pub zone: Option<String>,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Number of tasks assigned to it.
    pub tasks: usize,
    /// Seconds since its last heartbeat; `None` before the first one.
    #[serde(rename = "quiet_s")]
    pub last_heartbeat_age_s: Option<f64>,
}

/// The response to `GET /admin/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the controller that responds.
    pub node: String,
    /// Name of the leader as this controller knows it.
    pub leader: Option<String>,
    /// Highest fencing token that this controller knows.
    pub token: u64,
    /// Seconds since this controller's last successful read of the store.
    #[serde(rename = "contact_s")]
    pub store_contact_age_s: Option<f64>,
    /// The other controllers.
    pub nodes: Vec<NodeStatus>,
    /// Usage by team.
    pub teams: Vec<TeamStatus>,
    /// Number of machines by state; `None` unless the leader responds.
    pub machines: Option<BTreeMap<String, u32>>,
}

/// The response to `GET /admin/machines`; only the leader serves it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    /// All machines that the leader knows.
    pub machines: Vec<MachineStatus>,
}
