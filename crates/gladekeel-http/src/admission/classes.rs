//! Classes of clients, and the numbers of open connections by class.

use crate::message::Request;
use std::cell::{Cell, Ref, RefCell};

/// Classes of clients. The first request of a connection determines its class.
#[derive(Debug, Clone)]
pub struct ConnectionClasses {
    /// Number of connections reserved for each class; all other connections are shared, first
    /// come, first served.
    pub reserved: Vec<usize>,
    /// Returns the class of a request, an index into `reserved`.
    pub classify: fn(&Request) -> usize,
}

impl ConnectionClasses {
    /// A single class for all clients.
    pub fn single() -> ConnectionClasses {
        ConnectionClasses { reserved: vec![0], classify: |_| 0 }
    }
}

/// Numbers of open connections, kept up to date while a server runs.
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

    /// Number of reads from connections since the server started.
    pub fn reads(&self) -> u64 {
        self.reads.get()
    }

    /// Number of open connections, including connections that are being refused.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Number of open connections of a class; 0 if there is no such class.
    pub fn of_class(&self, class: usize) -> usize {
        self.by_class.borrow().get(class).copied().unwrap_or(0)
    }

    /// Number of open connections that have not sent a request yet, and so belong to no class.
    pub fn unclassified(&self) -> usize {
        self.open().saturating_sub(self.by_class.borrow().iter().sum())
    }

    pub(super) fn by_class(&self) -> Ref<'_, Vec<usize>> {
        self.by_class.borrow()
    }

    pub(super) fn add(&self) {
        self.open.set(self.open.get() + 1);
    }

    pub(super) fn add_to_class(&self, class: usize) {
        self.by_class.borrow_mut()[class] += 1;
    }

    pub(super) fn remove(&self, class: Option<usize>) {
        self.open.set(self.open.get() - 1);
        if let Some(class) = class {
            self.by_class.borrow_mut()[class] -= 1;
        }
    }

    pub(super) fn add_read(&self) {
        self.reads.set(self.reads.get() + 1);
    }
}
