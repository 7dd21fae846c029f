//! A transaction in the making: its size, its segments and its preconditions.

use super::{
    in_flight::{CommitMarker, InFlightSegment, InFlightTransaction},
    slots::{ProgressPageRef, SegmentSlots},
};
use crate::{assignment_log::SegmentWriter, keys};
use gladekeel_wire::store::{Precondition, Transaction, Write};
use serde::Serialize;

/// Bytes of a transaction; the store takes 64 KiB.
const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// Upper bound of what a precondition adds besides its key.
const PRECONDITION_OVERHEAD_BYTES: usize = 40;
/// Upper bound of what a put adds besides its key and value.
const PUT_OVERHEAD_BYTES: usize = 40;
/// Upper bound of what a delete adds besides its key.
const DELETE_OVERHEAD_BYTES: usize = 20;

/// A segment that rows are added to, and what it contains.
#[derive(Debug, Default)]
pub(super) struct OpenSegment {
    pub writer: SegmentWriter,
    pub contents: InFlightSegment,
}

/// A transaction in the making, within limits of operations and bytes.
///
/// Its segments get their slots last, in [`WriteBatch::seal`].
#[derive(Debug)]
pub(super) struct WriteBatch {
    /// What the transaction contains so far, besides the segments.
    pub contents: InFlightTransaction,
    transaction: Transaction,
    segments: Vec<OpenSegment>,
    /// Estimate of the transaction's size without the segments.
    bytes: usize,
    max_ops: usize,
    reserved_ops: usize,
    segment_capacity: usize,
}

impl WriteBatch {
    /// An empty one, of at most `max_ops` operations and with segments of at most
    /// `segment_capacity` bytes.
    pub fn new(max_ops: usize, segment_capacity: usize) -> WriteBatch {
        WriteBatch {
            contents: InFlightTransaction::default(),
            transaction: Transaction::default(),
            segments: Vec::new(),
            bytes: 0,
            max_ops,
            reserved_ops: 0,
            segment_capacity,
        }
    }

    /// Reserves operations for what is added after the next call of this.
    pub fn reserve_ops(&mut self, ops: usize) {
        self.reserved_ops = ops;
    }

    /// How many more operations there may be, besides those that are reserved.
    pub fn ops_left(&self) -> usize {
        self.max_ops.saturating_sub(self.ops() + self.reserved_ops)
    }

    /// Whether this many more operations are allowed.
    pub fn allows_ops(&self, ops: usize) -> bool {
        ops <= self.ops_left()
    }

    /// How many operations it has.
    pub fn ops(&self) -> usize {
        self.transaction.writes.len() + self.segments.len()
    }

    /// Whether this many more operations are allowed, and the transaction is not full.
    pub fn fits(&self, ops: usize) -> bool {
        let segment_bytes = self.segments.len() * self.segment_text_bytes();
        self.allows_ops(ops) && self.bytes + segment_bytes < MAX_TRANSACTION_BYTES
    }

    /// A segment that has room for this many more bytes; none if the batch has not.
    pub fn segment_with_room(&mut self, bytes: usize) -> Option<&mut OpenSegment> {
        let is_full = |segment: &OpenSegment| segment.writer.size() + bytes > self.segment_capacity;
        if self.segments.last().is_none_or(is_full) {
            if !self.fits_segment() {
                return None;
            }
            self.segments.push(OpenSegment::default());
        }
        self.segments.last_mut()
    }

    /// Whether one more segment fits. The first one does whatever its size, so that a small limit
    /// of transactions does not stop everything.
    fn fits_segment(&self) -> bool {
        let segment_bytes = (self.segments.len() + 1) * self.segment_text_bytes();
        let is_first = self.segments.is_empty();
        self.fits(1) && (is_first || self.bytes + segment_bytes <= MAX_TRANSACTION_BYTES)
    }

    /// Bytes of a full segment's text: base64 writes three bytes as four characters.
    fn segment_text_bytes(&self) -> usize {
        self.segment_capacity * 4 / 3
    }

    /// Whether a segment of this batch records a page of progress whole.
    pub fn has_whole_page(&self, page: ProgressPageRef) -> bool {
        self.segments.iter().any(|segment| segment.contents.whole_pages.contains(&page))
    }

    /// Requires that a key has this version; 0 if it must not exist.
    pub fn require(&mut self, key: String, version: u64) {
        self.bytes += key.len() + PRECONDITION_OVERHEAD_BYTES;
        self.transaction.preconditions.push(Precondition { key, version });
    }

    /// Stores a value under a key that has this version.
    pub fn put<T: Serialize>(&mut self, key: String, version: u64, value: &T) {
        let value = serde_json::to_value(value).expect("stored types always serialise");
        self.bytes += key.len() + value.to_string().len() + PUT_OVERHEAD_BYTES;
        self.require(key.clone(), version);
        self.transaction.writes.push(Write::Put { key, value, lease: None });
    }

    /// Removes a key that has this version.
    pub fn delete(&mut self, key: String, version: u64) {
        self.bytes += key.len() + DELETE_OVERHEAD_BYTES;
        self.require(key.clone(), version);
        self.transaction.writes.push(Write::Delete { key });
    }

    /// Gives the segments their slots, and ends the batch.
    pub fn seal(mut self, slots: &mut SegmentSlots) -> (Transaction, InFlightTransaction) {
        for OpenSegment { writer, mut contents } in std::mem::take(&mut self.segments) {
            let segment = &mut contents.segment;
            segment.slot = slots.allocate();
            segment.sequence = slots.next_sequence();
            let key = keys::log(segment.slot.number);
            let text = writer.encode(segment.sequence);
            self.put(key.clone(), segment.slot.version, &text);
            self.contents.commit_marker.get_or_insert(CommitMarker { key, text });
            self.contents.segments.push(contents);
        }
        self.contents.writes = self.transaction.writes.len();
        (self.transaction, self.contents)
    }
}
