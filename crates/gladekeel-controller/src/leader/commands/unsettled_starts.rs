//! Tracking of direct starts that received no response, until it is certain that they can no longer
//! be executed.
//!
//! A worker may execute such a start at any later time while the fencing token and incarnation of
//! the start match its own. The start is settled by a newer incarnation of the worker, by the
//! deletion of the machine, or by a new token once the machine has sent a heartbeat under that
//! token.

use super::{WorkerOutcome, WorkerRequest};
use crate::leader::{Leader, Machine};

/// How long a start may remain unanswered before a new token is required to settle it, in seconds.
const UNSETTLED_START_S: f64 = 15.0;
/// How long a start of a cancelled job may remain unanswered before a new token is required, in
/// seconds. The limit is shorter because the task must never start.
const UNSETTLED_CANCELLED_START_S: f64 = 1.0;
/// For this many seconds after a start was found to have no response, a requested deletion of the
/// machine is expected to settle the start. No new token is required during this time.
const DELETION_TIMEOUT_S: f64 = 2.0 * UNSETTLED_START_S;

impl Machine {
    /// Whether a new token is required to settle a start that has been unanswered since `since`.
    /// `is_wanted` is false if the task must never start.
    fn needs_new_token(&self, now: f64, since: f64, is_wanted: bool) -> bool {
        // Only a heartbeat under the new token settles the start, so a new token has no use while
        // the machine sends no heartbeats.
        let sends_heartbeats = self.liveness.silent_since() > since;
        let deletion_may_settle = self.deletion.is_requested() && now - since < DELETION_TIMEOUT_S;
        let limit_s = if is_wanted { UNSETTLED_START_S } else { UNSETTLED_CANCELLED_START_S };
        sends_heartbeats && !deletion_may_settle && now - since > limit_s
    }
}

impl Leader {
    /// Settles the starts of a request whose outcome is known, or records that the starts received
    /// no response.
    pub(super) fn settle_starts(
        &mut self,
        now: f64,
        request: &WorkerRequest,
        outcome: &WorkerOutcome,
    ) {
        let Some(machine) = self.cluster.machines.get_mut(&request.machine) else { return };
        for id in &request.starts {
            if *outcome == WorkerOutcome::Unknown {
                machine.commands.record_unanswered_start(*id, now);
                self.commands.record_unsettled_start(request.machine);
            } else {
                machine.commands.settle_start(*id);
            }
        }
    }

    /// Whether any unanswered start requires a new token: the start has been unanswered for a long
    /// time, or for a short time if its job is cancelled and the start must never be executed.
    pub(in crate::leader) fn unsettled_start_needs_new_token(&mut self, now: f64) -> bool {
        let mut needs_new_token = false;
        self.commands.retain_unsettled_starts(|machine_idx| {
            let machine = self.cluster.machines.get(&machine_idx);
            let Some(machine) = machine.filter(|machine| !machine.deletion.is_confirmed()) else {
                return false;
            };
            let mut has_unanswered = false;
            for (id, since) in machine.commands.unanswered_starts() {
                has_unanswered = true;
                let job = self.attempts.get(id).and_then(|attempt| self.jobs.get(&attempt.job));
                let is_wanted = job.is_some_and(|job| !job.is_cancelled());
                needs_new_token |= machine.needs_new_token(now, since, is_wanted);
            }
            has_unanswered
        });
        needs_new_token
    }
}
