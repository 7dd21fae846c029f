//! The state service as a controller sees it, without any I/O.
//!
//! - [`StoreRequest`] turns what a node wants into requests and answers into [`StoreOutcome`]s;
//! - [`Replica`] is a node's copy of the store, kept up by following it;
//! - [`TokenBucket`] keeps a node within its part of the request and write budgets.
//!
//! The caller carries requests and answers, so that everything here can be run
//! in virtual time.

mod replica;
mod request;
mod token_bucket;

pub use replica::{Change, Replica};
pub use request::{StoreOutcome, StoreRequest};
pub use token_bucket::TokenBucket;
