//! Deletes machines on which tasks of a cancelled job might run past the cancellation deadline.
//!
//! On most unreachable machines, the expiry of the lease stops the tasks in time. A machine that
//! hangs does not act on the expiry of its lease while it hangs, but a machine that the cloud has
//! deleted certainly runs nothing ("Cancelled work ends in time" in `docs/safety.md`).

use super::thresholds::deletion_due_at;
use crate::leader::{AssignmentPhase, Leader, machine::DeletionReason};
use gladekeel_sched::{JobIdx, MachineIdx};

/// How much longer than the heartbeat timeout a new leader that does not know when a job was
/// cancelled waits before it deletes machines, in seconds. Heartbeats that arrive during this wait
/// can show that the job's tasks are gone.
const TAKEOVER_MARGIN_S: f64 = 2.0;

impl Leader {
    /// Marks for deletion the machines that may run tasks of a cancelled job past the job's
    /// cancellation deadline. The leader calls this function after each pass of the failure
    /// detector.
    pub(in crate::leader) fn enforce_cancellation_deadlines(&mut self, now: f64) {
        let mut overdue_machines = Vec::new();
        for job_idx in &self.cancelled_jobs_on_machines {
            if self.is_cancellation_overdue(*job_idx, now) {
                overdue_machines.extend(self.machines_with_committed_attempts(*job_idx));
            }
        }
        self.cancelled_jobs_on_machines.retain(|job_idx| {
            self.jobs.contains_key(job_idx) && !self.attempts.of_job(*job_idx).is_empty()
        });
        for machine_idx in overdue_machines {
            let reason = DeletionReason::CancelledTaskMayRun;
            self.cluster.mark_for_deletion(now, machine_idx, reason);
        }
    }

    /// Whether the machines that may still run tasks of a cancelled job must be deleted now.
    fn is_cancellation_overdue(&self, job_idx: JobIdx, now: f64) -> bool {
        let Some(job) = self.jobs.get(&job_idx) else { return false };
        let workers = &self.deployment.workers;
        let due_at = match job.cancelled_no_earlier_than {
            f64::NEG_INFINITY => {
                self.term_started_at + workers.heartbeat_timeout_s() + TAKEOVER_MARGIN_S
            }
            cancelled_at => deletion_due_at(cancelled_at, workers.cancellation_deadline_s),
        };
        now >= due_at
    }

    fn machines_with_committed_attempts(
        &self,
        job_idx: JobIdx,
    ) -> impl Iterator<Item = MachineIdx> {
        let ids = self.attempts.of_job(job_idx).ids();
        let attempts = ids.iter().filter_map(|id| self.attempts.get(*id));
        attempts
            .filter(|attempt| attempt.phase == AssignmentPhase::Committed)
            .map(|attempt| attempt.machine)
    }
}
