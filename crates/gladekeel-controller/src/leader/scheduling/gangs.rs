//! Gangs: the tasks of a gang share an attempt number and are stopped together.
//!
//! Upholds "Gangs" of `docs/safety.md`, together with release and replay.

use crate::leader::{AttemptId, Job, Leader, ReportedAttempt, StopReason};
use gladekeel_sched::JobIdx;
use gladekeel_wire::worker::TaskStatus;

/// How long a lost task of a gang that has not started may wait for another machine, in seconds.
/// After that, the whole gang restarts.
const REPLACEMENT_TIMEOUT_S: f64 = 5.0;

impl Leader {
    /// Whether no task of a gang has started and none is being stopped. In this state, a lost task
    /// can be replaced under the same attempt number while the other tasks wait. An attempt that an
    /// earlier leader assigned counts as started, since this leader does not know whether it has
    /// run.
    pub(in crate::leader) fn is_gang_unstarted(&self, job_idx: JobIdx) -> bool {
        self.jobs.contains_key(&job_idx) && self.attempts.of_job(job_idx).none_started()
    }

    /// Restarts each gang that has tasks on machines while its missing tasks were not bound within
    /// [`REPLACEMENT_TIMEOUT_S`]. Without the restart, the gang's waiting tasks would occupy their
    /// machines until the workers time out.
    pub(in crate::leader) fn restart_incomplete_gangs(&mut self, now: f64) {
        let is_incomplete = |job_idx: JobIdx, job: &Job| {
            job.is_gang()
                && !self.attempts.of_job(job_idx).is_empty()
                && !job.pending.is_empty()
                && job.pending.waited_s(now) > REPLACEMENT_TIMEOUT_S
        };
        let incomplete: Vec<JobIdx> = self
            .jobs
            .iter()
            .filter(|(job_idx, job)| is_incomplete(**job_idx, job))
            .map(|(job_idx, _)| *job_idx)
            .collect();
        for job_idx in incomplete {
            self.stop_gang(job_idx, StopReason::GangRestart);
        }
    }

    /// Stops all tasks of a gang that are not being stopped yet, and requests that the stops are
    /// sent to all of the gang's machines at once.
    pub(in crate::leader) fn stop_gang(&mut self, job_idx: JobIdx, reason: StopReason) {
        if !self.jobs.contains_key(&job_idx) {
            return;
        }
        // `stop_gang` is called for each task that ends, so it must be cheap: only the first call
        // finds tasks to stop, and the gang's machines are looked up once, when the next request is
        // built.
        self.commands.request_gang_commands(job_idx);
        if self.attempts.of_job(job_idx).all_stopping() {
            return;
        }
        for id in self.attempts.ids_of_job(job_idx) {
            self.attempts.update(id, |attempt| _ = attempt.stop_reason.get_or_insert(reason));
        }
    }

    /// Returns the number by which workers know an attempt. The tasks of a gang share one number,
    /// by which they find one another.
    pub(in crate::leader) fn reported_attempt(&self, id: AttemptId) -> u64 {
        let Some(attempt) = self.attempts.get(id) else { return id.to_log_value() };
        let is_gang = self.jobs.get(&attempt.job).is_some_and(Job::is_gang);
        if is_gang { id.gang_number(attempt.task_index) } else { id.to_log_value() }
    }

    /// Returns an attempt as its worker knows it; `None` if there is no such attempt.
    pub(in crate::leader) fn as_reported(&self, id: AttemptId) -> Option<ReportedAttempt> {
        let task_index = self.attempts.get(id)?.task_index;
        Some(ReportedAttempt { number: self.reported_attempt(id), task_index })
    }

    /// Returns the id of the attempt that a worker reports.
    pub(in crate::leader) fn attempt_id(&self, reported: &TaskStatus) -> AttemptId {
        let job_idx = self.job_names.get(&reported.task.job);
        match job_idx.and_then(|job_idx| self.jobs.get(&job_idx)) {
            Some(job) if job.is_gang() => {
                AttemptId::of_gang_task(reported.attempt, reported.task.index)
            }
            _ => AttemptId::from_log_value(reported.attempt),
        }
    }
}
