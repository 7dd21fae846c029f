//! Tracking of direct starts that received no response, until it is certain that they can no longer
//! be executed.
//!
//! A worker may execute such a start at any later time while the fencing token and incarnation of
//! the start match those of the worker. It can no longer be executed once the worker has a newer
//! incarnation, the machine is deleted, or the machine has sent a heartbeat under a new token of
//! the leader.

use super::{WorkerOutcome, WorkerRequest};
use crate::leader::{Leader, Machine};

/// How long a start may remain without a response before the leader requires a new fencing token,
/// in seconds. A worker that knows the new token refuses the start.
const UNANSWERED_START_S: f64 = 15.0;
/// How long a start of a cancelled job may remain without a response before the leader requires a
/// new fencing token, in seconds. The limit is shorter because the task must never start.
const UNANSWERED_CANCELLED_START_S: f64 = 1.0;
/// If the deletion of a machine is requested, the leader requires no new fencing token for this
/// many seconds after a start received no response: the deletion, once confirmed, proves that the
/// start can no longer be executed.
const DELETION_TIMEOUT_S: f64 = 2.0 * UNANSWERED_START_S;

impl Machine {
    /// Whether the leader needs a new fencing token, so that the worker refuses a start that has
    /// been without a response since `since`. `is_wanted` is false if the task must never start.
    fn needs_new_token(&self, now: f64, since: f64, is_wanted: bool) -> bool {
        // Only a heartbeat under the new token proves that the worker refuses the start, so a new
        // token has no use while the machine sends no heartbeats.
        let sends_heartbeats = self.liveness.last_seen_or_known_since() > since;
        let deletion_is_awaited = self.deletion.is_requested() && now - since < DELETION_TIMEOUT_S;
        let limit_s = if is_wanted { UNANSWERED_START_S } else { UNANSWERED_CANCELLED_START_S };
        sends_heartbeats && !deletion_is_awaited && now - since > limit_s
    }
}

impl Leader {
    /// Records whether the starts of a request were executed.
    pub(super) fn record_start_outcomes(
        &mut self,
        now: f64,
        request: &WorkerRequest,
        outcome: &WorkerOutcome,
    ) {
        let Some(machine) = self.cluster.machines.get_mut(&request.machine) else { return };
        for attempt in &request.starts {
            match outcome {
                WorkerOutcome::Done(_) => machine.commands.starts.record_executed(*attempt),
                WorkerOutcome::NotExecuted | WorkerOutcome::NotSent => {
                    machine.commands.starts.record_not_executed(*attempt);
                }
                WorkerOutcome::Unknown => {
                    machine.commands.starts.record_unanswered(*attempt, now);
                    self.commands.record_unanswered_start(request.machine);
                }
            }
        }
    }

    /// Whether the leader needs a new fencing token because a start has been without a response for
    /// too long. The limit is shorter if the job is cancelled, since the task must then never
    /// start.
    pub(in crate::leader) fn unanswered_start_needs_new_token(&mut self, now: f64) -> bool {
        let mut needs_new_token = false;
        self.commands.retain_unanswered_starts(|machine_idx| {
            let machine = self.cluster.machines.get(&machine_idx);
            let Some(machine) = machine.filter(|machine| !machine.deletion.is_confirmed()) else {
                return false;
            };
            let mut has_unanswered = false;
            for (id, since) in machine.commands.starts.unanswered() {
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
