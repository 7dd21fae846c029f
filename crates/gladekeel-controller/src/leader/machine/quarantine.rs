//! Keeps new tasks off a machine for a while after a task has failed or was refused on it.

/// How long a machine that has refused a start gets no new tasks, in seconds.
const AFTER_REFUSAL_S: f64 = 2.0;
/// How long a machine on which a task has failed gets no new tasks, in seconds.
const AFTER_FAILURE_S: f64 = 5.0;
/// The number of consecutive task failures after which a machine is to be replaced.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// The task failures on a machine, and the time until which it gets no new tasks.
#[derive(Debug, Default)]
pub struct Quarantine {
    consecutive_failures: u32,
    /// The machine gets no new tasks before this time, in seconds on the node's clock.
    until: f64,
}

impl Quarantine {
    /// Records that a task failed on the machine. Returns whether so many consecutive tasks have
    /// failed that the machine is to be replaced.
    pub fn record_failure(&mut self, now: f64) -> bool {
        self.consecutive_failures += 1;
        self.until = now + AFTER_FAILURE_S;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Records that the machine has refused to start a task.
    pub fn record_refusal(&mut self, now: f64) {
        self.until = now + AFTER_REFUSAL_S;
    }

    /// Resets the failure count, after a task has completed or if the failing job was the cause.
    pub fn clear_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether the machine currently gets no new tasks.
    pub fn is_active(&self, now: f64) -> bool {
        now < self.until
    }
}
