//! Direct commands to a worker that have no response yet, or none at all.
//!
//! A start that was sent directly and has no response may be carried out at any later time.
//! Until that is settled its attempt is neither released for being absent nor forgotten
//! ("Proof of absence" in `docs/safety.md`).

use crate::leader::AttemptId;
use std::collections::BTreeMap;

/// What is known of a start that was sent directly.
#[derive(Debug, Clone, Copy)]
enum UnsettledStart {
    /// Its response is awaited.
    InFlight,
    /// It has no response; this was found at the given time.
    Unanswered { since: f64 },
}

/// The direct commands to one worker.
#[derive(Debug, Default)]
pub struct OutstandingCommands {
    /// Whether a request awaits its response; there is one at a time.
    in_flight: bool,
    unsettled_starts: BTreeMap<AttemptId, UnsettledStart>,
}

impl OutstandingCommands {
    /// Whether a request awaits its response.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Records a request that goes out, with the starts in it.
    pub fn begin_request(&mut self, starts: &[AttemptId]) {
        self.in_flight = true;
        self.unsettled_starts.extend(starts.iter().map(|id| (*id, UnsettledStart::InFlight)));
    }

    /// Records that the request has ended, with a response or without one.
    pub fn end_request(&mut self) {
        self.in_flight = false;
    }

    /// Records that a start had no response, unless it was settled meanwhile.
    pub fn record_unanswered_start(&mut self, id: AttemptId, now: f64) {
        if let Some(start) = self.unsettled_starts.get_mut(&id) {
            *start = UnsettledStart::Unanswered { since: now };
        }
    }

    /// Settles a start: it was executed, or can never be.
    pub fn settle_start(&mut self, id: AttemptId) {
        self.unsettled_starts.remove(&id);
    }

    /// Settles all starts: the worker has a newer incarnation, which refuses them.
    pub fn settle_all_starts(&mut self) {
        self.unsettled_starts.clear();
    }

    /// Whether a start of this attempt may still arrive.
    pub fn may_still_start(&self, id: AttemptId) -> bool {
        self.unsettled_starts.contains_key(&id)
    }

    /// The starts without a response, and since when.
    pub fn unanswered_starts(&self) -> impl Iterator<Item = (AttemptId, f64)> {
        self.unsettled_starts.iter().filter_map(|(id, start)| match start {
            UnsettledStart::InFlight => None,
            UnsettledStart::Unanswered { since } => Some((*id, *since)),
        })
    }

    /// Forgets the commands of an older fencing token.
    pub fn reset(&mut self) {
        self.unsettled_starts.clear();
        self.in_flight = false;
    }
}
