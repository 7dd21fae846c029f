//! The server: one task per connection, every wait bounded.

use crate::codec::{Malformed, Request, Response, request_head};
use bytes::BytesMut;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::spawn_local,
    time::{Instant, timeout},
};

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
    pub spare: Duration,
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
            spare: Duration::from_secs(15),
            write: Duration::from_secs(10),
        }
    }
}

/// Connections are counted by who is at the other end, so that none of the parties can
/// lock another one out.
#[derive(Debug, Clone)]
pub struct Parties {
    /// Connections kept for each party; the rest goes to whoever comes.
    pub kept: Vec<usize>,
    /// Tells the party by a connection's first request.
    pub of: fn(&Request) -> usize,
}

/// A bound server.
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    parties: Parties,
    open: Rc<Cell<usize>>,
}

/// Who is inside.
struct Door {
    limits: Limits,
    parties: Parties,
    open: Rc<Cell<usize>>,
    seated: RefCell<Vec<usize>>,
    /// Connections without a request, the longest first: of those that have not had any
    /// yet, then by party.
    idle: RefCell<Vec<BTreeMap<u64, Idle>>>,
    next: Cell<u64>,
}

struct Idle {
    since: Instant,
    leave: Rc<Notify>,
}

/// Newcomers have not shown who they are: this long without a request, and one goes
/// first when places run out.
const UNKNOWN_SPARE: Duration = Duration::from_secs(1);

impl Door {
    fn new(limits: Limits, parties: Parties, open: Rc<Cell<usize>>) -> Door {
        let count = parties.kept.len();
        Door {
            limits,
            parties,
            open,
            seated: RefCell::new(vec![0; count]),
            idle: RefCell::new((0..=count).map(|_| BTreeMap::new()).collect()),
            next: Cell::new(0),
        }
    }

    /// Whether one more of a party may come in.
    fn has_room(&self, party: usize) -> bool {
        let (seated, kept) = (self.seated.borrow(), &self.parties.kept);
        let taken: usize = seated.iter().zip(kept).map(|(seated, kept)| seated.max(kept)).sum();
        seated[party] < kept[party] || taken < self.limits.connections
    }

    /// Asks the connection that has been idle for longest to leave, among all or those of
    /// one party. Tells whether there is one.
    fn make_room(&self, party: Option<usize>) -> bool {
        let mut idle = self.idle.borrow_mut();
        let spare = |(at, idle): (usize, &BTreeMap<u64, Idle>)| {
            let (seq, first) = idle.first_key_value()?;
            let least = if at == 0 { UNKNOWN_SPARE } else { self.limits.spare };
            let asked = party.is_none_or(|party| at == party + 1);
            (asked && first.since.elapsed() >= least).then_some((at > 0, *seq, at))
        };
        let Some((_, seq, at)) = idle.iter().enumerate().filter_map(spare).min() else {
            return false;
        };
        if let Some(first) = idle[at].remove(&seq) {
            first.leave.notify_one();
        }
        true
    }
}

/// A connection's place, for as long as it lives.
struct Seat {
    door: Rc<Door>,
    party: Option<usize>,
    leave: Rc<Notify>,
}

impl Seat {
    fn take(door: &Rc<Door>) -> Seat {
        door.open.set(door.open.get() + 1);
        Seat { door: door.clone(), party: None, leave: Rc::default() }
    }

    /// Counts the connection to its party, unless that has no place.
    fn sit(&mut self, request: &Request) -> bool {
        if self.party.is_none() {
            let party = (self.door.parties.of)(request);
            if !self.door.has_room(party) && !self.door.make_room(Some(party)) {
                return false;
            }
            self.door.seated.borrow_mut()[party] += 1;
            self.party = Some(party);
        }
        true
    }

    /// Waits for a request's first bytes, as long as the place is not needed.
    async fn idle(&self, stream: &mut TcpStream, buf: &mut BytesMut) -> io::Result<bool> {
        let door = &self.door;
        let at = self.party.map_or(0, |party| party + 1);
        let seq = door.next.get();
        door.next.set(seq + 1);
        let idle = Idle { since: Instant::now(), leave: self.leave.clone() };
        door.idle.borrow_mut()[at].insert(seq, idle);
        let limit = if at == 0 { door.limits.request } else { door.limits.idle };
        let first = async {
            stream.readable().await?;
            stream.read_buf(buf).await
        };
        let read = tokio::select! {
            read = timeout(limit, first) => read,
            () = self.leave.notified() => Ok(Ok(0)),
        };
        door.idle.borrow_mut()[at].remove(&seq);
        match read {
            Err(_) => Ok(false),
            Ok(read) => read.map(|bytes| bytes > 0),
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.door.open.set(self.door.open.get() - 1);
        if let Some(party) = self.party {
            self.door.seated.borrow_mut()[party] -= 1;
        }
    }
}

impl Server {
    /// Wraps a listener. All connections are of one party.
    pub fn new(listener: TcpListener, limits: Limits) -> Server {
        let parties = Parties { kept: vec![0], of: |_| 0 };
        Server { listener, limits, parties, open: Rc::default() }
    }

    /// The same server with connections counted by party.
    pub fn with_parties(self, parties: Parties) -> Server {
        Server { parties, ..self }
    }

    /// The number of open connections, kept up to date while it serves.
    pub fn open(&self) -> Rc<Cell<usize>> {
        self.open.clone()
    }

    /// Serves until the task is dropped. Must run inside a `LocalSet`.
    pub async fn run<F, R>(self, handler: F)
    where
        F: Fn(Request) -> R + 'static,
        R: Future<Output = Response> + 'static,
    {
        let handler = Rc::new(handler);
        let limits = self.limits;
        let door = Rc::new(Door::new(limits, self.parties, self.open));
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    // Out of sockets, most likely: waiting lets some close; spinning would not.
                    tracing::warn!(%error, "cannot accept");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let full = door.open.get() >= limits.connections && !door.make_room(None);
            if full && door.open.get() >= limits.connections + limits.refusals {
                continue;
            }
            let (seat, handler) = (Seat::take(&door), handler.clone());
            spawn_local(async move {
                let _ = stream.set_nodelay(true);
                let served = if full {
                    refuse(stream, limits).await
                } else {
                    serve(stream, limits, seat, &*handler).await
                };
                if let Err(error) = served {
                    tracing::debug!(%error, "connection ended");
                }
            });
        }
    }
}

fn no_place() -> Response {
    Response::text(503, "too many connections\n").after(2)
}

/// Answers that all places are taken. The request is read first: closing before that
/// would reset the connection, and the answer might not be seen.
async fn refuse(mut stream: TcpStream, limits: Limits) -> io::Result<()> {
    let mut buf = BytesMut::new();
    let read = read_request(&mut stream, &mut buf, limits);
    let _ = timeout(UNKNOWN_SPARE, read).await;
    write(&mut stream, &no_place().encode(true), limits).await
}

async fn serve<F, R>(
    mut stream: TcpStream,
    limits: Limits,
    mut seat: Seat,
    handler: &F,
) -> io::Result<()>
where
    F: Fn(Request) -> R,
    R: Future<Output = Response>,
{
    let mut buf = BytesMut::new();
    loop {
        if buf.is_empty() {
            // An idle connection holds no buffer, so that thousands of them cost little.
            buf = BytesMut::new();
            if !seat.idle(&mut stream, &mut buf).await? {
                return Ok(());
            }
        }
        let request = timeout(limits.request, read_request(&mut stream, &mut buf, limits)).await;
        let (request, close) = match request {
            Err(_) => return reject(&mut stream, Malformed(408), limits).await,
            Ok(Err(error)) => return Err(error),
            Ok(Ok(Err(malformed))) => return reject(&mut stream, malformed, limits).await,
            Ok(Ok(Ok(request))) => request,
        };
        if !seat.sit(&request) {
            return write(&mut stream, &no_place().encode(true), limits).await;
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
) -> io::Result<Result<(Request, bool), Malformed>> {
    let mut told_continue = false;
    loop {
        match request_head(buf, limits.head) {
            Err(malformed) => return Ok(Err(malformed)),
            Ok(Some(head)) if head.length > limits.body => return Ok(Err(Malformed(413))),
            Ok(Some(head)) if buf.len() >= head.total() => {
                let close = head.close;
                return Ok(Ok((head.take(buf), close)));
            }
            Ok(Some(head)) => {
                if head.expects_continue && !told_continue {
                    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    told_continue = true;
                }
                buf.reserve(head.total() - buf.len());
            }
            Ok(None) => {}
        }
        if stream.read_buf(buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
