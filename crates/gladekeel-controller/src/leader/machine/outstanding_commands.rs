//! The direct commands to a worker: whether a request awaits its response, and which starts may
//! still have an effect.

use super::DirectStarts;
use crate::leader::{AttemptId, ReportedAttempt};

/// The outstanding direct commands to one worker.
#[derive(Debug, Default)]
pub struct OutstandingCommands {
    /// Whether a request awaits its response. There is at most one such request at a time.
    in_flight: bool,
    /// The starts that were sent under the current token.
    pub starts: DirectStarts,
}

impl OutstandingCommands {
    /// Whether a request awaits its response.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Records that a request with these starts is being sent.
    pub fn begin_request(&mut self, starts: &[(AttemptId, ReportedAttempt)]) {
        self.in_flight = true;
        self.starts.begin(starts);
    }

    /// Records that the request in flight has ended, with a response or without one.
    pub fn record_request_outcome(&mut self) {
        self.in_flight = false;
    }

    /// Drops the commands that were sent under an older fencing token.
    pub fn reset(&mut self) {
        self.starts.clear();
        self.in_flight = false;
    }
}
