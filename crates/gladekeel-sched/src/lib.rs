//! Scheduling decisions, without I/O, clocks or names.
//!
//! - [`Interner`] maps names to dense indices, so that decisions are made on small numbers;
//! - [`snapshot`] describes machines, jobs and teams as a decision sees them;
//! - [`fair_share`] divides the cluster between jobs;
//! - [`cycle`] binds pending tasks to machines;
//! - [`preemption`] chooses running tasks to stop for those with a better claim;
//! - [`straggler`] finds the tasks that are slow enough to restart;
//! - [`autoscaling`] plans how many machines there should be.
//!
//! The leader of `gladekeel-controller` calls all of these. Time is passed in and nothing is
//! random: the same input gives the same output.

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
