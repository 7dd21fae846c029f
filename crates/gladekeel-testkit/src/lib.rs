//! Stand-ins for everything that a controller meets, a simulated world that
//! connects them in virtual time, and a runner for scenario files.
//!
//! The world plays real [`Node`](gladekeel_controller::node::Node)s against a
//! state service, a cloud, workers and users that behave as the protocol says,
//! delays, loses, holds and repeats their messages as a scenario asks, and
//! checks every rule at every event. Nothing here reads a clock: a scenario
//! gives the same result every time.

pub mod cloud;
pub mod gang;
pub mod rules;
pub mod scenario;
pub mod sim;
pub mod state;
pub mod worker;
