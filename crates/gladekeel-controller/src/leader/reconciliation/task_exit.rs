//! What the end of a task means for its job, its machine and its gang.

use crate::leader::{AttemptId, AttemptOutcome, Leader, StopReason, machine::DeletionReason};
use gladekeel_sched::{JobIdx, MachineIdx};
use gladekeel_wire::job::JobKind;
use gladekeel_wire::worker::{ExitCause, TaskStatus};

/// A job whose service ended by itself waits this long before it starts again.
const SERVICE_AGAIN_S: f64 = 1.0;
/// A machine that refused a start gets nothing for this long.
const AFTER_REFUSAL_S: f64 = 2.0;
/// A machine on which a task failed gets nothing for this long.
const AFTER_FAILURE_S: f64 = 5.0;
/// A machine goes back after so many failures in a row.
const MAX_MACHINE_FAILURES: u32 = 2;
/// Part of a new run time in what a class's estimates are corrected by.
const RATIO_WEIGHT: f64 = 0.1;
/// Bounds of the ratio of a run time to its estimate.
const RATIO_RANGE: (f64, f64) = (0.1, 10.0);
/// Shorter estimates count as this long.
const MIN_ESTIMATE_S: f64 = 0.1;

/// The attempt whose task has ended.
#[derive(Debug, Clone, Copy)]
struct Ended {
    job: JobIdx,
    machine: MachineIdx,
    stop: Option<StopReason>,
    /// How long it ran. Of a task that an earlier leader placed only the end was seen; its
    /// run would look short, and others of its job slow.
    ran_s: Option<f64>,
}

impl Leader {
    /// Applies the end of a task that its machine has reported.
    pub(in crate::leader) fn on_exit(&mut self, now: f64, id: AttemptId, reported: &TaskStatus) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let ended = Ended {
            job: attempt.job,
            machine: attempt.machine,
            stop: attempt.stop_reason,
            ran_s: attempt.running_since.filter(|_| !attempt.recovered).map(|since| now - since),
        };
        let known = self.jobs.contains_key(&ended.job)
            && self.cluster.machines.contains_key(&ended.machine);
        if !known {
            return;
        }
        let outcome = self.outcome_of(now, ended, reported);
        if outcome != AttemptOutcome::Done {
            let machine = self.cluster.machine_names.name(ended.machine);
            tracing::info!(
                task = %reported.task,
                machine,
                cause = ?reported.cause,
                why = ?ended.stop,
                "ended before completion"
            );
        }
        self.release(id, outcome);
    }

    /// What comes of an end, after its cause has been dealt with.
    fn outcome_of(&mut self, now: f64, ended: Ended, reported: &TaskStatus) -> AttemptOutcome {
        match reported.cause {
            Some(ExitCause::Done) => return self.on_done(now, ended),
            Some(ExitCause::Stopped) if ended.stop == Some(StopReason::Straggler) => {
                self.cluster.counters.restarts += 1;
                return AttemptOutcome::Restarted;
            }
            Some(ExitCause::Stopped) => {}
            Some(ExitCause::GangMemberLost) => self.stop_gang(ended.job, StopReason::GangRestart),
            Some(ExitCause::GangIncomplete) => {
                self.stop_gang(ended.job, StopReason::GangIncomplete);
            }
            Some(ExitCause::Error) => self.on_error(now, ended),
            Some(
                ExitCause::InsufficientResources
                | ExitCause::Busy
                | ExitCause::Unknown
                | ExitCause::Other,
            )
            | None => {
                self.on_refusal(now, ended, reported);
            }
        }
        AttemptOutcome::Requeued
    }

    fn on_done(&mut self, now: f64, ended: Ended) -> AttemptOutcome {
        let Some(job) = self.jobs.get_mut(&ended.job) else { return AttemptOutcome::Requeued };
        if job.spec.kind == JobKind::Service {
            // A service is done when it is cancelled, and not before.
            job.backoff.hold_until(now + SERVICE_AGAIN_S);
            return AttemptOutcome::Requeued;
        }
        job.backoff.record_completion();
        if let Some(machine) = self.cluster.machines.get_mut(&ended.machine) {
            machine.consecutive_failures = 0;
        }
        if let Some(ran_s) = ended.ran_s {
            job.record_run_time(ran_s);
            let (least, most) = RATIO_RANGE;
            let ratio = (ran_s / job.spec.estimate_s.max(MIN_ESTIMATE_S)).clamp(least, most);
            let learned =
                self.cluster.run_time_ratios.entry(job.spec.class.clone()).or_insert(ratio);
            *learned += (ratio - *learned) * RATIO_WEIGHT;
        }
        AttemptOutcome::Done
    }

    /// A task has failed: its job is to blame if that happens to it on every machine, else
    /// the machine.
    fn on_error(&mut self, now: f64, ended: Ended) {
        self.cluster.counters.failures += 1;
        let others = self.attempts.of_job(ended.job).unfinished();
        let Some(job) = self.jobs.get_mut(&ended.job) else { return };
        job.backoff.record_failure(ended.machine);
        let is_faulty = job.backoff.is_job_faulty(others);
        let is_gang = job.is_gang();
        if is_faulty {
            self.pause_faulty_job(now, ended.job);
        } else {
            self.count_machine_failure(now, ended.machine);
        }
        if is_gang {
            // It had started, so the others end as well.
            self.stop_gang(ended.job, StopReason::GangRestart);
        }
    }

    /// Lets a job wait that fails wherever it goes, and clears the machines that it failed on.
    fn pause_faulty_job(&mut self, now: f64, job: JobIdx) {
        let Some(job) = self.jobs.get_mut(&job) else { return };
        job.backoff.back_off(now);
        for machine in job.backoff.failed_on() {
            if let Some(machine) = self.cluster.machines.get_mut(&machine) {
                machine.consecutive_failures = 0;
            }
        }
        tracing::info!(job = %job.id, failures = job.backoff.failures(), "a job fails on every machine");
    }

    /// Counts a failure against a machine, which goes back when it fails too often.
    fn count_machine_failure(&mut self, now: f64, ix: MachineIdx) {
        let Some(machine) = self.cluster.machines.get_mut(&ix) else { return };
        machine.consecutive_failures += 1;
        machine.quarantined_until = now + AFTER_FAILURE_S;
        if machine.consecutive_failures >= MAX_MACHINE_FAILURES && machine.deletion_reason.is_none()
        {
            tracing::info!(machine = machine.name, "a machine fails its tasks: returned");
            machine.deletion_reason = Some(DeletionReason::RepeatedTaskFailures);
            self.cluster.leaving.insert(ix);
        }
    }

    fn on_refusal(&mut self, now: f64, ended: Ended, reported: &TaskStatus) {
        let Some(machine) = self.cluster.machines.get_mut(&ended.machine) else { return };
        machine.quarantined_until = now + AFTER_REFUSAL_S;
        tracing::warn!(
            machine = machine.name,
            task = %reported.task,
            cause = ?reported.cause,
            "a start was refused"
        );
    }
}
