//! HTTP/1.1 as far as gladekeel needs it: a small server, and clients with kept connections.
//!
//! Everything that a stranger controls has a limit ([`Limits`]) or a timeout, and each way
//! that a request or a connection can fail has an error that names the limit. Bodies need
//! a `Content-Length`; transfer encodings are refused.
//!
//! The modules from the bottom up: `message` and `limits` hold plain data; `codec` parses
//! and encodes bytes without I/O; `admission` decides which connections a server holds;
//! `connection` serves one of them; `server` accepts them. `client` uses `codec` alone.

mod admission;
mod client;
#[doc(hidden)]
pub mod codec;
mod connection;
mod limits;
mod message;
mod server;

pub use admission::{ConnectionClasses, ConnectionCounts};
pub use client::{Client, ClientError, ConnectError, ExchangeError, Pool};
pub use codec::{RequestError, ResponseError};
pub use limits::Limits;
pub use message::{Reply, Request, Response};
pub use server::Server;
