//! A client for many addresses.

use super::{
    ClientError, ConnectError,
    exchange::{OutgoingRequest, connect, is_open},
};
use crate::message::ReceivedResponse;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};
use tokio::{net::TcpStream, time::Instant};

/// A client for many addresses, with a maximum number of open connections over all addresses. The
/// pool keeps at most one idle connection to each address. If the maximum is reached, the longest
/// idle connection is closed for a new one.
pub struct Pool {
    idle: RefCell<IdleConnections>,
    /// Number of connections with a request in progress.
    in_use: Cell<usize>,
    max_connections: Cell<usize>,
}

/// Connections without a request in progress.
#[derive(Default)]
struct IdleConnections {
    streams: HashMap<SocketAddr, IdleConnection>,
    /// Addresses of idle connections by sequence number, the longest idle first.
    by_sequence: BTreeMap<u64, SocketAddr>,
    next_sequence: u64,
}

struct IdleConnection {
    sequence: u64,
    stream: TcpStream,
}

impl IdleConnections {
    fn len(&self) -> usize {
        self.by_sequence.len()
    }

    /// Removes and returns the idle connection to an address, if there is one.
    fn take(&mut self, addr: &SocketAddr) -> Option<TcpStream> {
        let IdleConnection { sequence, stream } = self.streams.remove(addr)?;
        self.by_sequence.remove(&sequence);
        Some(stream)
    }

    /// Adds a connection. An older idle connection to the same address is closed.
    fn put(&mut self, addr: SocketAddr, stream: TcpStream) {
        self.take(&addr);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.streams.insert(addr, IdleConnection { sequence, stream });
        self.by_sequence.insert(sequence, addr);
    }

    /// Closes the longest idle connection. Returns whether there was an idle connection.
    fn close_longest_idle(&mut self) -> bool {
        let longest_idle = self.by_sequence.pop_first();
        longest_idle.is_some_and(|(_, addr)| self.streams.remove(&addr).is_some())
    }
}

/// Counts a connection as in use until the guard is dropped.
struct InUse<'a>(&'a Cell<usize>);

impl InUse<'_> {
    fn count(in_use: &Cell<usize>) -> InUse<'_> {
        in_use.set(in_use.get() + 1);
        InUse(in_use)
    }
}

impl Drop for InUse<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// A pool of at most `max_connections` open connections.
    pub fn new(max_connections: usize) -> Pool {
        Pool {
            idle: RefCell::default(),
            in_use: Cell::new(0),
            max_connections: Cell::new(max_connections),
        }
    }

    /// Changes the maximum number of open connections. Idle connections beyond this number are
    /// closed, the longest idle first; connections in use stay open.
    pub fn resize(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        while self.open() > max_connections && self.idle.borrow_mut().close_longest_idle() {}
    }

    /// Number of open connections, idle and in use.
    pub fn open(&self) -> usize {
        self.idle.borrow().len() + self.in_use.get()
    }

    /// Sends a request and waits for the response. `timeout` covers connecting, sending and
    /// receiving.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no response, with [`ConnectError::PoolExhausted`] if all
    /// connections are in use. A response is returned whatever its status code.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ReceivedResponse, ClientError> {
        let deadline = Instant::now() + timeout;
        let idle = self.idle.borrow_mut().take(&addr).filter(is_open);
        self.ensure_capacity().map_err(ClientError::NotSent)?;
        let _in_use = InUse::count(&self.in_use);
        let mut stream = match idle {
            Some(stream) => stream,
            None => connect(addr, deadline).await.map_err(ClientError::NotSent)?,
        };
        let request = OutgoingRequest { host: addr, method, target, body };
        let exchange =
            request.send(&mut stream, deadline).await.map_err(ClientError::NoResponse)?;
        if exchange.keep_alive {
            self.idle.borrow_mut().put(addr, stream);
        }
        Ok(exchange.response)
    }

    /// Closes idle connections until one more connection may be opened.
    fn ensure_capacity(&self) -> Result<(), ConnectError> {
        let limit = self.max_connections.get();
        while self.open() >= limit {
            if !self.idle.borrow_mut().close_longest_idle() {
                return Err(ConnectError::PoolExhausted { limit });
            }
        }
        Ok(())
    }
}
