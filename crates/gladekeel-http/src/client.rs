//! The client: keep-alive connections to one address, every wait bounded.

use crate::codec::{Reply, reply_head};
use bytes::{Buf, BytesMut};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// Largest response that is read.
const MAX_REPLY: usize = 64 * 1024 * 1024;

/// Why a request has no reply. The difference matters: a request that was never
/// sent cannot have been carried out, one without an answer may yet be.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection; the request was not sent.
    #[error("not sent: {0}")]
    NotSent(io::Error),
    /// Sent, at least in part, without a usable answer.
    #[error("no answer: {0}")]
    NoAnswer(io::Error),
}

/// A client for one address.
pub struct Client {
    addr: SocketAddr,
    spare: RefCell<Vec<TcpStream>>,
    keep: usize,
}

impl Client {
    /// A client that keeps at most `keep` idle connections.
    pub fn new(addr: SocketAddr, keep: usize) -> Client {
        Client { addr, spare: RefCell::default(), keep }
    }

    /// Sends a request and waits for its reply, both within `limit`.
    pub async fn send(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Reply, ClientError> {
        let deadline = Instant::now() + limit;
        let mut stream = self.connection(deadline).await.map_err(ClientError::NotSent)?;
        let (reply, close) = ask(&mut stream, method, target, body, self.addr, deadline).await?;
        let mut spare = self.spare.borrow_mut();
        if !close && spare.len() < self.keep {
            spare.push(stream);
        }
        Ok(reply)
    }

    async fn connection(&self, deadline: Instant) -> io::Result<TcpStream> {
        loop {
            let Some(stream) = self.spare.borrow_mut().pop() else { break };
            if is_open(&stream) {
                return Ok(stream);
            }
        }
        connect(self.addr, deadline).await
    }
}

/// A client for many addresses, with at most one request to each at a time, that holds a
/// bounded number of connections in all.
pub struct Pool {
    spare: RefCell<Spare>,
    busy: Cell<usize>,
    most: Cell<usize>,
}

/// Connections without a request, the longest idle first.
#[derive(Default)]
struct Spare {
    streams: HashMap<SocketAddr, (u64, TcpStream)>,
    order: BTreeMap<u64, SocketAddr>,
    next: u64,
}

impl Spare {
    fn take(&mut self, addr: &SocketAddr) -> Option<TcpStream> {
        let (seq, stream) = self.streams.remove(addr)?;
        self.order.remove(&seq);
        Some(stream)
    }

    fn put(&mut self, addr: SocketAddr, stream: TcpStream) {
        self.take(&addr);
        self.streams.insert(addr, (self.next, stream));
        self.order.insert(self.next, addr);
        self.next += 1;
    }

    fn drop_oldest(&mut self) -> bool {
        let oldest = self.order.pop_first();
        oldest.is_some_and(|(_, addr)| self.streams.remove(&addr).is_some())
    }
}

/// Counts a request under way.
struct Busy<'a>(&'a Cell<usize>);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// A pool that holds at most so many connections.
    pub fn new(most: usize) -> Pool {
        Pool { spare: RefCell::default(), busy: Cell::new(0), most: Cell::new(most) }
    }

    /// Changes how many connections it holds at most; those that were not used for longest
    /// are closed.
    pub fn resize(&self, most: usize) {
        self.most.set(most);
        while self.held() > most && self.spare.borrow_mut().drop_oldest() {}
    }

    /// Connections that it holds now, idle and in use.
    pub fn held(&self) -> usize {
        self.spare.borrow().order.len() + self.busy.get()
    }

    /// Sends a request and waits for its reply, both within `limit`. If all connections
    /// are in use it is not sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Reply, ClientError> {
        let deadline = Instant::now() + limit;
        let kept = self.spare.borrow_mut().take(&addr).filter(is_open);
        while self.held() >= self.most.get() {
            if !self.spare.borrow_mut().drop_oldest() {
                return Err(ClientError::NotSent(io::ErrorKind::QuotaExceeded.into()));
            }
        }
        self.busy.set(self.busy.get() + 1);
        let _busy = Busy(&self.busy);
        let mut stream = match kept {
            Some(stream) => stream,
            None => connect(addr, deadline).await.map_err(ClientError::NotSent)?,
        };
        let (reply, close) = ask(&mut stream, method, target, body, addr, deadline).await?;
        if !close {
            self.spare.borrow_mut().put(addr, stream);
        }
        Ok(reply)
    }
}

/// Whether a connection is of use. One that the other side has closed meanwhile is
/// readable; using it would turn a request that was never sent into an unknown one.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

async fn connect(addr: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    let stream = timeout_at(deadline, TcpStream::connect(addr))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn ask(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    body: &[u8],
    host: SocketAddr,
    deadline: Instant,
) -> Result<(Reply, bool), ClientError> {
    timeout_at(deadline, exchange(stream, method, target, body, host))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(ClientError::NoAnswer)
}

async fn exchange(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    body: &[u8],
    host: SocketAddr,
) -> io::Result<(Reply, bool)> {
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = BytesMut::with_capacity(head.len() + body.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
    stream.write_all(&out).await?;
    drop(out);

    let invalid = |why: &'static str| io::Error::new(io::ErrorKind::InvalidData, why);
    let mut buf = BytesMut::with_capacity(4096);
    loop {
        if let Some(head) = reply_head(&buf).map_err(invalid)? {
            if head.status == 100 {
                buf.advance(head.head_len);
                continue;
            }
            let total = head.head_len + head.length;
            if total > MAX_REPLY {
                return Err(invalid("response too large"));
            }
            // One byte more than is missing: a read that leaves room in the buffer shows that
            // nothing else has arrived, which saves asking once more.
            buf.reserve(total.saturating_sub(buf.len()) + 1);
            while buf.len() < total {
                if stream.read_buf(&mut buf).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            let close = head.close || buf.len() > total;
            let body = buf.freeze().slice(head.head_len..total);
            return Ok((Reply { status: head.status, body }, close));
        }
        if stream.read_buf(&mut buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
