//! Scheduling: pending tasks are bound to machines, and running ones stopped for others.
//!
//! [`Leader::tick`](crate::leader::Leader::tick) calls every part when it is due. Decisions are
//! made in `gladekeel-sched`, which knows nothing of the store and of workers; what is here
//! builds its input and applies its results as proposed assignments and stop reasons.

mod binding;
pub(in crate::leader) mod cycle;
mod cycle_input;
pub(in crate::leader) mod gangs;
pub(in crate::leader) mod preemption;
pub(in crate::leader) mod stragglers;
mod victims;
