//! Applies the exit of a task to its job, its machine and its gang.
//!
//! Reconciliation calls this module when a worker reports that a task has exited. This report
//! proves that the attempt is off the machine.

use super::release::ReleaseProof;
use crate::leader::{AttemptId, AttemptOutcome, Leader, StopReason, machine::DeletionReason};
use gladekeel_sched::{JobIdx, MachineIdx};
use gladekeel_wire::job::JobKind;
use gladekeel_wire::worker::{ExitCause, TaskStatus};

/// Delay in seconds before a service whose task completed, instead of being stopped, is restarted.
const SERVICE_RESTART_PAUSE_S: f64 = 1.0;
/// Weight of a new run in the moving average that corrects the run time estimates of a job class.
const RUN_TIME_RATIO_WEIGHT: f64 = 0.1;
/// Lower bound of the ratio of a run time to its estimate.
const MIN_RUN_TIME_RATIO: f64 = 0.1;
/// Upper bound of the ratio of a run time to its estimate.
const MAX_RUN_TIME_RATIO: f64 = 10.0;
/// Lower bound in seconds of the estimate that a run time is divided by.
const MIN_ESTIMATE_S: f64 = 0.1;

/// The attempt of a task that has exited.
#[derive(Debug, Clone, Copy)]
struct ExitedAttempt {
    job: JobIdx,
    machine: MachineIdx,
    /// Why the leader was stopping the attempt; `None` if the leader was not stopping it.
    stop_reason: Option<StopReason>,
    /// How long the task ran, in seconds; `None` if it was never seen running, or if an earlier
    /// leader assigned the attempt. This leader did not see such an attempt start, so the run
    /// would look too short, and other tasks of the job would look slow by comparison.
    run_s: Option<f64>,
}

impl Leader {
    /// Applies the exit of a task as reported by its machine, and releases the attempt.
    pub(super) fn apply_task_exit(&mut self, now: f64, id: AttemptId, status: &TaskStatus) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let run_started_at = attempt.running_since.filter(|_| !attempt.recovered);
        let exited = ExitedAttempt {
            job: attempt.job,
            machine: attempt.machine,
            stop_reason: attempt.stop_reason,
            run_s: run_started_at.map(|started_at| now - started_at),
        };
        let job_and_machine_exist = self.jobs.contains_key(&exited.job)
            && self.cluster.machines.contains_key(&exited.machine);
        if !job_and_machine_exist {
            return;
        }
        let outcome = self.handle_exit(now, exited, status);
        if outcome != AttemptOutcome::Done && self.attempt_log.may_write(now) {
            tracing::info!(
                task = %status.task,
                attempt = status.attempt,
                machine = self.cluster.machine_names.name(exited.machine),
                cause = ?status.cause,
                stop_reason = ?exited.stop_reason,
                "task exited before completion"
            );
        }
        self.release(now, id, outcome, ReleaseProof::Exited);
    }

    /// Applies the effects of an exit, which depend on the cause of the exit. Returns the outcome
    /// of the attempt.
    fn handle_exit(
        &mut self,
        now: f64,
        exited: ExitedAttempt,
        status: &TaskStatus,
    ) -> AttemptOutcome {
        match status.cause {
            Some(ExitCause::Done) => return self.handle_completion(now, exited),
            Some(ExitCause::Stopped) if exited.stop_reason == Some(StopReason::Straggler) => {
                self.cluster.counters.straggler_restarts += 1;
                return AttemptOutcome::Restarted;
            }
            Some(ExitCause::Stopped) => {}
            Some(ExitCause::GangMemberLost) => self.stop_gang(exited.job, StopReason::GangRestart),
            Some(ExitCause::GangIncomplete) => {
                self.stop_gang(exited.job, StopReason::GangIncomplete);
            }
            Some(ExitCause::Error) => self.handle_failure(now, exited),
            Some(
                ExitCause::InsufficientResources
                | ExitCause::Busy
                | ExitCause::Unknown
                | ExitCause::Other,
            )
            | None => self.handle_refused_start(now, exited, status),
        }
        AttemptOutcome::Requeued
    }

    fn handle_completion(&mut self, now: f64, exited: ExitedAttempt) -> AttemptOutcome {
        let Some(job) = self.jobs.get_mut(&exited.job) else { return AttemptOutcome::Requeued };
        if job.spec.kind == JobKind::Service {
            // A service runs until it is cancelled, so it is restarted after each exit.
            job.backoff.delay_until(now + SERVICE_RESTART_PAUSE_S);
            return AttemptOutcome::Requeued;
        }
        job.backoff.record_completion();
        if let Some(machine) = self.cluster.machines.get_mut(&exited.machine) {
            machine.quarantine.clear_failures();
        }
        if let Some(run_s) = exited.run_s {
            self.record_run_time(exited.job, run_s);
        }
        AttemptOutcome::Done
    }

    /// Records the run time of a completed task in the history of its job and in the moving
    /// average for the job's class.
    fn record_run_time(&mut self, job_idx: JobIdx, run_s: f64) {
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        job.record_run_time(run_s);
        let ratio = (run_s / job.spec.estimate_s.max(MIN_ESTIMATE_S))
            .clamp(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO);
        let ratios = &mut self.cluster.run_time_ratios;
        let average = ratios.entry(job.spec.class.clone()).or_insert(ratio);
        *average += (ratio - *average) * RUN_TIME_RATIO_WEIGHT;
    }

    /// Records the failure of a task. If the job's tasks have failed on several machines and more
    /// often than the job has unfinished attempts, the job is considered faulty; otherwise the
    /// failure counts against the machine.
    fn handle_failure(&mut self, now: f64, exited: ExitedAttempt) {
        self.cluster.counters.task_failures += 1;
        let other_attempts = self.attempts.of_job(exited.job).unfinished();
        let Some(job) = self.jobs.get_mut(&exited.job) else { return };
        job.backoff.record_failure(exited.machine);
        let is_job_faulty = job.backoff.is_job_faulty(other_attempts);
        let is_gang = job.is_gang();
        if is_job_faulty {
            self.back_off_faulty_job(now, exited.job);
        } else {
            self.record_machine_failure(now, exited.machine);
        }
        if is_gang {
            self.stop_gang(exited.job, StopReason::GangRestart);
        }
    }

    /// Delays further attempts of a faulty job, and resets the failure counts of the machines on
    /// which the job failed.
    fn back_off_faulty_job(&mut self, now: f64, job_idx: JobIdx) {
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        job.backoff.back_off(now);
        for machine_idx in job.backoff.failed_on() {
            if let Some(machine) = self.cluster.machines.get_mut(&machine_idx) {
                machine.quarantine.clear_failures();
            }
        }
        tracing::info!(job = %job.id, failures = job.backoff.failures(), "job backs off");
    }

    /// Counts a task failure against a machine, and marks the machine for deletion if tasks fail
    /// on it too often.
    fn record_machine_failure(&mut self, now: f64, machine_idx: MachineIdx) {
        let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { return };
        if machine.quarantine.record_failure(now) {
            let reason = DeletionReason::RepeatedTaskFailures;
            self.cluster.mark_for_deletion(now, machine_idx, reason);
        }
    }

    fn handle_refused_start(&mut self, now: f64, exited: ExitedAttempt, status: &TaskStatus) {
        let Some(machine) = self.cluster.machines.get_mut(&exited.machine) else { return };
        machine.quarantine.record_refusal(now);
        if self.attempt_log.may_write(now) {
            tracing::warn!(
                machine = machine.name,
                task = %status.task,
                cause = ?status.cause,
                "task start refused"
            );
        }
    }
}
