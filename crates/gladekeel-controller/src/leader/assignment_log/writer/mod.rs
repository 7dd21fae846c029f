//! The log writer: it turns pending writes into transactions, one in flight at a time.
//!
//! A transaction carries releases before assignments. A task's new assignment is decided only
//! after the release of the one before is committed, and a job is called done only with its
//! last release or later.
//!
//! Slots are overwritten oldest segment first, once none of their records is the newest of its
//! attempt or progress page. Compaction copies old records that still are into new segments, so
//! that the log stays short ("The log" in `docs/safety.md`).

mod batch;
mod batch_builder;
mod in_flight;
mod limits;
mod pending;
mod slots;

use crate::{
    keys,
    leader::{AttemptId, Job, attempt_table::AttemptTable},
    store_view::StoreView,
};
use batch::WriteBatch;
use batch_builder::BatchBuilder;
use gladekeel_sched::{Interner, JobIdx, MachineIdx};
use gladekeel_store::TokenBucket;
use gladekeel_wire::{JobId, settings::Deployment, store::Transaction};
pub use in_flight::CommitMarker;
pub(super) use in_flight::{InFlightSegment, InFlightTransaction};
use limits::{GroupCommitTimer, TransactionLimits};
pub(in crate::leader) use pending::PendingWrites;
use slots::SegmentSlots;
pub(super) use slots::{LiveSegment, ProgressPageRef, Slot};
use std::collections::BTreeMap;

/// One of this many operations of a transaction is reserved for final states.
const FINAL_STATE_SHARE: usize = 4;
/// About what an assignment takes of a segment if its job and machine are in it already.
const ASSIGNMENT_ROW_BYTES: usize = 36;
/// About what an assignment takes of a segment with its part of the names.
const NAMED_ASSIGNMENT_BYTES: usize = 48;
/// About what a release takes of a segment.
const RELEASE_ROW_BYTES: usize = 18;
/// Operations that must be left in a transaction for housekeeping.
const MIN_HOUSEKEEPING_OPS: usize = 2;
/// Rate-limit tokens that must be left after a transaction for housekeeping to be in it.
const HOUSEKEEPING_SPARE_TOKENS: f64 = 4.0;
/// Part of the store's write rate that assignments are expected to get.
const ASSIGNMENT_WRITE_SHARE: f64 = 0.6;
/// Bounds of the assignments that a scheduling cycle decides.
const MIN_CYCLE_ASSIGNMENTS: usize = 200;
const MAX_CYCLE_ASSIGNMENTS: usize = 4000;

/// What the log writer reads of the leader's state.
#[derive(Clone, Copy)]
pub(in crate::leader) struct LeaderRecords<'a> {
    pub jobs: &'a BTreeMap<JobIdx, Job>,
    pub job_names: &'a Interner<JobId, JobIdx>,
    pub machine_names: &'a Interner<String, MachineIdx>,
    pub attempts: &'a AttemptTable,
}

impl LeaderRecords<'_> {
    /// Whether the segment with this sequence number is the newest that assigns an attempt.
    fn is_newest_assignment(&self, sequence: u64, id: AttemptId) -> bool {
        self.attempts.get(id).is_some_and(|attempt| attempt.segment == sequence)
    }

    /// Whether the segment with this sequence number may hold the newest record of a page: the
    /// job is not final, and no newer segment records the page whole.
    fn is_newest_record(&self, sequence: u64, page: ProgressPageRef) -> bool {
        self.jobs.get(&page.job).is_some_and(|job| {
            let recorded_by = job.progress_segments.get(&page.page);
            job.final_state.is_none() && recorded_by.is_none_or(|newest| *newest <= sequence)
        })
    }
}

/// Versions of keys that only the leader overwrites or removes.
#[derive(Debug, Default)]
struct KeyVersions {
    /// By part.
    machine_types: BTreeMap<u32, u64>,
    /// By machine.
    drains: BTreeMap<String, u64>,
}

/// Owns what waits to be written, the slots of the log, and the transaction in flight.
#[derive(Debug, Default)]
pub(in crate::leader) struct AssignmentLogWriter {
    pending: PendingWrites,
    versions: KeyVersions,
    slots: SegmentSlots,
    limits: TransactionLimits,
    timer: GroupCommitTimer,
    in_flight: Option<InFlightTransaction>,
}

impl AssignmentLogWriter {
    /// A writer with nothing to write, before the log is replayed.
    pub fn new(deployment: &Deployment, store: &StoreView) -> AssignmentLogWriter {
        AssignmentLogWriter {
            versions: KeyVersions {
                machine_types: store.machine_types.versions(),
                drains: store.drain_orders.clone(),
            },
            limits: TransactionLimits::new(deployment),
            ..AssignmentLogWriter::default()
        }
    }

    /// What waits to be written, to add to it.
    pub fn pending(&mut self) -> &mut PendingWrites {
        &mut self.pending
    }

    /// How many segments are live.
    pub fn segment_count(&self) -> usize {
        self.slots.live().len()
    }

    /// Records the version of a drain order's key; none if the key is gone.
    pub fn set_drain_version(&mut self, machine: &str, version: Option<u64>) {
        match version {
            Some(version) => self.versions.drains.insert(machine.to_owned(), version),
            None => self.versions.drains.remove(machine),
        };
    }

    /// How many more assignments a scheduling cycle should decide: about what can be written in
    /// a second.
    pub fn max_new_assignments(&self, deployment: &Deployment) -> usize {
        let capacity = self.limits.segment_capacity as f64;
        let bytes_per_s = capacity * deployment.store.write_rps * ASSIGNMENT_WRITE_SHARE;
        ((bytes_per_s / NAMED_ASSIGNMENT_BYTES as f64) as usize)
            .clamp(MIN_CYCLE_ASSIGNMENTS, MAX_CYCLE_ASSIGNMENTS)
            .saturating_sub(self.pending.proposed.len())
    }

    /// Adds a segment that was read from the store. Segments must be added oldest first.
    pub(super) fn restore_segment(&mut self, segment: LiveSegment) {
        self.slots.restore(segment);
    }

    /// Makes slots reusable whose segments hold no newest record any more.
    pub(super) fn reclaim_slots(&mut self, records: LeaderRecords<'_>) {
        self.slots.reclaim(records);
    }

    /// The next transaction, if one is due: none is in flight, something waits, and the rate
    /// limit allows a transaction that is wide enough. It is guarded by the leader's `token`.
    pub(super) fn next_transaction(
        &mut self,
        now: f64,
        token: u64,
        records: LeaderRecords<'_>,
        budget: &mut TokenBucket,
    ) -> Option<Transaction> {
        if self.in_flight.is_some() || !self.timer.is_due(now) || self.pending.is_empty() {
            return None;
        }
        let max_ops = self.timer.allowed_ops(now, &self.limits, self.wanted_ops(), budget)?;
        let mut batch = WriteBatch::new(max_ops, self.limits.segment_capacity);
        batch.require(keys::LEADER.into(), token);
        let batch = self.fill(batch, now, records, budget);
        if batch.ops() == 0 {
            return None;
        }
        let (transaction, in_flight) = batch.seal(&mut self.slots);
        budget.try_take(now, in_flight.writes as f64);
        self.timer.sent(now);
        self.in_flight = Some(in_flight);
        Some(transaction)
    }

    /// Adds what waits. Under load releases, assignments and final states each have a part:
    /// without releases no resources come free, without assignments machines stand idle, and
    /// users wait for final states.
    fn fill(
        &self,
        mut batch: WriteBatch,
        now: f64,
        records: LeaderRecords<'_>,
        budget: &mut TokenBucket,
    ) -> WriteBatch {
        batch.reserve_ops(self.ops_for_final_states(batch.ops_left()));
        let release_bytes = self.release_bytes(&batch);
        let mut builder = BatchBuilder { batch, writer: self, records };
        let releases_fit = builder.add_releases(release_bytes);
        let proposals_fit = builder.add_proposals();
        builder.batch.reserve_ops(0);
        let final_states_fit = builder.add_final_states();
        if releases_fit && proposals_fit && final_states_fit {
            builder.compact();
            if allows_housekeeping(&builder.batch, now, budget) {
                builder.add_housekeeping();
            }
        }
        builder.batch
    }

    /// Operations that everything urgent would take.
    fn wanted_ops(&self) -> usize {
        let releases = self.pending.released.len() * RELEASE_ROW_BYTES;
        let assignments = self.pending.proposed.len() * ASSIGNMENT_ROW_BYTES;
        let segments = (releases + assignments).div_ceil(self.limits.segment_capacity.max(1));
        segments + self.pending.completed_jobs.len()
    }

    /// Operations that are reserved for final states. A transaction of one operation reserves
    /// none, or releases would never be written.
    fn ops_for_final_states(&self, max_ops: usize) -> usize {
        if max_ops <= 1 {
            return 0;
        }
        self.pending.completed_jobs.len().min((max_ops / FINAL_STATE_SHARE).max(1))
    }

    /// Bytes of a transaction that releases may take: half of them, or what assignments leave.
    fn release_bytes(&self, batch: &WriteBatch) -> usize {
        let all = batch.ops_left() * self.limits.segment_capacity;
        let assignments = self.pending.proposed.len() * ASSIGNMENT_ROW_BYTES;
        (all / 2).max(all.saturating_sub(assignments))
    }

    /// What shows that the transaction in flight was committed.
    pub(super) fn commit_marker(&self) -> Option<&CommitMarker> {
        self.in_flight.as_ref()?.commit_marker.as_ref()
    }

    /// Whether the transaction in flight commits a proposal.
    pub(super) fn is_in_flight(&self, id: AttemptId) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.proposed.contains(&id))
    }

    /// Takes out the transaction in flight once its outcome is known.
    pub(super) fn take_in_flight(&mut self) -> Option<InFlightTransaction> {
        self.in_flight.take()
    }

    /// The transaction was committed at a revision, which is the version of all that it wrote.
    pub(super) fn committed(&mut self, transaction: InFlightTransaction, revision: u64) {
        self.remove_committed(&transaction);
        for machine in &transaction.removed_drains {
            self.versions.drains.remove(machine);
        }
        if let Some(parts) = transaction.machine_type_parts {
            self.versions.machine_types = (0..parts).map(|part| (part, revision)).collect();
        }
        for InFlightSegment { mut segment, .. } in transaction.segments {
            segment.slot.version = revision;
            self.slots.push(segment);
        }
    }

    /// Removes from what waits what was committed.
    fn remove_committed(&mut self, transaction: &InFlightTransaction) {
        let pending = &mut self.pending;
        for job in &transaction.completed_jobs {
            pending.completed_jobs.remove(job);
        }
        for job in &transaction.removed_jobs {
            pending.removable_jobs.remove(job);
        }
        for machine in &transaction.removed_drains {
            pending.obsolete_drains.remove(machine);
        }
        if transaction.machine_type_parts.is_some() {
            pending.machine_types = None;
        }
        for id in &transaction.proposed {
            pending.proposed.remove(id);
        }
        for id in &transaction.released {
            pending.released.remove(id);
        }
    }

    /// The transaction was not executed, and never will be: its slots are given back, and what it
    /// contained goes into the next one.
    pub(super) fn roll_back(&mut self, now: f64, transaction: InFlightTransaction) {
        let segments = transaction.segments.into_iter();
        self.slots.roll_back(segments.map(|segment| segment.segment.slot));
        self.timer.failed(now);
    }

    /// The transaction was refused as too large.
    pub(super) fn roll_back_oversized(&mut self, now: f64, transaction: InFlightTransaction) {
        self.limits.halve(transaction.writes);
        self.roll_back(now, transaction);
    }
}

/// Housekeeping waits until the rate limit is plainly not needed for anything else.
fn allows_housekeeping(batch: &WriteBatch, now: f64, budget: &mut TokenBucket) -> bool {
    batch.allows_ops(MIN_HOUSEKEEPING_OPS)
        && budget.can_take(now, HOUSEKEEPING_SPARE_TOKENS + batch.ops() as f64)
}
