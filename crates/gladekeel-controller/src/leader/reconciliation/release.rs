//! The end of an attempt: proven to be off its machine, then committed, then forgotten.

use crate::leader::{AssignmentPhase, AttemptId, AttemptOutcome, Leader, StopReason};
use gladekeel_sched::DenseIndex;

impl Leader {
    /// Marks an attempt as off its machine. It keeps its room until that is committed.
    pub(in crate::leader) fn release(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        let released = self.attempts.update(id, |attempt| {
            let live = attempt.phase == AssignmentPhase::Committed;
            if live {
                attempt.phase = AssignmentPhase::Releasing(outcome);
            }
            live.then_some((attempt.job, attempt.task_index))
        });
        let Some((job_ix, index)) = released.flatten() else { return };
        self.log_writer.released.insert(id);
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        if job.is_gang() && outcome == AttemptOutcome::Done {
            // The tasks of a gang complete together: one that is done tells of all.
            if job.done.count() < job.spec.tasks {
                (0..job.spec.tasks).for_each(|index| _ = job.done.insert(index));
            }
            self.changed_progress.insert(job_ix);
            if job.final_state.is_none() {
                self.log_writer.finished.insert(job_ix);
            }
        } else if job.is_gang() && !job.is_finished() && !self.is_gang_unstarted(job_ix) {
            self.stop_gang(job_ix, StopReason::GangRestart);
        }
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        if outcome == AttemptOutcome::Restarted {
            job.restarted.insert(index);
        }
        if outcome == AttemptOutcome::Done && job.done.insert(index) {
            self.changed_progress.insert(job_ix);
            if job.done.count() == job.spec.tasks && job.final_state.is_none() {
                self.log_writer.finished.insert(job_ix);
            }
        }
    }

    /// The room of an attempt is free: its release is committed, or it never was.
    pub(in crate::leader) fn free(&mut self, id: AttemptId, outcome: AttemptOutcome, now: f64) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        if let Some(machine) = self.cluster.machines.get_mut(&attempt.machine) {
            machine.attempts.remove(&id);
            machine.requested -= attempt.resources;
            if machine.attempts.is_empty() {
                machine.idle_since = now;
            }
        }
        if let Some(job) = self.jobs.get_mut(&attempt.job) {
            self.teams[job.team.position()].used -= attempt.resources;
            job.zone_placement.remove(attempt.zone);
            job.requeue(attempt.task_index, outcome, now);
            if job.final_state.is_some() && self.attempts.of_job(attempt.job).is_empty() {
                self.log_writer.cleared.insert(attempt.job);
            }
            self.changed_progress.insert(attempt.job);
        }
        self.timers.request_cycle();
    }
}
