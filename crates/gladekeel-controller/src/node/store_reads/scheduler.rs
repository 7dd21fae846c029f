//! When the next read of the store is due, and how the last ones went.

/// Consecutive reads without an answer after which the store counts as unreachable.
const UNREACHABLE_AFTER_READS: u32 = 2;
/// A read without an answer for this long is overtaken by a second one.
pub(in crate::node) const OVERTAKE_AFTER_S: f64 = 0.3;

/// What the scheduler needs to know to decide whether a read is due.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadDemand {
    /// Whether requests wait for a read.
    pub has_pending_requests: bool,
    /// Whether the replica is complete, so that a single read brings it up to date.
    pub is_loaded: bool,
    /// Time between unrequested reads, in seconds.
    pub idle_interval_s: f64,
}

/// Schedules reads of the store.
#[derive(Debug)]
pub(super) struct ReadScheduler {
    in_flight: u32,
    /// Reads without an answer since the last one with an answer.
    consecutive_failures: u32,
    /// A read was requested since the last one was sent.
    is_requested: bool,
    last_sent_at: f64,
    /// No read is sent before this time.
    not_before: f64,
}

impl Default for ReadScheduler {
    fn default() -> ReadScheduler {
        ReadScheduler {
            in_flight: 0,
            consecutive_failures: 0,
            is_requested: true,
            last_sent_at: -1.0,
            not_before: 0.0,
        }
    }
}

impl ReadScheduler {
    /// Asks for a read: the store may have changed, or a request waits for it.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Sends no read before this time.
    pub fn back_off_until(&mut self, time: f64) {
        self.not_before = time;
    }

    /// Whether a read should be sent now.
    pub fn is_due(&self, now: f64, demand: ReadDemand) -> bool {
        if now < self.not_before {
            return false;
        }
        let since_last_s = now - self.last_sent_at;
        match self.in_flight {
            0 => {
                self.is_requested
                    || demand.has_pending_requests
                    || since_last_s >= demand.idle_interval_s
            }
            // The pages of a full load depend on one another and are read one by one.
            1 => demand.is_loaded && since_last_s >= OVERTAKE_AFTER_S,
            _ => false,
        }
    }

    /// A read was sent.
    pub fn on_sent(&mut self, now: f64) {
        self.in_flight += 1;
        self.is_requested = false;
        self.last_sent_at = now;
    }

    /// A read has ended, with or without an answer.
    pub fn on_finished(&mut self) {
        self.in_flight -= 1;
    }

    /// A read has brought the replica up to date.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// A read had no answer. Returns whether so many had none that the store counts as
    /// unreachable.
    pub fn on_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.is_requested = true;
        self.consecutive_failures >= UNREACHABLE_AFTER_READS
    }
}
