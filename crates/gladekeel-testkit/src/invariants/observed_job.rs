//! What the clients of a job have observed, in the order of the responses.
//!
//! Clients have several requests in flight at once, and the responses may overtake one
//! another. A response contradicts an earlier one only if its request was sent after the
//! earlier response had arrived.

use gladekeel_wire::job::JobState;

/// Kind of a client's request about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRequest {
    /// Submission of the job.
    Submit,
    /// Query of the job's state, or cancellation of the job.
    Other,
}

/// A response to a request about a job, or the timeout of the request.
#[derive(Debug, Clone, Copy)]
pub struct JobResponse {
    /// When the request was sent, in seconds.
    pub sent_at: f64,
    /// When the response arrived or the request timed out, in seconds.
    pub received_at: f64,
    /// Kind of the request.
    pub request: JobRequest,
    /// HTTP status of the response; 0 if the request timed out.
    pub status: u16,
    /// State of the job; `None` if the response does not contain it.
    pub state: Option<JobState>,
}

impl JobResponse {
    /// Whether the response shows that the job is known.
    pub(super) fn is_success(&self) -> bool {
        matches!(self.status, 200 | 201)
    }
}

/// What clients have observed of a job so far.
#[derive(Debug, Default)]
pub(super) struct ObservedJob {
    /// Whether a client has submitted the job.
    pub submitted: bool,
    /// Whether a client has requested the cancellation of the job.
    pub cancel_requested: bool,
    /// Since when all requests about the accepted job have failed; `None` if the latest request did
    /// not fail.
    pub failing_since: Option<f64>,
    /// When a client first observed that the job is accepted.
    pub accepted_at: Option<f64>,
    /// When a client first observed that the job is cancelled.
    pub cancelled_at: Option<f64>,
    /// When a client first observed a final state of the job.
    pub final_at: Option<f64>,
    /// Latest observed state. A non-final state does not replace a final state if the request for
    /// the non-final state was sent before a client had observed the final state.
    pub last_state: Option<JobState>,
}

impl ObservedJob {
    /// Records that a client observes that the job is accepted.
    pub fn accept(&mut self, now: f64) {
        self.accepted_at.get_or_insert(now);
    }

    /// Whether the request of `response` was sent after a client had observed that the job is
    /// accepted.
    pub fn accepted_before(&self, response: &JobResponse) -> bool {
        self.accepted_at.is_some_and(|accepted_at| response.sent_at >= accepted_at)
    }

    /// Whether the request of `response` was sent after a client had observed a final state of the
    /// job.
    pub fn final_before(&self, response: &JobResponse) -> bool {
        self.final_at.is_some_and(|final_at| response.sent_at >= final_at)
    }

    /// The final state that a client observed; `None` if no client has observed one.
    pub fn final_state(&self) -> Option<JobState> {
        self.last_state.filter(|state| state.is_final())
    }
}
