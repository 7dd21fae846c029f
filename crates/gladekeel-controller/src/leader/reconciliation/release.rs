//! The release of an attempt, in three steps: the attempt is proven to be off its machine, the
//! release is committed, and the attempt is removed.
//!
//! An attempt holds its resources until its release is committed in the assignment log. Otherwise
//! this leader could reuse resources that its successor, which reads the log, still counts as
//! used.

use crate::leader::{AssignmentPhase, Attempt, AttemptId, AttemptOutcome, Leader, StopReason};
use gladekeel_sched::{DenseIndex, JobIdx, MachineIdx};
use std::fmt;

/// What proves that an attempt is off its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum ReleaseProof {
    /// The worker reported that the task exited.
    Exited,
    /// A heartbeat under the current token does not contain the task, and no command in transit can
    /// start it.
    Absent,
    /// The worker has begun a newer incarnation.
    NewIncarnation,
    /// The cloud has confirmed the deletion of the machine.
    MachineDeleted,
    /// The store records that the task is complete.
    StoredCompletion,
}

impl fmt::Display for ReleaseProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReleaseProof::Exited => "exited",
            ReleaseProof::Absent => "absent",
            ReleaseProof::NewIncarnation => "new incarnation",
            ReleaseProof::MachineDeleted => "machine deleted",
            ReleaseProof::StoredCompletion => "stored completion",
        })
    }
}

impl Leader {
    /// Starts the release of an attempt that is proven to be off its machine. The release is added
    /// to the pending writes of the assignment log. Does nothing unless the attempt is in the
    /// `Committed` phase.
    pub(in crate::leader) fn release(
        &mut self,
        now: f64,
        id: AttemptId,
        outcome: AttemptOutcome,
        proof: ReleaseProof,
    ) {
        let released = self.attempts.update(id, |attempt| {
            let is_committed = attempt.phase == AssignmentPhase::Committed;
            if is_committed {
                attempt.phase = AssignmentPhase::Releasing(outcome);
            }
            is_committed.then_some((attempt.job, attempt.task_index, attempt.machine))
        });
        let Some((job_idx, task_index, machine_idx)) = released.flatten() else { return };
        self.log_writer.pending().add_release(id);
        self.cluster.counters.releases.count(proof);
        if outcome != AttemptOutcome::Done {
            self.log_release(now, id, machine_idx, proof);
        }
        if outcome == AttemptOutcome::Done
            && let Some(attempt) = self.as_reported(id)
            && let Some(machine) = self.cluster.machines.get_mut(&machine_idx)
        {
            machine.commands.starts.record_completion(attempt);
        }
        self.apply_outcome_to_gang(job_idx, outcome);
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        if outcome == AttemptOutcome::Restarted {
            job.restarted.insert(task_index);
        }
        if outcome == AttemptOutcome::Done && job.done.insert(task_index) {
            self.changed_progress.insert(job_idx);
            self.finish_job_if_done(job_idx);
        }
    }

    /// Logs the release of an attempt whose task is not complete. An exit that the worker reported
    /// has a log line of its own, with its cause.
    fn log_release(
        &mut self,
        now: f64,
        id: AttemptId,
        machine_idx: MachineIdx,
        proof: ReleaseProof,
    ) {
        if proof == ReleaseProof::Exited || !self.attempt_log.may_write(now) {
            return;
        }
        let Some(attempt) = self.attempts.get(id) else { return };
        tracing::info!(
            task = %self.task_id(attempt),
            attempt = self.reported_attempt(id),
            machine = self.cluster.machine_names.name(machine_idx),
            token = self.token,
            %proof,
            "attempt released"
        );
    }

    /// Applies the outcome of one task to its gang. The tasks of a gang complete together, so one
    /// completed task shows that all tasks are complete. After any other outcome, the gang is
    /// restarted if it has started and is not finished.
    fn apply_outcome_to_gang(&mut self, job_idx: JobIdx, outcome: AttemptOutcome) {
        let Some(job) = self.jobs.get_mut(&job_idx).filter(|job| job.is_gang()) else { return };
        if outcome == AttemptOutcome::Done {
            if job.done.count() < job.spec.tasks {
                job.mark_all_done();
            }
            self.changed_progress.insert(job_idx);
            self.finish_job_if_done(job_idx);
        } else if !job.is_finished() && !self.is_gang_unstarted(job_idx) {
            self.stop_gang(job_idx, StopReason::GangRestart);
        }
    }

    /// Queues the final state of a job for commit if all of its tasks are done.
    fn finish_job_if_done(&mut self, job_idx: JobIdx) {
        let Some(job) = self.jobs.get(&job_idx) else { return };
        if job.done.count() == job.spec.tasks && job.final_state.is_none() {
            self.log_writer.pending().add_completed_job(job_idx);
        }
    }

    /// Removes an attempt and frees its resources. The caller must know that the release of the
    /// attempt is committed, or that its assignment never was.
    pub(in crate::leader) fn remove_attempt(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        now: f64,
    ) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        if let Some(machine) = self.cluster.machines.get_mut(&attempt.machine) {
            machine.workload.remove(id, attempt.resources, now);
        }
        self.apply_removal_to_job(&attempt, outcome, now);
        self.timers.request_cycle();
    }

    /// Requeues the task of a removed attempt unless the task is done. If the job has a final
    /// state and this was its last attempt, queues the job's key for removal from the store.
    fn apply_removal_to_job(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: f64) {
        let Some(job) = self.jobs.get_mut(&attempt.job) else { return };
        self.teams[job.team.position()].used -= attempt.resources;
        job.zone_placement.remove(attempt.zone);
        job.requeue(attempt.task_index, outcome, now);
        if job.final_state.is_some() && self.attempts.of_job(attempt.job).is_empty() {
            self.log_writer.pending().add_removable_job(attempt.job);
        }
        self.changed_progress.insert(attempt.job);
    }
}
