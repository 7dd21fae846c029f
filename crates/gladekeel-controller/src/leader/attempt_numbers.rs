//! Attempt numbers, which are unique across all leaders.

use gladekeel_wire::job::MAX_TASKS;

/// How many attempts can be numbered under one fencing token. The number of an attempt is the
/// token times this plus a counter, so that no two leaders ever use the same number.
const ATTEMPTS_PER_TOKEN: u64 = 1 << 24;

/// The attempt numbers that belong to one fencing token, in ascending order.
#[derive(Debug)]
pub(super) struct AttemptNumbers {
    next: u64,
    end: u64,
}

impl AttemptNumbers {
    /// Returns all attempt numbers that belong to a fencing token.
    pub fn of_token(token: u64) -> AttemptNumbers {
        AttemptNumbers { next: token * ATTEMPTS_PER_TOKEN, end: (token + 1) * ATTEMPTS_PER_TOKEN }
    }

    /// Reserves `count` consecutive numbers and returns the first.
    pub fn reserve(&mut self, count: u32) -> u64 {
        let first = self.next;
        self.next += u64::from(count);
        first
    }

    /// Whether the numbers may soon run out, so that the leader needs a new fencing token: fewer
    /// numbers are left than two jobs of the maximum size need.
    pub fn are_nearly_exhausted(&self) -> bool {
        self.next + 2 * u64::from(MAX_TASKS) > self.end
    }
}
