//! Every format that crosses a process boundary.
//!
//! | module | between | form |
//! | --- | --- | --- |
//! | [`job`] | users and controllers | JSON over HTTP |
//! | [`admin`] | operators and controllers | JSON over HTTP |
//! | [`worker`] | workers and controllers | JSON over HTTP |
//! | [`cloud`] | controllers and the cloud provider | JSON over HTTP |
//! | [`store`] | controllers and the key-value store | JSON over HTTP |
//! | [`mesh`] | controllers | binary frames over TCP |
//! | [`settings`] | the platform and a controller | a TOML file |
//!
//! This crate performs no I/O and reads no clock. The field names of the platform's protocol occur
//! only in serde attributes; the Rust names are the usual terms (task, attempt, lease, fencing
//! token, zone, spot), and the glossary in `docs/` maps the protocol's names to them. Readers
//! ignore unknown fields, so that the two sides of a connection can be upgraded at different times.

pub mod admin;
pub mod cloud;
pub mod http;
pub mod id;
pub mod job;
pub mod mesh;
pub mod settings;
pub mod store;
pub mod worker;

pub use id::{InvalidId, JobId, TaskId};

/// Maximum size of a request body in bytes, as the protocol prescribes.
pub const MAX_BODY: usize = 64 * 1024;
