//! The transaction in flight.

use super::slots::{LiveSegment, ProgressPageRef};
use crate::leader::AttemptId;
use gladekeel_sched::JobIdx;
use std::collections::BTreeSet;

/// What a transaction in flight contains.
#[derive(Debug, Default)]
pub(in crate::leader::assignment_log) struct InFlightTransaction {
    /// Segments, in the order of their sequence numbers.
    pub segments: Vec<InFlightSegment>,
    /// Proposals that it commits.
    pub proposed: BTreeSet<AttemptId>,
    /// Releases that it commits.
    pub released: BTreeSet<AttemptId>,
    /// Jobs that it gives their final state.
    pub completed_jobs: Vec<JobIdx>,
    /// Jobs whose keys it removes.
    pub removed_jobs: Vec<JobIdx>,
    /// Machines whose drain orders it removes.
    pub removed_drains: Vec<String>,
    /// In how many parts it stores the machine types, if it does.
    pub machine_type_parts: Option<u32>,
    /// How many keys it writes or deletes.
    pub writes: usize,
    /// What shows that it was committed.
    pub commit_marker: Option<CommitMarker>,
}

/// A segment in flight.
#[derive(Debug, Default)]
pub(in crate::leader::assignment_log) struct InFlightSegment {
    /// The segment. Its slot has the version before the transaction.
    pub segment: LiveSegment,
    /// The pages of progress that it records whole, so that no older segment is needed for them.
    pub whole_pages: Vec<ProgressPageRef>,
}

/// The first segment of a transaction. It stands in its slot if and only if the transaction was
/// committed: nobody else writes there under the leader's token.
#[derive(Debug)]
pub struct CommitMarker {
    /// The key of the slot.
    pub key: String,
    /// The text of the segment.
    pub text: String,
}
