//! Settings that operators may change while the service runs.
//!
//! The store holds these settings for all controllers, and every node applies a change as soon as
//! the node reads the change from the store. Each setting has a name in the administration API, a
//! range and a default. A change is applied as a whole or not at all.

use gladekeel_sched::{autoscaling::AutoscalerConfig, fair_share::FairShare};
use gladekeel_wire::settings::WorkerTimings;
use serde_json::Value;
use std::collections::BTreeMap;

/// Default time in seconds from the first probe of a machine until the machine counts as
/// unreachable, which leaves time for several probes.
const PROBING_PERIOD_S: f64 = 6.5;

/// The runtime settings that are in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RuntimeSettings {
    /// The parameters β and ε of fair sharing.
    pub fair_share: FairShare,
    /// Time between scheduling cycles, in seconds.
    pub cycle_interval_s: f64,
    /// Multiple of the median run time of a job's tasks from which a running task counts as a
    /// straggler.
    pub straggler_multiple: f64,
    /// Time in seconds that a machine is kept while it is idle and not needed for the current
    /// demand.
    pub idle_timeout_s: f64,
    /// Time in seconds without a heartbeat after which a machine is deleted, provided that it does
    /// not respond to probes and that other machines of its zone are reachable.
    pub unreachable_after_s: f64,
    /// Time in seconds that a task waits for capacity before other tasks are preempted for it.
    pub preempt_after_s: f64,
    /// Time in seconds that a task waits for capacity before tasks that checkpoint their progress
    /// are preempted for it.
    pub preempt_checkpointed_after_s: f64,
    /// The parameters of the autoscaler.
    pub autoscaler: AutoscalerConfig,
}

/// Why a change of the settings is rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidRuntimeSetting {
    /// There is no setting of this name.
    #[error("{name}: no such setting; there are {}", SettingDefinition::names().join(", "))]
    Unknown {
        /// The unknown name.
        name: String,
    },
    /// The value is not a number or is out of range.
    #[error("{name}: must be a number from {min} to {max}")]
    OutOfRange {
        /// The setting's name.
        name: &'static str,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// The change names no setting.
    #[error("settings: must name at least one setting")]
    Empty,
}

/// The name and range of a setting, and the function that accesses its value.
struct SettingDefinition {
    /// The setting's name in the administration API and in the store.
    name: &'static str,
    min: f64,
    max: f64,
    accessor: fn(&mut RuntimeSettings) -> &mut f64,
}

impl SettingDefinition {
    fn find(name: &str) -> Result<&'static SettingDefinition, InvalidRuntimeSetting> {
        let definition = SETTINGS.iter().find(|definition| definition.name == name);
        definition.ok_or_else(|| InvalidRuntimeSetting::Unknown { name: name.to_owned() })
    }

    fn names() -> Vec<&'static str> {
        SETTINGS.iter().map(|definition| definition.name).collect()
    }

    /// Whether a value is in the setting's range. NaN is in no range.
    fn accepts(&self, value: f64) -> bool {
        (self.min..=self.max).contains(&value)
    }

    fn out_of_range(&self) -> InvalidRuntimeSetting {
        InvalidRuntimeSetting::OutOfRange { name: self.name, min: self.min, max: self.max }
    }
}

const SETTINGS: &[SettingDefinition] = &[
    SettingDefinition {
        name: "beta",
        min: 1.01,
        max: 2.0,
        accessor: |settings| &mut settings.fair_share.beta,
    },
    SettingDefinition {
        name: "epsilon",
        min: 0.0,
        max: 1.0,
        accessor: |settings| &mut settings.fair_share.epsilon,
    },
    SettingDefinition {
        name: "round_s",
        min: 0.2,
        max: 30.0,
        accessor: |settings| &mut settings.cycle_interval_s,
    },
    SettingDefinition {
        name: "restart_multiple",
        min: 1.5,
        max: 100.0,
        accessor: |settings| &mut settings.straggler_multiple,
    },
    SettingDefinition {
        name: "idle_s",
        min: 0.0,
        max: 3600.0,
        accessor: |settings| &mut settings.idle_timeout_s,
    },
    SettingDefinition {
        name: "silent_s",
        min: 5.0,
        max: 600.0,
        accessor: |settings| &mut settings.unreachable_after_s,
    },
    SettingDefinition {
        name: "preempt_after_s",
        min: 0.0,
        max: 3600.0,
        accessor: |settings| &mut settings.preempt_after_s,
    },
    SettingDefinition {
        name: "preempt_saving_after_s",
        min: 0.0,
        max: 3600.0,
        accessor: |settings| &mut settings.preempt_checkpointed_after_s,
    },
    SettingDefinition {
        name: "fleet_memory_s",
        min: 1.0,
        max: 86400.0,
        accessor: |settings| &mut settings.autoscaler.smoothing_s,
    },
    SettingDefinition {
        name: "fleet_keep",
        min: 0.0,
        max: 3.0,
        accessor: |settings| &mut settings.autoscaler.spot_retention,
    },
    SettingDefinition {
        name: "fleet_fill",
        min: 0.05,
        max: 1.0,
        accessor: |settings| &mut settings.autoscaler.target_utilization,
    },
];

impl RuntimeSettings {
    /// The default settings, which are in force until operators change them.
    pub fn defaults(workers: &WorkerTimings) -> RuntimeSettings {
        RuntimeSettings {
            fair_share: FairShare::default(),
            cycle_interval_s: 1.0,
            straggler_multiple: 3.0,
            idle_timeout_s: 15.0,
            unreachable_after_s: workers.probe_after_s() + PROBING_PERIOD_S,
            preempt_after_s: 6.0,
            preempt_checkpointed_after_s: 1.0,
            autoscaler: AutoscalerConfig::default(),
        }
    }

    /// The values of all settings by name.
    pub fn values(&self) -> BTreeMap<String, f64> {
        // The accessors take a mutable reference, so they are applied to a copy.
        let mut copy = self.clone();
        SETTINGS
            .iter()
            .map(|definition| (definition.name.to_owned(), *(definition.accessor)(&mut copy)))
            .collect()
    }

    /// Returns a copy of these settings in which the named settings have the given values.
    ///
    /// # Errors
    ///
    /// If a name is unknown or a value is out of range.
    pub fn with_values(
        &self,
        values: &BTreeMap<String, f64>,
    ) -> Result<RuntimeSettings, InvalidRuntimeSetting> {
        let mut changed = self.clone();
        for (name, value) in values {
            let definition = SettingDefinition::find(name)?;
            if !definition.accepts(*value) {
                return Err(definition.out_of_range());
            }
            *(definition.accessor)(&mut changed) = *value;
        }
        Ok(changed)
    }

    /// Returns a copy of these settings in which the named settings have the JSON values of an
    /// operator's request.
    ///
    /// # Errors
    ///
    /// If no setting is named, a name is unknown, or a value is not a number or out of range.
    pub fn with_json(
        &self,
        values: &BTreeMap<String, Value>,
    ) -> Result<RuntimeSettings, InvalidRuntimeSetting> {
        if values.is_empty() {
            return Err(InvalidRuntimeSetting::Empty);
        }
        let parse_number = |(name, value): (&String, &Value)| {
            let definition = SettingDefinition::find(name)?;
            let number = value.as_f64().ok_or_else(|| definition.out_of_range())?;
            Ok((name.clone(), number))
        };
        let numbers = values.iter().map(parse_number).collect::<Result<_, _>>()?;
        self.with_values(&numbers)
    }
}
