//! Scheduling of reads of the store, by demand and by the outcomes of the last reads.

/// Number of consecutive failed reads after which the store counts as unreachable.
const UNREACHABLE_AFTER_READS: u32 = 2;
/// Time without a response after which a call to the store counts as slow. A second read is sent in
/// parallel to a slow read; users whose transaction is slow receive a reply once a read shows their
/// change.
pub(in crate::node) const SLOW_RESPONSE_S: f64 = 0.3;

/// The inputs that decide whether a read is due.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadDemand {
    /// Whether any requests wait for a read.
    pub has_pending_requests: bool,
    /// Whether the replica is complete, so that a single read brings it up to date.
    pub is_loaded: bool,
    /// Time between reads if nothing requests an earlier one, in seconds.
    pub idle_interval_s: f64,
}

/// Schedules reads of the store.
#[derive(Debug)]
pub(super) struct ReadScheduler {
    /// Number of reads in flight.
    in_flight: u32,
    /// Number of failed reads since the last successful read.
    consecutive_failures: u32,
    /// Whether a read has been requested since the last read was sent.
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
    /// Requests a read: the store may have changed, or a request waits for a read.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Prevents reads from being sent before `time`.
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
            // Each page of a full load starts after the last key of the previous page, so pages are
            // read one by one.
            1 => demand.is_loaded && since_last_s >= SLOW_RESPONSE_S,
            _ => false,
        }
    }

    /// Records that a read was sent.
    pub fn on_sent(&mut self, now: f64) {
        self.in_flight += 1;
        self.is_requested = false;
        self.last_sent_at = now;
    }

    /// Records that a read is no longer in flight, whatever its outcome.
    pub fn on_finished(&mut self) {
        self.in_flight -= 1;
    }

    /// Records that a read has brought the replica up to date.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed read. Returns whether enough consecutive reads have failed for the store
    /// to count as unreachable.
    pub fn on_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.is_requested = true;
        self.consecutive_failures >= UNREACHABLE_AFTER_READS
    }
}
