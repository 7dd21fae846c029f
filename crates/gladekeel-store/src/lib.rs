//! A client of the key-value store ("state service"), without any I/O.
//!
//! - [`StoreRequest`] encodes the requests that a node makes, and decodes responses into
//!   [`StoreOutcome`]s;
//! - [`Replica`] is a node's copy of the keys, kept up to date by watching;
//! - [`TokenBucket`] keeps a node within its share of the request and write limits.
//!
//! The caller, the node of `gladekeel-controller`, sends the requests and passes in responses and
//! times, so that everything here can run in simulated time.

mod replica;
mod request;
mod token_bucket;

pub use replica::{Change, Replica};
pub use request::{StoreOutcome, StoreRequest};
pub use token_bucket::TokenBucket;
