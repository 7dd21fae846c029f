//! The administration API: cluster status, machines, runtime settings, cordons.
//!
//! Every controller serves this API under `/admin/`. Its usual clients are the subcommands of
//! `gladekeel`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The runtime settings with their version: the response to `GET /admin/settings` and
/// `PUT /admin/settings`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedSettings {
    /// Version of the stored settings; 0 if none are stored. A `PUT` request names the version
    /// that it changes, so that it does not overwrite a concurrent change.
    pub version: u64,
    /// Values of the settings by name.
    pub settings: BTreeMap<String, f64>,
}

/// The body of `PUT /admin/settings`. The values may be any JSON here and are validated one by
/// one, so that an error can name the setting and its range.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Version of the settings that this change is based on; the change is refused if another
    /// version has been stored since.
    pub version: u64,
    /// The new values by name; settings that are not named keep their values.
    pub settings: BTreeMap<String, serde_json::Value>,
}

/// The response to `POST /admin/machines/NAME/drain` and `.../undrain`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Name of the machine.
    pub machine: String,
    /// Whether the machine is cordoned: it is assigned no new tasks, and it is deleted once no
    /// task is left on it.
    pub draining: bool,
}

/// A peer controller, as seen by the controller that responds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the peer.
    pub node: String,
    /// Seconds since the peer's last heartbeat; `None` before the first one.
    #[serde(rename = "heard_s")]
    pub last_heartbeat_age_s: Option<f64>,
    /// Seconds between the peer's last successful read of the store and its last heartbeat; `None`
    /// if the peer has not read the store.
    #[serde(rename = "contact_s")]
    pub store_contact_age_s: Option<f64>,
}

/// The resource usage and the quota of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub team: String,
    /// CPUs that the team's assigned tasks hold.
    pub cpus: f64,
    /// GPUs that the team's assigned tasks hold.
    pub gpus: f64,
    /// CPUs that the team is guaranteed.
    pub guaranteed_cpus: f64,
    /// Maximum number of CPUs that the team's tasks may hold together.
    pub limit_cpus: f64,
    /// Number of the team's jobs that are neither done nor cancelled.
    pub jobs: u32,
    /// Number of tasks of the team's unfinished jobs that are neither done nor assigned to a
    /// machine.
    pub waiting: u64,
}

/// A machine as the leader sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// Name of the machine.
    pub machine: String,
    /// State of the machine: `booting`, `idle`, `working`, `draining` or `leaving`.
    pub state: String,
    /// Type of the machine; `None` until the cloud or the worker has reported it.
    pub machine_type: Option<String>,
    /// Zone of the machine; `None` until the cloud or the worker has reported it.
    pub zone: Option<String>,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Number of tasks that are assigned to the machine.
    pub tasks: usize,
    /// Seconds since the machine's last heartbeat; `None` before the first one.
    #[serde(rename = "quiet_s")]
    pub last_heartbeat_age_s: Option<f64>,
}

/// The response to `GET /admin/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the controller that responds.
    pub node: String,
    /// Name of the leader as far as this controller knows; `None` if it knows of none.
    pub leader: Option<String>,
    /// Highest fencing token that this controller knows.
    pub token: u64,
    /// Seconds since this controller's last successful read of the store; `None` if it has not
    /// read the store.
    #[serde(rename = "contact_s")]
    pub store_contact_age_s: Option<f64>,
    /// The other controllers.
    pub nodes: Vec<NodeStatus>,
    /// Resource usage and quota of each team.
    pub teams: Vec<TeamStatus>,
    /// Number of machines by state; `None` unless this controller is the leader.
    pub machines: Option<BTreeMap<String, u32>>,
}

/// The response to `GET /admin/machines`; only the leader serves it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// All machines that the leader knows.
    pub machines: Vec<MachineStatus>,
}
