//! A limit on the log lines about single attempts, so that a wave of failures, preemptions or
//! reclaimed machines does not flood the log. The counters in the metrics have no such limit.

use gladekeel_store::TokenBucket;

/// Average number of lines a second.
const LINES_PER_S: f64 = 5.0;
/// Number of lines that may be written at once.
const BURST_LINES: f64 = 50.0;

/// Limits the log lines about single attempts.
#[derive(Debug)]
pub(super) struct AttemptLog {
    lines: TokenBucket,
    /// Lines that were not written since the last line that was.
    suppressed: u64,
}

impl Default for AttemptLog {
    fn default() -> AttemptLog {
        AttemptLog { lines: TokenBucket::new(LINES_PER_S, BURST_LINES), suppressed: 0 }
    }
}

impl AttemptLog {
    /// Whether the caller may write a line. If lines were suppressed before, first writes how many.
    pub fn may_write(&mut self, now: f64) -> bool {
        if !self.lines.try_take(now, 1.0) {
            self.suppressed += 1;
            return false;
        }
        let suppressed = std::mem::take(&mut self.suppressed);
        if suppressed > 0 {
            tracing::info!(suppressed, "log lines about attempts suppressed");
        }
        true
    }
}
