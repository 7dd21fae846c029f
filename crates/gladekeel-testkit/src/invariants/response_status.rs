//! Repeated and malformed requests have one right status.
//!
//! Clients repeat what they got no answer to, and rely on 200 for a job that is known. A
//! request that can't be carried out is refused for its own reason, now or later.

use super::{Invariant, InvariantChecker};

impl InvariantChecker {
    /// A request whose only right status is `expected` is answered with `status`. It may also
    /// be rate limited, be put off, or get no answer (0).
    pub fn check_status(&mut self, now: f64, expected: u16, status: u16, request: &str) {
        let put_off = matches!(status, 0 | 429 | 503 | 504);
        if status != expected && !put_off {
            let details = format!("{now:.2}: {status} instead of {expected}: {request}");
            self.report(Invariant::ResponseStatus, details);
        }
    }

    /// Bytes that are no request are answered with `status`: they must be refused, or put off.
    pub fn check_invalid_bytes_status(&mut self, status: u16) {
        if !(400..500).contains(&status) && status != 503 {
            let details = format!("invalid bytes got status {status}");
            self.report(Invariant::InvalidBytesRefused, details);
        }
    }
}
