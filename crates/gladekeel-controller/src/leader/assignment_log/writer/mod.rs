//! Writing the leader's decisions to the store.
//!
//! One transaction is under way at a time. It carries segments of the log with what
//! has changed since the one before: releases first, so that no job is called done
//! before its last finish is stored, and a task's new place is decided only after
//! its release from the old one has been.
//!
//! Slots of the log are used again, oldest first, once nothing in them counts any
//! more. What has counted for long is told again in a new segment, so that the log
//! stays short; a slot with something in it that counts is never written over.

mod write_batch;

use crate::leader::token_renewal::TokenRenewalReason;
use crate::leader::{AssignmentPhase, AttemptId, Job, Leader, StopReason};
use crate::{assignment_log, keys, store_view::StoreView};
use gladekeel_sched::JobIdx;
use gladekeel_store::{StoreOutcome, TokenBucket};
use gladekeel_wire::{
    cloud::MachineTypes, job::JobState, settings::Deployment, store::Transaction,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use write_batch::WriteBatch;

/// Time between transactions: what comes in meanwhile goes together.
const GROUP_COMMIT_INTERVAL_S: f64 = 0.15;
/// How much longer a transaction waits for budget if there is more to write than the budget
/// allows: a wide one fills its segments, several narrow ones do not.
const WIDEN_S: f64 = 0.3;
/// One of so many operations of a transaction is kept for final states.
const FINISHED_PART: usize = 4;
/// About what an assignment takes of a segment.
const ASSIGNED_BYTES: usize = 36;
/// About what a release takes of a segment.
const RELEASED_BYTES: usize = 18;

/// Bytes of a segment at the least, however little the state service takes: a few rows.
const MIN_CAPACITY: usize = 256;

/// A slot of the log as it was read.
#[derive(Debug, Clone)]
pub struct LogRow {
    /// The slot.
    pub slot: u32,
    /// Its key's version.
    pub version: u64,
    /// Its segment.
    pub text: String,
}

/// A segment in use.
#[derive(Debug)]
struct LogSegment {
    slot: u32,
    version: u64,
    seq: u64,
    /// Attempts that it assigns.
    attempts: Vec<AttemptId>,
    /// Chunks of progress that it tells of, by job.
    chunks: Vec<(JobIdx, u32)>,
}

/// What is to be written, and what is under way.
#[derive(Debug, Default)]
pub(in crate::leader) struct AssignmentLogWriter {
    /// Proposed attempts.
    pub proposed: BTreeSet<AttemptId>,
    /// Attempts that are off their machines.
    pub released: BTreeSet<AttemptId>,
    /// Jobs whose tasks are all done.
    pub finished: BTreeSet<JobIdx>,
    /// Jobs that have a final state and nothing on any machine.
    pub cleared: BTreeSet<JobIdx>,
    /// Drain orders of machines that are gone, to clear away.
    pub drains: BTreeSet<String>,
    /// Machine types to write.
    pub types: Option<MachineTypes>,
    types_versions: BTreeMap<u32, u64>,
    drain_versions: BTreeMap<String, u64>,
    /// Segments in use, oldest first.
    segments: VecDeque<LogSegment>,
    /// Slots that may be used again, with their versions, the oldest segment first:
    /// so a release is never gone before the assignment that it ends.
    free: VecDeque<(u32, u64)>,
    slots: u32,
    next_seq: u64,
    /// Bytes of a segment.
    capacity: usize,
    /// Bytes of a value.
    value_bytes: usize,
    /// Puts and deletes of a transaction.
    max_ops: usize,
    sent: Option<InFlightTransaction>,
    not_before: f64,
}

/// A segment under way.
#[derive(Debug, Default)]
struct SentSegment {
    slot: u32,
    version: u64,
    seq: u64,
    attempts: Vec<AttemptId>,
    chunks: Vec<(JobIdx, u32)>,
    /// Those of the chunks that it tells whole.
    whole: Vec<(JobIdx, u32)>,
}

/// What a transaction under way contains.
#[derive(Debug, Default)]
pub(in crate::leader) struct InFlightTransaction {
    segments: Vec<SentSegment>,
    proposed: BTreeSet<AttemptId>,
    released: BTreeSet<AttemptId>,
    final_states: Vec<JobIdx>,
    cleared: Vec<JobIdx>,
    drains: Vec<String>,
    /// How many parts of the machine types, if it has them.
    types: Option<u32>,
    writes: usize,
    /// Key and text of the first segment: what shows that the transaction was made.
    commit_marker: Option<(String, String)>,
}

impl AssignmentLogWriter {
    pub fn new(deployment: &Deployment, store: &StoreView) -> AssignmentLogWriter {
        let value_bytes = (deployment.store.value_kb * 1024.0) as usize;
        AssignmentLogWriter {
            types_versions: store.machine_types.versions(),
            drain_versions: store.drain_orders.clone(),
            capacity: assignment_log::segment_capacity(value_bytes),
            value_bytes,
            max_ops: deployment.store.txn_ops,
            ..AssignmentLogWriter::default()
        }
    }

    /// Adds a segment that was read from the store; they come oldest first.
    pub fn add_segment(
        &mut self,
        slot: u32,
        version: u64,
        seq: u64,
        attempts: Vec<AttemptId>,
        chunks: Vec<(JobIdx, u32)>,
    ) {
        self.segments.push_back(LogSegment { slot, version, seq, attempts, chunks });
        self.slots = self.slots.max(slot + 1);
        self.next_seq = self.next_seq.max(seq + 1);
    }

    /// How many segments are in use.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Operations that everything which waits would take.
    fn wanted_ops(&self) -> usize {
        let rows = self.released.len() * RELEASED_BYTES + self.proposed.len() * ASSIGNED_BYTES;
        rows.div_ceil(self.capacity.max(1)) + self.finished.len()
    }

    /// Bytes of a transaction that releases may take: half of them, or what starts leave.
    fn release_bytes(&self, draft: &WriteBatch) -> usize {
        let all = draft.ops_left() * self.capacity;
        (all / 2).max(all.saturating_sub(self.proposed.len() * ASSIGNED_BYTES))
    }

    /// How many more assignments a round should decide: about what can be written
    /// in a second.
    pub fn batch(&self, deployment: &Deployment) -> usize {
        let row = 48.0;
        let bytes = (self.capacity as f64) * deployment.store.write_rps * 0.6;
        ((bytes / row) as usize).clamp(200, 4000).saturating_sub(self.proposed.len())
    }

    /// A transaction of so many writes was too large: the next ones have half as many, of
    /// half the size.
    fn shrink(&mut self, writes: usize) {
        self.max_ops = (writes / 2).max(1);
        self.capacity = (self.capacity / 2).max(MIN_CAPACITY);
        self.value_bytes = (self.value_bytes / 2).max(MIN_CAPACITY);
        tracing::warn!(
            max_ops = self.max_ops,
            bytes = self.capacity,
            "the state service takes less than its settings say: writing less at once"
        );
    }

    fn idle(&self) -> bool {
        self.proposed.is_empty()
            && self.released.is_empty()
            && self.finished.is_empty()
            && self.cleared.is_empty()
            && self.drains.is_empty()
            && self.types.is_none()
    }
}

impl Leader {
    pub(in crate::leader) fn build_commit(
        &mut self,
        now: f64,
        budget: &mut TokenBucket,
    ) -> Option<Transaction> {
        if self.log_writer.sent.is_some()
            || self.token_renewal.is_required()
            || now < self.log_writer.not_before
            || self.log_writer.idle()
        {
            return None;
        }
        // Short of budget, wait: what gathers meanwhile makes the next one wider.
        let level = budget.available(now);
        if level < 1.0 {
            return None;
        }
        let max_ops = self.log_writer.max_ops.min(level as usize);
        let most_ops = self.log_writer.max_ops.min(budget.burst() as usize);
        let wanted_ops = self.log_writer.wanted_ops().min(most_ops);
        if max_ops < wanted_ops && now < self.log_writer.not_before + WIDEN_S {
            return None;
        }
        let mut draft = WriteBatch::new(max_ops, self.log_writer.capacity);
        draft.guard(keys::LEADER.into(), self.token);
        // Each of the three has its part under load: without releases no room comes free,
        // without starts machines stand idle, and users wait for final states.
        let for_finished = self.log_writer.finished.len().min((max_ops / FINISHED_PART).max(1));
        draft.reserve(if max_ops > 1 { for_finished } else { 0 });
        let release_bytes = self.log_writer.release_bytes(&draft);
        let releases_fit = self.draft_released(&mut draft, release_bytes);
        let starts_fit = self.draft_proposed(&mut draft);
        draft.reserve(0);
        let whole = self.draft_finished(&mut draft) && releases_fit && starts_fit;
        if whole {
            self.draft_cleaning(&mut draft);
            // Clearing away waits until the budget is plainly not needed.
            if draft.allows(2) && budget.can_take(now, 4.0 + draft.ops() as f64) {
                self.draft_clearing(&mut draft);
            }
        }
        if draft.ops() == 0 {
            return None;
        }
        self.seal(&mut draft);
        budget.try_take(now, draft.sent.writes as f64);
        self.log_writer.not_before = now + GROUP_COMMIT_INTERVAL_S;
        self.log_writer.sent = Some(draft.sent);
        Some(draft.txn)
    }

    /// Frees the oldest segments as far as nothing in them counts any more.
    pub(in crate::leader) fn reclaim(&mut self) {
        while let Some(mut oldest) = self.log_writer.segments.pop_front() {
            while oldest.attempts.pop_if(|id| !self.assigns(oldest.seq, *id)).is_some() {}
            while oldest
                .chunks
                .pop_if(|(job, chunk)| !self.tells(oldest.seq, *job, *chunk))
                .is_some()
            {}
            if oldest.attempts.is_empty() && oldest.chunks.is_empty() {
                self.log_writer.free.push_back((oldest.slot, oldest.version));
            } else {
                self.log_writer.segments.push_front(oldest);
                break;
            }
        }
    }

    /// Sets the version of a drain order's key.
    pub(in crate::leader) fn set_drain_version(&mut self, machine: &str, version: Option<u64>) {
        match version {
            Some(version) => self.log_writer.drain_versions.insert(machine.to_owned(), version),
            None => self.log_writer.drain_versions.remove(machine),
        };
    }

    /// Where to look whether the transaction under way was made, and what is there then.
    pub fn commit_marker(&self) -> Option<&(String, String)> {
        self.log_writer.sent.as_ref()?.commit_marker.as_ref()
    }

    /// Applies the outcome of the transaction under way. Returns whether the store
    /// should be read at once.
    pub fn commit_answered(&mut self, now: f64, outcome: &StoreOutcome) -> bool {
        let Some(sent) = self.log_writer.sent.take() else { return false };
        match outcome {
            StoreOutcome::Committed(revision) => {
                self.committed(now, sent, *revision);
                false
            }
            StoreOutcome::RateLimited | StoreOutcome::Unavailable => {
                // Not executed: the same changes go into the next transaction.
                self.undo(sent);
                self.log_writer.not_before = now + 0.25;
                false
            }
            // A commit puts nothing on a lease, so what was refused is its size: the limits
            // are lower than the settings say. Nothing was done.
            StoreOutcome::LeaseNotFound => {
                self.log_writer.shrink(sent.writes);
                self.undo(sent);
                self.log_writer.not_before = now + 0.25;
                false
            }
            StoreOutcome::Conflict(failed) => {
                let theirs = |key: &String| {
                    [keys::FINAL_STATE_PREFIX, keys::JOB_PREFIX, keys::DRAIN_PREFIX]
                        .iter()
                        .any(|own| key.starts_with(own))
                };
                self.undo(sent);
                self.log_writer.not_before = now + 0.25;
                // A job that was cancelled meanwhile is somebody else's write; anything
                // else means that the leader's picture of the store is wrong.
                if failed.is_empty() || !failed.iter().all(theirs) {
                    self.token_renewal.require(TokenRenewalReason::UnexpectedConflict);
                }
                true
            }
            _ => {
                // No answer: it may apply at any later time. A new token makes it fail
                // if it has not yet, and the store is read again after that.
                self.token_renewal.require(TokenRenewalReason::UnansweredCommit);
                true
            }
        }
    }

    /// Gives the slots back, in their order.
    fn undo(&mut self, sent: InFlightTransaction) {
        for segment in sent.segments.into_iter().rev() {
            self.log_writer.free.push_front((segment.slot, segment.version));
        }
    }

    fn committed(&mut self, now: f64, sent: InFlightTransaction, revision: u64) {
        self.cluster.counters.commits += 1;
        self.cluster.counters.writes += sent.writes as u64;
        for ix in sent.final_states {
            self.final_state_committed(now, ix);
        }
        for ix in sent.cleared {
            self.log_writer.cleared.remove(&ix);
            self.jobs.remove(&ix);
        }
        for machine in sent.drains {
            self.log_writer.drains.remove(&machine);
            self.log_writer.drain_versions.remove(&machine);
        }
        if let Some(parts) = sent.types {
            self.log_writer.types_versions = (0..parts).map(|part| (part, revision)).collect();
            self.log_writer.types = None;
        }
        for segment in sent.segments {
            self.segment_committed(segment, revision);
        }
        for id in sent.proposed {
            self.assignment_committed(id);
        }
        for id in sent.released {
            self.log_writer.released.remove(&id);
            if let Some(AssignmentPhase::Releasing(end)) = self.attempts.get(id).map(|a| a.phase) {
                self.remove_attempt(id, end, now);
            }
        }
        self.reclaim();
    }

    fn final_state_committed(&mut self, now: f64, ix: JobIdx) {
        self.log_writer.finished.remove(&ix);
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        job.final_state = Some(JobState::Done);
        if self.attempts.of_job(ix).is_empty() {
            self.log_writer.cleared.insert(ix);
        }
        tracing::info!(
            job = %job.id,
            class = job.spec.class,
            took_s = now - job.submitted_at,
            deadline_s = job.spec.deadline_s,
            "job done"
        );
    }

    fn segment_committed(&mut self, segment: SentSegment, revision: u64) {
        let SentSegment { slot, seq, attempts, chunks, whole, .. } = segment;
        for id in &attempts {
            self.attempts.update(*id, |attempt| attempt.segment = seq);
        }
        for (ix, chunk) in whole {
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.progress_segments.insert(chunk, seq);
            }
        }
        let version = revision;
        self.log_writer.segments.push_back(LogSegment { slot, version, seq, attempts, chunks });
    }

    /// An assignment is in the log: its task may be sent out, a gang's once all of it is.
    fn assignment_committed(&mut self, id: AttemptId) {
        self.log_writer.proposed.remove(&id);
        let live = self.attempts.update(id, |attempt| {
            attempt.phase = AssignmentPhase::Committed;
            (attempt.job, attempt.machine)
        });
        let Some((job_ix, machine)) = live else { return };
        self.commands.request_commands(machine);
        self.cluster.counters.starts += 1;
        let is_gang = self.jobs.get(&job_ix).is_some_and(Job::is_gang);
        if is_gang && self.attempts.of_job(job_ix).uncommitted() == 0 {
            self.commands.request_commands_on(self.attempts.of_job(job_ix).machines());
        }
    }

    /// Drops proposals that are in no transaction. A gang is placed whole or not at all:
    /// what is committed of it is stopped, and the rest is withdrawn with them.
    pub(in crate::leader) fn withdraw(&mut self, ids: &[AttemptId], now: f64) {
        let mut gangs = BTreeSet::new();
        for id in ids {
            let Some(job_ix) = self.attempts.get(*id).map(|attempt| attempt.job) else { continue };
            if !self.jobs.get(&job_ix).is_some_and(Job::is_gang) {
                self.withdraw_one(*id, now);
            } else if gangs.insert(job_ix) {
                self.stop_gang(job_ix, StopReason::GangRestart);
                self.withdraw_one(*id, now);
                for other in self.attempts.ids_of_job(job_ix) {
                    self.withdraw_one(other, now);
                }
            }
        }
    }

    fn withdraw_one(&mut self, id: AttemptId, now: f64) {
        let proposed = self.attempts.get(id).is_some_and(|a| a.phase == AssignmentPhase::Proposed);
        let sent = self.log_writer.sent.as_ref().is_some_and(|sent| sent.proposed.contains(&id));
        if proposed && !sent {
            self.log_writer.proposed.remove(&id);
            self.remove_attempt(id, assignment_log::AttemptOutcome::Requeued, now);
        }
    }
}
