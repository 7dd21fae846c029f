//! Admission control: which connections a server keeps open.
//!
//! The number of open connections is bounded. Each class of clients may have reserved connections,
//! which no other class can use. Idle connections are evicted when a new connection needs their
//! capacity.

mod classes;
mod idle;

pub use classes::{ConnectionClasses, ConnectionCounts};

use crate::{limits::Limits, message::Request};
use idle::{EvictFrom, IdleConnections, IdleKey};
use std::{cell::RefCell, rc::Rc};
use tokio::sync::Notify;

/// Decides which connections a server keeps open.
pub(crate) struct Admission {
    limits: Limits,
    classes: ConnectionClasses,
    counts: Rc<ConnectionCounts>,
    idle: RefCell<IdleConnections>,
}

/// The decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The connection is served.
    Admit,
    /// The connection gets a 503 response and is closed.
    Refuse,
    /// The connection is closed without a response, because too many connections are being refused
    /// already.
    Drop,
}

impl Admission {
    pub(crate) fn new(
        limits: Limits,
        classes: ConnectionClasses,
        counts: Rc<ConnectionCounts>,
    ) -> Admission {
        let idle = RefCell::new(IdleConnections::new(classes.reserved.len()));
        Admission { limits, classes, counts, idle }
    }

    /// Decides on a new connection. If the maximum number of connections is open, an idle
    /// connection is evicted if possible.
    pub(crate) fn decide(&self) -> Decision {
        let open = self.counts.open();
        if open < self.limits.max_connections || self.evict(EvictFrom::AnyClass) {
            Decision::Admit
        } else if open < self.limits.max_connections + self.limits.max_refusals {
            Decision::Refuse
        } else {
            Decision::Drop
        }
    }

    /// Whether one more connection of a class may stay open.
    fn has_capacity_for(&self, class: usize) -> bool {
        let (counts, reserved) = (self.counts.by_class(), &self.classes.reserved);
        // Connections that are reserved for a class count as in use even while they are not open.
        let in_use: usize =
            counts.iter().zip(reserved).map(|(open, reserved)| open.max(reserved)).sum();
        counts[class] < reserved[class] || in_use < self.limits.max_connections
    }

    /// Evicts the longest idle connection of `from`. Returns `false` if no connection may be
    /// evicted.
    fn evict(&self, from: EvictFrom) -> bool {
        self.idle.borrow_mut().evict_longest_idle(from, self.limits.evictable_after)
    }
}

/// A slot for one connection, which counts against the limits until the slot is dropped.
pub(crate) struct Slot {
    admission: Rc<Admission>,
    /// Class of the connection; `None` until its first request.
    class: Option<usize>,
    /// Notified when the connection is evicted.
    evicted: Rc<Notify>,
}

impl Slot {
    pub(crate) fn acquire(admission: &Rc<Admission>) -> Slot {
        admission.counts.add();
        Slot { admission: Rc::clone(admission), class: None, evicted: Rc::default() }
    }

    pub(crate) fn limits(&self) -> &Limits {
        &self.admission.limits
    }

    /// Whether the connection has a class, which it gets with its first request.
    pub(crate) fn is_classified(&self) -> bool {
        self.class.is_some()
    }

    /// Assigns the connection to the class of its first request, and evicts an idle connection of
    /// that class if necessary. Returns `false` if the class has no capacity for the connection.
    pub(crate) fn classify(&mut self, request: &Request) -> bool {
        if self.is_classified() {
            return true;
        }
        let admission = &self.admission;
        let class = (admission.classes.classify)(request);
        if !admission.has_capacity_for(class) && !admission.evict(EvictFrom::Class(class)) {
            return false;
        }
        admission.counts.add_to_class(class);
        self.class = Some(class);
        true
    }

    /// Counts a read from the connection.
    pub(crate) fn count_read(&self) {
        self.admission.counts.add_read();
    }

    /// Marks the connection as idle, so that it may be evicted, until the guard is dropped.
    pub(crate) fn mark_idle(&self) -> IdleGuard<'_> {
        let key = self.admission.idle.borrow_mut().insert(self.class, Rc::clone(&self.evicted));
        IdleGuard { idle: &self.admission.idle, key }
    }

    /// Waits until the connection is evicted.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.counts.remove(self.class);
    }
}

/// Keeps a connection marked as idle until the guard is dropped.
pub(crate) struct IdleGuard<'a> {
    idle: &'a RefCell<IdleConnections>,
    key: IdleKey,
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.idle.borrow_mut().remove(self.key);
    }
}
