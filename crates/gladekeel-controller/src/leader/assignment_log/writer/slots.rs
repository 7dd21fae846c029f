//! The slots of the log: which segments are live, and which slots may be overwritten.

use super::LeaderRecords;
use crate::leader::AttemptId;
use gladekeel_sched::JobIdx;
use std::collections::VecDeque;

/// A key of the log.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::leader::assignment_log) struct Slot {
    /// Its number, which its key is made of.
    pub number: u32,
    /// The key's version: the precondition of overwriting it. 0 if the key does not exist.
    pub version: u64,
}

/// A page of a job's progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader::assignment_log) struct ProgressPageRef {
    /// The job.
    pub job: JobIdx,
    /// The page's number.
    pub page: u32,
}

/// A segment that may still hold the newest record of something.
#[derive(Debug, Default)]
pub(in crate::leader::assignment_log) struct LiveSegment {
    /// Where it is stored.
    pub slot: Slot,
    /// Its position in the log.
    pub sequence: u64,
    /// Attempts that it assigns.
    pub attempts: Vec<AttemptId>,
    /// Pages of progress that it records, whole or in part.
    pub progress_pages: Vec<ProgressPageRef>,
}

impl LiveSegment {
    /// Drops trailing records that newer segments or releases have made obsolete.
    fn trim(&mut self, records: LeaderRecords<'_>) {
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

/// Slots of the log, in the order in which they were written.
///
/// Invariant: segments become reusable, and are overwritten, oldest first. The release of an
/// attempt is in a later segment than its assignment, so it is never overwritten before it.
#[derive(Debug, Default)]
pub(in crate::leader::assignment_log) struct SegmentSlots {
    /// Live segments, oldest first.
    live: VecDeque<LiveSegment>,
    /// Slots without a live segment, the oldest segment first.
    reusable: VecDeque<Slot>,
    /// How many slots there are.
    count: u32,
    next_sequence: u64,
}

impl SegmentSlots {
    /// Adds a segment that was read from the store. Segments must be restored oldest first.
    pub fn restore(&mut self, segment: LiveSegment) {
        self.count = self.count.max(segment.slot.number + 1);
        self.next_sequence = self.next_sequence.max(segment.sequence + 1);
        self.live.push_back(segment);
    }

    /// Adds a segment that was committed.
    pub fn push(&mut self, segment: LiveSegment) {
        self.live.push_back(segment);
    }

    /// The live segments, oldest first.
    pub fn live(&self) -> &VecDeque<LiveSegment> {
        &self.live
    }

    /// Takes the next slot to write: the oldest reusable one, or else a new one.
    pub fn allocate(&mut self) -> Slot {
        self.reusable.pop_front().unwrap_or_else(|| {
            let slot = Slot { number: self.count, version: 0 };
            self.count += 1;
            slot
        })
    }

    /// The sequence number of the next segment.
    pub fn next_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    /// Gives back allocated slots that were not written, in the order of their allocation.
    pub fn roll_back(&mut self, slots: impl DoubleEndedIterator<Item = Slot>) {
        for slot in slots.rev() {
            self.reusable.push_front(slot);
        }
    }

    /// Makes the slots of the oldest segments reusable, up to the first segment that still holds
    /// the newest record of something.
    pub fn reclaim(&mut self, records: LeaderRecords<'_>) {
        while let Some(mut oldest) = self.live.pop_front() {
            oldest.trim(records);
            if oldest.is_obsolete() {
                self.reusable.push_back(oldest.slot);
            } else {
                self.live.push_front(oldest);
                break;
            }
        }
    }
}
