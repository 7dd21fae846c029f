//! What operators may change while the service runs, and what is open to measurement.

use gladekeel_sched::{autoscaling::AutoscalerConfig, fair_share::FairShare};
use gladekeel_wire::settings::WorkerTimings;
use serde_json::Value;
use std::collections::BTreeMap;

/// The options in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RuntimeSettings {
    /// β and ε of the division of room.
    pub fair_share: FairShare,
    /// Time between rounds of decisions.
    pub cycle_interval_s: f64,
    /// A task is slow past this many times its job's median.
    pub straggler_multiple: f64,
    /// An idle machine beyond need is kept this long.
    pub idle_timeout_s: f64,
    /// A machine silent for this long that does not answer either is deleted, if others
    /// of its zone are heard.
    pub unreachable_after_s: f64,
    /// A task waits this long for room before others are stopped for it.
    pub preempt_after_s: f64,
    /// The same before others are stopped that save their progress.
    pub preempt_checkpointed_after_s: f64,
    /// How the fleet is sized.
    pub autoscaler: AutoscalerConfig,
}

impl RuntimeSettings {
    /// What is in force until operators say otherwise.
    pub fn new(workers: &WorkerTimings) -> RuntimeSettings {
        RuntimeSettings {
            fair_share: FairShare::default(),
            cycle_interval_s: 1.0,
            straggler_multiple: 3.0,
            idle_timeout_s: 15.0,
            // Time to ask it several times.
            unreachable_after_s: workers.probe_after_s() + 6.5,
            preempt_after_s: 6.0,
            preempt_checkpointed_after_s: 1.0,
            autoscaler: AutoscalerConfig::default(),
        }
    }
}

/// A change that cannot be made.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidRuntimeSetting {
    /// There is no option of this name.
    #[error("{name}: no such setting; there are {}", names().join(", "))]
    Unknown {
        /// The name.
        name: String,
    },
    /// The value is not a number, or out of range.
    #[error("{name}: must be a number from {least} to {most}")]
    OutOfRange {
        /// The option.
        name: &'static str,
        /// Its least value.
        least: f64,
        /// Its largest value.
        most: f64,
    },
    /// A change without any option.
    #[error("settings: must name at least one setting")]
    Empty,
}

/// An option's name, range and place.
struct Field {
    name: &'static str,
    least: f64,
    most: f64,
    place: fn(&mut RuntimeSettings) -> &mut f64,
}

impl Field {
    fn of(name: &str) -> Result<&'static Field, InvalidRuntimeSetting> {
        let field = FIELDS.iter().find(|field| field.name == name);
        field.ok_or_else(|| InvalidRuntimeSetting::Unknown { name: name.to_owned() })
    }

    fn out_of_range(&self) -> InvalidRuntimeSetting {
        InvalidRuntimeSetting::OutOfRange { name: self.name, least: self.least, most: self.most }
    }
}

fn names() -> Vec<&'static str> {
    FIELDS.iter().map(|field| field.name).collect()
}

const FIELDS: &[Field] = &[
    Field { name: "beta", least: 1.01, most: 2.0, place: |o| &mut o.fair_share.beta },
    Field { name: "epsilon", least: 0.0, most: 1.0, place: |o| &mut o.fair_share.epsilon },
    Field { name: "round_s", least: 0.2, most: 30.0, place: |o| &mut o.cycle_interval_s },
    Field {
        name: "restart_multiple",
        least: 1.5,
        most: 100.0,
        place: |o| &mut o.straggler_multiple,
    },
    Field { name: "idle_s", least: 0.0, most: 3600.0, place: |o| &mut o.idle_timeout_s },
    Field { name: "silent_s", least: 5.0, most: 600.0, place: |o| &mut o.unreachable_after_s },
    Field { name: "preempt_after_s", least: 0.0, most: 3600.0, place: |o| &mut o.preempt_after_s },
    Field {
        name: "preempt_saving_after_s",
        least: 0.0,
        most: 3600.0,
        place: |o| &mut o.preempt_checkpointed_after_s,
    },
    Field {
        name: "fleet_memory_s",
        least: 1.0,
        most: 86400.0,
        place: |o| &mut o.autoscaler.smoothing_s,
    },
    Field {
        name: "fleet_keep",
        least: 0.0,
        most: 3.0,
        place: |o| &mut o.autoscaler.spot_retention,
    },
    Field {
        name: "fleet_fill",
        least: 0.05,
        most: 1.0,
        place: |o| &mut o.autoscaler.target_utilization,
    },
];

impl RuntimeSettings {
    /// Every option by name.
    pub fn values(&self) -> BTreeMap<String, f64> {
        let mut copy = self.clone();
        FIELDS.iter().map(|field| (field.name.to_owned(), *(field.place)(&mut copy))).collect()
    }

    /// The options with some changed; all or none.
    pub fn with(
        &self,
        values: &BTreeMap<String, f64>,
    ) -> Result<RuntimeSettings, InvalidRuntimeSetting> {
        let mut new = self.clone();
        for (name, value) in values {
            let field = Field::of(name)?;
            // A value that is not a number is in no range.
            if !(field.least..=field.most).contains(value) {
                return Err(field.out_of_range());
            }
            *(field.place)(&mut new) = *value;
        }
        Ok(new)
    }

    /// The same for values that an operator has sent, which need not be numbers.
    pub fn with_json(
        &self,
        values: &BTreeMap<String, Value>,
    ) -> Result<RuntimeSettings, InvalidRuntimeSetting> {
        if values.is_empty() {
            return Err(InvalidRuntimeSetting::Empty);
        }
        let number = |(name, value): (&String, &Value)| {
            let field = Field::of(name)?;
            let number = value.as_f64().ok_or_else(|| field.out_of_range())?;
            Ok((name.clone(), number))
        };
        let numbers = values.iter().map(number).collect::<Result<_, InvalidRuntimeSetting>>()?;
        self.with(&numbers)
    }
}
