//! Scheduling decisions as pure computations, without I/O, clocks or names.
//!
//! - [`Interner`] maps names to dense indices, so that decisions work on small integers;
//! - [`snapshot`] describes the machines, jobs and teams that a decision is based on;
//! - [`fair_share`] divides the cluster between jobs;
//! - [`cycle`] binds pending tasks to machines;
//! - [`preemption`] chooses running tasks to stop in favour of jobs that take precedence;
//! - [`straggler`] finds running tasks that are slow enough to restart;
//! - [`autoscaling`] plans how many machines there should be.
//!
//! The leader in `gladekeel-controller` calls all of these modules. Time is an argument and nothing
//! is random: the same input always gives the same output.

pub mod autoscaling;
pub mod cycle;
pub mod fair_share;
pub mod preemption;
pub mod snapshot;
pub mod straggler;

mod candidate_index;
mod indices;
mod intern;
mod resources;

pub use indices::{DenseIndex, ImageIdx, JobIdx, MachineIdx, MachineTypeIdx, TeamIdx, ZoneIdx};
pub use intern::Interner;
pub use resources::Resources;
