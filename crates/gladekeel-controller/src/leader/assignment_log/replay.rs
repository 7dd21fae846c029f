//! Replay of the log when a node becomes the leader, or continues to lead under a new token.
//!
//! The log must have been read under the leader's own token. No other node can change the log while
//! the token is valid, so the result is a consistent snapshot even if several requests were needed
//! to read the log. Segments are replayed in the order of their sequence numbers. An attempt that
//! the log assigns and does not release is treated as being on its machine ("Reading" in
//! `docs/safety.md`); a task without such an attempt is on no machine.

use super::writer::{LiveSegment, ProgressPageRef, Slot};
use crate::{
    assignment_log::{Assignment, ProgressPage, Release, Segment, UnreadableSegment, decode},
    leader::{
        AssignmentPhase, Attempt, AttemptId, AttemptOutcome, Job, Leader, Machine, StopReason,
        reconciliation::release::ReleaseProof,
    },
    task_bitmap::page_of,
};
use gladekeel_sched::{DenseIndex, JobIdx};
use gladekeel_wire::JobId;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A slot of the log, as read from the store.
#[derive(Debug, Clone)]
pub struct LogRow {
    /// The number of the slot.
    pub slot: u32,
    /// The version of the slot's key.
    pub version: u64,
    /// The encoded text of the segment in the slot.
    pub text: String,
}

/// A decoded segment and the slot that stores it.
#[derive(Debug)]
struct StoredSegment {
    slot: Slot,
    segment: Segment,
}

/// The segments of the log, in the order of their sequence numbers.
#[derive(Debug)]
pub struct DecodedLog(Vec<StoredSegment>);

impl DecodedLog {
    /// Decodes all segments of the log.
    ///
    /// # Errors
    ///
    /// Fails if any segment is unreadable: a running task could be started again if the segment
    /// were skipped.
    pub fn decode(rows: Vec<LogRow>) -> Result<DecodedLog, UnreadableSegment> {
        let mut segments = rows.into_iter().map(decode_row).collect::<Result<Vec<_>, _>>()?;
        segments.sort_by_key(|stored| stored.segment.sequence);
        Ok(DecodedLog(segments))
    }

    /// The number of segments in the log.
    pub fn segment_count(&self) -> usize {
        self.0.len()
    }
}

fn decode_row(row: LogRow) -> Result<StoredSegment, UnreadableSegment> {
    let slot = Slot { number: row.slot, version: row.version };
    let segment = decode(&row.text).inspect_err(
        |error| tracing::error!(slot = slot.number, %error, "assignment log segment unreadable"),
    )?;
    Ok(StoredSegment { slot, segment })
}

/// Attempts that the log assigns and does not release, by their ids.
type UnreleasedAttempts = BTreeMap<AttemptId, LoggedAssignment>;

/// An assignment, and the sequence number of the newest segment that records the assignment.
struct LoggedAssignment {
    assignment: Assignment,
    segment: u64,
}

impl Leader {
    /// Rebuilds the attempts on machines and the progress of jobs from the log. The caller must
    /// have added all jobs of the store, and the leader must have no attempts yet.
    pub(in crate::leader) fn replay(&mut self, log: DecodedLog, now: f64) {
        let mut unreleased = UnreleasedAttempts::new();
        for stored in log.0 {
            self.replay_segment(stored, &mut unreleased);
        }
        let assigned = self.restore_attempts(now, unreleased);
        self.resume_jobs(now, &assigned);
        self.reclaim_log_slots();
    }

    fn replay_segment(&mut self, stored: StoredSegment, unreleased: &mut UnreleasedAttempts) {
        let StoredSegment { slot, segment } = stored;
        let sequence = segment.sequence;
        let mut live = LiveSegment { slot, sequence, ..LiveSegment::default() };
        for page in segment.progress_pages {
            live.progress_pages.extend(self.replay_progress_page(page, sequence));
        }
        for assignment in segment.assignments {
            let id = AttemptId::from_log_value(assignment.attempt);
            live.attempts.push(id);
            unreleased.insert(id, LoggedAssignment { assignment, segment: sequence });
        }
        for release in segment.releases {
            unreleased.remove(&AttemptId::from_log_value(release.attempt));
            live.progress_pages.extend(self.replay_release(&release));
        }
        self.log_writer.restore_segment(live);
    }

    /// Applies a page of a job's progress. Returns a reference to the page, or `None` if the job is
    /// not in the store, which means that the job and all of its tasks have ended.
    fn replay_progress_page(
        &mut self,
        progress: ProgressPage,
        sequence: u64,
    ) -> Option<ProgressPageRef> {
        let page = progress.page;
        let (job_idx, job) = self.job_by_id(&progress.job)?;
        job.done.insert_page(page, &progress.done, job.spec.tasks);
        job.restarted.insert_page(page, &progress.restarted, job.spec.tasks);
        job.progress_segments.insert(page, sequence);
        Some(ProgressPageRef { job: job_idx, page })
    }

    /// Applies the progress that a release records. Returns a reference to the page that contains
    /// the progress, or `None` if the release records no progress or the job is not in the store.
    fn replay_release(&mut self, release: &Release) -> Option<ProgressPageRef> {
        let (job_idx, job) = self.job_by_id(&release.job)?;
        let tasks = match release.outcome {
            AttemptOutcome::Done => &mut job.done,
            AttemptOutcome::Restarted => &mut job.restarted,
            AttemptOutcome::Requeued => return None,
        };
        if release.index >= job.spec.tasks {
            return None;
        }
        tasks.insert(release.index);
        Some(ProgressPageRef { job: job_idx, page: page_of(release.index) })
    }

    fn job_by_id(&mut self, id: &JobId) -> Option<(JobIdx, &mut Job)> {
        let job_idx = self.job_names.get(id)?;
        Some((job_idx, self.jobs.get_mut(&job_idx)?))
    }

    /// Restores the unreleased attempts on their machines. Returns the indices of the tasks that
    /// have an attempt, by job.
    fn restore_attempts(
        &mut self,
        now: f64,
        unreleased: UnreleasedAttempts,
    ) -> HashMap<JobIdx, HashSet<u32>> {
        let mut assigned: HashMap<JobIdx, HashSet<u32>> = HashMap::new();
        for (id, logged) in unreleased {
            let LoggedAssignment { assignment, segment } = logged;
            let Some((job_idx, _)) = self.job_by_id(&assignment.job) else {
                // An attempt without a job should not occur: the key of a job is removed only after
                // the release of its last attempt.
                tracing::error!(
                    job = %assignment.job,
                    machine = assignment.machine,
                    "attempt in the assignment log belongs to no job in the store"
                );
                continue;
            };
            assigned.entry(job_idx).or_default().insert(assignment.index);
            self.restore_attempt(now, job_idx, id, LoggedAssignment { assignment, segment });
        }
        assigned
    }

    fn restore_attempt(
        &mut self,
        now: f64,
        job_idx: JobIdx,
        id: AttemptId,
        logged: LoggedAssignment,
    ) {
        let LoggedAssignment { assignment, segment } = logged;
        let machine_idx = self.cluster.machine_names.intern(&assignment.machine);
        let machine = self
            .cluster
            .machines
            .entry(machine_idx)
            .or_insert_with(|| Machine::recovered(&assignment.machine, now));
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        machine.workload.add(id, job.task_request);
        machine.images.record_use(job.image, job.spec.image_gb, f64::INFINITY);
        job.zone_placement.add(machine.zone);
        self.teams[job.team.position()].used += job.task_request;
        self.attempts.insert(
            id,
            Attempt {
                job: job_idx,
                task_index: assignment.index,
                machine: machine_idx,
                zone: machine.zone,
                incarnation: assignment.incarnation,
                phase: AssignmentPhase::Committed,
                reported_state: None,
                running_since: None,
                stop_reason: None,
                stops_sent: 0,
                no_direct_start: true,
                resources: job.task_request,
                image: job.image,
                recovered: true,
                segment,
            },
        );
    }

    /// Restores the pending tasks and pending writes of each job, and stops the attempts that must
    /// not continue.
    fn resume_jobs(&mut self, now: f64, assigned: &HashMap<JobIdx, HashSet<u32>>) {
        let mut done_attempts = Vec::new();
        let mut incomplete_gangs = Vec::new();
        for (job_idx, job) in &mut self.jobs {
            let has_attempts = !self.attempts.of_job(*job_idx).is_empty();
            restore_pending_tasks(job, assigned.get(job_idx));
            if job.done.count() == job.spec.tasks && job.final_state.is_none() {
                self.log_writer.pending().add_completed_job(*job_idx);
            }
            if job.final_state.is_some() && has_attempts {
                self.log_writer.pending().drop_removable_job(*job_idx);
            }
            if job.is_gang() && !job.is_finished() && has_attempts && !job.pending.is_empty() {
                // Either only a part of the gang was committed when the earlier leader stopped, or
                // a task of the gang has already been released. The whole gang is restarted.
                incomplete_gangs.push(*job_idx);
            }
            for id in self.attempts.ids_of_job(*job_idx) {
                self.attempts.update(id, |attempt| {
                    if job.done.contains(attempt.task_index) && !job.is_gang() {
                        // The completion was stored after the worker had reported the exit of the
                        // task, which proves that the attempt is off its machine.
                        done_attempts.push(id);
                    } else if job.is_cancelled() {
                        attempt.stop_reason = Some(StopReason::Cancelled);
                        self.cancelled_jobs_on_machines.insert(*job_idx);
                    }
                });
            }
        }
        for id in done_attempts {
            self.release(now, id, AttemptOutcome::Done, ReleaseProof::StoredCompletion);
        }
        for job_idx in incomplete_gangs {
            self.stop_gang(job_idx, StopReason::GangRestart);
        }
    }
}

/// Removes the tasks that are done or have an attempt from the pending tasks of a job.
fn restore_pending_tasks(job: &mut Job, assigned: Option<&HashSet<u32>>) {
    if job.is_gang() && job.done.count() > 0 {
        // The tasks of a gang complete together, so one completed task shows that all are complete.
        job.mark_all_done();
    }
    let Job { pending, done, .. } = job;
    let is_assigned = |index: &u32| assigned.is_some_and(|tasks| tasks.contains(index));
    pending.retain(|index| !done.contains(*index) && !is_assigned(index));
}
