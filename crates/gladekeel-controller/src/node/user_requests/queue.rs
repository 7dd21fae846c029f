//! Users' requests that wait: for a reading of the store, or to be written to it.

use crate::node::RequestId;
use gladekeel_wire::{JobId, job::JobSpec};
use std::{collections::VecDeque, rc::Rc};

/// Users' requests that may wait at once; beyond it they are told to come back.
const MAX_WAITING: usize = 400;

/// Users' requests that are not answered yet.
#[derive(Debug)]
pub(crate) struct UserQueue {
    /// Those that wait for a reading.
    pub waiting: Vec<PendingRequest>,
    /// Changes that are in no transaction yet.
    pub writes: VecDeque<UserWrite>,
    /// Transactions with changes under way.
    pub in_flight: usize,
    /// No transaction is sent before this time.
    pub not_before: f64,
    /// Changes in one transaction at most.
    pub most_at_once: usize,
}

impl UserQueue {
    /// An empty queue, for a store that takes so many changes at once.
    pub fn new(most_at_once: usize) -> UserQueue {
        UserQueue {
            waiting: Vec::new(),
            writes: VecDeque::new(),
            in_flight: 0,
            not_before: 0.0,
            most_at_once,
        }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.writes.len()
    }

    /// Whether no more requests are taken in.
    pub fn is_full(&self) -> bool {
        self.len() >= MAX_WAITING
    }

    /// Takes out the requests that have waited since before a time.
    pub fn take_older(&mut self, than: f64) -> Vec<RequestId> {
        let is_late = |waiter: &mut PendingRequest| waiter.since <= than;
        let mut late: Vec<RequestId> =
            self.waiting.extract_if(.., is_late).map(|waiter| waiter.request).collect();
        while self.writes.front().is_some_and(|write| write.since <= than) {
            late.extend(self.writes.pop_front().map(|write| write.request));
        }
        late
    }

    /// Takes out all of them.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        let waiting = self.waiting.drain(..).map(|waiter| waiter.request);
        let writes = self.writes.drain(..).map(|write| write.request);
        waiting.chain(writes).collect()
    }
}

/// A change that a user asked for.
#[derive(Debug)]
pub(crate) struct UserWrite {
    pub request: RequestId,
    pub id: JobId,
    /// The job to create, or none to cancel.
    pub spec: Option<Rc<JobSpec>>,
    pub since: f64,
    pub tries: u32,
}

/// A request that waits for the store to be read.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub request: RequestId,
    pub id: Option<JobId>,
    pub since: f64,
    /// A reading that was sent at this time or later will do.
    pub from: f64,
    pub then: Continuation,
}

/// What follows the reading.
#[derive(Debug)]
pub(crate) enum Continuation {
    /// Answer an operator with the settings.
    Settings,
    /// Answer with the job's state, or 404.
    Poll,
    /// Answer with the job's state, or create it.
    Create { spec: Rc<JobSpec>, tries: u32 },
    /// Answer with the job's state, or why it is refused.
    Refuse(u16, String),
    /// Cancel it.
    Cancel { tries: u32 },
    /// Answer with the job's state, or 503: the change had no answer.
    Unknown,
}
