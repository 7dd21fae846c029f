//! Scheduling decisions, without I/O, clocks or names.
//!
//! - [`Interner`] maps names to dense indices at the door;
//! - [`fair_share`] sizes jobs and divides room between them;
//! - [`cycle`] turns the division into placements on machines;
//! - [`preemption`] tells what is stopped for those with a better claim;
//! - [`straggler`] tells which tasks are slow enough to start anew;
//! - [`autoscaling`] says how many machines there should be.
//!
//! Time and random choices are passed in: the same input gives the same output.

pub mod autoscaling;
pub mod cycle;
pub mod fair_share;
pub mod preemption;
pub mod straggler;

mod indices;
mod intern;
mod machine_index;
mod resources;

pub use indices::{DenseIndex, ImageIdx, JobIdx, MachineIdx, MachineTypeIdx, TeamIdx, ZoneIdx};
pub use intern::Interner;
pub use resources::Resources;
