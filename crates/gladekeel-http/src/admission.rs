//! Which connections are admitted: a bounded number, with places reserved for each class
//! of clients, and idle connections evicted when a newcomer needs a place.

use crate::{codec::Request, server::Limits};
use bytes::BytesMut;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    sync::Notify,
    time::{Instant, timeout},
};

/// A connection without any request so far may be evicted after this long.
pub(crate) const NEW_EVICTABLE_AFTER: Duration = Duration::from_secs(1);

/// Room for the first bytes of a request, so that one read takes all of a usual request.
const FIRST_READ: usize = 4096;

/// Connections are counted by the class of their client, so that no class can take the
/// places of another one.
#[derive(Debug, Clone)]
pub struct ConnectionClasses {
    /// Connections reserved for each class; the others go to whoever comes first.
    pub reserved: Vec<usize>,
    /// Tells the class by a connection's first request.
    pub classify: fn(&Request) -> usize,
}

/// Open connections, kept up to date while a server runs.
#[derive(Debug)]
pub struct ConnectionCounts {
    open: Cell<usize>,
    reads: Cell<u64>,
    by_class: RefCell<Vec<usize>>,
}

impl ConnectionCounts {
    pub(crate) fn new(classes: usize) -> ConnectionCounts {
        ConnectionCounts {
            open: Cell::new(0),
            reads: Cell::new(0),
            by_class: RefCell::new(vec![0; classes]),
        }
    }

    /// How often a connection was read from so far.
    pub fn reads(&self) -> u64 {
        self.reads.get()
    }

    /// All open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Those of one class; 0 if there is no such class.
    pub fn of_class(&self, class: usize) -> usize {
        self.by_class.borrow().get(class).copied().unwrap_or(0)
    }

    /// Those that have not sent a request yet, and so are of no class.
    pub fn unclassified(&self) -> usize {
        self.open().saturating_sub(self.by_class.borrow().iter().sum())
    }
}

/// Decides which connections a server holds.
pub(crate) struct Admission {
    limits: Limits,
    classes: ConnectionClasses,
    counts: Rc<ConnectionCounts>,
    /// Connections without a request under way, the longest idle first: those that have
    /// not had any request yet, then by class.
    idle: RefCell<Vec<BTreeMap<u64, IdleConnection>>>,
    next_idle: Cell<u64>,
}

struct IdleConnection {
    since: Instant,
    evict: Rc<Notify>,
}

/// The place of a class among the lists of idle connections.
fn idle_list(class: Option<usize>) -> usize {
    class.map_or(0, |class| class + 1)
}

impl Admission {
    pub(crate) fn new(
        limits: Limits,
        classes: ConnectionClasses,
        counts: Rc<ConnectionCounts>,
    ) -> Admission {
        let lists = classes.reserved.len() + 1;
        Admission {
            limits,
            classes,
            counts,
            idle: RefCell::new((0..lists).map(|_| BTreeMap::new()).collect()),
            next_idle: Cell::new(0),
        }
    }

    /// Whether there is room for a new connection, after evicting an idle one if need be.
    pub(crate) fn admits_new(&self) -> bool {
        self.counts.open() < self.limits.connections || self.evict_idle(None)
    }

    /// Whether a newcomer cannot even be told that there is no room.
    pub(crate) fn is_overrun(&self) -> bool {
        self.counts.open() >= self.limits.connections + self.limits.refusals
    }

    /// Whether one more connection of a class may stay.
    fn has_room(&self, class: usize) -> bool {
        let (counts, reserved) = (self.counts.by_class.borrow(), &self.classes.reserved);
        let taken: usize = counts.iter().zip(reserved).map(|(count, kept)| count.max(kept)).sum();
        counts[class] < reserved[class] || taken < self.limits.connections
    }

    /// Asks the connection that has been idle for longest to close, among all or those of
    /// one class. Tells whether there is one.
    fn evict_idle(&self, class: Option<usize>) -> bool {
        let mut idle = self.idle.borrow_mut();
        let evictable = |(list, idle): (usize, &BTreeMap<u64, IdleConnection>)| {
            let (seq, first) = idle.first_key_value()?;
            let is_new = list == idle_list(None);
            let after = if is_new { NEW_EVICTABLE_AFTER } else { self.limits.evictable_after };
            let asked = class.is_none() || list == idle_list(class);
            (asked && first.since.elapsed() >= after).then_some((!is_new, *seq, list))
        };
        let Some((_, seq, list)) = idle.iter().enumerate().filter_map(evictable).min() else {
            return false;
        };
        if let Some(connection) = idle[list].remove(&seq) {
            connection.evict.notify_one();
        }
        true
    }
}

/// A connection's place, for as long as it lives.
pub(crate) struct Slot {
    admission: Rc<Admission>,
    class: Option<usize>,
    evict: Rc<Notify>,
}

impl Slot {
    pub(crate) fn take(admission: &Rc<Admission>) -> Slot {
        let open = &admission.counts.open;
        open.set(open.get() + 1);
        Slot { admission: admission.clone(), class: None, evict: Rc::default() }
    }

    /// Counts the connection to the class of its first request. Tells whether that class
    /// has room for it.
    pub(crate) fn classify(&mut self, request: &Request) -> bool {
        if self.class.is_some() {
            return true;
        }
        let admission = &self.admission;
        let class = (admission.classes.classify)(request);
        if !admission.has_room(class) && !admission.evict_idle(Some(class)) {
            return false;
        }
        admission.counts.by_class.borrow_mut()[class] += 1;
        self.class = Some(class);
        true
    }

    /// Waits for a request's first bytes, as long as the place is not needed. Tells
    /// whether any came.
    pub(crate) async fn wait_for_request(
        &self,
        stream: &mut TcpStream,
        buf: &mut BytesMut,
    ) -> io::Result<bool> {
        let limits = &self.admission.limits;
        let limit = if self.class.is_none() { limits.request } else { limits.idle };
        let first_bytes = async {
            stream.readable().await?;
            // Only now: thousands of idle connections hold no buffer.
            buf.reserve(FIRST_READ);
            self.read(stream, buf).await
        };
        let idle_number = self.begin_idle();
        let read = tokio::select! {
            read = timeout(limit, first_bytes) => read,
            () = self.evict.notified() => Ok(Ok(0)),
        };
        self.end_idle(idle_number);
        match read {
            Err(_) => Ok(false),
            Ok(read) => read.map(|bytes| bytes > 0),
        }
    }

    /// Reads what has arrived, and counts the read.
    pub(crate) async fn read(
        &self,
        stream: &mut TcpStream,
        buf: &mut BytesMut,
    ) -> io::Result<usize> {
        let reads = &self.admission.counts.reads;
        reads.set(reads.get() + 1);
        stream.read_buf(buf).await
    }

    fn begin_idle(&self) -> u64 {
        let admission = &self.admission;
        let number = admission.next_idle.get();
        admission.next_idle.set(number + 1);
        let connection = IdleConnection { since: Instant::now(), evict: self.evict.clone() };
        admission.idle.borrow_mut()[idle_list(self.class)].insert(number, connection);
        number
    }

    fn end_idle(&self, number: u64) {
        self.admission.idle.borrow_mut()[idle_list(self.class)].remove(&number);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let counts = &self.admission.counts;
        counts.open.set(counts.open.get() - 1);
        if let Some(class) = self.class {
            counts.by_class.borrow_mut()[class] -= 1;
        }
    }
}
