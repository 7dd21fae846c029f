//! The server: one task per connection, every wait bounded.

use crate::{
    admission::{Admission, ConnectionClasses, ConnectionCounts, NEW_EVICTABLE_AFTER, Slot},
    codec::{Malformed, Request, Response, request_head},
};
use bytes::BytesMut;
use std::{io, rc::Rc, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::timeout,
};

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Seconds after which a refused client may try again.
const REFUSED_RETRY_S: u32 = 2;

/// What a client may use up.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Open connections; beyond it a new one is answered 503 and closed.
    pub connections: usize,
    /// Newcomers that may hear at the same time that there is no place; one more is closed
    /// without a word.
    pub refusals: usize,
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time for a request to arrive whole, counted from its first byte; and for the first
    /// one to begin.
    pub request: Duration,
    /// Time that a connection may stay open without a request.
    pub idle: Duration,
    /// A connection without a request for this long is closed if a new one needs its place.
    pub evictable_after: Duration,
    /// Time for a response to be taken.
    pub write: Duration,
}

impl Limits {
    /// Limits for a server that may hold so many connections.
    pub fn for_connections(connections: usize) -> Limits {
        Limits {
            connections,
            refusals: connections / 32 + 4,
            head: 16 * 1024,
            body: 64 * 1024,
            request: Duration::from_secs(10),
            idle: Duration::from_secs(120),
            evictable_after: Duration::from_secs(15),
            write: Duration::from_secs(10),
        }
    }
}

/// A bound server.
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    classes: ConnectionClasses,
    counts: Rc<ConnectionCounts>,
}

impl Server {
    /// Wraps a listener. All connections are of one class.
    pub fn new(listener: TcpListener, limits: Limits) -> Server {
        let classes = ConnectionClasses { reserved: vec![0], classify: |_| 0 };
        Server { listener, limits, classes, counts: Rc::new(ConnectionCounts::new(1)) }
    }

    /// The same server with connections counted by class.
    pub fn with_classes(self, classes: ConnectionClasses) -> Server {
        let counts = Rc::new(ConnectionCounts::new(classes.reserved.len()));
        Server { classes, counts, ..self }
    }

    /// The number of open connections, kept up to date while it serves.
    pub fn counts(&self) -> Rc<ConnectionCounts> {
        self.counts.clone()
    }

    /// Serves until the task is dropped. Must run inside a `LocalSet`.
    pub async fn run<F, R>(self, handler: F)
    where
        F: Fn(Request) -> R + 'static,
        R: Future<Output = Response> + 'static,
    {
        let handler = Rc::new(handler);
        let limits = self.limits;
        let admission = Rc::new(Admission::new(limits, self.classes, self.counts));
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    // Out of sockets, most likely: waiting lets some close; spinning would not.
                    tracing::warn!(%error, "cannot accept");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                    continue;
                }
            };
            let admitted = admission.admits_new();
            if !admitted && admission.is_overrun() {
                continue;
            }
            let (slot, handler) = (Slot::take(&admission), handler.clone());
            spawn_local(async move {
                let _ = stream.set_nodelay(true);
                let served = if admitted {
                    serve(stream, limits, slot, &*handler).await
                } else {
                    refuse(stream, limits, &slot).await
                };
                if let Err(error) = served {
                    tracing::debug!(%error, "connection ended");
                }
            });
        }
    }
}

fn too_many_connections() -> Response {
    Response::text(503, "too many connections\n").after(REFUSED_RETRY_S)
}

/// Answers that all places are taken. The request is read first: closing before that
/// would reset the connection, and the answer might not be seen.
async fn refuse(mut stream: TcpStream, limits: Limits, slot: &Slot) -> io::Result<()> {
    let mut buf = BytesMut::new();
    let read = read_request(&mut stream, &mut buf, limits, slot);
    let _ = timeout(NEW_EVICTABLE_AFTER, read).await;
    write(&mut stream, &too_many_connections().encode(true), limits).await
}

async fn serve<F, R>(
    mut stream: TcpStream,
    limits: Limits,
    mut slot: Slot,
    handler: &F,
) -> io::Result<()>
where
    F: Fn(Request) -> R,
    R: Future<Output = Response>,
{
    let mut buf = BytesMut::new();
    loop {
        if buf.is_empty() {
            buf = BytesMut::new();
            if !slot.wait_for_request(&mut stream, &mut buf).await? {
                return Ok(());
            }
        }
        let read = read_request(&mut stream, &mut buf, limits, &slot);
        let request = timeout(limits.request, read).await;
        let (request, close) = match request {
            Err(_) => return reject(&mut stream, Malformed(408), limits).await,
            Ok(Err(error)) => return Err(error),
            Ok(Ok(Err(malformed))) => return reject(&mut stream, malformed, limits).await,
            Ok(Ok(Ok(request))) => request,
        };
        if !slot.classify(&request) {
            return write(&mut stream, &too_many_connections().encode(true), limits).await;
        }
        let response = handler(request).await;
        write(&mut stream, &response.encode(close), limits).await?;
        if close {
            return Ok(());
        }
    }
}

async fn write(stream: &mut TcpStream, bytes: &[u8], limits: Limits) -> io::Result<()> {
    timeout(limits.write, stream.write_all(bytes))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn reject(stream: &mut TcpStream, why: Malformed, limits: Limits) -> io::Result<()> {
    write(stream, &Response::text(why.0, "malformed request\n").encode(true), limits).await
}

async fn read_request(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    limits: Limits,
    slot: &Slot,
) -> io::Result<Result<(Request, bool), Malformed>> {
    let mut sent_continue = false;
    loop {
        match request_head(buf, limits.head) {
            Err(malformed) => return Ok(Err(malformed)),
            Ok(Some(head)) if head.length > limits.body => return Ok(Err(Malformed(413))),
            Ok(Some(head)) if buf.len() >= head.total() => {
                let close = head.close;
                return Ok(Ok((head.take(buf), close)));
            }
            Ok(Some(head)) => {
                if head.expects_continue && !sent_continue {
                    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    sent_continue = true;
                }
                // One byte more than is missing: a read that leaves room in the buffer shows
                // that nothing else has arrived, which saves asking once more.
                buf.reserve(head.total() - buf.len() + 1);
            }
            Ok(None) => {}
        }
        if slot.read(stream, buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
