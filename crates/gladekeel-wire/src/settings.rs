//! The settings file that the platform hands to every controller.

use serde::Deserialize;
use std::net::SocketAddr;

/// Least number of sockets that a controller can work with.
const MIN_CONNECTIONS: usize = 32;

/// The whole file. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// This node's name.
    pub node: String,
    /// This node's zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where users, workers and health checks reach this node.
    #[serde(rename = "bind")]
    pub listen: SocketAddr,
    /// Where the other controllers reach it.
    #[serde(rename = "mesh_addr")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<Peer>,
    /// Services that controllers use.
    pub services: Services,
    /// What is the same for every node.
    #[serde(rename = "deployment")]
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its address for other controllers.
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddr,
}

/// Addresses of the services.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// What is the same for every node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    #[serde(rename = "count")]
    pub controllers: u32,
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound of the time of day's error.
    #[serde(rename = "time_bound_ms", default)]
    pub clock_error_bound_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The users' aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// How workers behave.
    pub workers: WorkerTimings,
    /// ProcessLimits of the state service.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// ProcessLimits of the cloud.
    pub cloud: CloudLimits,
    /// ProcessLimits of this process.
    pub limits: ProcessLimits,
}

/// A team's guarantee and limit.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs it may use at most.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs it may use at most.
    #[serde(default)]
    pub gpus_max: f64,
}

/// One of the users' aims.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// What it is about.
    pub kind: String,
    /// The class of jobs, if about one.
    pub class: Option<String>,
    /// The time allowed.
    pub within_s: Option<f64>,
    /// The part that must be within it.
    pub share: Option<f64>,
    /// Multiple of the deadline.
    pub times: Option<f64>,
}

/// How workers behave.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WorkerTimings {
    /// Time between reports.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Their lease.
    pub lease_s: f64,
    /// Time within which a cancelled job's tasks must be gone.
    #[serde(rename = "cancel_s")]
    pub cancellation_deadline_s: f64,
    /// How long a task of a gang waits for the others before it gives up.
    #[serde(default = "gang_wait_s")]
    pub gang_wait_s: f64,
    /// Time within which the tasks of a running gang notice that one is gone, and within
    /// which all must hear that they are to stop.
    #[serde(default = "gang_peer_s")]
    pub gang_peer_s: f64,
}

fn gang_wait_s() -> f64 {
    30.0
}

fn gang_peer_s() -> f64 {
    4.0
}

impl WorkerTimings {
    /// How long a healthy worker may be silent: a report goes out every `report_s`,
    /// give or take a quarter, and takes its time.
    pub fn heartbeat_timeout_s(&self) -> f64 {
        1.25 * self.heartbeat_interval_s + 2.0
    }

    /// How long a worker may be silent before it is worth asking it.
    pub fn probe_after_s(&self) -> f64 {
        0.3 * self.heartbeat_interval_s + 1.5
    }
}

/// ProcessLimits of the state service, for all nodes together.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// KiB of a value.
    pub value_kb: f64,
    /// Puts and deletes of a transaction.
    pub txn_ops: usize,
    /// The limits that it will have from some moment on, which nobody announces.
    #[serde(rename = "next", default)]
    pub upcoming: Option<UpcomingStoreLimits>,
}

/// ProcessLimits of the state service that are yet to come; what is not named stays.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct UpcomingStoreLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Puts and deletes per second.
    pub write_rps: Option<f64>,
    /// KiB of a value.
    pub value_kb: Option<f64>,
    /// Puts and deletes of a transaction.
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// The limits to keep to: of each the smaller one, from the first moment.
    pub fn lowest(&self) -> StoreLimits {
        let next = self.upcoming.clone().unwrap_or_default();
        StoreLimits {
            rps: next.rps.map_or(self.rps, |next| next.min(self.rps)),
            write_rps: next.write_rps.map_or(self.write_rps, |next| next.min(self.write_rps)),
            value_kb: next.value_kb.map_or(self.value_kb, |next| next.min(self.value_kb)),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            upcoming: None,
        }
    }
}

/// ProcessLimits of the cloud.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, for all nodes together.
    pub rps: f64,
    /// How late the machine list is.
    pub list_lag_s: f64,
}

/// ProcessLimits of this process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ProcessLimits {
    /// Part of a core.
    pub cpu_share: f64,
    /// Memory in MB.
    #[serde(rename = "ram_mb")]
    pub memory_mb: f64,
    /// Sockets.
    pub max_connections: usize,
}

/// A value that cannot be meant.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {what}")]
pub struct InvalidSetting {
    /// Where it stands, as in the file.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

fn require(ok: bool, field: &str, what: &str) -> Result<(), InvalidSetting> {
    if ok { Ok(()) } else { Err(InvalidSetting { field: field.into(), what: what.into() }) }
}

fn positive(value: f64, field: &str) -> Result<(), InvalidSetting> {
    require(value.is_finite() && value > 0.0, field, "must be a number above 0")
}

fn not_negative(value: f64, field: &str) -> Result<(), InvalidSetting> {
    require(value.is_finite() && value >= 0.0, field, "must be a number, 0 or above")
}

impl Settings {
    /// Checks what a type cannot.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        require(!self.node.is_empty(), "node", "must not be empty")?;
        let names_itself = self.peers.iter().any(|peer| peer.node == self.node);
        require(!names_itself, "siblings", "must not name this node")?;
        require(
            self.deployment.controllers as usize == self.peers.len() + 1,
            "deployment.count",
            "must be the number of siblings and this node",
        )?;
        self.deployment.check()
    }
}

impl Deployment {
    fn check(&self) -> Result<(), InvalidSetting> {
        for team in &self.teams {
            for amount in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                not_negative(amount, "deployment.teams")?;
            }
        }
        self.workers.check()?;
        self.store.check("deployment.state")?;
        self.store.lowest().check("deployment.state.next")?;
        self.cloud.check()?;
        self.limits.check()
    }
}

impl WorkerTimings {
    fn check(&self) -> Result<(), InvalidSetting> {
        positive(self.heartbeat_interval_s, "deployment.workers.report_s")?;
        positive(self.lease_s, "deployment.workers.lease_s")?;
        positive(self.cancellation_deadline_s, "deployment.workers.cancel_s")?;
        positive(self.gang_wait_s, "deployment.workers.gang_wait_s")?;
        positive(self.gang_peer_s, "deployment.workers.gang_peer_s")
    }
}

impl StoreLimits {
    /// Checks the limits, which stand in this section of the file.
    fn check(&self, section: &str) -> Result<(), InvalidSetting> {
        positive(self.rps, &format!("{section}.rps"))?;
        positive(self.write_rps, &format!("{section}.write_rps"))?;
        positive(self.value_kb, &format!("{section}.value_kb"))?;
        require(self.txn_ops >= 1, &format!("{section}.txn_ops"), "must be at least 1")
    }
}

impl CloudLimits {
    fn check(&self) -> Result<(), InvalidSetting> {
        positive(self.rps, "deployment.cloud.rps")?;
        not_negative(self.list_lag_s, "deployment.cloud.list_lag_s")
    }
}

impl ProcessLimits {
    fn check(&self) -> Result<(), InvalidSetting> {
        positive(self.cpu_share, "deployment.limits.cpu_share")?;
        positive(self.memory_mb, "deployment.limits.ram_mb")?;
        require(
            self.max_connections >= MIN_CONNECTIONS,
            "deployment.limits.max_connections",
            &format!("must be at least {MIN_CONNECTIONS}"),
        )
    }
}
