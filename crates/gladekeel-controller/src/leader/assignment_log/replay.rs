//! Replaying the log when a node begins to lead, or goes on under a new token.
//!
//! The log must have been read under the leader's own token: from then on nobody else can change
//! it, so pages that were read one after the other are one consistent picture. Segments are
//! replayed by sequence number. An attempt that is assigned and not released counts as on its
//! machine ("Reading" in `docs/safety.md`); every other task is on no machine.

use super::writer::{LiveSegment, ProgressPageRef, Slot};
use crate::{
    assignment_log::{Assignment, ProgressPage, Release, Segment, UnreadableSegment, decode},
    leader::{
        AssignmentPhase, Attempt, AttemptId, AttemptOutcome, Job, Leader, Machine, StopReason,
    },
    task_bitmap::page_of,
};
use gladekeel_sched::{DenseIndex, JobIdx};
use gladekeel_wire::JobId;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A slot of the log as it was read from the store.
#[derive(Debug, Clone)]
pub struct LogRow {
    /// The number of the slot.
    pub slot: u32,
    /// The version of its key.
    pub version: u64,
    /// The text of its segment.
    pub text: String,
}

/// A decoded segment and its slot.
#[derive(Debug)]
pub(in crate::leader) struct StoredSegment {
    slot: Slot,
    segment: Segment,
}

/// Decodes the log and puts its segments in the order of their sequence numbers.
///
/// # Errors
///
/// If any segment is unreadable: without it a running task could be started again.
pub(in crate::leader) fn decode_log(
    rows: Vec<LogRow>,
) -> Result<Vec<StoredSegment>, UnreadableSegment> {
    let mut segments = rows.into_iter().map(decode_row).collect::<Result<Vec<_>, _>>()?;
    segments.sort_by_key(|stored| stored.segment.sequence);
    Ok(segments)
}

fn decode_row(row: LogRow) -> Result<StoredSegment, UnreadableSegment> {
    let slot = Slot { number: row.slot, version: row.version };
    let segment = decode(&row.text).inspect_err(
        |error| tracing::error!(slot = slot.number, %error, "assignment log segment unreadable"),
    )?;
    Ok(StoredSegment { slot, segment })
}

/// Attempts that the log assigns and does not release.
type UnreleasedAttempts = BTreeMap<AttemptId, LoggedAssignment>;

/// An assignment, and the sequence number of the newest segment that records it.
struct LoggedAssignment {
    assignment: Assignment,
    segment: u64,
}

impl Leader {
    /// Rebuilds what is on which machine, and what is done, from the log. Only for a leader that
    /// has all jobs of the store and no attempts yet. `segments` come from [`decode_log`].
    pub(in crate::leader) fn replay(&mut self, segments: Vec<StoredSegment>, now: f64) {
        let mut unreleased = UnreleasedAttempts::new();
        for stored in segments {
            self.replay_segment(stored, &mut unreleased);
        }
        let assigned = self.restore_attempts(now, unreleased);
        self.settle_jobs(&assigned);
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
            let id = AttemptId::from_logged(assignment.attempt);
            live.attempts.push(id);
            unreleased.insert(id, LoggedAssignment { assignment, segment: sequence });
        }
        for release in segment.releases {
            unreleased.remove(&AttemptId::from_logged(release.attempt));
            live.progress_pages.extend(self.replay_release(&release));
        }
        self.log_writer.restore_segment(live);
    }

    /// Returns the page if its job is in the store. A job that is not is over, with all of its
    /// tasks.
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

    /// Returns the page whose progress the release records, if it records any.
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

    /// Puts the attempts back on their machines. Returns the tasks that have one, by job.
    fn restore_attempts(
        &mut self,
        now: f64,
        unreleased: UnreleasedAttempts,
    ) -> HashMap<JobIdx, HashSet<u32>> {
        let mut assigned: HashMap<JobIdx, HashSet<u32>> = HashMap::new();
        for (id, logged) in unreleased {
            let LoggedAssignment { assignment, segment } = logged;
            let Some((job_idx, _)) = self.job_by_id(&assignment.job) else {
                // Keys of jobs are removed only after their last attempt was released.
                tracing::error!(
                    job = %assignment.job,
                    machine = assignment.machine,
                    "logged attempt belongs to no stored job"
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
                start_sent: true,
                resources: job.task_request,
                image: job.image,
                recovered: true,
                segment,
            },
        );
    }

    /// Works out for each job what is left to do, and stops what must not go on.
    fn settle_jobs(&mut self, assigned: &HashMap<JobIdx, HashSet<u32>>) {
        let mut done_attempts = Vec::new();
        let mut incomplete_gangs = Vec::new();
        for (job_idx, job) in &mut self.jobs {
            let has_attempts = !self.attempts.of_job(*job_idx).is_empty();
            settle_tasks(job, assigned.get(job_idx));
            if job.done.count() == job.spec.tasks && job.final_state.is_none() {
                self.log_writer.pending().add_completed_job(*job_idx);
            }
            if job.final_state.is_some() && has_attempts {
                self.log_writer.pending().drop_removable_job(*job_idx);
            }
            if job.is_gang() && !job.is_finished() && has_attempts && !job.pending.is_empty() {
                // Only a part of it was committed when its leader ended, or one of its tasks is
                // gone already. The whole gang begins anew.
                incomplete_gangs.push(*job_idx);
            }
            for id in self.attempts.ids_of_job(*job_idx) {
                self.attempts.update(id, |attempt| {
                    if job.done.contains(attempt.task_index) && !job.is_gang() {
                        // Its completion was stored upon a report of its exit, which proves that
                        // it is off its machine.
                        done_attempts.push(id);
                    } else if job.is_cancelled() {
                        attempt.stop_reason = Some(StopReason::Cancelled);
                        self.cancelled_on_machines.insert(*job_idx);
                    }
                });
            }
        }
        for id in done_attempts {
            self.release(id, AttemptOutcome::Done);
        }
        for job_idx in incomplete_gangs {
            self.stop_gang(job_idx, StopReason::GangRestart);
        }
    }
}

/// Removes the tasks that are done or have an attempt from those that are pending.
fn settle_tasks(job: &mut Job, assigned: Option<&HashSet<u32>>) {
    if job.is_gang() && job.done.count() > 0 {
        // The tasks of a gang complete together, so one completion stands for all.
        job.mark_all_done();
    }
    let Job { pending, done, .. } = job;
    let is_assigned = |index: &u32| assigned.is_some_and(|tasks| tasks.contains(index));
    pending.retain(|index| !done.contains(*index) && !is_assigned(index));
}
