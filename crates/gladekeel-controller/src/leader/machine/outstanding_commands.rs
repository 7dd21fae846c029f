//! Direct commands to a worker that await a response or have received none.
//!
//! A start that was sent directly and received no response may be executed at any later time.
//! Until the start is settled, its attempt is not released when the task is absent from a
//! heartbeat, and no forget command is sent for the attempt ("Direct commands" in
//! `docs/safety.md`).

use crate::leader::AttemptId;
use std::collections::BTreeMap;

/// The state of a start that was sent directly and may still be executed.
#[derive(Debug, Clone, Copy)]
enum UnsettledStart {
    /// The response to the start is awaited.
    InFlight,
    /// The start received no response, which was recorded at the time `since`.
    Unanswered { since: f64 },
}

/// The outstanding direct commands to one worker.
#[derive(Debug, Default)]
pub struct OutstandingCommands {
    /// Whether a request awaits its response. There is at most one such request at a time.
    in_flight: bool,
    unsettled_starts: BTreeMap<AttemptId, UnsettledStart>,
}

impl OutstandingCommands {
    /// Whether a request awaits its response.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Records that a request with these starts is being sent.
    pub fn begin_request(&mut self, starts: &[AttemptId]) {
        self.in_flight = true;
        self.unsettled_starts.extend(starts.iter().map(|id| (*id, UnsettledStart::InFlight)));
    }

    /// Records that the request in flight has ended, with a response or without one.
    pub fn record_request_outcome(&mut self) {
        self.in_flight = false;
    }

    /// Records that a start received no response, unless it has been settled in the meantime.
    pub fn record_unanswered_start(&mut self, id: AttemptId, now: f64) {
        if let Some(start) = self.unsettled_starts.get_mut(&id) {
            *start = UnsettledStart::Unanswered { since: now };
        }
    }

    /// Settles a start that was executed or can no longer be executed.
    pub fn settle_start(&mut self, id: AttemptId) {
        self.unsettled_starts.remove(&id);
    }

    /// Settles all starts. The worker must have a newer incarnation, which refuses them.
    pub fn settle_all_starts(&mut self) {
        self.unsettled_starts.clear();
    }

    /// Whether a start of this attempt may still be executed.
    pub fn may_still_start(&self, id: AttemptId) -> bool {
        self.unsettled_starts.contains_key(&id)
    }

    /// The starts that received no response, each with the time at which this was recorded.
    pub fn unanswered_starts(&self) -> impl Iterator<Item = (AttemptId, f64)> {
        self.unsettled_starts.iter().filter_map(|(id, start)| match start {
            UnsettledStart::InFlight => None,
            UnsettledStart::Unanswered { since } => Some((*id, *since)),
        })
    }

    /// Drops the commands that were sent under an older fencing token.
    pub fn reset(&mut self) {
        self.unsettled_starts.clear();
        self.in_flight = false;
    }
}
