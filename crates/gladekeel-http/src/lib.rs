//! The subset of HTTP/1.1 that gladekeel needs: a small server, and clients that reuse
//! connections.
//!
//! Everything that an untrusted peer controls has a limit ([`Limits`]) or a timeout, and each way
//! in which a request or a connection can fail has an error that names the limit. Bodies need a
//! `Content-Length`; transfer encodings are rejected.
//!
//! The modules from the bottom up: `message` and `limits` hold plain data; `codec` parses and
//! encodes bytes without I/O; `admission` decides which connections a server keeps open;
//! `connection` serves one connection; `server` accepts connections. `client` uses only `codec`
//! and `message`.

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
pub use message::{ReceivedResponse, Request, Response};
pub use server::Server;
