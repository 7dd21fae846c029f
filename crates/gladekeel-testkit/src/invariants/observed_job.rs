//! What the clients of a job have observed, in the order of the responses.
//!
//! Clients have several requests in flight at once, and the responses may overtake one
//! another. A response contradicts an earlier one only if its request was sent after that
//! one had arrived.

use gladekeel_wire::job::JobState;

/// What a client asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRequest {
    /// To accept the job.
    Submit,
    /// To tell its state or to cancel it.
    Other,
}

/// A response about a job, or the end of the wait for one.
#[derive(Debug, Clone, Copy)]
pub struct JobResponse {
    /// When the request was sent.
    pub sent_at: f64,
    /// When the response arrived.
    pub received_at: f64,
    /// The request.
    pub request: JobRequest,
    /// The status; 0 if there was no response in time.
    pub status: u16,
    /// The state of the job, if the response tells it.
    pub state: Option<JobState>,
}

impl JobResponse {
    /// Whether the job is known, by this response.
    pub(super) fn is_success(&self) -> bool {
        matches!(self.status, 200 | 201)
    }
}

/// The history of a job as its clients observe it.
#[derive(Debug, Default)]
pub(super) struct ObservedJob {
    /// A client has sent the submission.
    pub submitted: bool,
    /// A client has asked to cancel it.
    pub cancel_requested: bool,
    /// Since when requests have had no answer.
    pub unanswered_since: Option<f64>,
    /// When a client first observed that it is accepted.
    pub accepted_at: Option<f64>,
    /// When a client first observed that it is cancelled.
    pub cancelled_at: Option<f64>,
    /// When a client first observed a final state.
    pub final_at: Option<f64>,
    /// The latest observed state, by the order of the requests.
    pub last_state: Option<JobState>,
}

impl ObservedJob {
    /// A client observes that the job is accepted.
    pub fn accept(&mut self, now: f64) {
        self.accepted_at.get_or_insert(now);
    }

    /// Whether a client had observed the acceptance when it sent the request of a response.
    pub fn accepted_before(&self, response: &JobResponse) -> bool {
        self.accepted_at.is_some_and(|accepted_at| response.sent_at >= accepted_at)
    }

    /// Whether a client had observed a final state when it sent the request of a response.
    pub fn final_before(&self, response: &JobResponse) -> bool {
        self.final_at.is_some_and(|final_at| response.sent_at >= final_at)
    }

    /// The final state that was observed, if any.
    pub fn final_state(&self) -> Option<JobState> {
        self.last_state.filter(|state| state.is_final())
    }
}
