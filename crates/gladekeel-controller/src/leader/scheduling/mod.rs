//! Scheduling: binds pending tasks to machines, and stops running tasks by preemption or as
//! stragglers.
//!
//! [`Leader::tick`](crate::leader::Leader::tick) runs each step when it is due. The decisions are
//! made in `gladekeel-sched`, which is independent of the store and of workers; this module builds
//! the input of `gladekeel-sched` and applies its results as proposed assignments and stop reasons.

mod binding;
pub(in crate::leader) mod cycle;
mod cycle_input;
pub(in crate::leader) mod gangs;
pub(in crate::leader) mod preemption;
pub(in crate::leader) mod stragglers;
mod victims;
