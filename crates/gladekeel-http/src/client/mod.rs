//! Clients that reuse connections: [`Client`] for one address, [`Pool`] for many.
//!
//! Every request has a timeout that covers connecting, sending and receiving. The errors
//! distinguish a request that was not sent from a request without a response.
//!
//! # Cancel safety
//!
//! Dropping the future of `send` closes the connection of the request. The server may have
//! received the request nevertheless.

mod exchange;
mod pool;

pub use pool::Pool;

use crate::{codec::ResponseError, message::ReceivedResponse};
use exchange::{OutgoingRequest, connect, is_open};
use std::{cell::RefCell, io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The request was not sent, so it cannot have been executed and may be retried.
    #[error("request not sent: {0}")]
    NotSent(#[source] ConnectError),
    /// The request was sent, at least in part, and got no usable response: it may have been
    /// executed.
    #[error("no response: {0}")]
    NoResponse(#[source] ExchangeError),
}

/// Why there is no connection to send a request over.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// Connecting failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The request timed out before the connection was open.
    #[error("connecting timed out")]
    Timeout,
    /// All connections of the [`Pool`] are in use.
    #[error("all {limit} connections of the pool are in use")]
    PoolExhausted {
        /// Maximum number of open connections of the pool.
        limit: usize,
    },
}

/// Why a request that was sent, at least in part, got no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The request timed out before the response was complete.
    #[error("request timed out before the response was complete")]
    Timeout,
    /// The server closed the connection before the response was complete.
    #[error("server closed the connection before the response was complete")]
    ClosedByServer,
    /// The response is invalid or exceeds a limit of the client.
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

    /// Sends a request and waits for the response. `timeout` covers connecting, sending and
    /// receiving.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no response. A response is returned whatever its status code.
    pub async fn send(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ReceivedResponse, ClientError> {
        let deadline = Instant::now() + timeout;
        let mut stream = self.connection(deadline).await.map_err(ClientError::NotSent)?;
        let request = OutgoingRequest { host: self.addr, method, target, body };
        let exchange =
            request.send(&mut stream, deadline).await.map_err(ClientError::NoResponse)?;
        let mut idle = self.idle.borrow_mut();
        if exchange.keep_alive && idle.len() < self.max_idle {
            idle.push(stream);
        }
        Ok(exchange.response)
    }

    /// Returns an idle connection that is still open, or opens a new one.
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
