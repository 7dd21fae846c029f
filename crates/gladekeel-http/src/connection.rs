//! One connection of a server, from the first request until the connection ends.

use crate::{
    admission::Slot,
    codec::{RequestError, RequestHead, encode_response, parse_request_head},
    limits::FIRST_REQUEST_GRACE,
    message::{Request, Response},
};
use bytes::BytesMut;
use std::{io, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Capacity in bytes for the first read of a request, so that one read is enough for a request of
/// usual size.
const FIRST_READ_CAPACITY: usize = 4096;
/// Seconds after which a refused client should retry.
const REFUSED_RETRY_AFTER_S: u32 = 2;
/// Interim response to a client that waits for permission to send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The error that ended a connection. It is not an error if the client closes the connection
/// between two requests, or if the connection is idle for too long or evicted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The client closed the connection in the middle of a request.
    #[error("closed by the client in the middle of a request")]
    ClosedByClient,
    /// The client did not read the response within
    /// [`Limits::write_timeout`](crate::Limits::write_timeout).
    #[error("client did not read the response within {limit:?}")]
    WriteTimeout { limit: Duration },
    /// The request was rejected, and an error response was sent.
    #[error("request rejected: {0}")]
    Rejected(#[from] RequestError),
    /// All connections that the class of the client may use are open, and a 503 response was sent.
    #[error("connection limit reached for this class of clients")]
    ClassFull,
}

/// A complete request that was read from the connection.
struct IncomingRequest {
    request: Request,
    /// Whether the connection is closed after the response.
    close: bool,
}

/// A connection of the server. Dropping the connection releases its slot.
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes that were received and are not yet part of a parsed request.
    buf: BytesMut,
    slot: Slot,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, slot: Slot) -> Connection {
        Connection { stream, buf: BytesMut::new(), slot }
    }

    /// Responds to requests until the connection ends.
    pub(crate) async fn serve<F, R>(mut self, handler: &F) -> Result<(), ConnectionError>
    where
        F: Fn(Request) -> R,
        R: Future<Output = Response>,
    {
        let _ = self.stream.set_nodelay(true);
        while self.wait_for_request().await? {
            let IncomingRequest { request, close } = match self.read_request_within_timeout().await
            {
                Ok(incoming) => incoming,
                Err(ConnectionError::Rejected(error)) => return self.reject(error).await,
                Err(error) => return Err(error),
            };
            if !self.slot.classify(&request) {
                self.write(&too_many_connections(), true).await?;
                return Err(ConnectionError::ClassFull);
            }
            let response = handler(request).await;
            self.write(&response, close).await?;
            if close {
                break;
            }
        }
        Ok(())
    }

    /// Responds with 503, because the server's connection limit is reached, and closes the
    /// connection. The request is read first: closing earlier would reset the connection, and the
    /// client might not receive the response.
    pub(crate) async fn refuse(mut self) -> Result<(), ConnectionError> {
        let _ = self.stream.set_nodelay(true);
        let _ = timeout(FIRST_REQUEST_GRACE, self.read_request()).await;
        self.write(&too_many_connections(), true).await
    }

    /// Waits for the first bytes of a request, unless the buffer already holds bytes. Returns
    /// `false` if the connection ends instead, because it was closed by the client, was idle for
    /// too long, or was evicted.
    async fn wait_for_request(&mut self) -> io::Result<bool> {
        if !self.buf.is_empty() {
            return Ok(true);
        }
        // Idle connections hold no buffer, because a server may have thousands of idle connections.
        self.buf = BytesMut::new();
        let limits = self.slot.limits();
        let limit =
            if self.slot.is_classified() { limits.idle_timeout } else { limits.request_timeout };
        let Connection { stream, buf, slot } = self;
        let first_bytes = async {
            stream.readable().await?;
            buf.reserve(FIRST_READ_CAPACITY);
            slot.count_read();
            stream.read_buf(buf).await
        };
        let _idle = slot.mark_idle();
        let read = tokio::select! {
            read = timeout(limit, first_bytes) => read,
            () = slot.evicted() => Ok(Ok(0)),
        };
        match read {
            Err(_) => Ok(false),
            Ok(read) => read.map(|bytes| bytes > 0),
        }
    }

    async fn read_request_within_timeout(&mut self) -> Result<IncomingRequest, ConnectionError> {
        let limit = self.slot.limits().request_timeout;
        let read = timeout(limit, self.read_request()).await;
        read.unwrap_or_else(|_| Err(RequestError::Timeout { limit }.into()))
    }

    async fn read_request(&mut self) -> Result<IncomingRequest, ConnectionError> {
        let mut sent_continue = false;
        loop {
            if let Some(head) = self.parse_head()? {
                if self.buf.len() >= head.total_len() {
                    let close = head.close;
                    return Ok(IncomingRequest { request: head.take(&mut self.buf), close });
                }
                if head.expects_continue && !sent_continue {
                    self.stream.write_all(CONTINUE).await?;
                    sent_continue = true;
                }
                // Reserves one byte more than the request still lacks: a read that does not fill
                // the buffer shows that nothing else has arrived, which saves a second read.
                self.buf.reserve(head.total_len() - self.buf.len() + 1);
            }
            self.slot.count_read();
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Err(ConnectionError::ClosedByClient);
            }
        }
    }

    fn parse_head(&self) -> Result<Option<RequestHead>, RequestError> {
        let limits = self.slot.limits();
        let head = parse_request_head(&self.buf, limits.max_head_bytes)?;
        match head {
            Some(head) if head.content_length > limits.max_body_bytes => {
                Err(RequestError::BodyTooLarge {
                    size: head.content_length,
                    limit: limits.max_body_bytes,
                })
            }
            head => Ok(head),
        }
    }

    /// Responds to a rejected request with the status of `error`, and returns `error`.
    async fn reject(&mut self, error: RequestError) -> Result<(), ConnectionError> {
        self.write(&Response::text(error.status(), "malformed request\n"), true).await?;
        Err(error.into())
    }

    async fn write(&mut self, response: &Response, close: bool) -> Result<(), ConnectionError> {
        let limit = self.slot.limits().write_timeout;
        let bytes = encode_response(response, close);
        match timeout(limit, self.stream.write_all(&bytes)).await {
            Ok(written) => Ok(written?),
            Err(_) => Err(ConnectionError::WriteTimeout { limit }),
        }
    }
}

fn too_many_connections() -> Response {
    Response::text(503, "too many connections\n").with_retry_after(REFUSED_RETRY_AFTER_S)
}
