//! The end of an attempt: proven to be off its machine, then committed, then forgotten.

use super::{AttemptId, Leader, Phase, StopReason, attempt::Outcome};

impl Leader {
    /// Marks an attempt as off its machine. It keeps its room until that is committed.
    pub(super) fn release(&mut self, id: AttemptId, outcome: Outcome) {
        let released = self.attempts.update(id, |attempt| {
            let live = attempt.phase == Phase::Live;
            if live {
                attempt.phase = Phase::Releasing(outcome);
            }
            live.then_some((attempt.job, attempt.index))
        });
        let Some((job_ix, index)) = released.flatten() else { return };
        self.commits.released.insert(id);
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        if job.is_gang() && outcome == Outcome::Done {
            // The tasks of a gang complete together: one that is done tells of all.
            if job.done.count() < job.spec.tasks {
                (0..job.spec.tasks).for_each(|index| _ = job.done.add(index));
            }
            self.changed_counts.insert(job_ix);
            if job.final_state.is_none() {
                self.commits.finished.insert(job_ix);
            }
        } else if job.is_gang() && !job.over() && !self.still_waits(job_ix) {
            self.stop_gang(job_ix, StopReason::Regroup);
        }
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        if outcome == Outcome::Restart {
            job.restarted.add(index);
        }
        if outcome == Outcome::Done && job.done.add(index) {
            self.changed_counts.insert(job_ix);
            if job.done.count() == job.spec.tasks && job.final_state.is_none() {
                self.commits.finished.insert(job_ix);
            }
        }
    }

    /// The room of an attempt is free: its release is committed, or it never was.
    pub(super) fn free(&mut self, id: AttemptId, outcome: Outcome, now: f64) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        if let Some(machine) = self.cluster.machines.get_mut(&attempt.machine) {
            machine.attempts.remove(&id);
            machine.used -= attempt.room;
            if machine.attempts.is_empty() {
                machine.idle_since = now;
            }
        }
        if let Some(job) = self.jobs.get_mut(&attempt.job) {
            self.teams[job.team as usize].used -= attempt.room;
            job.count_zone(attempt.zone, -1);
            if outcome != Outcome::Done {
                job.requeue(attempt.index, outcome == Outcome::Restart, now);
            }
            if job.final_state.is_some() && self.attempts.of_job(attempt.job).is_empty() {
                self.commits.cleared.insert(attempt.job);
            }
            self.changed_counts.insert(attempt.job);
        }
        self.timers.request_round();
    }
}
