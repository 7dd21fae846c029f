//! Requests about accepted jobs succeed once the faults are over.

use super::{Invariant, InvariantChecker, JobResponse};
use gladekeel_wire::JobId;

/// How long requests about a job may keep failing once all faults are over, in seconds.
const MAX_UNAVAILABLE_S: f64 = 75.0;

impl InvariantChecker {
    pub(super) fn check_availability(
        &mut self,
        job: &JobId,
        response: &JobResponse,
    ) -> Option<Invariant> {
        let observed = self.observed_jobs.entry(job.clone()).or_default();
        if matches!(response.status, 200 | 201 | 404) {
            observed.failing_since = None;
            return None;
        }
        observed.accepted_at?;
        let since = *observed.failing_since.get_or_insert(response.received_at);
        if response.received_at - since.max(self.faults_cleared_at) <= MAX_UNAVAILABLE_S {
            return None;
        }
        observed.failing_since = None;
        Some(Invariant::Availability)
    }
}
