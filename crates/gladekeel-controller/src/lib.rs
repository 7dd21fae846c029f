//! A controller node.
//!
//! [`node::Node`] is the whole of it without I/O: events and the time go in,
//! actions come out, and the same events give the same actions. [`shell`] gives
//! it sockets and a clock; the testkit gives it a simulated world instead.

pub mod assignment_log;
pub mod cloud_api;
pub mod http_api;
pub mod keys;
pub mod leader;
pub mod node;
pub mod runtime_settings;
pub mod shell;
pub mod socket_budget;
pub mod store_view;
pub mod stored_types;
pub mod task_bitmap;

mod prometheus;
