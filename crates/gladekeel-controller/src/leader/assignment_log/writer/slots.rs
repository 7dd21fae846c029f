//! The slots of the log: the live segments, and the slots that may be overwritten.

use super::LeaderRecords;
use crate::leader::AttemptId;
use gladekeel_sched::JobIdx;
use std::collections::VecDeque;

/// A slot of the log, which is one key of the store.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::leader::assignment_log) struct Slot {
    /// The number of the slot, from which its key is derived.
    pub number: u32,
    /// The version of the key, which is the precondition of overwriting it; 0 if the key does not
    /// exist.
    pub version: u64,
}

/// A page of a job's progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader::assignment_log) struct ProgressPageRef {
    /// The job whose progress the page records.
    pub job: JobIdx,
    /// The number of the page within the job.
    pub page: u32,
}

/// A segment that may still hold the newest record of an attempt or progress page.
#[derive(Debug, Default)]
pub(in crate::leader::assignment_log) struct LiveSegment {
    /// The slot that stores the segment.
    pub slot: Slot,
    /// The sequence number of the segment, which is its position in the log.
    pub sequence: u64,
    /// Attempts that the segment assigns.
    pub attempts: Vec<AttemptId>,
    /// Progress pages that the segment records, in whole or in part.
    pub progress_pages: Vec<ProgressPageRef>,
}

impl LiveSegment {
    /// Drops entries from the end of `attempts` and of `progress_pages` as long as the last entry
    /// is obsolete because of a newer segment or a release.
    fn drop_obsolete_tail(&mut self, records: LeaderRecords<'_>) {
        let sequence = self.sequence;
        let is_obsolete = |id: &mut AttemptId| !records.is_newest_assignment(sequence, *id);
        while self.attempts.pop_if(is_obsolete).is_some() {}
        let is_obsolete = |page: &mut ProgressPageRef| !records.is_newest_record(sequence, *page);
        while self.progress_pages.pop_if(is_obsolete).is_some() {}
    }

    fn is_obsolete(&self) -> bool {
        self.attempts.is_empty() && self.progress_pages.is_empty()
    }
}

/// The slots of the log, in the order in which they were written.
///
/// Invariant: slots become reusable and are overwritten in the order of their segments, oldest
/// first. The release of an attempt is in a later segment than the assignment, so the release is
/// never overwritten before the assignment.
#[derive(Debug, Default)]
pub(in crate::leader::assignment_log) struct SegmentSlots {
    /// Live segments, oldest first.
    live: VecDeque<LiveSegment>,
    /// Slots without a live segment, ordered by the age of their segments, oldest first.
    reusable: VecDeque<Slot>,
    /// Number of slots in the log.
    count: u32,
    /// The sequence number of the next segment.
    next_sequence: u64,
}

impl SegmentSlots {
    /// Adds a segment that was read from the store. The caller must restore segments oldest first.
    pub fn restore(&mut self, segment: LiveSegment) {
        self.count = self.count.max(segment.slot.number + 1);
        self.next_sequence = self.next_sequence.max(segment.sequence + 1);
        self.live.push_back(segment);
    }

    /// Adds a segment that has been committed.
    pub fn push(&mut self, segment: LiveSegment) {
        self.live.push_back(segment);
    }

    /// Returns the live segments, oldest first.
    pub fn live(&self) -> &VecDeque<LiveSegment> {
        &self.live
    }

    /// Takes the next slot to write: the oldest reusable slot, or a new slot if none is reusable.
    pub fn allocate(&mut self) -> Slot {
        self.reusable.pop_front().unwrap_or_else(|| {
            let slot = Slot { number: self.count, version: 0 };
            self.count += 1;
            slot
        })
    }

    /// Takes the sequence number for the next segment.
    pub fn next_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    /// Releases allocated slots that were not written. `slots` must be in the order of allocation.
    pub fn roll_back(&mut self, slots: impl DoubleEndedIterator<Item = Slot>) {
        for slot in slots.rev() {
            self.reusable.push_front(slot);
        }
    }

    /// Makes the slots of old segments reusable, from the oldest segment up to, but not including,
    /// the first one that still holds the newest record of an attempt or progress page.
    pub fn reclaim(&mut self, records: LeaderRecords<'_>) {
        while let Some(mut oldest) = self.live.pop_front() {
            oldest.drop_obsolete_tail(records);
            if oldest.is_obsolete() {
                self.reusable.push_back(oldest.slot);
            } else {
                self.live.push_front(oldest);
                break;
            }
        }
    }
}
