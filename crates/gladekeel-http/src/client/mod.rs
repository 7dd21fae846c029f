//! Clients with kept connections: [`Client`] for one address, [`Pool`] for many.
//!
//! Every request has a timeout that covers connecting, sending and receiving. The errors
//! tell a request that was not sent from one without a response.
//!
//! # Cancel safety
//!
//! Dropping the future of `send` closes its connection. The server may have received the
//! request.

mod exchange;
mod pool;

pub use pool::Pool;

use crate::{codec::ResponseError, message::Reply};
use exchange::{OutgoingRequest, connect, is_open};
use std::{cell::RefCell, io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// Not sent, so it cannot have been executed and may be repeated.
    #[error("not sent: {0}")]
    NotSent(#[source] ConnectError),
    /// Sent, at least in part, without a usable response: it may have been executed.
    #[error("no answer: {0}")]
    NoAnswer(#[source] ExchangeError),
}

/// Why there is no connection to send a request over.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// Connecting failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The request's time was over before the connection was open.
    #[error("not connected in time")]
    Timeout,
    /// All connections of the [`Pool`] are in use.
    #[error("all {limit} connections are in use")]
    PoolExhausted {
        /// Maximum of connections of the pool.
        limit: usize,
    },
}

/// Why a request that was sent, at least in part, has no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The request's time was over before the response was complete.
    #[error("no complete response in time")]
    Timeout,
    /// The server closed the connection before the response was complete.
    #[error("connection closed by the server")]
    ClosedByServer,
    /// The response cannot be read.
    #[error(transparent)]
    InvalidResponse(#[from] ResponseError),
}

/// A client for one address.
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Vec<TcpStream>>,
    max_idle: usize,
}

impl Client {
    /// A client that keeps at most `max_idle` idle connections.
    pub fn new(addr: SocketAddr, max_idle: usize) -> Client {
        Client { addr, idle: RefCell::default(), max_idle }
    }

    /// Sends a request and waits for its response, within `timeout` in all.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no response. Any status code is a response.
    pub async fn send(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Reply, ClientError> {
        let deadline = Instant::now() + timeout;
        let mut stream = self.connection(deadline).await.map_err(ClientError::NotSent)?;
        let request = OutgoingRequest { host: self.addr, method, target, body };
        let received = request.send(&mut stream, deadline).await.map_err(ClientError::NoAnswer)?;
        let mut idle = self.idle.borrow_mut();
        if received.keep_alive && idle.len() < self.max_idle {
            idle.push(stream);
        }
        Ok(received.reply)
    }

    async fn connection(&self, deadline: Instant) -> Result<TcpStream, ConnectError> {
        loop {
            let Some(stream) = self.idle.borrow_mut().pop() else { break };
            if is_open(&stream) {
                return Ok(stream);
            }
        }
        connect(self.addr, deadline).await
    }
}
