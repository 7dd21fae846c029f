//! The attempts on a machine and the resources that they request.

use crate::leader::AttemptId;
use gladekeel_sched::Resources;
use std::collections::BTreeSet;

/// The attempts on one machine, until their release is committed.
#[derive(Debug)]
pub struct Workload {
    attempts: BTreeSet<AttemptId>,
    requested: Resources,
    idle_since: f64,
}

impl Workload {
    /// No attempts since now.
    pub fn new(now: f64) -> Workload {
        Workload { attempts: BTreeSet::new(), requested: Resources::default(), idle_since: now }
    }

    /// Adds an attempt with what it requests.
    pub fn add(&mut self, id: AttemptId, request: Resources) {
        self.attempts.insert(id);
        self.requested += request;
    }

    /// Removes an attempt with what it requests.
    pub fn remove(&mut self, id: AttemptId, request: Resources, now: f64) {
        self.attempts.remove(&id);
        self.requested -= request;
        if self.attempts.is_empty() {
            self.idle_since = now;
        }
    }

    /// Removes all attempts, to add anew those that the assignment log holds. The machine
    /// does not count as idle from now by that.
    pub fn clear(&mut self) {
        self.attempts.clear();
        self.requested = Resources::default();
    }

    /// The attempts, in the order of their ids.
    pub fn attempts(&self) -> &BTreeSet<AttemptId> {
        &self.attempts
    }

    /// The resources that the attempts request.
    pub fn requested(&self) -> Resources {
        self.requested
    }

    /// Since when there has been no attempt; only meaningful while there is none.
    pub fn idle_since(&self) -> f64 {
        self.idle_since
    }
}
