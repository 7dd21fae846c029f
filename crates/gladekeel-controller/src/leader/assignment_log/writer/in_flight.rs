//! The contents of the transaction in flight.

use super::slots::{LiveSegment, ProgressPageRef};
use crate::leader::AttemptId;
use gladekeel_sched::JobIdx;
use std::collections::BTreeSet;

/// The contents of a transaction that was sent and whose outcome is not yet known.
#[derive(Debug, Default)]
pub(in crate::leader::assignment_log) struct InFlightTransaction {
    /// Segments that the transaction writes, in the order of their sequence numbers.
    pub segments: Vec<InFlightSegment>,
    /// Proposed attempts whose assignments the transaction contains.
    pub proposed: BTreeSet<AttemptId>,
    /// Attempts whose releases the transaction contains.
    pub released: BTreeSet<AttemptId>,
    /// Completed jobs whose final state the transaction writes.
    pub completed_jobs: Vec<JobIdx>,
    /// Jobs whose keys the transaction removes.
    pub removed_jobs: Vec<JobIdx>,
    /// Names of machines whose drain orders the transaction removes.
    pub removed_drains: Vec<String>,
    /// Number of parts in which the transaction stores the machine types; `None` if it does not
    /// store them.
    pub machine_type_parts: Option<u32>,
    /// Number of keys that the transaction writes or deletes.
    pub writes: usize,
    /// The evidence in the store that the transaction was committed; `None` if the transaction
    /// contains no segment.
    pub commit_marker: Option<CommitMarker>,
}

/// A segment in flight.
#[derive(Debug, Default)]
pub(in crate::leader::assignment_log) struct InFlightSegment {
    /// The segment. The version in its `slot` is the one that the slot's key had before the
    /// transaction.
    pub segment: LiveSegment,
    /// The progress pages that the segment records in whole, so that no older segment is needed for
    /// these pages.
    pub whole_pages: Vec<ProgressPageRef>,
}

/// The key and text of the first segment of a transaction. The key has this text if and only if the
/// transaction was committed, since nobody else writes the key under the leader's token.
#[derive(Debug)]
pub struct CommitMarker {
    /// The key of the segment's slot.
    pub key: String,
    /// The encoded text of the segment.
    pub text: String,
}
