//! Each repeated or malformed request has exactly one correct response status.
//!
//! Clients repeat requests that got no response, and rely on status 200 for a job that is already
//! known. A request that cannot be executed must get the status that stands for its error, at once
//! or when the client retries the request.

use super::{Invariant, InvariantChecker};

impl InvariantChecker {
    /// Checks the status of the response to a request whose only correct status is `expected`.
    /// The request may also be rate limited, get a temporary error or get no response (status 0).
    pub fn check_response_status(&mut self, now: f64, expected: u16, status: u16, request: &str) {
        let is_temporary = matches!(status, 0 | 429 | 503 | 504);
        if status != expected && !is_temporary {
            let details = format!("{now:.2}: {status} instead of {expected}: {request}");
            self.report(Invariant::ResponseStatus, details);
        }
    }

    /// Checks the status of the response to bytes that are not a valid request: they must be
    /// refused, or get the temporary error 503.
    pub fn check_invalid_bytes_status(&mut self, status: u16) {
        if !(400..500).contains(&status) && status != 503 {
            let details = format!("invalid bytes got status {status}");
            self.report(Invariant::InvalidBytesRefused, details);
        }
    }
}
