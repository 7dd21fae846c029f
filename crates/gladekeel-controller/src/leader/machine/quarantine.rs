//! Keeps new work off a machine for a while after tasks failed on it.

/// For how long a machine that refused a start gets no new work, in seconds.
const AFTER_REFUSAL_S: f64 = 2.0;
/// For how long a machine on which a task failed gets no new work, in seconds.
const AFTER_FAILURE_S: f64 = 5.0;
/// Failures in a row, after which a machine is to be replaced.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// Task failures on a machine.
#[derive(Debug, Default)]
pub struct Quarantine {
    consecutive_failures: u32,
    /// No new work before this time.
    until: f64,
}

impl Quarantine {
    /// Records that a task failed on the machine. Returns whether the machine has failed so
    /// often that it is to be replaced.
    pub fn record_failure(&mut self, now: f64) -> bool {
        self.consecutive_failures += 1;
        self.until = now + AFTER_FAILURE_S;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Records that the machine has refused to start a task.
    pub fn record_refusal(&mut self, now: f64) {
        self.until = now + AFTER_REFUSAL_S;
    }

    /// Forgets the failures: a task has completed, or the failing job was to blame.
    pub fn clear_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether the machine gets no new work.
    pub fn is_active(&self, now: f64) -> bool {
        now < self.until
    }
}
