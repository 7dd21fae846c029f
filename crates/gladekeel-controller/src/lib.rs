//! A controller node of the gladekeel cluster scheduler.
//!
//! [`node::Node`] is the state machine of a controller. It does no I/O: it takes events and the
//! current time, returns actions, and always returns the same actions for the same events.
//! [`shell`] connects a node to sockets and a clock; the testkit runs nodes in a simulated world
//! instead.

pub mod assignment_log;
pub mod cloud_api;
pub mod http_api;
pub mod keys;
pub mod leader;
pub mod node;
pub mod revision_clock;
pub mod runtime_settings;
pub mod shell;
pub mod socket_budget;
pub mod store_view;
pub mod stored_types;
pub mod task_bitmap;

mod prometheus;
