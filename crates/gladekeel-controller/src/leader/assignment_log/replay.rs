//! Rebuilding what is on which machine from the log, when a node begins to lead.

use crate::leader::{
    AssignmentPhase, Attempt, AttemptId, AttemptOutcome, Job, Leader, Machine, StopReason,
};
use crate::{assignment_log, task_bitmap::page_of};
use gladekeel_sched::{DenseIndex, JobIdx};
use gladekeel_wire::JobId;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Attempts that the log assigns and does not release, with the segment that assigns them.
type LiveAttempts = BTreeMap<AttemptId, (assignment_log::Assignment, u64)>;

impl Leader {
    /// Replays the log, oldest segment first.
    pub(in crate::leader) fn replay(
        &mut self,
        segments: Vec<(u32, u64, assignment_log::Segment)>,
        now: f64,
    ) {
        let mut live = LiveAttempts::new();
        for (slot, version, segment) in segments {
            self.replay_segment(slot, version, segment, &mut live);
        }
        let assigned = self.restore_attempts(now, live);
        self.settle_jobs(&assigned);
        self.reclaim();
    }

    fn replay_segment(
        &mut self,
        slot: u32,
        version: u64,
        segment: assignment_log::Segment,
        live: &mut LiveAttempts,
    ) {
        let (mut attempts, mut chunks) = (Vec::new(), Vec::new());
        for progress in segment.progress_pages {
            // Jobs that are not in the store any more are over, with all of their tasks.
            let Some((ix, job)) = self.job_named(&progress.job) else { continue };
            job.done.insert_page(progress.page, &progress.done, job.spec.tasks);
            job.restarted.insert_page(progress.page, &progress.restarted, job.spec.tasks);
            job.progress_segments.insert(progress.page, segment.sequence);
            chunks.push((ix, progress.page));
        }
        for assigned in segment.assignments {
            let id = AttemptId::from_logged(assigned.attempt);
            attempts.push(id);
            live.insert(id, (assigned, segment.sequence));
        }
        for released in segment.releases {
            live.remove(&AttemptId::from_logged(released.attempt));
            let Some((ix, job)) = self.job_named(&released.job) else { continue };
            let bits = match released.outcome {
                AttemptOutcome::Done => &mut job.done,
                AttemptOutcome::Restarted => &mut job.restarted,
                AttemptOutcome::Requeued => continue,
            };
            if released.index < job.spec.tasks {
                bits.insert(released.index);
                chunks.push((ix, page_of(released.index)));
            }
        }
        self.log_writer.add_segment(slot, version, segment.sequence, attempts, chunks);
    }

    fn job_named(&mut self, id: &JobId) -> Option<(JobIdx, &mut Job)> {
        let ix = self.job_names.get(id)?;
        Some((ix, self.jobs.get_mut(&ix)?))
    }

    /// Puts the attempts back on their machines. Returns the tasks that have one, by job.
    fn restore_attempts(&mut self, now: f64, live: LiveAttempts) -> HashMap<JobIdx, HashSet<u32>> {
        let mut assigned: HashMap<JobIdx, HashSet<u32>> = HashMap::new();
        for (id, (row, segment)) in live {
            let Some((ix, _)) = self.job_named(&row.job) else {
                // Jobs are cleared only after their last attempt was released.
                tracing::error!(
                    job = %row.job,
                    machine = row.machine,
                    "attempt of a job that is not in the store"
                );
                continue;
            };
            assigned.entry(ix).or_default().insert(row.index);
            self.restore(now, ix, id, row, segment);
        }
        assigned
    }

    /// Works out for each job what is left to do, and ends what must not go on.
    fn settle_jobs(&mut self, assigned: &HashMap<JobIdx, HashSet<u32>>) {
        let mut ended = Vec::new();
        let mut broken = Vec::new();
        for (ix, job) in &mut self.jobs {
            let none_on_machines = self.attempts.of_job(*ix).is_empty();
            settle_tasks(job, assigned.get(ix));
            if job.done.count() == job.spec.tasks && job.final_state.is_none() {
                self.log_writer.finished.insert(*ix);
            }
            if job.final_state.is_some() && !none_on_machines {
                self.log_writer.cleared.remove(ix);
            }
            if job.is_gang() && !job.is_finished() && !none_on_machines && !job.pending.is_empty() {
                // Part of it was committed when its leader ended, or a task of it is gone
                // already. It begins anew as a whole.
                broken.push(*ix);
            }
            for id in self.attempts.ids_of_job(*ix) {
                self.attempts.update(id, |attempt| {
                    if job.done.contains(attempt.task_index) && !job.is_gang() {
                        // Its finish was stored upon a report of its exit: that is the proof.
                        ended.push(id);
                    } else if job.is_cancelled() {
                        attempt.stop_reason = Some(StopReason::Cancelled);
                        self.cancelled_on_machines.insert(*ix);
                    }
                });
            }
        }
        for id in ended {
            self.release(id, AttemptOutcome::Done);
        }
        for ix in broken {
            self.stop_gang(ix, StopReason::GangRestart);
        }
    }

    fn restore(
        &mut self,
        now: f64,
        job_ix: JobIdx,
        id: AttemptId,
        row: assignment_log::Assignment,
        seq: u64,
    ) {
        let machine_ix = self.cluster.machine_names.intern(&row.machine);
        let machine = self
            .cluster
            .machines
            .entry(machine_ix)
            .or_insert_with(|| Machine::recovered(&row.machine, now));
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        machine.workload.add(id, job.task_request);
        machine.images.record_use(job.image, job.spec.image_gb, f64::INFINITY);
        job.zone_placement.add(machine.zone);
        self.teams[job.team.position()].used += job.task_request;
        self.attempts.insert(
            id,
            Attempt {
                job: job_ix,
                task_index: row.index,
                machine: machine_ix,
                zone: machine.zone,
                incarnation: row.incarnation,
                phase: AssignmentPhase::Committed,
                reported_state: None,
                running_since: None,
                stop_reason: None,
                stops_sent: 0,
                start_sent: true,
                resources: job.task_request,
                image: job.image,
                recovered: true,
                segment: seq,
            },
        );
    }
}

/// Takes the tasks that are done or have an attempt off those that wait.
fn settle_tasks(job: &mut Job, assigned: Option<&HashSet<u32>>) {
    if job.is_gang() && job.done.count() > 0 {
        // One of a gang's tasks tells of all: they complete together.
        job.mark_all_done();
    }
    let Job { pending, done, .. } = job;
    let is_assigned = |index: &u32| assigned.is_some_and(|tasks| tasks.contains(index));
    pending.retain(|index| !done.contains(*index) && !is_assigned(index));
}
