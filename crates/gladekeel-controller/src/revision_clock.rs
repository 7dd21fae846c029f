//! The clock that tells when the store made a change.
//!
//! The store numbers its changes by revisions but does not say when it made them. The controllers
//! therefore write a [`RevisionMark`] into the store every few seconds: the time at which the write
//! was sent. The store gives the mark a revision like any other change. Every change with a higher
//! revision was made after the time of the mark, whichever controller made the change and whatever
//! its version, and even if the mark was written late. A controller that has just started thus
//! knows the age of each change that it reads.
//!
//! The marks are a ring of [`RevisionClock::SLOTS`] keys, of which the oldest is overwritten next,
//! so that they cover the last two cancellation deadlines.

use serde_json::Value;
use std::collections::BTreeMap;

/// A time, and a revision of the store after which all changes were made after this time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RevisionMark {
    /// The revision at which the store holds the mark.
    pub revision: u64,
    /// When the mark was sent, in seconds of Unix time.
    pub sent_at: f64,
}

/// The marks that the store holds, by slot.
#[derive(Debug, Default)]
pub struct RevisionClock {
    marks: BTreeMap<u32, RevisionMark>,
}

impl RevisionClock {
    /// Number of slots in the ring.
    pub const SLOTS: u32 = 24;
    /// Number of marks that are written within one cancellation deadline.
    const MARKS_PER_DEADLINE: f64 = 12.0;

    /// The time between two marks, in seconds.
    pub fn interval_s(cancellation_deadline_s: f64) -> f64 {
        cancellation_deadline_s / RevisionClock::MARKS_PER_DEADLINE
    }

    /// Applies a change of the key of a slot. A value that is not a time counts as no mark.
    pub fn apply(&mut self, slot: u32, current: Option<&(Value, u64)>) {
        let mark = current.and_then(|(value, revision)| {
            Some(RevisionMark { revision: *revision, sent_at: value.as_f64()? })
        });
        match mark {
            Some(mark) => self.marks.insert(slot, mark),
            None => self.marks.remove(&slot),
        };
    }

    /// The latest known time after which the store made the change with this revision, in seconds
    /// of Unix time; `None` if all marks are newer than the change.
    pub fn made_after(&self, revision: u64) -> Option<f64> {
        let older = self.marks.values().filter(|mark| mark.revision < revision);
        older.map(|mark| mark.sent_at).max_by(f64::total_cmp)
    }

    /// The mark with the highest revision.
    pub fn newest(&self) -> Option<RevisionMark> {
        self.marks.values().copied().max_by_key(|mark| mark.revision)
    }

    /// The slot that the next mark is written to: one without a mark, or the one with the oldest.
    pub fn next_slot(&self) -> u32 {
        let revision = |slot: &u32| self.marks.get(slot).map_or(0, |mark| mark.revision);
        (0..RevisionClock::SLOTS).min_by_key(revision).unwrap_or(0)
    }
}
