//! Fakes of everything that a controller talks to, a simulation that connects them in
//! virtual time, an invariant checker, and a runner for scenario files.
//!
//! The simulation plays real [`Node`](gladekeel_controller::node::Node)s against a store, a
//! cloud, workers and users that behave as the protocol says. It delays, loses, holds back
//! and repeats their messages as a scenario asks, and checks every invariant after every
//! event. Nothing here reads a clock: a scenario gives the same result every time.

pub mod invariants;
pub mod scenario;
pub mod simulation;
pub mod stand_ins;
