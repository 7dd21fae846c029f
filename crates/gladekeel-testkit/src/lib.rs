//! Test support for the controller: fakes of the store, the cloud and the workers, a simulation
//! that connects them to controller nodes in virtual time, an invariant checker, and a runner for
//! scenario files.
//!
//! The simulation runs real [`Node`](gladekeel_controller::node::Node)s against a fake store, a
//! fake cloud, fake workers and users, which all follow the protocol. It delays, loses, buffers and
//! duplicates their messages as a scenario describes, and checks the invariants while it runs.
//! Nothing here reads a real clock, so a scenario gives the same result in every run.

pub mod invariants;
pub mod scenario;
pub mod simulation;
pub mod stand_ins;
