//! Starts that had no response, until it is certain that they can no longer be executed.
//!
//! A worker may execute an unanswered start at any later time while its fencing token and
//! incarnation match. A newer incarnation, the machine's deletion and a new token settle it; the
//! last one once the machine sends a heartbeat under it.

use super::{WorkerOutcome, WorkerRequest};
use crate::leader::{Leader, Machine};

/// After this time an unanswered start is settled by a new token.
const UNSETTLED_START_S: f64 = 15.0;
/// The same if its job is cancelled: it must never start.
const UNSETTLED_CANCELLED_START_S: f64 = 1.0;
/// A machine whose deletion was requested is given this long to settle its starts by going.
const DELETION_SETTLES_S: f64 = 2.0 * UNSETTLED_START_S;

impl Machine {
    /// Whether a start that has been unanswered `since` needs a new token to be settled.
    fn needs_new_token(&self, now: f64, since: f64, is_wanted: bool) -> bool {
        // A heartbeat under the new token is what settles it: without heartbeats there is none.
        let sends_heartbeats = self.liveness.silent_since() > since;
        let settled_by_deletion = self.deletion.is_requested() && now - since < DELETION_SETTLES_S;
        let limit_s = if is_wanted { UNSETTLED_START_S } else { UNSETTLED_CANCELLED_START_S };
        sends_heartbeats && !settled_by_deletion && now - since > limit_s
    }
}

impl Leader {
    /// Settles the starts of a request that has an outcome, or notes that they had no response.
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

    /// Whether an unanswered start needs a new token: its job is cancelled, so that it must
    /// never be executed, or it has been unanswered for long.
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
