//! The state service as a controller sees it, without any I/O.
//!
//! - [`Call`] turns what a node wants into requests and answers into [`Outcome`]s;
//! - [`Replica`] is a node's copy of the store, kept up by following it;
//! - [`Bucket`] keeps a node within its part of the request and write budgets.
//!
//! The caller carries requests and answers, so that everything here can be run
//! in virtual time.

mod replica;
mod request;
mod token_bucket;

pub use replica::{Change, Replica};
pub use request::{StoreOutcome, StoreRequest};
pub use token_bucket::TokenBucket;
