//! Scheduling: the cycle that binds pending tasks to machines, preemption and gangs.

pub(in crate::leader) mod cycle;
pub(in crate::leader) mod gangs;
pub(in crate::leader) mod preemption;
