//! The exchange of one request and its response over a connection.

use super::{ConnectError, ExchangeError};
use crate::{
    codec::{ResponseError, ResponseHead, join, parse_response_head},
    message::ReceivedResponse,
};
use bytes::{Buf, BytesMut};
use std::{io, net::SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// Maximum size of a response in bytes.
const MAX_RESPONSE: usize = 64 * 1024 * 1024;
/// Capacity in bytes for the first read of a response.
const FIRST_READ_CAPACITY: usize = 4096;
/// Status of an interim response, which is followed by the final response.
const CONTINUE: u16 = 100;

/// A request before it is sent.
pub(super) struct OutgoingRequest<'a> {
    pub(super) host: SocketAddr,
    pub(super) method: &'a str,
    pub(super) target: &'a str,
    pub(super) body: &'a [u8],
}

/// The result of an exchange whose response was received completely.
pub(super) struct CompletedExchange {
    pub(super) response: ReceivedResponse,
    /// Whether the connection may be used for another request.
    pub(super) keep_alive: bool,
}

/// Opens a connection, unless the deadline passes first.
pub(super) async fn connect(
    addr: SocketAddr,
    deadline: Instant,
) -> Result<TcpStream, ConnectError> {
    let connected = timeout_at(deadline, TcpStream::connect(addr)).await;
    let stream = connected.map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Whether an idle connection can still be used. A connection that the server has closed in the
/// meantime is readable; after an attempt to send over such a connection, the client could not
/// know that the request was not executed.
pub(super) fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl OutgoingRequest<'_> {
    /// Sends the request and receives the response, unless the deadline passes first.
    pub(super) async fn send(
        &self,
        stream: &mut TcpStream,
        deadline: Instant,
    ) -> Result<CompletedExchange, ExchangeError> {
        let exchange = async {
            self.write(stream).await?;
            receive(stream).await
        };
        timeout_at(deadline, exchange).await.unwrap_or(Err(ExchangeError::Timeout))
    }

    async fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let OutgoingRequest { host, method, target, body } = self;
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&join(&head, body)).await
    }
}

async fn receive(stream: &mut TcpStream) -> Result<CompletedExchange, ExchangeError> {
    let mut buf = BytesMut::with_capacity(FIRST_READ_CAPACITY);
    loop {
        match parse_response_head(&buf)? {
            Some(head) if head.status == CONTINUE => buf.advance(head.head_len),
            Some(head) => return receive_body(stream, buf, &head).await,
            None => read_some(stream, &mut buf).await?,
        }
    }
}

async fn receive_body(
    stream: &mut TcpStream,
    mut buf: BytesMut,
    head: &ResponseHead,
) -> Result<CompletedExchange, ExchangeError> {
    let size = head.total_len();
    if size > MAX_RESPONSE {
        return Err(ResponseError::TooLarge { size, limit: MAX_RESPONSE }.into());
    }
    // Reserves one byte more than the response still lacks: a read that does not fill the buffer
    // shows that nothing else has arrived, which saves a second read.
    buf.reserve(size.saturating_sub(buf.len()) + 1);
    while buf.len() < size {
        read_some(stream, &mut buf).await?;
    }
    // Bytes after the response belong to no request, so the connection is not reused.
    let keep_alive = !head.close && buf.len() == size;
    let body = buf.freeze().slice(head.head_len..size);
    let response = ReceivedResponse { status: head.status, body };
    Ok(CompletedExchange { response, keep_alive })
}

async fn read_some(stream: &mut TcpStream, buf: &mut BytesMut) -> Result<(), ExchangeError> {
    match stream.read_buf(buf).await? {
        0 => Err(ExchangeError::ClosedByServer),
        _ => Ok(()),
    }
}
