//! Gangs: their tasks share an attempt number, and are stopped together.
//!
//! Upholds "Gangs" of `docs/safety.md`, together with release and replay.

use crate::leader::{AttemptId, Job, Leader, StopReason};
use gladekeel_sched::JobIdx;
use gladekeel_wire::worker::TaskStatus;

/// For how long a machine is sought to replace a lost task of a gang that has not started.
const REPLACEMENT_TIMEOUT_S: f64 = 5.0;

impl Leader {
    /// Whether no task of a gang has started or is being stopped: one that is lost can be replaced
    /// under the same number while the others wait. Of attempts that an earlier leader has
    /// assigned it is not known whether they have run, so they count as started.
    pub(in crate::leader) fn is_gang_unstarted(&self, job_idx: JobIdx) -> bool {
        self.jobs.contains_key(&job_idx) && self.attempts.of_job(job_idx).none_started()
    }

    /// Restarts gangs that lack a task and find no machine for it, rather than let them hold
    /// machines until the workers give up.
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

    /// Stops all tasks of a gang that are not being stopped yet: one decision for all,
    /// sent to all at once.
    pub(in crate::leader) fn stop_gang(&mut self, job_idx: JobIdx, reason: StopReason) {
        if !self.jobs.contains_key(&job_idx) {
            return;
        }
        // Each task that ends asks for this. Only the first call has something to stop, and the
        // machines are looked up once, when the next request is built.
        self.commands.request_gang_commands(job_idx);
        if self.attempts.of_job(job_idx).all_stopping() {
            return;
        }
        for id in self.attempts.ids_of_job(job_idx) {
            self.attempts.update(id, |attempt| _ = attempt.stop_reason.get_or_insert(reason));
        }
    }

    /// The number under which a worker knows an attempt. The tasks of a gang share
    /// one: that is how they find one another.
    pub(in crate::leader) fn reported_attempt(&self, id: AttemptId) -> u64 {
        let Some(attempt) = self.attempts.get(id) else { return id.logged() };
        let is_gang = self.jobs.get(&attempt.job).is_some_and(Job::is_gang);
        if is_gang { id.gang_number(attempt.task_index) } else { id.logged() }
    }

    /// The id of the attempt that a worker reports.
    pub(in crate::leader) fn attempt_id(&self, reported: &TaskStatus) -> AttemptId {
        let job_idx = self.job_names.get(&reported.task.job);
        match job_idx.and_then(|job_idx| self.jobs.get(&job_idx)) {
            Some(job) if job.is_gang() => {
                AttemptId::of_gang_task(reported.attempt, reported.task.index)
            }
            _ => AttemptId::from_logged(reported.attempt),
        }
    }
}
