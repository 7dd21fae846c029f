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
//! This crate does no I/O and knows no clock. The field names of the platform's protocol
//! stand only in serde attributes here; the Rust names are the usual terms (task, attempt,
//! lease, fencing token, zone, spot), and the glossary in `docs/` maps one to the other.
//! Readers ignore fields that they do not know, so that both sides can be upgraded one
//! after the other.

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

/// Largest request body that the protocol allows, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
