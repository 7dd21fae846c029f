//! Validation of the settings file. Every error names the field by its path in the file.

use super::{CloudLimits, Deployment, ProcessLimits, Settings, StoreLimits, Team, WorkerTimings};

/// Minimum number of sockets that a controller needs.
const MIN_CONNECTIONS: usize = 32;
/// Minimum number of operations that the store must allow in a transaction.
const MIN_TRANSACTION_OPERATIONS: usize = 1;

/// A setting that does not meet its requirement.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {requirement}")]
pub struct InvalidSetting {
    /// Path of the field in the file, such as `deployment.count`.
    pub field: String,
    /// Requirement that the setting does not meet.
    pub requirement: Requirement,
}

/// A requirement for the value of a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Requirement {
    /// A text of at least one character.
    #[error("must not be empty")]
    NotEmpty,
    /// A list of controllers that does not contain this one.
    #[error("must not name this node")]
    NotThisNode,
    /// The number of controllers that the file lists, this one included.
    #[error("must be the number of siblings plus one for this node")]
    NumberOfControllers,
    /// A finite number above 0.
    #[error("must be a number above 0")]
    Positive,
    /// A finite number, 0 or above.
    #[error("must be a number, 0 or above")]
    NotNegative,
    /// A whole number with this minimum.
    #[error("must be at least {0}")]
    AtLeast(usize),
}

fn require(holds: bool, field: &str, requirement: Requirement) -> Result<(), InvalidSetting> {
    if holds { Ok(()) } else { Err(InvalidSetting { field: field.into(), requirement }) }
}

fn require_positive(value: f64, field: &str) -> Result<(), InvalidSetting> {
    require(value.is_finite() && value > 0.0, field, Requirement::Positive)
}

fn require_not_negative(value: f64, field: &str) -> Result<(), InvalidSetting> {
    require(value.is_finite() && value >= 0.0, field, Requirement::NotNegative)
}

fn require_at_least(value: usize, min: usize, field: &str) -> Result<(), InvalidSetting> {
    require(value >= min, field, Requirement::AtLeast(min))
}

impl Settings {
    /// Checks what the types cannot express: that values are in range, and that fields are
    /// consistent with one another.
    ///
    /// # Errors
    ///
    /// [`InvalidSetting`] with the first field that does not meet its requirement.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        require(!self.node.is_empty(), "node", Requirement::NotEmpty)?;
        let lists_itself = self.peers.iter().any(|peer| peer.node == self.node);
        require(!lists_itself, "siblings", Requirement::NotThisNode)?;
        let controllers = self.peers.len() + 1;
        require(
            self.deployment.controllers as usize == controllers,
            "deployment.count",
            Requirement::NumberOfControllers,
        )?;
        self.deployment.check()
    }
}

impl Deployment {
    fn check(&self) -> Result<(), InvalidSetting> {
        self.teams.iter().try_for_each(Team::check)?;
        self.workers.check()?;
        self.store.check("deployment.state")?;
        self.store.lowest().check("deployment.state.next")?;
        self.cloud.check()?;
        self.limits.check()
    }
}

impl Team {
    fn check(&self) -> Result<(), InvalidSetting> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        amounts.into_iter().try_for_each(|amount| require_not_negative(amount, "deployment.teams"))
    }
}

impl WorkerTimings {
    fn check(&self) -> Result<(), InvalidSetting> {
        require_positive(self.heartbeat_interval_s, "deployment.workers.report_s")?;
        require_positive(self.lease_s, "deployment.workers.lease_s")?;
        require_positive(self.cancellation_deadline_s, "deployment.workers.cancel_s")?;
        require_positive(self.gang_wait_s, "deployment.workers.gang_wait_s")?;
        require_positive(self.gang_exit_detection_s, "deployment.workers.gang_peer_s")
    }
}

impl StoreLimits {
    /// Checks the limits. `section` is the path of the limits in the file.
    fn check(&self, section: &str) -> Result<(), InvalidSetting> {
        require_positive(self.rps, &format!("{section}.rps"))?;
        require_positive(self.write_rps, &format!("{section}.write_rps"))?;
        require_positive(self.value_kb, &format!("{section}.value_kb"))?;
        require_at_least(self.txn_ops, MIN_TRANSACTION_OPERATIONS, &format!("{section}.txn_ops"))
    }
}

impl CloudLimits {
    fn check(&self) -> Result<(), InvalidSetting> {
        require_positive(self.rps, "deployment.cloud.rps")?;
        require_not_negative(self.list_lag_s, "deployment.cloud.list_lag_s")
    }
}

impl ProcessLimits {
    fn check(&self) -> Result<(), InvalidSetting> {
        require_positive(self.cpu_share, "deployment.limits.cpu_share")?;
        require_positive(self.memory_mb, "deployment.limits.ram_mb")?;
        require_at_least(self.max_connections, MIN_CONNECTIONS, "deployment.limits.max_connections")
    }
}
