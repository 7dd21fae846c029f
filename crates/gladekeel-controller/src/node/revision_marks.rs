//! Writes the marks of the [revision clock](crate::revision_clock).
//!
//! The leader writes a mark when the newest one is older than the interval between two marks. The
//! other controllers do so after two intervals, for the case that nobody leads or that the leader
//! runs a version that writes no marks. Marks written at the same time conflict, and one remains.

use super::{Node, outgoing_calls::StoreCallPurpose};
use crate::{keys, revision_clock::RevisionClock};
use gladekeel_store::StoreRequest;
use gladekeel_wire::store::{Precondition, Transaction, Write};

/// Pause after the response to a mark, in seconds. By its end a read shows whether it was written.
const RETRY_S: f64 = 1.0;
/// How many intervals a controller that does not lead waits for a mark of another controller.
const FOLLOWER_INTERVALS: f64 = 2.0;

/// The state of this node's writes of marks.
#[derive(Debug, Default)]
pub(super) struct RevisionMarks {
    in_flight: bool,
    /// No mark is sent before this time, in seconds on the node's clock.
    not_before: f64,
}

impl Node {
    /// Sends a mark of the revision clock if one is due. The write counts against the limit of
    /// users' writes, so it does not add to the highest rate of this node's writes.
    pub(super) fn send_revision_mark(&mut self, now: f64) {
        if !self.is_revision_mark_due(now) || !self.rate_limits.user_writes.try_take(now, 1.0) {
            return;
        }
        self.revision_marks.in_flight = true;
        let key = keys::clock_slot(self.store.view.revision_clock.next_slot());
        // A mark that arrives late must not replace a newer one.
        let version = self.store.version(&key);
        let value = (self.epoch + now).into();
        let transaction = Transaction {
            preconditions: vec![Precondition { key: key.clone(), version }],
            writes: vec![Write::Put { key, value, lease: None }],
        };
        let request = StoreRequest::Commit(transaction);
        self.call_store(now, StoreCallPurpose::RevisionMark, request);
    }

    /// Records that a mark has an outcome. Whether it was written is shown by reads alone.
    pub(super) fn on_revision_mark_outcome(&mut self, now: f64) {
        self.revision_marks = RevisionMarks { in_flight: false, not_before: now + RETRY_S };
    }

    fn is_revision_mark_due(&self, now: f64) -> bool {
        let deadline_s = self.deployment.workers.cancellation_deadline_s;
        let intervals = if self.leadership.is_leading() { 1.0 } else { FOLLOWER_INTERVALS };
        let interval_s = RevisionClock::interval_s(deadline_s) * intervals;
        let newest = self.store.view.revision_clock.newest();
        // The absolute value covers a mark from a clock that was ahead.
        let is_newest_old =
            newest.is_none_or(|mark| (self.epoch + now - mark.sent_at).abs() >= interval_s);
        is_newest_old
            && !self.revision_marks.in_flight
            && now >= self.revision_marks.not_before
            && self.store.has_fresh_contact(now)
    }
}
