//! Amounts of CPU, GPU and memory.

use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// An amount of CPU, GPU and memory, in thousandths, so that sums are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// CPUs.
    pub cpus: i64,
    /// GPUs.
    pub gpus: i64,
    /// Memory in GB.
    pub memory: i64,
}

impl Resources {
    /// What a task takes: rounded up.
    pub fn requested(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        let up = |v: f64| (v * 1000.0 - 1e-6).ceil() as i64;
        Resources { cpus: up(cpus), gpus: up(gpus), memory: up(memory_gb) }
    }

    /// What a machine offers: rounded down.
    pub fn allocatable(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        let down = |v: f64| (v * 1000.0 + 1e-6).floor() as i64;
        Resources { cpus: down(cpus), gpus: down(gpus), memory: down(memory_gb) }
    }

    /// Whether this much fits into `other`.
    pub fn fits_in(self, other: Resources) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus && self.memory <= other.memory
    }

    /// How many times this much fits into `other`, up to `most`.
    pub fn times_in(self, other: Resources, most: u32) -> u32 {
        let part = |own: i64, all: i64| if own <= 0 { i64::MAX } else { all.max(0) / own };
        part(self.cpus, other.cpus)
            .min(part(self.gpus, other.gpus))
            .min(part(self.memory, other.memory))
            .min(i64::from(most)) as u32
    }

    /// The largest of the three parts that this is of `whole`.
    pub fn dominant_share_of(self, whole: Resources) -> f64 {
        let part = |own: i64, all: i64| match (own, all) {
            (0, _) => 0.0,
            (_, all) if all <= 0 => f64::INFINITY,
            (own, all) => own as f64 / all as f64,
        };
        part(self.cpus, whole.cpus)
            .max(part(self.gpus, whole.gpus))
            .max(part(self.memory, whole.memory))
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
