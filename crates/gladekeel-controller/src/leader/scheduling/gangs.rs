//! Gangs: their tasks share an attempt number, and are stopped together.

use crate::leader::{AttemptId, Job, Leader, StopReason};
use gladekeel_sched::JobIdx;
use gladekeel_wire::worker::TaskStatus;

/// How long a place is looked for to replace a task of a gang that waits.
const REPLACE_S: f64 = 5.0;

impl Leader {
    /// Whether a gang has not started and is not being stopped: a task of it that is gone
    /// can be replaced under the same number while the others wait. Of what an earlier
    /// leader placed it is not known whether it has run.
    pub(in crate::leader) fn still_waits(&self, job_ix: JobIdx) -> bool {
        self.jobs.contains_key(&job_ix) && self.attempts.of_job(job_ix).none_started()
    }

    /// Gangs that lack a task and find no place for it begin anew, rather than hold
    /// machines until they give up by themselves.
    pub(in crate::leader) fn end_incomplete(&mut self, now: f64) {
        let gangs = self.jobs.iter().filter(|(ix, job)| {
            job.is_gang()
                && !self.attempts.of_job(**ix).is_empty()
                && !job.pending.is_empty()
                && job.pending.waited_s(now) > REPLACE_S
        });
        for ix in gangs.map(|(ix, _)| *ix).collect::<Vec<_>>() {
            self.stop_gang(ix, StopReason::GangRestart);
        }
    }

    /// Stops all tasks of a gang that are not being stopped yet: one decision for all,
    /// sent to all at once.
    pub(in crate::leader) fn stop_gang(&mut self, job_ix: JobIdx, why: StopReason) {
        if !self.jobs.contains_key(&job_ix) {
            return;
        }
        // Each task that ends asks for this: only the first time there is something to
        // stop, and the machines are gathered when the next command is sent.
        self.commands.request_gang_commands(job_ix);
        if self.attempts.of_job(job_ix).all_stopping() {
            return;
        }
        for id in self.attempts.ids_of_job(job_ix) {
            self.attempts.update(id, |attempt| _ = attempt.stop_reason.get_or_insert(why));
        }
    }

    /// The number under which a worker knows an attempt. The tasks of a gang share
    /// one: that is how they find one another.
    pub(in crate::leader) fn reported_attempt(&self, id: AttemptId) -> u64 {
        let Some(attempt) = self.attempts.get(id) else { return id.logged() };
        let gang = self.jobs.get(&attempt.job).is_some_and(Job::is_gang);
        if gang { id.gang_number(attempt.task_index) } else { id.logged() }
    }

    /// The attempt that a worker speaks of.
    pub(in crate::leader) fn attempt_id(&self, reported: &TaskStatus) -> AttemptId {
        let job = self.job_names.get(&reported.task.job).and_then(|ix| self.jobs.get(&ix));
        match job {
            Some(job) if job.is_gang() => {
                AttemptId::of_gang_task(reported.attempt, reported.task.index)
            }
            _ => AttemptId::from_logged(reported.attempt),
        }
    }
}
