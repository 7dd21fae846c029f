//! The client side of the key-value store ("state service"), without any I/O.
//!
//! - [`StoreRequest`] encodes the requests that a node sends, and decodes the responses into
//!   [`StoreOutcome`]s;
//! - [`Replica`] is a node's copy of the store's keys, kept up to date by a watch;
//! - [`TokenBucket`] keeps a node within its share of the store's request and write limits.
//!
//! The caller, the node of `gladekeel-controller`, sends the requests and passes in the responses
//! and the current time, so that this whole crate can run in simulated time.

mod replica;
mod request;
mod token_bucket;

pub use replica::{Change, Replica};
pub use request::{StoreOutcome, StoreRequest};
pub use token_bucket::TokenBucket;
