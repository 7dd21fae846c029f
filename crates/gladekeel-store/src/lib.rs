//! The state service as a controller sees it, without any I/O.
//!
//! - [`Call`] turns what a node wants into requests and answers into [`Outcome`]s;
//! - [`Replica`] is a node's copy of the store, kept up by following it;
//! - [`Bucket`] keeps a node within its part of the request and write budgets.
//!
//! The caller carries requests and answers, so that everything here can be run
//! in virtual time.

mod budget;
mod call;
mod replica;

pub use budget::Bucket;
pub use call::{Call, Outcome};
pub use replica::{Change, Replica};
