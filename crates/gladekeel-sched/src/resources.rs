//! Amounts of CPU, GPU and memory.
//!
//! Requests are rounded up and capacities are rounded down, so that no machine is overcommitted.

use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// Number of integer units in one CPU, GPU or GB: amounts are kept in thousandths.
const UNIT: f64 = 1000.0;
/// Rounding tolerance in thousandths, so that a floating-point error in a product does not move an
/// exact amount to a neighbouring thousandth.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// An amount of CPU, GPU and memory, in thousandths, so that sums are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// CPUs, in thousandths.
    pub cpus: i64,
    /// GPUs, in thousandths.
    pub gpus: i64,
    /// Memory, in thousandths of a GB.
    pub memory: i64,
}

impl Resources {
    /// Returns the resources that a task requests, rounded up.
    pub fn requested(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        let round_up = |amount: f64| (amount * UNIT - ROUNDING_TOLERANCE).ceil() as i64;
        Resources { cpus: round_up(cpus), gpus: round_up(gpus), memory: round_up(memory_gb) }
    }

    /// Returns the resources that a machine offers, rounded down.
    pub fn allocatable(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        let round_down = |amount: f64| (amount * UNIT + ROUNDING_TOLERANCE).floor() as i64;
        Resources { cpus: round_down(cpus), gpus: round_down(gpus), memory: round_down(memory_gb) }
    }

    /// Whether each of these amounts is at most the corresponding amount in `other`.
    pub fn fits_in(self, other: Resources) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus && self.memory <= other.memory
    }

    /// Returns how many times these resources fit into `other`, up to `max`.
    pub fn times_in(self, other: Resources, max: u32) -> u32 {
        let times = |request: i64, available: i64| {
            if request <= 0 { i64::MAX } else { available.max(0) / request }
        };
        times(self.cpus, other.cpus)
            .min(times(self.gpus, other.gpus))
            .min(times(self.memory, other.memory))
            .min(i64::from(max)) as u32
    }

    /// Returns the dominant share of these resources: the largest of the fractions that they take
    /// of the CPUs, GPUs and memory of `capacity`. Infinite if `capacity` lacks a requested
    /// resource.
    pub fn dominant_share_of(self, capacity: Resources) -> f64 {
        let share = |request: i64, capacity: i64| match (request, capacity) {
            (0, _) => 0.0,
            (_, capacity) if capacity <= 0 => f64::INFINITY,
            (request, capacity) => request as f64 / capacity as f64,
        };
        share(self.cpus, capacity.cpus)
            .max(share(self.gpus, capacity.gpus))
            .max(share(self.memory, capacity.memory))
    }

    /// Returns the smaller of the two amounts for each resource.
    pub(crate) fn component_min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        self + other * -1
    }
}

impl Mul<i64> for Resources {
    type Output = Resources;
    fn mul(self, times: i64) -> Resources {
        Resources { cpus: self.cpus * times, gpus: self.gpus * times, memory: self.memory * times }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}
