//! HTTP/1.1 as far as gladekeel needs it: a small server, a pooled client and
//! the codec that both share, with limits and time-outs on everything that a
//! stranger controls.

mod admission;
mod client;
mod codec;
mod server;

pub use admission::{ConnectionClasses, ConnectionCounts};
pub use client::{Client, ClientError, Pool};
pub use codec::{Reply, Request, Response};
pub use server::{Limits, Server};
