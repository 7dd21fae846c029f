//! The states of a job that clients observe are consistent: a final state does not change,
//! only a job whose client requested its cancellation is cancelled, and a job that is done has
//! completed all its tasks.

use super::{Invariant, InvariantChecker, JobResponse};
use gladekeel_wire::{JobId, TaskId, job::JobState};

impl InvariantChecker {
    /// Checks the state in a response against the states that clients have observed before, and
    /// records the state.
    pub(super) fn check_state_order(
        &mut self,
        job: &JobId,
        response: &JobResponse,
    ) -> Option<Invariant> {
        let state = response.state?;
        let observed = self.observed_jobs.entry(job.clone()).or_default();
        let final_state = observed.final_state();
        // Two different final states contradict each other, whichever was observed first.
        let comparable = observed.final_before(response) || state.is_final();
        let contradicts = final_state.is_some_and(|before| before != state && comparable);
        let unrequested = state == JobState::Cancelled && !observed.cancel_requested;
        if state.is_final() {
            observed.final_at.get_or_insert(response.received_at);
        }
        if state == JobState::Cancelled {
            observed.cancelled_at.get_or_insert(response.received_at);
            self.cancelled.insert(job.clone());
        }
        if final_state.is_none() || comparable {
            observed.last_state = Some(state);
        }
        (contradicts || unrequested).then_some(Invariant::StateOrder)
    }

    /// Checks that a job that is reported as done has completed all its tasks, because its client
    /// then reads the results.
    pub(super) fn check_done_is_completed(
        &self,
        job: &JobId,
        response: &JobResponse,
    ) -> Option<Invariant> {
        if response.state != Some(JobState::Done) {
            return None;
        }
        let tasks = self.specs.get(job).map_or(0, |spec| spec.tasks);
        let incomplete =
            (0..tasks).any(|index| !self.completed.contains(&TaskId { job: job.clone(), index }));
        incomplete.then_some(Invariant::DoneIsCompleted)
    }
}
