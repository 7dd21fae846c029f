//! What operators may change while the service runs, and what is open to measurement.

use gladekeel_sched::{fleet::Sizing, share::Hopper};

/// The options in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// β and ε of the division of room.
    pub hopper: Hopper,
    /// Time between rounds of decisions.
    pub round_s: f64,
    /// A task is slow past this many times its job's median.
    pub restart_multiple: f64,
    /// An idle machine beyond need is kept this long.
    pub idle_s: f64,
    /// A machine silent for this long is deleted, if others of its zone are heard.
    pub silent_s: f64,
    /// A task waits this long for room before others are stopped for it.
    pub preempt_after_s: f64,
    /// The same before others are stopped that save their progress.
    pub preempt_saving_after_s: f64,
    /// How the fleet is sized.
    pub sizing: Sizing,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            hopper: Hopper::default(),
            round_s: 1.0,
            restart_multiple: 3.0,
            idle_s: 15.0,
            silent_s: 9.0,
            preempt_after_s: 6.0,
            preempt_saving_after_s: 1.0,
            sizing: Sizing::default(),
        }
    }
}
