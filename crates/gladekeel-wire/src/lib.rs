//! The formats spoken by gladekeel.
//!
//! Everything that crosses a process boundary is described here and nowhere
//! else: the JSON of users, workers, cloud and state service, and the fixed
//! layouts that controllers exchange with one another. The odd field names of
//! the platform's protocol appear only as serde renames in this crate; the rest
//! of the code uses the words of the field (task, attempt, lease, zone, spot).

pub mod admin;
pub mod cloud;
pub mod id;
pub mod job;
pub mod mesh;
pub mod settings;
pub mod store;
pub mod worker;

pub use id::{InvalidId, JobId, TaskId};

/// The largest request body that the protocol allows, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
