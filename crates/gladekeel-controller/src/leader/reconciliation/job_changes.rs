//! Jobs as they come, are cancelled and go, in the store and by word of other controllers.

use crate::leader::{Job, Leader, StopReason};
use crate::store_view::StoreView;
use gladekeel_sched::JobIdx;
use gladekeel_wire::JobId;

impl Leader {
    /// Adds a job that is new in the store.
    pub fn add_job(&mut self, store: &StoreView, id: &JobId, now: f64) {
        let Some(stored) = store.jobs.get(id) else { return };
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
            job.submitted_at = (accepted - self.epoch).min(now);
        }
        job.final_state = store.final_states.get(id).copied();
        job.cancellation_pending = store.pending_cancellations.contains_key(id);
        let after = store.cancelled_no_earlier_than.get(id).or(store.pending_cancellations.get(id));
        job.cancelled_no_earlier_than = after.copied().unwrap_or(f64::NEG_INFINITY);
        if job.final_state.is_some() {
            self.log_writer.cleared.insert(ix);
        }
        let new = now > self.since && job.final_state.is_none();
        self.jobs.insert(ix, job);
        // Of gangs a new leader wants to know at once how much room to keep for them.
        if new || self.jobs.get(&ix).is_some_and(|job| job.is_gang() && job.final_state.is_none()) {
            self.count_arrival(ix);
        }
        self.changed_progress.insert(ix);
        self.timers.request_cycle();
    }

    /// Applies a final state that is new in the store.
    pub fn apply_final_state(&mut self, store: &StoreView, id: &JobId) {
        let Some(ix) = self.job_names.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        let Some(final_state) = store.final_states.get(id).copied() else { return };
        job.final_state = Some(final_state);
        if !job.cancellation_pending {
            let after = store.cancelled_no_earlier_than.get(id).copied();
            job.cancelled_no_earlier_than = after.unwrap_or(f64::NEG_INFINITY);
        }
        job.cancellation_pending = false;
        if job.final_state.is_some() {
            self.log_writer.finished.remove(&ix);
            if self.attempts.of_job(ix).is_empty() {
                self.log_writer.cleared.insert(ix);
            }
        }
        if job.is_cancelled() {
            self.stop_job(ix);
        }
    }

    /// Applies a cancellation that another controller has committed, some time after
    /// `after`.
    pub fn apply_pending_cancellation(&mut self, id: &JobId, after: f64) {
        let Some(ix) = self.job_names.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&ix).filter(|job| !job.is_finished()) else { return };
        job.cancellation_pending = true;
        job.cancelled_no_earlier_than = after;
        self.stop_job(ix);
    }

    /// Removes a job that the store no longer has.
    pub fn forget_job(&mut self, id: &JobId) {
        let Some(ix) = self.job_names.get(id) else { return };
        if self.attempts.of_job(ix).is_empty() {
            self.jobs.remove(&ix);
        }
    }

    fn stop_job(&mut self, ix: JobIdx) {
        if !self.jobs.contains_key(&ix) {
            return;
        }
        self.cancelled_on_machines.insert(ix);
        self.commands.request_commands_on(self.attempts.of_job(ix).machines());
        for id in self.attempts.ids_of_job(ix) {
            self.attempts.update(id, |attempt| {
                attempt.stop_reason = Some(StopReason::Cancelled);
                attempt.stops_sent = 0;
            });
        }
    }
}
