//! Fills a transaction with pending changes, the most time-critical changes first.

use super::{
    AssignmentLogWriter, LeaderRecords, NAMED_ASSIGNMENT_BYTES, RELEASE_ROW_BYTES,
    batch::WriteBatch,
    slots::{LiveSegment, ProgressPageRef},
};
use crate::{
    assignment_log::{
        AssignmentRef, AttemptOutcome, MAX_PROGRESS_PAGE_BYTES, max_assignment_bytes,
    },
    keys,
    leader::{AssignmentPhase, AttemptId},
    stored_types,
    task_bitmap::page_of,
};
use gladekeel_sched::JobIdx;
use gladekeel_wire::job::JobState;

/// Number of live segments above which the log is compacted.
const COMPACTION_THRESHOLD: usize = 256;
/// The log is compacted only if it has more segments than this factor times the number that the
/// live assignments need. The higher of this limit and [`COMPACTION_THRESHOLD`] applies.
const COMPACTION_FACTOR: usize = 4;
/// Maximum number of segments that one transaction compacts.
const MAX_COMPACTED_SEGMENTS: usize = 3;

/// Adds pending writes and copies of old records to a batch.
pub(super) struct BatchBuilder<'a> {
    pub batch: WriteBatch,
    pub writer: &'a AssignmentLogWriter,
    pub records: LeaderRecords<'a>,
}

impl BatchBuilder<'_> {
    /// Adds pending releases until they take about `max_bytes`. Returns whether all of them fit.
    pub fn add_releases(&mut self, max_bytes: usize) -> bool {
        for id in &self.writer.pending.released {
            if self.batch.contents.released.len() * RELEASE_ROW_BYTES >= max_bytes {
                return false;
            }
            if !self.add_release(*id) {
                return false;
            }
        }
        true
    }

    /// Adds the release of an attempt. Returns whether the release fits into the batch.
    fn add_release(&mut self, id: AttemptId) -> bool {
        let Some(attempt) = self.records.attempts.get(id) else { return true };
        let AssignmentPhase::Releasing(outcome) = attempt.phase else { return true };
        let job = self.records.job_names.name(attempt.job);
        let Some(segment) = self.batch.segment_with_capacity(max_assignment_bytes(job, "")) else {
            return false;
        };
        segment.writer.push_release(job, attempt.task_index, id.to_log_value(), outcome);
        if outcome != AttemptOutcome::Requeued {
            let page = ProgressPageRef { job: attempt.job, page: page_of(attempt.task_index) };
            let pages = &mut segment.contents.segment.progress_pages;
            if pages.last() != Some(&page) {
                pages.push(page);
            }
        }
        self.batch.contents.released.insert(id);
        true
    }

    /// Adds the assignments of proposed attempts. Returns whether all of them fit.
    pub fn add_proposals(&mut self) -> bool {
        for id in &self.writer.pending.proposed {
            if !self.add_assignment(*id) {
                return false;
            }
            self.batch.contents.proposed.insert(*id);
        }
        true
    }

    /// Adds the assignment of an attempt. Returns whether the assignment fits into the batch.
    fn add_assignment(&mut self, id: AttemptId) -> bool {
        let Some(attempt) = self.records.attempts.get(id) else { return true };
        let job = self.records.job_names.name(attempt.job);
        let machine = self.records.machine_names.name(attempt.machine);
        let Some(segment) = self.batch.segment_with_capacity(max_assignment_bytes(job, machine))
        else {
            return false;
        };
        segment.writer.push_assignment(AssignmentRef {
            job,
            index: attempt.task_index,
            machine,
            incarnation: attempt.incarnation,
            attempt: id.to_log_value(),
        });
        segment.contents.segment.attempts.push(id);
        true
    }

    /// Adds the final states of completed jobs. Returns whether all of them could be added.
    ///
    /// The final state of a job is committed together with its last release or later, so that no
    /// job is reported as done before its last completion is stored.
    pub fn add_final_states(&mut self) -> bool {
        let mut all_added = true;
        for job_idx in &self.writer.pending.completed_jobs {
            let Some(job) = self.records.jobs.get(job_idx) else { continue };
            if job.final_state.is_some() {
                continue;
            }
            if !self.batch.fits(1) {
                return false;
            }
            if !self.has_all_releases(*job_idx) {
                all_added = false;
                continue;
            }
            self.batch.require(keys::job(&job.id), job.version);
            self.batch.put(keys::final_state(&job.id), 0, &JobState::Done);
            self.batch.contents.completed_jobs.push(*job_idx);
        }
        all_added
    }

    /// Whether every pending release of a job is in the batch.
    fn has_all_releases(&self, job: JobIdx) -> bool {
        let is_pending = |id: &&AttemptId| self.writer.pending.released.contains(*id);
        let ids = self.records.attempts.of_job(job).ids();
        ids.iter().filter(is_pending).all(|id| self.batch.contents.released.contains(id))
    }

    /// Compacts the log if it has too many segments: copies records from the oldest segments into
    /// new segments, unless a newer segment already replaces them. The slots of the old segments
    /// then become reusable.
    pub fn compact(&mut self) {
        let writer = self.writer;
        for segment in writer.slots.live().iter().take(self.segments_to_compact()) {
            if !self.copy_assignments(segment) || !self.copy_progress(segment) {
                return;
            }
        }
    }

    /// Returns how many of the oldest segments this transaction should compact.
    fn segments_to_compact(&self) -> usize {
        let live_bytes = self.records.attempts.len() * NAMED_ASSIGNMENT_BYTES;
        let live_segments = live_bytes / self.writer.limits.segment_capacity.max(1);
        let max_segments = COMPACTION_THRESHOLD.max(COMPACTION_FACTOR * live_segments);
        let excess = self.writer.slots.live().len().saturating_sub(max_segments);
        excess.min(MAX_COMPACTED_SEGMENTS)
    }

    /// Copies the assignments of an old segment, except those that a newer segment also contains
    /// and those whose attempts are about to be released. Returns whether all of the copies fit.
    fn copy_assignments(&mut self, segment: &LiveSegment) -> bool {
        for id in &segment.attempts {
            let is_live = self.records.is_newest_assignment(segment.sequence, *id)
                && !self.writer.pending.released.contains(id);
            if is_live && !self.add_assignment(*id) {
                return false;
            }
        }
        true
    }

    /// Copies the progress pages of which an old segment may still hold the newest record. Returns
    /// whether all of these pages fit.
    fn copy_progress(&mut self, segment: &LiveSegment) -> bool {
        for page in &segment.progress_pages {
            let is_copied = self.batch.has_whole_page(*page);
            if is_copied || !self.records.is_newest_record(segment.sequence, *page) {
                continue;
            }
            if !self.add_progress_page(*page) {
                return false;
            }
        }
        true
    }

    /// Adds a whole page of a job's progress. Returns whether the page fits into the batch.
    fn add_progress_page(&mut self, page: ProgressPageRef) -> bool {
        let Some(job) = self.records.jobs.get(&page.job) else { return true };
        let Some(segment) = self.batch.segment_with_capacity(MAX_PROGRESS_PAGE_BYTES) else {
            return false;
        };
        let (done, restarted) = (job.done.page(page.page), job.restarted.page(page.page));
        segment.writer.push_progress_page(&job.id, page.page, done, restarted);
        segment.contents.segment.progress_pages.push(page);
        segment.contents.whole_pages.push(page);
        true
    }

    /// Adds the writes that are not time-critical: machine types, and the removal of keys that are
    /// no longer needed.
    pub fn add_housekeeping(&mut self) {
        self.add_machine_types();
        self.remove_drains();
        self.remove_jobs();
    }

    /// Adds the machine types, with all of their parts in one transaction. A node that read only
    /// some of the parts might otherwise find no machine type for a job and reject the job.
    fn add_machine_types(&mut self) {
        let Some(types) = &self.writer.pending.machine_types else { return };
        let versions = &self.writer.versions.machine_types;
        let parts = stored_types::split_into_parts(types, self.writer.limits.value_bytes);
        let obsolete = versions.iter().filter(|(part, _)| **part as usize >= parts.len());
        if !self.batch.fits(parts.len() + obsolete.clone().count()) {
            return;
        }
        for (part, types) in (0..).zip(&parts) {
            let version = versions.get(&part).copied().unwrap_or(0);
            self.batch.put(keys::machine_types_part(part), version, types);
        }
        for (part, version) in obsolete {
            self.batch.delete(keys::machine_types_part(*part), *version);
        }
        self.batch.contents.machine_type_parts = Some(parts.len() as u32);
    }

    fn remove_drains(&mut self) {
        for machine in &self.writer.pending.obsolete_drains {
            if self.batch.fits(1) {
                let version = self.writer.versions.drains.get(machine).copied().unwrap_or(0);
                self.batch.delete(keys::drain(machine), version);
                self.batch.contents.removed_drains.push(machine.clone());
            }
        }
    }

    fn remove_jobs(&mut self) {
        for job_idx in &self.writer.pending.removable_jobs {
            let Some(job) = self.records.jobs.get(job_idx) else { continue };
            if !self.batch.fits(1) {
                return;
            }
            self.batch.delete(keys::job(&job.id), job.version);
            self.batch.contents.removed_jobs.push(*job_idx);
        }
    }
}
