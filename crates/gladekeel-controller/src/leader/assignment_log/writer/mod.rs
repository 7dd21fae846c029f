//! The log writer, which turns pending writes into transactions. One transaction is in flight at a
//! time.
//!
//! A transaction contains releases before assignments. A new assignment of a task is decided only
//! after the release of its previous attempt is committed. The final state of a job is committed
//! together with the job's last release or later.
//!
//! Slots are overwritten in the order of their segments, oldest first. A slot may be overwritten
//! once its segment no longer holds the newest record of any attempt or progress page. Compaction
//! copies old records that are still the newest into new segments, so that the log stays short
//! ("The assignment log" in `docs/safety.md`).

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

/// Of every `FINAL_STATE_DIVISOR` operations of a transaction, one is reserved for final states.
const FINAL_STATE_DIVISOR: usize = 4;
/// Estimated size of a pending assignment in a segment, in bytes, with which the writer plans a
/// transaction. The estimate is above the 16 bytes of an encoded assignment row, which does not
/// include the names of the job and the machine.
const ASSIGNMENT_ROW_BYTES: usize = 36;
/// Approximate size of an assignment in a segment, including its share of the names, in bytes.
const NAMED_ASSIGNMENT_BYTES: usize = 48;
/// Approximate size of a release in a segment, in bytes.
const RELEASE_ROW_BYTES: usize = 18;
/// The number of operations that must still be available in a transaction for housekeeping to be
/// added.
const MIN_HOUSEKEEPING_OPS: usize = 2;
/// Rate-limit tokens that must be left over after a transaction for housekeeping to be added to
/// that transaction.
const HOUSEKEEPING_SPARE_TOKENS: f64 = 4.0;
/// Expected share of the store's write rate that is available for assignments.
const ASSIGNMENT_WRITE_SHARE: f64 = 0.6;
/// However slow the store is, a scheduling cycle may propose assignments until this many are
/// pending.
const MIN_CYCLE_ASSIGNMENTS: usize = 200;
/// However fast the store is, a scheduling cycle proposes no more assignments once this many are
/// pending.
const MAX_CYCLE_ASSIGNMENTS: usize = 4000;

/// The parts of the leader's state that the log writer reads.
#[derive(Clone, Copy)]
pub(in crate::leader) struct LeaderRecords<'a> {
    pub jobs: &'a BTreeMap<JobIdx, Job>,
    pub job_names: &'a Interner<JobId, JobIdx>,
    pub machine_names: &'a Interner<String, MachineIdx>,
    pub attempts: &'a AttemptTable,
}

impl LeaderRecords<'_> {
    /// Whether the segment with sequence number `sequence` is the newest one that assigns attempt
    /// `id`.
    fn is_newest_assignment(&self, sequence: u64, id: AttemptId) -> bool {
        self.attempts.get(id).is_some_and(|attempt| attempt.segment == sequence)
    }

    /// Whether the segment with this sequence number may hold the newest record of a progress page:
    /// the job has no final state, and no newer segment records the page in whole.
    fn is_newest_record(&self, sequence: u64, page: ProgressPageRef) -> bool {
        self.jobs.get(&page.job).is_some_and(|job| {
            let recorded_by = job.progress_segments.get(&page.page);
            job.final_state.is_none() && recorded_by.is_none_or(|newest| *newest <= sequence)
        })
    }
}

/// Versions of the keys that only the leader overwrites or removes.
#[derive(Debug, Default)]
struct KeyVersions {
    /// Versions of the keys that store parts of the machine types, by part number.
    machine_types: BTreeMap<u32, u64>,
    /// Versions of the drain order keys, by machine name.
    drains: BTreeMap<String, u64>,
}

/// Owns the pending writes, the slots of the log, and the transaction in flight.
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
    /// Creates a writer without pending writes, before the log is replayed.
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

    /// Returns the pending writes, to which the caller may add further writes.
    pub fn pending(&mut self) -> &mut PendingWrites {
        &mut self.pending
    }

    /// Returns the number of live segments.
    pub fn segment_count(&self) -> usize {
        self.slots.live().len()
    }

    /// Records the version of a drain order's key; `None` if the key was removed.
    pub fn set_drain_version(&mut self, machine: &str, version: Option<u64>) {
        match version {
            Some(version) => self.versions.drains.insert(machine.to_owned(), version),
            None => self.versions.drains.remove(machine),
        };
    }

    /// Returns how many more assignments a scheduling cycle should propose: about as many as can be
    /// written in one second, minus the proposed assignments that are already pending.
    pub fn max_new_assignments(&self, deployment: &Deployment) -> usize {
        let capacity = self.limits.segment_capacity as f64;
        let bytes_per_s = capacity * deployment.store.write_rps * ASSIGNMENT_WRITE_SHARE;
        ((bytes_per_s / NAMED_ASSIGNMENT_BYTES as f64) as usize)
            .clamp(MIN_CYCLE_ASSIGNMENTS, MAX_CYCLE_ASSIGNMENTS)
            .saturating_sub(self.pending.proposed.len())
    }

    /// Adds a segment that was read from the store. The caller must add segments oldest first.
    pub(super) fn restore_segment(&mut self, segment: LiveSegment) {
        self.slots.restore(segment);
    }

    /// Makes the slots of old segments reusable, from the oldest segment up to, but not including,
    /// the first one that still holds the newest record of an attempt or progress page.
    pub(super) fn reclaim_slots(&mut self, records: LeaderRecords<'_>) {
        self.slots.reclaim(records);
    }

    /// Returns the next transaction, if one is due: no transaction is in flight, the delay after
    /// the previous one has passed, writes are pending, and the rate limit allows enough of them.
    /// The leader's `token` is a precondition of the transaction.
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
        self.timer.record_sent(now);
        self.in_flight = Some(in_flight);
        Some(transaction)
    }

    /// Adds pending writes to a batch. Under load, releases, assignments and final states each get
    /// a share of the batch: without releases no resources become free, without assignments
    /// machines stay idle, and users wait for final states.
    fn fill(
        &self,
        mut batch: WriteBatch,
        now: f64,
        records: LeaderRecords<'_>,
        budget: &mut TokenBucket,
    ) -> WriteBatch {
        batch.set_reserved_ops(self.ops_for_final_states(batch.ops_left()));
        let release_bytes = self.release_bytes(&batch);
        let mut builder = BatchBuilder { batch, writer: self, records };
        let releases_fit = builder.add_releases(release_bytes);
        let proposals_fit = builder.add_proposals();
        builder.batch.set_reserved_ops(0);
        let final_states_fit = builder.add_final_states();
        if releases_fit && proposals_fit && final_states_fit {
            builder.compact();
            if allows_housekeeping(&builder.batch, now, budget) {
                builder.add_housekeeping();
            }
        }
        builder.batch
    }

    /// Returns the number of operations needed to write all pending releases, assignments and final
    /// states.
    fn wanted_ops(&self) -> usize {
        let releases = self.pending.released.len() * RELEASE_ROW_BYTES;
        let assignments = self.pending.proposed.len() * ASSIGNMENT_ROW_BYTES;
        let segments = (releases + assignments).div_ceil(self.limits.segment_capacity.max(1));
        segments + self.pending.completed_jobs.len()
    }

    /// Returns the number of operations reserved for final states. A transaction limited to one
    /// operation reserves none, since releases would otherwise never be written.
    fn ops_for_final_states(&self, max_ops: usize) -> usize {
        if max_ops <= 1 {
            return 0;
        }
        self.pending.completed_jobs.len().min((max_ops / FINAL_STATE_DIVISOR).max(1))
    }

    /// Returns the number of bytes that releases may take in a batch: half of the bytes of its
    /// segments, or all bytes that the pending assignments do not need, whichever is more.
    fn release_bytes(&self, batch: &WriteBatch) -> usize {
        let total = batch.ops_left() * self.limits.segment_capacity;
        let assignments = self.pending.proposed.len() * ASSIGNMENT_ROW_BYTES;
        (total / 2).max(total.saturating_sub(assignments))
    }

    /// Returns the commit marker of the transaction in flight. `None` if no transaction is in
    /// flight, or if it contains no segment.
    pub(super) fn commit_marker(&self) -> Option<&CommitMarker> {
        self.in_flight.as_ref()?.commit_marker.as_ref()
    }

    /// Whether the transaction in flight contains the assignment of this proposed attempt.
    pub(super) fn is_in_flight(&self, id: AttemptId) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.proposed.contains(&id))
    }

    /// Removes and returns the transaction in flight. Called when the outcome of its commit request
    /// arrives.
    pub(super) fn take_in_flight(&mut self) -> Option<InFlightTransaction> {
        self.in_flight.take()
    }

    /// Applies the commit of a transaction. `revision` is the new version of every key that the
    /// transaction wrote.
    pub(super) fn apply_commit(&mut self, transaction: InFlightTransaction, revision: u64) {
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

    /// Removes the contents of a committed transaction from the pending writes.
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

    /// Rolls back a transaction that was not executed and never will be. Its slots become reusable,
    /// and its writes remain pending, so that they are retried in the next transaction.
    pub(super) fn roll_back(&mut self, now: f64, transaction: InFlightTransaction) {
        let segments = transaction.segments.into_iter();
        self.slots.roll_back(segments.map(|segment| segment.segment.slot));
        self.timer.record_failure(now);
    }

    /// Rolls back a transaction that the store refused as too large, and halves the limits.
    pub(super) fn roll_back_oversized(&mut self, now: f64, transaction: InFlightTransaction) {
        self.limits.halve(transaction.writes);
        self.roll_back(now, transaction);
    }
}

/// Whether housekeeping may be added to a batch. Housekeeping is deferred until the rate limit
/// clearly leaves enough tokens for all other writes.
fn allows_housekeeping(batch: &WriteBatch, now: f64, budget: &mut TokenBucket) -> bool {
    batch.allows_ops(MIN_HOUSEKEEPING_OPS)
        && budget.can_take(now, HOUSEKEEPING_SPARE_TOKENS + batch.ops() as f64)
}
