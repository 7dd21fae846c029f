//! A transaction under construction: its size, its segments and its preconditions.

use super::{
    in_flight::{CommitMarker, InFlightSegment, InFlightTransaction},
    slots::{ProgressPageRef, SegmentSlots},
};
use crate::{assignment_log::SegmentWriter, keys};
use gladekeel_wire::store::{Precondition, Transaction, Write};
use serde::Serialize;

/// Maximum size of a transaction in bytes. The store accepts up to 64 KiB.
const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// Upper bound of the bytes that a precondition adds to a transaction, without its key.
const PRECONDITION_OVERHEAD_BYTES: usize = 40;
/// Upper bound of the bytes that a put adds to a transaction, without its key and value.
const PUT_OVERHEAD_BYTES: usize = 40;
/// Upper bound of the bytes that a delete adds to a transaction, without its key.
const DELETE_OVERHEAD_BYTES: usize = 20;

/// A segment to which rows can still be added, and a record of its contents.
#[derive(Debug, Default)]
pub(super) struct OpenSegment {
    pub writer: SegmentWriter,
    pub contents: InFlightSegment,
}

/// A transaction under construction, with limits on its operations and bytes.
///
/// Slots are allocated to the segments of the transaction only at the end, in [`WriteBatch::seal`].
#[derive(Debug)]
pub(super) struct WriteBatch {
    /// The contents of the transaction so far, except the segments.
    pub contents: InFlightTransaction,
    transaction: Transaction,
    segments: Vec<OpenSegment>,
    /// Estimated size of the transaction without the segments, in bytes.
    bytes: usize,
    max_ops: usize,
    reserved_ops: usize,
    segment_capacity: usize,
}

impl WriteBatch {
    /// Creates an empty batch of at most `max_ops` operations, with segments of at most
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

    /// Sets the number of operations that are reserved for later writes and cannot be used until
    /// the next call of this function.
    pub fn set_reserved_ops(&mut self, ops: usize) {
        self.reserved_ops = ops;
    }

    /// Returns how many more operations may be added, not counting the reserved operations.
    pub fn ops_left(&self) -> usize {
        self.max_ops.saturating_sub(self.ops() + self.reserved_ops)
    }

    /// Whether `ops` more operations may be added, not counting the reserved operations.
    pub fn allows_ops(&self, ops: usize) -> bool {
        ops <= self.ops_left()
    }

    /// Returns the number of operations in the batch.
    pub fn ops(&self) -> usize {
        self.transaction.writes.len() + self.segments.len()
    }

    /// Whether `ops` more operations may be added, and the size of the transaction is still below
    /// its limit.
    pub fn fits(&self, ops: usize) -> bool {
        let segment_bytes = self.segments.len() * self.segment_text_bytes();
        self.allows_ops(ops) && self.bytes + segment_bytes < MAX_TRANSACTION_BYTES
    }

    /// Returns a segment with capacity for `bytes` more bytes, opening a new segment if necessary.
    /// Returns `None` if the batch cannot take another segment.
    pub fn segment_with_capacity(&mut self, bytes: usize) -> Option<&mut OpenSegment> {
        let is_full = |segment: &OpenSegment| segment.writer.size() + bytes > self.segment_capacity;
        if self.segments.last().is_none_or(is_full) {
            if !self.fits_segment() {
                return None;
            }
            self.segments.push(OpenSegment::default());
        }
        self.segments.last_mut()
    }

    /// Whether one more segment fits into the batch. The size of the first segment is not checked,
    /// since a transaction limit smaller than one segment would otherwise block all log writes.
    fn fits_segment(&self) -> bool {
        let segment_bytes = (self.segments.len() + 1) * self.segment_text_bytes();
        let is_first = self.segments.is_empty();
        self.fits(1) && (is_first || self.bytes + segment_bytes <= MAX_TRANSACTION_BYTES)
    }

    /// Returns the size of a full segment's text in bytes: base64 encodes three bytes as four
    /// characters.
    fn segment_text_bytes(&self) -> usize {
        self.segment_capacity * 4 / 3
    }

    /// Whether a segment of this batch records a progress page in whole.
    pub fn has_whole_page(&self, page: ProgressPageRef) -> bool {
        self.segments.iter().any(|segment| segment.contents.whole_pages.contains(&page))
    }

    /// Adds the precondition that the current version of `key` is `version`; 0 means that the key
    /// must not exist.
    pub fn require(&mut self, key: String, version: u64) {
        self.bytes += key.len() + PRECONDITION_OVERHEAD_BYTES;
        self.transaction.preconditions.push(Precondition { key, version });
    }

    /// Adds a write of a value to `key`, with the precondition that the current version of `key` is
    /// `version`.
    pub fn put<T: Serialize>(&mut self, key: String, version: u64, value: &T) {
        let value = serde_json::to_value(value).expect("stored types always serialise");
        self.bytes += key.len() + value.to_string().len() + PUT_OVERHEAD_BYTES;
        self.require(key.clone(), version);
        self.transaction.writes.push(Write::Put { key, value, lease: None });
    }

    /// Adds the deletion of `key`, with the precondition that its current version is `version`.
    pub fn delete(&mut self, key: String, version: u64) {
        self.bytes += key.len() + DELETE_OVERHEAD_BYTES;
        self.require(key.clone(), version);
        self.transaction.writes.push(Write::Delete { key });
    }

    /// Allocates slots to the segments, and returns the finished transaction and a record of its
    /// contents.
    pub fn seal(mut self, slots: &mut SegmentSlots) -> (Transaction, InFlightTransaction) {
        for OpenSegment { writer, mut contents } in std::mem::take(&mut self.segments) {
            let segment = &mut contents.segment;
            segment.slot = slots.allocate();
            segment.sequence = slots.next_sequence();
            let key = keys::log_slot(segment.slot.number);
            let text = writer.encode(segment.sequence);
            self.put(key.clone(), segment.slot.version, &text);
            self.contents.commit_marker.get_or_insert(CommitMarker { key, text });
            self.contents.segments.push(contents);
        }
        self.contents.writes = self.transaction.writes.len();
        (self.transaction, self.contents)
    }
}
