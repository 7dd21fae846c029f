//! The attempts on a machine and the resources that they request.

use crate::leader::AttemptId;
use gladekeel_sched::Resources;
use std::collections::BTreeSet;

/// The attempts on one machine. Each attempt stays until its release is committed.
#[derive(Debug)]
pub struct Workload {
    attempts: BTreeSet<AttemptId>,
    requested: Resources,
    idle_since: f64,
}

impl Workload {
    /// Creates a workload without attempts, which is idle from now on.
    pub fn new(now: f64) -> Workload {
        Workload { attempts: BTreeSet::new(), requested: Resources::default(), idle_since: now }
    }

    /// Adds an attempt and the resources that it requests.
    pub fn add(&mut self, id: AttemptId, request: Resources) {
        self.attempts.insert(id);
        self.requested += request;
    }

    /// Removes an attempt and the resources that it requests.
    pub fn remove(&mut self, id: AttemptId, request: Resources, now: f64) {
        self.attempts.remove(&id);
        self.requested -= request;
        if self.attempts.is_empty() {
            self.idle_since = now;
        }
    }

    /// Removes all attempts, so that the attempts in the assignment log can be added again. This
    /// does not restart the machine's idle time.
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

    /// Since when the machine has had no attempts. The value is meaningful only while the machine
    /// has no attempts.
    pub fn idle_since(&self) -> f64 {
        self.idle_since
    }
}
