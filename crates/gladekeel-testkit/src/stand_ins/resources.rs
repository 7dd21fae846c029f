//! Amounts of CPUs, GPUs and memory.

use gladekeel_wire::job::JobSpec;

/// CPUs, GPUs and memory: those of a whole machine, or only those that are free on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Resources {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether these resources suffice for a task of the job.
    pub fn fits(&self, spec: &JobSpec) -> bool {
        spec.cpus <= self.cpus && spec.gpus <= self.gpus && spec.memory_gb <= self.memory_gb
    }

    /// Returns the resources that are left when a task of the job uses its part of them.
    #[must_use]
    pub fn without(self, spec: &JobSpec) -> Resources {
        Resources {
            cpus: self.cpus - spec.cpus,
            gpus: self.gpus - spec.gpus,
            memory_gb: self.memory_gb - spec.memory_gb,
        }
    }
}
