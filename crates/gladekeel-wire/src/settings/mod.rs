//! The settings file (TOML) that the platform provides to a controller when the controller
//! starts.
//!
//! Unknown fields are ignored, so that the platform can be upgraded before the controllers.
//! After parsing, [`Settings::check`] validates what the types cannot express.

mod objective;
mod validation;

pub use objective::{Objective, ObjectiveKind};
pub use validation::{InvalidSetting, Requirement};

use serde::Deserialize;
use std::net::SocketAddr;

/// The contents of the settings file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub node: String,
    /// Zone of this controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address on which this controller serves users, workers and health checks.
    #[serde(rename = "bind")]
    pub listen: SocketAddr,
    /// Address on which this controller accepts connections from its peers.
    #[serde(rename = "mesh_addr")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services that controllers call.
    pub services: Services,
    /// Settings that are the same for every controller of the cluster.
    #[serde(rename = "deployment")]
    pub deployment: Deployment,
}

/// Another controller of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Peer {
    /// Name of the peer.
    pub node: String,
    /// Zone of the peer.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address on which the peer accepts connections from other controllers.
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddr,
}

/// Addresses of the services that controllers call.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Services {
    /// Address of the cloud provider's API.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// Settings that are the same for every controller of the cluster.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    #[serde(rename = "count")]
    pub controllers: u32,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum error of the wall clock, in milliseconds.
    #[serde(rename = "time_bound_ms", default)]
    pub clock_error_bound_ms: f64,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time limits that all workers observe.
    pub workers: WorkerTimings,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud provider's API.
    pub cloud: CloudLimits,
    /// Limits of each controller process.
    pub limits: ProcessLimits,
}

/// A team and its quota: the resources that the team is guaranteed, and the most that it may use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Number of CPUs that the team is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs that the team may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of GPUs that the team is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs that the team may use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// Intervals and time limits that all workers observe, in seconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WorkerTimings {
    /// Time between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease: a worker that receives no response to a heartbeat for this
    /// long kills its tasks.
    pub lease_s: f64,
    /// Time after a cancellation within which the job's tasks must have stopped.
    #[serde(rename = "cancel_s")]
    pub cancellation_deadline_s: f64,
    /// Time that a task of a gang waits for the other tasks to become ready before it exits.
    #[serde(default = "default_gang_wait_s")]
    pub gang_wait_s: f64,
    /// Time within which the tasks of a running gang detect that one of them has exited. When a
    /// gang is stopped, all of its tasks must receive the command within this time.
    #[serde(rename = "gang_peer_s", default = "default_gang_peer_s")]
    pub gang_exit_detection_s: f64,
}

fn default_gang_wait_s() -> f64 {
    30.0
}

fn default_gang_peer_s() -> f64 {
    4.0
}

/// Longest time between two heartbeats, as a multiple of the configured interval: workers add
/// jitter of up to a quarter of the interval.
const HEARTBEAT_JITTER_FACTOR: f64 = 1.25;
/// Time that the delivery of a heartbeat may take, in seconds.
const HEARTBEAT_LATENCY_S: f64 = 2.0;
/// Fraction of the heartbeat interval that is added to [`PROBE_MIN_SILENCE_S`]: a worker is probed
/// once the sum has passed without a heartbeat.
const PROBE_INTERVAL_FACTOR: f64 = 0.3;
/// Minimum time without a heartbeat before a worker is probed, in seconds.
const PROBE_MIN_SILENCE_S: f64 = 1.5;

impl Deployment {
    /// Returns the maximum error of the wall clock, in seconds.
    pub fn clock_error_bound_s(&self) -> f64 {
        self.clock_error_bound_ms / 1000.0
    }
}

impl WorkerTimings {
    /// Returns the maximum time between the receipt of two heartbeats of a healthy worker, in
    /// seconds.
    pub fn heartbeat_timeout_s(&self) -> f64 {
        HEARTBEAT_JITTER_FACTOR * self.heartbeat_interval_s + HEARTBEAT_LATENCY_S
    }

    /// Returns the time without a heartbeat after which the leader probes the worker, in seconds.
    pub fn probe_after_s(&self) -> f64 {
        PROBE_INTERVAL_FACTOR * self.heartbeat_interval_s + PROBE_MIN_SILENCE_S
    }
}

/// Limits of the key-value store, for all controllers together.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that will take effect at a time that is not announced; `None` if no change is
    /// announced.
    #[serde(rename = "next", default)]
    pub upcoming: Option<UpcomingStoreLimits>,
}

/// Limits of the key-value store that will take effect later. A limit that is `None` does not
/// change.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct UpcomingStoreLimits {
    /// Maximum number of requests per second.
    pub rps: Option<f64>,
    /// Maximum number of puts and deletes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// Returns the limits that controllers must observe: for each limit, the lower of its current
    /// and upcoming values. Lower upcoming limits apply from the start, because the time of the
    /// change is not announced.
    pub fn lowest(&self) -> StoreLimits {
        let upcoming = self.upcoming.clone().unwrap_or_default();
        StoreLimits {
            rps: upcoming.rps.map_or(self.rps, |rps| rps.min(self.rps)),
            write_rps: upcoming.write_rps.map_or(self.write_rps, |rps| rps.min(self.write_rps)),
            value_kb: upcoming.value_kb.map_or(self.value_kb, |size| size.min(self.value_kb)),
            txn_ops: upcoming.txn_ops.map_or(self.txn_ops, |count| count.min(self.txn_ops)),
            upcoming: None,
        }
    }
}

/// Limits of the cloud provider's API.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second, for all controllers together.
    pub rps: f64,
    /// Delay of the machine list in seconds: the list shows the state that the cloud had this long
    /// before the response.
    pub list_lag_s: f64,
}

/// Limits of each controller process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ProcessLimits {
    /// CPU time that the process may use, as a fraction of one core.
    pub cpu_share: f64,
    /// Memory that the process may use, in MB.
    #[serde(rename = "ram_mb")]
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub max_connections: usize,
}
