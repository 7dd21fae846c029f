//! Jobs as they come, are cancelled and go, in the store and by word of other controllers.

use super::{Job, Leader, StopReason};
use crate::world::World;
use gladekeel_wire::JobId;

impl Leader {
    /// Adds a job that is new in the store.
    pub fn add_job(&mut self, world: &World, id: &JobId, now: f64) {
        let Some(stored) = world.jobs.get(id) else { return };
        let ix = self.job_names.intern(id);
        if self.jobs.contains_key(&ix) {
            return;
        }
        let Some(team) = self.catalog.teams.get(stored.spec.team.as_str()) else {
            tracing::error!(job = %id, team = stored.spec.team, "job of an unknown team");
            return;
        };
        let mut job = Job::new(&mut self.catalog, id.clone(), stored, team, now);
        if let Some(accepted) = stored.accepted_at {
            job.known_at = (accepted - self.epoch).min(now);
        }
        job.final_state = world.final_states.get(id).copied();
        job.called_off = world.called_off.contains_key(id);
        let after = world.cancelled_after.get(id).or(world.called_off.get(id));
        job.cancelled_after = after.copied().unwrap_or(f64::NEG_INFINITY);
        if job.final_state.is_some() {
            self.commits.cleared.insert(ix);
        }
        let new = now > self.since && job.final_state.is_none();
        self.jobs.insert(ix, job);
        // Of gangs a new leader wants to know at once how much room to keep for them.
        if new || self.jobs.get(&ix).is_some_and(|job| job.is_gang() && job.final_state.is_none()) {
            self.count_arrival(ix);
        }
        self.changed_counts.insert(ix);
        self.timers.request_round();
    }

    /// Applies a final state that is new in the store.
    pub fn apply_final_state(&mut self, world: &World, id: &JobId) {
        let Some(ix) = self.job_names.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        let Some(final_state) = world.final_states.get(id).copied() else { return };
        job.final_state = Some(final_state);
        if !job.called_off {
            let after = world.cancelled_after.get(id).copied();
            job.cancelled_after = after.unwrap_or(f64::NEG_INFINITY);
        }
        job.called_off = false;
        if job.final_state.is_some() {
            self.commits.finished.remove(&ix);
            if self.attempts.of_job(ix).is_empty() {
                self.commits.cleared.insert(ix);
            }
        }
        if job.cancelled() {
            self.stop_job(ix);
        }
    }

    /// Applies a cancellation that another controller has committed, some time after
    /// `after`.
    pub fn call_off(&mut self, id: &JobId, after: f64) {
        let Some(ix) = self.job_names.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&ix).filter(|job| !job.over()) else { return };
        job.called_off = true;
        job.cancelled_after = after;
        self.stop_job(ix);
    }

    /// Removes a job that the store no longer has.
    pub fn forget_job(&mut self, id: &JobId) {
        let Some(ix) = self.job_names.get(id) else { return };
        if self.attempts.of_job(ix).is_empty() {
            self.jobs.remove(&ix);
        }
    }

    fn stop_job(&mut self, ix: u32) {
        if !self.jobs.contains_key(&ix) {
            return;
        }
        self.ending.insert(ix);
        self.direct.wanted.extend(self.attempts.of_job(ix).machines());
        for id in self.attempts.ids_of_job(ix) {
            self.attempts.update(id, |attempt| {
                attempt.stop = Some(StopReason::Cancelled);
                attempt.stop_sent = 0;
            });
        }
    }
}
