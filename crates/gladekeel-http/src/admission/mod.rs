//! Admission control: which connections a server holds.
//!
//! Their number is bounded. Each class of clients has connections reserved for it, which no
//! other class can take, and idle connections are evicted when a new one needs the space.

mod classes;
mod idle;

pub use classes::{ConnectionClasses, ConnectionCounts};

use crate::{limits::Limits, message::Request};
use idle::{EvictFrom, IdleConnections, IdleKey};
use std::{cell::RefCell, rc::Rc};
use tokio::sync::Notify;

/// Decides which connections a server holds.
pub(crate) struct Admission {
    limits: Limits,
    classes: ConnectionClasses,
    counts: Rc<ConnectionCounts>,
    idle: RefCell<IdleConnections>,
}

/// What becomes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is served.
    Admit,
    /// It is answered 503 and closed.
    Refuse,
    /// It is closed without a response: too many are being refused already.
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

    /// The verdict on a new connection. Evicts an idle one if that makes space.
    pub(crate) fn judge(&self) -> Verdict {
        let open = self.counts.open();
        if open < self.limits.connections || self.evict(EvictFrom::AnyClass) {
            Verdict::Admit
        } else if open < self.limits.connections + self.limits.refusals {
            Verdict::Refuse
        } else {
            Verdict::Drop
        }
    }

    /// Whether one more connection of a class may stay.
    fn has_space_for(&self, class: usize) -> bool {
        let (counts, reserved) = (self.counts.by_class(), &self.classes.reserved);
        // Connections that are reserved count as taken, whether or not they are open.
        let taken: usize = counts.iter().zip(reserved).map(|(open, kept)| open.max(kept)).sum();
        counts[class] < reserved[class] || taken < self.limits.connections
    }

    fn evict(&self, from: EvictFrom) -> bool {
        self.idle.borrow_mut().evict_longest_idle(from, self.limits.evictable_after)
    }
}

/// A connection's share of the limits, for as long as it lives.
pub(crate) struct Slot {
    admission: Rc<Admission>,
    class: Option<usize>,
    evicted: Rc<Notify>,
}

impl Slot {
    pub(crate) fn take(admission: &Rc<Admission>) -> Slot {
        admission.counts.add();
        Slot { admission: Rc::clone(admission), class: None, evicted: Rc::default() }
    }

    pub(crate) fn limits(&self) -> &Limits {
        &self.admission.limits
    }

    /// Whether the connection has sent a request already.
    pub(crate) fn is_classified(&self) -> bool {
        self.class.is_some()
    }

    /// Counts the connection to the class of its first request. Returns whether that class
    /// has space for it.
    pub(crate) fn classify(&mut self, request: &Request) -> bool {
        if self.is_classified() {
            return true;
        }
        let admission = &self.admission;
        let class = (admission.classes.classify)(request);
        if !admission.has_space_for(class) && !admission.evict(EvictFrom::Class(class)) {
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

    /// Lets the connection be evicted until the guard is dropped.
    pub(crate) fn idle(&self) -> IdleGuard<'_> {
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

/// Lists a connection as idle while it lives.
pub(crate) struct IdleGuard<'a> {
    idle: &'a RefCell<IdleConnections>,
    key: IdleKey,
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.idle.borrow_mut().remove(self.key);
    }
}
