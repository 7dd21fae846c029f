//! The exit of a task: what it means for the job, the machine and the gang.
//!
//! Reconciliation calls this when a worker reports that a task has exited, which is the proof
//! that its attempt is off the machine.

use crate::leader::{AttemptId, AttemptOutcome, Leader, StopReason, machine::DeletionReason};
use gladekeel_sched::{JobIdx, MachineIdx};
use gladekeel_wire::job::JobKind;
use gladekeel_wire::worker::{ExitCause, TaskStatus};

/// Pause before a service that has exited by itself is started again, in seconds.
const SERVICE_RESTART_PAUSE_S: f64 = 1.0;
/// Weight of a new run in the moving average that corrects the estimates of a class.
const RUN_TIME_RATIO_WEIGHT: f64 = 0.1;
/// Bounds of the ratio of a run time to its estimate.
const MIN_RUN_TIME_RATIO: f64 = 0.1;
const MAX_RUN_TIME_RATIO: f64 = 10.0;
/// Shorter estimates count as this long, in seconds.
const MIN_ESTIMATE_S: f64 = 0.1;

/// The attempt of a task that has exited.
#[derive(Debug, Clone, Copy)]
struct ExitedAttempt {
    job: JobIdx,
    machine: MachineIdx,
    stop_reason: Option<StopReason>,
    /// How long it ran, in seconds. Unknown for an attempt of an earlier leader, since its
    /// start was not seen: its run would look short, and others of its job slow.
    run_s: Option<f64>,
}

impl Leader {
    /// Applies the exit of a task that its machine reports, and releases its attempt.
    pub(super) fn apply_task_exit(&mut self, now: f64, id: AttemptId, status: &TaskStatus) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let run_started_at = attempt.running_since.filter(|_| !attempt.recovered);
        let exited = ExitedAttempt {
            job: attempt.job,
            machine: attempt.machine,
            stop_reason: attempt.stop_reason,
            run_s: run_started_at.map(|started_at| now - started_at),
        };
        let is_known = self.jobs.contains_key(&exited.job)
            && self.cluster.machines.contains_key(&exited.machine);
        if !is_known {
            return;
        }
        let outcome = self.handle_exit(now, exited, status);
        if outcome != AttemptOutcome::Done {
            tracing::info!(
                task = %status.task,
                machine = self.cluster.machine_names.name(exited.machine),
                cause = ?status.cause,
                stop_reason = ?exited.stop_reason,
                "task exited before completion"
            );
        }
        self.release(id, outcome);
    }

    /// Handles the cause of an exit. Returns what becomes of the task.
    fn handle_exit(
        &mut self,
        now: f64,
        exited: ExitedAttempt,
        status: &TaskStatus,
    ) -> AttemptOutcome {
        match status.cause {
            Some(ExitCause::Done) => return self.handle_completion(now, exited),
            Some(ExitCause::Stopped) if exited.stop_reason == Some(StopReason::Straggler) => {
                self.cluster.counters.restarts += 1;
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
            // A service is done only when it is cancelled.
            job.backoff.hold_until(now + SERVICE_RESTART_PAUSE_S);
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

    /// Records the run time of a completed task, for its job and for the estimates of its
    /// class.
    fn record_run_time(&mut self, job_idx: JobIdx, run_s: f64) {
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        job.record_run_time(run_s);
        let ratio = (run_s / job.spec.estimate_s.max(MIN_ESTIMATE_S))
            .clamp(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO);
        let ratios = &mut self.cluster.run_time_ratios;
        let average = ratios.entry(job.spec.class.clone()).or_insert(ratio);
        *average += (ratio - *average) * RUN_TIME_RATIO_WEIGHT;
    }

    /// Handles a task that has failed: the job is to blame if its tasks fail on every machine,
    /// else the machine is.
    fn handle_failure(&mut self, now: f64, exited: ExitedAttempt) {
        self.cluster.counters.failures += 1;
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

    /// Pauses a job that fails on every machine, and clears the machines of its failures.
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

    /// Counts a failure against a machine, which is replaced when it fails too often.
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
        tracing::warn!(
            machine = machine.name,
            task = %status.task,
            cause = ?status.cause,
            "task start refused"
        );
    }
}
