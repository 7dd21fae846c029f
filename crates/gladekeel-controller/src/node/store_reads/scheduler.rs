//! ReadScheduler of the store: when the next one is due, and how the last ones went.

/// ReadScheduler without an answer in a row, after which the service counts as out of reach.
const DOWN: u32 = 2;

/// ReadScheduler of the store.
#[derive(Debug)]
pub(crate) struct ReadScheduler {
    /// How many are under way.
    pub in_flight: u32,
    /// Those that had no answer since the last that had.
    unanswered: u32,
    /// Something may have changed, or somebody asks.
    pub wanted: bool,
    /// When the last one was sent.
    pub sent_at: f64,
    /// None is sent before this time.
    pub not_before: f64,
}

impl Default for ReadScheduler {
    fn default() -> Self {
        ReadScheduler { in_flight: 0, unanswered: 0, wanted: true, sent_at: -1.0, not_before: 0.0 }
    }
}

impl ReadScheduler {
    /// One is sent.
    pub fn begin(&mut self, now: f64) {
        self.in_flight += 1;
        self.wanted = false;
        self.sent_at = now;
    }

    /// One was answered.
    pub fn answered(&mut self) {
        self.unanswered = 0;
    }

    /// One had no answer. Tells whether so many had none that the service counts as out of
    /// reach.
    pub fn lost(&mut self) -> bool {
        self.unanswered += 1;
        self.wanted = true;
        self.unanswered >= DOWN
    }
}
