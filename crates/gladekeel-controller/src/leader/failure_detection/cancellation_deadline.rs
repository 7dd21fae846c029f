//! Deletes machines on which tasks of a cancelled job might run past the cancellation deadline.
//!
//! On most unreachable machines, the expiry of the lease stops the tasks in time. A machine that
//! hangs does not act on the expiry of its lease while it hangs, but a machine that the cloud has
//! deleted certainly runs nothing ("Cancelled work ends in time" in `docs/safety.md`).
//!
//! The time at which a machine is deleted depends on the cancellation, and on when this process
//! loaded the store and began to lead. A new fencing token does not change it, and a new leader
//! comes to the same time or adds [`TAKEOVER_REPORT_S`], which is shorter than any term that a
//! resignation ends. A series of short terms therefore does not put the deletion off.

use super::thresholds::deletion_due_at;
use crate::leader::{AssignmentPhase, ClusterState, Leader, machine::DeletionReason};
use gladekeel_sched::{JobIdx, MachineIdx};
use std::collections::BTreeSet;

/// How much longer than the heartbeat timeout machines may report that they have stopped the tasks
/// if a job was cancelled at an unknown time or its deadline had passed before this node led, in
/// seconds.
const REPORT_MARGIN_S: f64 = 2.0;
/// For how long a new leader waits for reports before it deletes machines because of a cancellation,
/// in seconds.
pub const TAKEOVER_REPORT_S: f64 = 3.0;

/// When machines that may run tasks of a cancelled job are deleted, in seconds on the node's clock.
#[derive(Debug, Clone, Copy)]
struct DeletionTimes {
    /// For machines that this leader has seen.
    seen: f64,
    /// For machines that this leader has not seen. It is not later than `seen`.
    unseen: f64,
}

/// A machine that may run a task of a cancelled job, and when it must be deleted, in seconds on the
/// node's clock.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct CancellationDeletion {
    machine: MachineIdx,
    at: f64,
}

impl DeletionTimes {
    fn at(at: f64) -> DeletionTimes {
        DeletionTimes { seen: at, unseen: at }
    }
}

impl Leader {
    /// Marks for deletion the machines that may run tasks of a cancelled job past the job's
    /// cancellation deadline, and probes machines that this leader has not seen yet. The leader
    /// calls this function after each pass of the failure detector.
    pub(in crate::leader) fn enforce_cancellation_deadlines(&mut self, now: f64) {
        let mut overdue_machines = Vec::new();
        let mut unseen_machines = Vec::new();
        for job_idx in &self.cancelled_jobs_on_machines {
            let Some(times) = self.deletion_times(*job_idx) else { continue };
            if now < self.leading_since + TAKEOVER_REPORT_S {
                unseen_machines.extend(
                    self.machines_with_committed_attempts(*job_idx)
                        .filter(|machine_idx| !self.was_machine_seen(*machine_idx)),
                );
            } else if now >= times.unseen {
                overdue_machines.extend(self.machines_with_committed_attempts(*job_idx).filter(
                    |machine_idx| now >= times.seen || !self.was_machine_seen(*machine_idx),
                ));
            }
        }
        self.cancelled_jobs_on_machines.retain(|job_idx| {
            self.jobs.contains_key(job_idx) && !self.attempts.of_job(*job_idx).is_empty()
        });
        for machine_idx in unseen_machines {
            self.commands.request_probe(machine_idx);
        }
        for machine_idx in overdue_machines {
            let reason = DeletionReason::CancelledTaskMayRun;
            self.cluster.mark_for_deletion(now, machine_idx, reason);
        }
    }

    /// The deletions that the next term of this node must not put off. A task that is proven gone
    /// until then does not become known between the terms.
    pub(in crate::leader) fn cancellation_deletions(&self) -> Vec<CancellationDeletion> {
        let jobs = self.cancelled_jobs_on_machines.iter();
        jobs.filter_map(|job_idx| Some((job_idx, self.deletion_times(*job_idx)?.seen)))
            .flat_map(|(job_idx, at)| {
                self.machines_with_committed_attempts(*job_idx)
                    .map(move |machine| CancellationDeletion { machine, at })
            })
            .collect()
    }

    /// When the machines that may still run tasks of a cancelled job must be deleted. `None` if
    /// there is no such job.
    fn deletion_times(&self, job_idx: JobIdx) -> Option<DeletionTimes> {
        let job = self.jobs.get(&job_idx)?;
        let workers = &self.deployment.workers;
        let report_s = workers.heartbeat_timeout_s() + REPORT_MARGIN_S;
        let takeover_ends_at = self.leading_since + TAKEOVER_REPORT_S;
        let Some(cancelled_at) = job.cancelled_no_earlier_than else {
            return Some(DeletionTimes::at(
                (self.store_loaded_at + report_s).max(takeover_ends_at),
            ));
        };
        let deadline_s = workers.cancellation_deadline_s;
        if cancelled_at + deadline_s <= self.leading_since {
            // A machine that is seen does not hang, so its lease has ended the tasks in time.
            let seen = self.leading_since + report_s;
            return Some(DeletionTimes { seen, unseen: takeover_ends_at });
        }
        Some(DeletionTimes::at(deletion_due_at(cancelled_at, deadline_s).max(takeover_ends_at)))
    }

    fn was_machine_seen(&self, machine_idx: MachineIdx) -> bool {
        let machine = self.cluster.machines.get(&machine_idx);
        machine.is_some_and(|machine| machine.liveness.was_seen())
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

impl ClusterState {
    /// Marks the machines for deletion that may run tasks of cancelled jobs past their deadlines,
    /// and returns them. Used between two terms of this node, which may last as long as an outage
    /// of the store.
    pub(in crate::leader) fn mark_due_cancellation_deletions(
        &mut self,
        now: f64,
    ) -> Vec<MachineIdx> {
        let due = self.cancellation_deletions.iter().filter(|deletion| now >= deletion.at);
        let machines: BTreeSet<MachineIdx> = due.map(|deletion| deletion.machine).collect();
        for machine_idx in &machines {
            self.mark_for_deletion(now, *machine_idx, DeletionReason::CancelledTaskMayRun);
        }
        machines.into_iter().collect()
    }

    /// Drops the deletions of these machines, which the cloud has confirmed.
    pub(in crate::leader) fn drop_cancellation_deletions(&mut self, names: &[String]) {
        let deleted: BTreeSet<MachineIdx> =
            names.iter().filter_map(|name| self.machine_names.get(name.as_str())).collect();
        self.cancellation_deletions.retain(|deletion| !deleted.contains(&deletion.machine));
    }
}
