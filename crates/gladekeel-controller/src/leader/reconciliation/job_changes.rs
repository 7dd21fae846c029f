//! Changes of jobs: submission, cancellation, final state and removal, as seen in the store view.
//!
//! The node calls these functions for each change of its store view. A cancellation that this node
//! or another controller has committed is applied before the store view contains it, so that the
//! job's tasks are stopped at once ("Cancelled work ends in time" in `docs/safety.md`).

use crate::leader::{Job, Leader, StopReason};
use crate::store_view::{StoreView, StoredJob};
use gladekeel_sched::{JobIdx, TeamIdx};
use gladekeel_wire::JobId;

impl Leader {
    /// Adds a job that has appeared in the store view.
    pub fn add_job(&mut self, store: &StoreView, id: &JobId, now: f64) {
        let Some(stored) = store.jobs.get(id) else { return };
        let job_idx = self.job_names.intern(id);
        if self.jobs.contains_key(&job_idx) {
            return;
        }
        let Some(team) = self.catalog.teams.get(stored.spec.team.as_str()) else {
            tracing::error!(job = %id, team = stored.spec.team, "job of unknown team ignored");
            return;
        };
        let job = self.job_from_store(store, id, stored, team, now);
        let is_final = job.final_state.is_some();
        if is_final {
            self.log_writer.pending().add_removable_job(job_idx);
        }
        // If a job existed before this term, an earlier leader has counted its arrival. Gangs are
        // counted again, so that this leader rebuilds the warm pool for gangs at once.
        let is_new_in_term = now > self.term_started_at;
        let counts_as_arrival = !is_final && (is_new_in_term || job.is_gang());
        self.jobs.insert(job_idx, job);
        if counts_as_arrival {
            self.record_arrival(job_idx);
        }
        self.changed_progress.insert(job_idx);
        self.timers.request_cycle();
    }

    fn job_from_store(
        &mut self,
        store: &StoreView,
        id: &JobId,
        stored: &StoredJob,
        team: TeamIdx,
        now: f64,
    ) -> Job {
        let mut job = Job::new(&mut self.catalog, id.clone(), stored, team, now);
        if let Some(accepted_at) = stored.accepted_at {
            job.submitted_at = (accepted_at - self.epoch).min(now);
        }
        job.final_state = store.final_states.get(id).copied();
        let pending_cancellation = store.pending_cancellations.get(id);
        job.cancellation_pending = pending_cancellation.is_some();
        let not_before = store.cancelled_no_earlier_than.get(id).or(pending_cancellation);
        job.cancelled_no_earlier_than = not_before.copied().filter(|at| at.is_finite());
        job
    }

    /// Applies a final state that has appeared in the store view.
    pub fn apply_final_state(&mut self, store: &StoreView, id: &JobId) {
        let Some(job_idx) = self.job_names.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        let Some(final_state) = store.final_states.get(id).copied() else { return };
        job.final_state = Some(final_state);
        if !job.cancellation_pending {
            job.cancelled_no_earlier_than = store.cancelled_no_earlier_than.get(id).copied();
        }
        job.cancellation_pending = false;
        self.log_writer.pending().drop_completed_job(job_idx);
        if self.attempts.of_job(job_idx).is_empty() {
            self.log_writer.pending().add_removable_job(job_idx);
        }
        if job.is_cancelled() {
            self.stop_cancelled_job(job_idx);
        }
    }

    /// Applies a cancellation that this node or another controller has committed and that the store
    /// view does not contain yet. `not_before` is the time, on the node's clock, from which the
    /// cancellation deadline counts: if another controller committed the cancellation, a time at
    /// which the job was not cancelled yet; if this node committed it, the time of the store's
    /// response.
    pub fn apply_pending_cancellation(&mut self, id: &JobId, not_before: f64) {
        let Some(job_idx) = self.job_names.get(id) else { return };
        let job = self.jobs.get_mut(&job_idx).filter(|job| !job.is_finished());
        let Some(job) = job else { return };
        job.cancellation_pending = true;
        job.cancelled_no_earlier_than = Some(not_before).filter(|at| at.is_finite());
        self.stop_cancelled_job(job_idx);
    }

    /// Removes a job that is no longer in the store, unless the job still has attempts.
    pub fn forget_job(&mut self, id: &JobId) {
        let Some(job_idx) = self.job_names.get(id) else { return };
        if self.attempts.of_job(job_idx).is_empty() {
            self.jobs.remove(&job_idx);
        }
    }

    /// Marks all attempts of a cancelled job to be stopped, and requests that the stops be sent.
    fn stop_cancelled_job(&mut self, job_idx: JobIdx) {
        self.cancelled_jobs_on_machines.insert(job_idx);
        self.commands.request_commands_on(self.attempts.of_job(job_idx).machines());
        for id in self.attempts.ids_of_job(job_idx) {
            self.attempts.update(id, |attempt| {
                attempt.stop_reason = Some(StopReason::Cancelled);
                attempt.stops_sent = 0;
            });
        }
    }
}
