//! The client: keep-alive connections to one address, every wait bounded.

use crate::codec::{Reply, reply_head};
use bytes::{Buf, BytesMut};
use std::{cell::RefCell, io, net::SocketAddr, time::Duration};
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
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        let (reply, close) =
            timeout_at(deadline, exchange(&mut stream, method, target, body, self.addr))
                .await
                .unwrap_or_else(|_| Err(late()))
                .map_err(ClientError::NoAnswer)?;
        let mut spare = self.spare.borrow_mut();
        if !close && spare.len() < self.keep {
            spare.push(stream);
        }
        Ok(reply)
    }

    async fn connection(&self, deadline: Instant) -> io::Result<TcpStream> {
        loop {
            let Some(stream) = self.spare.borrow_mut().pop() else { break };
            // A connection that the other side has closed meanwhile is readable.
            // Using it would turn a request that was never sent into an unknown one.
            match stream.try_read(&mut [0]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(stream),
                _ => drop(stream),
            }
        }
        let stream = timeout_at(deadline, TcpStream::connect(self.addr))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
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
            buf.reserve(total.saturating_sub(buf.len()));
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
