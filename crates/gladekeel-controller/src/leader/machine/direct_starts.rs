//! The direct starts that were sent to a worker under the leader's current token.
//!
//! A direct start may reach the worker again at any later time, also after a response has shown
//! that it was executed. A copy has no effect while the worker lists the attempt, or once the
//! worker has seen a higher token or begun a new incarnation. Until then no forget command is sent
//! for the attempt, unless its task is complete ("Forgetting" in `docs/safety.md`).

use crate::leader::{AttemptId, ReportedAttempt};
use std::collections::BTreeMap;

/// How many direct starts of one machine may be kept here. A machine with this many gets its starts
/// with the responses to its heartbeats, which are never executed late. This bounds what the worker
/// lists in its heartbeats beyond the tasks that are assigned to it.
const MAX_DIRECT_STARTS: usize = 128;

/// What is known about the first execution of a direct start.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Execution {
    /// The response to the start is awaited.
    InFlight,
    /// The start received no response, which was recorded at the time `since`.
    Unanswered { since: f64 },
    /// The worker executed the start, so it lists the attempt until it is told to forget it.
    Executed,
}

/// A direct start.
#[derive(Debug)]
struct DirectStart {
    id: AttemptId,
    execution: Execution,
    /// Whether the task is complete. The worker keeps the result of a completed task and does not
    /// run the task again.
    completed: bool,
}

/// The direct starts that were sent to one worker under the current token, except those that can
/// no longer run a task.
#[derive(Debug, Default)]
pub struct DirectStarts {
    starts: BTreeMap<ReportedAttempt, DirectStart>,
}

impl DirectStarts {
    /// Records that a request with these starts is being sent.
    pub fn begin(&mut self, starts: &[(AttemptId, ReportedAttempt)]) {
        for (id, attempt) in starts {
            let start = DirectStart { id: *id, execution: Execution::InFlight, completed: false };
            self.starts.insert(*attempt, start);
        }
    }

    /// Records that a start received no response, unless it is no longer kept.
    pub fn record_unanswered(&mut self, attempt: ReportedAttempt, now: f64) {
        if let Some(start) = self.starts.get_mut(&attempt) {
            start.execution = Execution::Unanswered { since: now };
        }
    }

    /// Records that the worker has executed a start.
    pub fn record_executed(&mut self, attempt: ReportedAttempt) {
        if let Some(start) = self.starts.get_mut(&attempt) {
            start.execution = Execution::Executed;
        }
        self.remove_if_harmless(attempt);
    }

    /// Records that a start did not reach the worker, or that the worker refused it for good.
    pub fn record_not_executed(&mut self, attempt: ReportedAttempt) {
        self.starts.remove(&attempt);
    }

    /// Records that the task of an attempt is complete.
    pub fn record_completion(&mut self, attempt: ReportedAttempt) {
        if let Some(start) = self.starts.get_mut(&attempt) {
            start.completed = true;
        }
        self.remove_if_harmless(attempt);
    }

    fn remove_if_harmless(&mut self, attempt: ReportedAttempt) {
        let is_harmless =
            |start: &DirectStart| start.completed && start.execution == Execution::Executed;
        if self.starts.get(&attempt).is_some_and(is_harmless) {
            self.starts.remove(&attempt);
        }
    }

    /// Drops all starts. The worker must refuse them, because of its incarnation or its token.
    pub fn clear(&mut self) {
        self.starts.clear();
    }

    /// Whether the start of an attempt may still be executed for the first time.
    pub fn may_still_start(&self, attempt: ReportedAttempt) -> bool {
        self.starts.get(&attempt).is_some_and(|start| start.execution != Execution::Executed)
    }

    /// Whether a start of this attempt would run the task again once the worker has forgotten the
    /// attempt.
    pub fn forbids_forget(&self, attempt: ReportedAttempt) -> bool {
        self.starts.contains_key(&attempt)
    }

    /// The number of attempts that have ended and that the worker only lists because of their
    /// starts. `is_assigned` says whether an attempt is still assigned to the machine.
    pub fn ended(&self, is_assigned: impl Fn(&AttemptId) -> bool) -> usize {
        self.starts.values().filter(|start| !is_assigned(&start.id)).count()
    }

    /// Whether there is no room left, and ended attempts take most of it.
    pub fn are_mostly_ended(&self, is_assigned: impl Fn(&AttemptId) -> bool) -> bool {
        self.room() == 0 && self.ended(is_assigned) > MAX_DIRECT_STARTS / 2
    }

    /// How many more tasks may be started directly on the machine.
    pub fn room(&self) -> usize {
        MAX_DIRECT_STARTS.saturating_sub(self.starts.len())
    }

    /// The starts that received no response, each with the time at which this was recorded.
    pub fn unanswered(&self) -> impl Iterator<Item = (AttemptId, f64)> {
        self.starts.values().filter_map(|start| match start.execution {
            Execution::Unanswered { since } => Some((start.id, since)),
            Execution::InFlight | Execution::Executed => None,
        })
    }
}
