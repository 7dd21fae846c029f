//! The settings file that the platform hands to every controller.

use serde::Deserialize;
use std::net::SocketAddr;

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
    pub params: Params,
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
    pub state: SocketAddr,
}

/// What is the same for every node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Params {
    /// Number of controllers.
    pub count: u32,
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound of the time of day's error.
    #[serde(rename = "time_bound_ms", default)]
    pub clock_off_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The users' aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// How workers behave.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: State,
    /// Limits of the cloud.
    pub cloud: Cloud,
    /// Limits of this process.
    pub limits: Limits,
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
pub struct Workers {
    /// Time between reports.
    pub report_s: f64,
    /// Their lease.
    pub lease_s: f64,
    /// Time within which a cancelled job's tasks must be gone.
    pub cancel_s: f64,
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

impl Workers {
    /// How long a healthy worker may be silent: a report goes out every `report_s`,
    /// give or take a quarter, and takes its time.
    pub fn late_s(&self) -> f64 {
        1.25 * self.report_s + 2.0
    }

    /// How long a worker may be silent before it is worth asking it.
    pub fn ask_s(&self) -> f64 {
        0.3 * self.report_s + 1.5
    }
}

/// Limits of the state service, for all nodes together.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct State {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// KiB of a value.
    pub value_kb: f64,
    /// Puts and deletes of a transaction.
    pub txn_ops: usize,
    /// The limits that it will have from some moment on, which nobody announces.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Limits of the state service that are yet to come; what is not named stays.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct NextState {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Puts and deletes per second.
    pub write_rps: Option<f64>,
    /// KiB of a value.
    pub value_kb: Option<f64>,
    /// Puts and deletes of a transaction.
    pub txn_ops: Option<usize>,
}

impl State {
    /// The limits to keep to: of each the smaller one, from the first moment.
    pub fn kept(&self) -> State {
        let next = self.next.clone().unwrap_or_default();
        State {
            rps: next.rps.map_or(self.rps, |next| next.min(self.rps)),
            write_rps: next.write_rps.map_or(self.write_rps, |next| next.min(self.write_rps)),
            value_kb: next.value_kb.map_or(self.value_kb, |next| next.min(self.value_kb)),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            next: None,
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Cloud {
    /// Requests per second, for all nodes together.
    pub rps: f64,
    /// How late the machine list is.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Limits {
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
pub struct BadSetting {
    /// Where it stands, as in the file.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

impl Settings {
    /// Checks what a type cannot.
    pub fn check(&self) -> Result<(), BadSetting> {
        let require = |ok: bool, field: &str, what: &str| {
            if ok { Ok(()) } else { Err(BadSetting { field: field.into(), what: what.into() }) }
        };
        let positive = |value: f64, field: &str| {
            require(value.is_finite() && value > 0.0, field, "must be a number above 0")
        };
        let p = &self.params;
        require(!self.node.is_empty(), "node", "must not be empty")?;
        require(
            self.peers.iter().all(|peer| peer.node != self.node),
            "siblings",
            "must not name this node",
        )?;
        require(
            p.count as usize == self.peers.len() + 1,
            "deployment.count",
            "must be the number of siblings and this node",
        )?;
        for team in &p.teams {
            let amount = |v: f64| v.is_finite() && v >= 0.0;
            let fine = amount(team.cpus)
                && amount(team.cpus_max)
                && amount(team.gpus)
                && amount(team.gpus_max);
            require(fine, "deployment.teams", "amounts must be numbers, 0 or above")?;
        }
        positive(p.workers.report_s, "deployment.workers.report_s")?;
        positive(p.workers.lease_s, "deployment.workers.lease_s")?;
        positive(p.workers.cancel_s, "deployment.workers.cancel_s")?;
        positive(p.workers.gang_wait_s, "deployment.workers.gang_wait_s")?;
        positive(p.workers.gang_peer_s, "deployment.workers.gang_peer_s")?;
        for (state, name) in [(&p.state, "state"), (&p.state.kept(), "state.next")] {
            let field = |limit: &str| format!("deployment.{name}.{limit}");
            positive(state.rps, &field("rps"))?;
            positive(state.write_rps, &field("write_rps"))?;
            positive(state.value_kb, &field("value_kb"))?;
            require(state.txn_ops >= 1, &field("txn_ops"), "must be at least 1")?;
        }
        positive(p.cloud.rps, "deployment.cloud.rps")?;
        require(
            p.cloud.list_lag_s.is_finite() && p.cloud.list_lag_s >= 0.0,
            "deployment.cloud.list_lag_s",
            "must be a number, 0 or above",
        )?;
        positive(p.limits.cpu_share, "deployment.limits.cpu_share")?;
        positive(p.limits.memory_mb, "deployment.limits.ram_mb")?;
        require(
            p.limits.max_connections >= 32,
            "deployment.limits.max_connections",
            "must be at least 32",
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
        node = "n-0"
        site = "a"
        bind = "127.0.0.1:80"
        mesh_addr = "127.0.0.1:81"
        later = 1
        services = { cloud = "127.0.0.1:82", state = "127.0.0.1:83" }
        [[siblings]]
        node = "n-1"
        site = "b"
        peer_addr = "127.0.0.1:84"
        [deployment]
        count = 2
        teams = [{ name = "red", cpus = 8.0, cpus_max = 9.0 }]
        workers = { report_s = 3.0, lease_s = 30.0, cancel_s = 50.0 }
        state = { rps = 9.0, write_rps = 9.0, value_kb = 4.0, txn_ops = 8 }
        cloud = { rps = 4.0, list_lag_s = 6.0 }
        limits = { cpu_share = 0.2, ram_mb = 200.0, max_connections = 3000 }
    "#;

    #[test]
    fn wrong_values_are_named() {
        toml::from_str::<Settings>(GOOD).unwrap().check().unwrap();
        for (from, to, field) in [
            ("node = \"n-0\"", "node = \"\"", "node"),
            ("node = \"n-1\"", "node = \"n-0\"", "siblings"),
            ("count = 2", "count = 3", "deployment.count"),
            ("cpus = 8.0", "cpus = -8.0", "deployment.teams"),
            ("report_s = 3.0", "report_s = 0.0", "deployment.workers.report_s"),
            ("lease_s = 30.0", "lease_s = inf", "deployment.workers.lease_s"),
            ("{ rps = 9.0", "{ rps = nan", "deployment.state.rps"),
            ("txn_ops = 8", "txn_ops = 0", "deployment.state.txn_ops"),
            ("txn_ops = 8", "txn_ops = 8, next = { rps = -1.0 }", "deployment.state.next.rps"),
            (
                "report_s = 3.0",
                "report_s = 3.0, gang_peer_s = 0.0",
                "deployment.workers.gang_peer_s",
            ),
            ("list_lag_s = 6.0", "list_lag_s = -1.0", "deployment.cloud.list_lag_s"),
            ("max_connections = 3000", "max_connections = 3", "deployment.limits.max_connections"),
        ] {
            let text = GOOD.replace(from, to);
            let settings: Settings = toml::from_str(&text).unwrap();
            assert_eq!(settings.check().unwrap_err().field, field, "{to}");
        }
        for (from, to) in [
            ("127.0.0.1:80", "localhost"),
            ("count = 2", "count = \"2\""),
            ("node = \"n-0\"", "node = 7"),
            ("cancel_s = 50.0", "cancelled = 50.0"),
        ] {
            assert!(toml::from_str::<Settings>(&GOOD.replacen(from, to, 1)).is_err(), "{to}");
        }
    }
}
