//! A controller node.
//!
//! [`node::Node`] is the whole of it without I/O: events and the time go in,
//! actions come out, and the same events give the same actions. [`shell`] gives
//! it sockets and a clock; the testkit gives it a simulated world instead.

pub mod admin;
pub mod cloud;
pub mod keys;
pub mod leader;
pub mod log;
pub mod node;
pub mod options;
pub mod sharing;
pub mod shell;
pub mod sockets;
pub mod stored_types;
pub mod world;

mod api;
mod checkin;
mod election;
mod metrics;
