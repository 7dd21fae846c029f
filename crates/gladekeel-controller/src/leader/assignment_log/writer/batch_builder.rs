//! Putting the next transaction together: what goes into it, and into which segments.

use super::{AttemptId, InFlightTransaction, RELEASED_BYTES, SentSegment};
use crate::{
    assignment_log::{self, AssignmentRef, SegmentWriter},
    keys,
    leader::{AssignmentPhase, Leader},
    stored_types,
    task_bitmap::page_of,
};
use gladekeel_sched::JobIdx;
use gladekeel_wire::{
    job::JobState,
    store::{Precondition, Transaction, Write},
};
use serde::Serialize;

/// Bytes of a transaction; the store takes 64 KiB.
const MAX_TXN: usize = 56 * 1024;
/// Segments in use from which on the oldest ones are cleaned.
const LONG_LOG: usize = 256;
/// Oldest segments that one transaction cleans at most.
const CLEANED: usize = 3;

/// A transaction in the making.
pub(in crate::leader) struct WriteBatch {
    pub txn: Transaction,
    pub sent: InFlightTransaction,
    segments: Vec<(SegmentWriter, SentSegment)>,
    bytes: usize,
    max_ops: usize,
    /// Operations that are kept for what is added later.
    reserved: usize,
    capacity: usize,
}

impl WriteBatch {
    /// An empty one, for so many operations and segments of so many bytes.
    pub fn new(max_ops: usize, capacity: usize) -> WriteBatch {
        WriteBatch {
            txn: Transaction::default(),
            sent: InFlightTransaction::default(),
            segments: Vec::new(),
            bytes: 0,
            max_ops,
            reserved: 0,
            capacity,
        }
    }

    /// Keeps so many operations for what is added after the next call of this.
    pub fn reserve(&mut self, ops: usize) {
        self.reserved = ops;
    }

    /// How many more operations there may be, besides those that are kept.
    pub fn ops_left(&self) -> usize {
        self.max_ops.saturating_sub(self.ops() + self.reserved)
    }

    /// Whether so many more operations are allowed.
    pub fn allows(&self, ops: usize) -> bool {
        ops <= self.ops_left()
    }

    /// How many operations it has.
    pub fn ops(&self) -> usize {
        self.txn.writes.len() + self.segments.len()
    }

    fn fits(&self, ops: usize) -> bool {
        self.allows(ops) && self.bytes + self.segments.len() * self.capacity * 4 / 3 < MAX_TXN
    }

    /// A segment with room for so many bytes more.
    fn segment(&mut self, bytes: usize) -> Option<&mut (SegmentWriter, SentSegment)> {
        let full =
            self.segments.last().is_none_or(|(writer, _)| writer.size() + bytes > self.capacity);
        if full {
            let size = self.capacity * 4 / 3;
            let first = self.segments.is_empty();
            if !self.fits(1) || (!first && self.bytes + (self.segments.len() + 1) * size > MAX_TXN)
            {
                return None;
            }
            self.segments.push(Default::default());
        }
        self.segments.last_mut()
    }

    pub fn guard(&mut self, key: String, version: u64) {
        self.bytes += key.len() + 40;
        self.txn.preconditions.push(Precondition { key, version });
    }

    fn put<T: Serialize>(&mut self, key: String, version: u64, value: &T) {
        let value = serde_json::to_value(value).expect("stored types always serialise");
        self.bytes += key.len() + value.to_string().len() + 40;
        self.guard(key.clone(), version);
        self.txn.writes.push(Write::Put { key, value, lease: None });
    }

    fn delete(&mut self, key: String, version: u64) {
        self.bytes += key.len() + 20;
        self.guard(key.clone(), version);
        self.txn.writes.push(Write::Delete { key });
    }
}

impl Leader {
    /// Gives the draft's segments their slots.
    pub(in crate::leader) fn seal(&mut self, draft: &mut WriteBatch) {
        for (writer, mut segment) in std::mem::take(&mut draft.segments) {
            (segment.slot, segment.version) =
                self.log_writer.free.pop_front().unwrap_or_else(|| {
                    self.log_writer.slots += 1;
                    (self.log_writer.slots - 1, 0)
                });
            segment.seq = self.log_writer.next_seq;
            self.log_writer.next_seq += 1;
            let (key, text) = (keys::log(segment.slot), writer.encode(segment.seq));
            draft.put(key.clone(), segment.version, &text);
            draft.sent.commit_marker.get_or_insert((key, text));
            draft.sent.segments.push(segment);
        }
        draft.sent.writes = draft.txn.writes.len();
    }

    /// Adds releases of about so many bytes; tells whether all of them fit.
    pub(in crate::leader) fn draft_released(
        &self,
        draft: &mut WriteBatch,
        most_bytes: usize,
    ) -> bool {
        for id in &self.log_writer.released {
            if draft.sent.released.len() * RELEASED_BYTES >= most_bytes {
                return false;
            }
            let Some(attempt) = self.attempts.get(*id) else { continue };
            let AssignmentPhase::Releasing(end) = attempt.phase else { continue };
            let job = self.job_names.name(attempt.job);
            let Some((writer, segment)) = draft.segment(assignment_log::max_row_bytes(job, ""))
            else {
                return false;
            };
            writer.push_release(job, attempt.task_index, id.logged(), end);
            if end != assignment_log::AttemptOutcome::Requeued {
                let chunk = (attempt.job, page_of(attempt.task_index));
                if segment.chunks.last() != Some(&chunk) {
                    segment.chunks.push(chunk);
                }
            }
            draft.sent.released.insert(*id);
        }
        true
    }

    /// Whether every release of a job that waits is in the draft: its final state is written
    /// with its last finish or later.
    fn has_all_releases(&self, draft: &WriteBatch, job: JobIdx) -> bool {
        let waits = |id: &&AttemptId| self.log_writer.released.contains(*id);
        let ids = self.attempts.of_job(job).ids();
        ids.iter().filter(waits).all(|id| draft.sent.released.contains(id))
    }

    /// Adds jobs that are done; tells whether all of them fit.
    pub(in crate::leader) fn draft_finished(&self, draft: &mut WriteBatch) -> bool {
        let mut all_fit = true;
        for ix in &self.log_writer.finished {
            let Some(job) = self.jobs.get(ix).filter(|job| job.final_state.is_none()) else {
                continue;
            };
            if !draft.fits(1) {
                return false;
            }
            if !self.has_all_releases(draft, *ix) {
                all_fit = false;
                continue;
            }
            draft.guard(keys::job(&job.id), job.version);
            draft.put(keys::final_state(&job.id), 0, &JobState::Done);
            draft.sent.final_states.push(*ix);
        }
        all_fit
    }

    fn draft_assigned(&self, draft: &mut WriteBatch, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(id) else { return true };
        let job = self.job_names.name(attempt.job);
        let machine = self.cluster.machine_names.name(attempt.machine);
        let Some((writer, segment)) = draft.segment(assignment_log::max_row_bytes(job, machine))
        else {
            return false;
        };
        writer.push_assignment(AssignmentRef {
            job,
            index: attempt.task_index,
            machine,
            incarnation: attempt.incarnation,
            attempt: id.logged(),
        });
        segment.attempts.push(id);
        true
    }

    pub(in crate::leader) fn draft_proposed(&self, draft: &mut WriteBatch) -> bool {
        for id in &self.log_writer.proposed {
            if !self.draft_assigned(draft, *id) {
                return false;
            }
            draft.sent.proposed.insert(*id);
        }
        true
    }

    /// Tells again what still counts of the oldest segments, once there are many.
    pub(in crate::leader) fn draft_cleaning(&self, draft: &mut WriteBatch) {
        // A log that holds much that counts may be longer.
        let live = self.attempts.len() * 48 / self.log_writer.capacity.max(1);
        let long = LONG_LOG.max(4 * live);
        let over = self.log_writer.segments.len().saturating_sub(long).min(CLEANED);
        for old in self.log_writer.segments.iter().take(over) {
            for id in &old.attempts {
                let counts = self.assigns(old.seq, *id) && !self.log_writer.released.contains(id);
                if counts && !self.draft_assigned(draft, *id) {
                    return;
                }
            }
            for (ix, chunk) in &old.chunks {
                let told = draft.segments.iter().any(|(_, s)| s.whole.contains(&(*ix, *chunk)));
                if told || !self.tells(old.seq, *ix, *chunk) {
                    continue;
                }
                let Some(job) = self.jobs.get(ix) else { continue };
                let Some((writer, segment)) =
                    draft.segment(assignment_log::MAX_PROGRESS_PAGE_BYTES)
                else {
                    return;
                };
                let (done, restarted) = (job.done.page(*chunk), job.restarted.page(*chunk));
                writer.push_progress_page(&job.id, *chunk, done, restarted);
                segment.chunks.push((*ix, *chunk));
                segment.whole.push((*ix, *chunk));
            }
        }
    }

    /// Adds the machine types, all parts at once: who reads some of them must not take a job
    /// for one that fits no type.
    fn draft_types(&self, draft: &mut WriteBatch) {
        let Some(types) = &self.log_writer.types else { return };
        let versions = &self.log_writer.types_versions;
        let parts = stored_types::split(types, self.log_writer.value_bytes);
        let stale = versions.iter().filter(|(part, _)| **part as usize >= parts.len());
        if !draft.fits(parts.len() + stale.clone().count()) {
            return;
        }
        for (part, types) in (0..).zip(&parts) {
            let version = versions.get(&part).copied().unwrap_or(0);
            draft.put(keys::machine_types_part(part), version, types);
        }
        for (part, version) in stale {
            draft.delete(keys::machine_types_part(*part), *version);
        }
        draft.sent.types = Some(parts.len() as u32);
    }

    pub(in crate::leader) fn draft_clearing(&self, draft: &mut WriteBatch) {
        self.draft_types(draft);
        for machine in &self.log_writer.drains {
            if draft.fits(1) {
                let version = self.log_writer.drain_versions.get(machine).copied().unwrap_or(0);
                draft.delete(keys::drain(machine), version);
                draft.sent.drains.push(machine.clone());
            }
        }
        for ix in &self.log_writer.cleared {
            let Some(job) = self.jobs.get(ix) else { continue };
            if !draft.fits(1) {
                return;
            }
            draft.delete(keys::job(&job.id), job.version);
            draft.sent.cleared.push(*ix);
        }
    }

    /// Whether a segment is the newest one that assigns an attempt.
    pub(in crate::leader) fn assigns(&self, seq: u64, id: AttemptId) -> bool {
        self.attempts.get(id).is_some_and(|attempt| attempt.segment == seq)
    }

    /// Whether what a segment tells of a chunk is told by no newer one.
    pub(in crate::leader) fn tells(&self, seq: u64, job: JobIdx, chunk: u32) -> bool {
        self.jobs.get(&job).is_some_and(|job| {
            job.final_state.is_none()
                && job.progress_segments.get(&chunk).is_none_or(|told| *told <= seq)
        })
    }
}
