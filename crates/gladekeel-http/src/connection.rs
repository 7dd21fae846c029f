//! One connection of a server, from its first request to its end.

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

/// Buffer for the first bytes of a request, so that one read takes all of a usual one.
const FIRST_READ: usize = 4096;
/// Seconds after which a refused client may retry.
const REFUSED_RETRY_AFTER_S: u32 = 2;
/// Response to a client that waits for permission to send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a connection ended before its client closed it between two requests.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The client closed the connection in the middle of a request.
    #[error("closed by the client in the middle of a request")]
    ClosedByClient,
    /// The client did not take the response within [`Limits::write`](crate::Limits::write).
    #[error("response not taken within {limit:?}")]
    WriteTimeout { limit: Duration },
    /// The request was rejected, and the client has been told.
    #[error("request rejected: {0}")]
    Rejected(#[from] RequestError),
    /// The class of the client has no connection left, and the client has been told.
    #[error("no connection left for this class of clients")]
    ClassFull,
}

/// A request and what its client wants of the connection afterwards.
struct IncomingRequest {
    request: Request,
    close: bool,
}

/// A connection of the server. Its slot is given back when it is dropped.
pub(crate) struct Connection {
    stream: TcpStream,
    /// What has arrived and has not been taken as a request yet.
    buf: BytesMut,
    slot: Slot,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, slot: Slot) -> Connection {
        Connection { stream, buf: BytesMut::new(), slot }
    }

    /// Answers requests until the connection ends.
    pub(crate) async fn serve<F, R>(mut self, handler: &F) -> Result<(), ConnectionError>
    where
        F: Fn(Request) -> R,
        R: Future<Output = Response>,
    {
        let _ = self.stream.set_nodelay(true);
        while self.wait_for_request().await? {
            let IncomingRequest { request, close } = match self.read_request_in_time().await {
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

    /// Answers that the server has no connection left. The request is read first: closing
    /// before that would reset the connection, and the client might not see the response.
    pub(crate) async fn refuse(mut self) -> Result<(), ConnectionError> {
        let _ = self.stream.set_nodelay(true);
        let _ = timeout(FIRST_REQUEST_GRACE, self.read_request()).await;
        self.write(&too_many_connections(), true).await
    }

    /// Waits for the first bytes of a request, unless there are some already. Returns `false`
    /// if the connection ends instead: closed by the client, idle for too long, or evicted.
    async fn wait_for_request(&mut self) -> io::Result<bool> {
        if !self.buf.is_empty() {
            return Ok(true);
        }
        // Thousands of idle connections hold no buffer.
        self.buf = BytesMut::new();
        let limits = self.slot.limits();
        let limit = if self.slot.is_classified() { limits.idle } else { limits.request };
        let Connection { stream, buf, slot } = self;
        let first_bytes = async {
            stream.readable().await?;
            buf.reserve(FIRST_READ);
            slot.count_read();
            stream.read_buf(buf).await
        };
        let _idle = slot.idle();
        let read = tokio::select! {
            read = timeout(limit, first_bytes) => read,
            () = slot.evicted() => Ok(Ok(0)),
        };
        match read {
            Err(_) => Ok(false),
            Ok(read) => read.map(|bytes| bytes > 0),
        }
    }

    async fn read_request_in_time(&mut self) -> Result<IncomingRequest, ConnectionError> {
        let limit = self.slot.limits().request;
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
                // One byte more than is missing: a read that leaves space in the buffer
                // shows that nothing else has arrived, which saves a second read.
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
        let head = parse_request_head(&self.buf, limits.head)?;
        match head {
            Some(head) if head.content_length > limits.body => {
                Err(RequestError::BodyTooLarge { size: head.content_length, limit: limits.body })
            }
            head => Ok(head),
        }
    }

    /// Tells the client that its request is rejected.
    async fn reject(&mut self, error: RequestError) -> Result<(), ConnectionError> {
        self.write(&Response::text(error.status(), "malformed request\n"), true).await?;
        Err(error.into())
    }

    async fn write(&mut self, response: &Response, close: bool) -> Result<(), ConnectionError> {
        let limit = self.slot.limits().write;
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
