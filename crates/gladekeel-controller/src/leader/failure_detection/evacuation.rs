//! Evacuation of machines that are drained, reclaimed or deleted: their tasks are stopped in time,
//! and released once the deletion of the machine is confirmed.

use crate::leader::{
    AssignmentPhase, Attempt, AttemptId, AttemptOutcome, ClusterState, Job, Leader, Machine,
    StopReason, machine::DeletionReason, reconciliation::release::ReleaseProof,
};
use gladekeel_sched::{JobIdx, MachineIdx};
use std::collections::BTreeMap;

/// A task may continue if it is expected to complete at least this many seconds before its machine
/// is reclaimed.
const TERMINATION_MARGIN_S: f64 = 0.5;

/// Caches for each gang whether all of its machines are reachable at one point in time.
#[derive(Debug, Default)]
pub(in crate::leader) struct GangReachability(BTreeMap<JobIdx, bool>);

/// The steps that evacuate the machines that are leaving the cluster.
#[derive(Debug, Default)]
struct Evacuation {
    /// Machines to mark for deletion because the cloud reclaims them.
    reclaimed: Vec<MachineIdx>,
    /// Proposed attempts to withdraw, whose tasks are to be placed on other machines.
    withdraw: Vec<AttemptId>,
    /// Attempts to stop, either to save their progress or because they would not complete in time.
    stop: Vec<AttemptId>,
    /// Attempts to release because the deletion of their machine is confirmed.
    release: Vec<AttemptId>,
}

impl ClusterState {
    /// Marks a machine for deletion, unless it is already marked.
    pub(in crate::leader) fn mark_for_deletion(
        &mut self,
        now: f64,
        machine_idx: MachineIdx,
        reason: DeletionReason,
    ) {
        let Some(machine) = self.machines.get_mut(&machine_idx) else { return };
        if machine.mark_for_deletion(now, reason) {
            self.leaving.insert(machine_idx);
        }
    }
}

impl Leader {
    /// Moves tasks off the machines that are leaving the cluster. The leader calls this function in
    /// each tick, and when the cloud has confirmed deletions.
    pub(in crate::leader) fn evacuate_leaving_machines(&mut self, now: f64) {
        let machines = &self.cluster.machines;
        self.cluster.leaving.retain(|idx| machines.get(idx).is_some_and(Machine::is_leaving));
        let evacuation = self.plan_evacuation(now);
        for machine_idx in evacuation.reclaimed {
            self.cluster.mark_for_deletion(now, machine_idx, DeletionReason::SpotTermination);
        }
        for id in evacuation.stop {
            self.stop_for_drain(id);
        }
        self.withdraw_proposals(&evacuation.withdraw, now);
        for id in evacuation.release {
            self.release(now, id, AttemptOutcome::Requeued, ReleaseProof::MachineDeleted);
        }
    }

    fn plan_evacuation(&self, now: f64) -> Evacuation {
        let mut evacuation = Evacuation::default();
        let mut gangs = GangReachability::default();
        for machine_idx in &self.cluster.leaving {
            let Some(machine) = self.cluster.machines.get(machine_idx) else { continue };
            if is_reclaimed(machine, now) {
                evacuation.reclaimed.push(*machine_idx);
            }
            for id in machine.attempts() {
                let Some(attempt) = self.attempts.get(*id) else { continue };
                if attempt.phase == AssignmentPhase::Proposed {
                    evacuation.withdraw.push(*id);
                } else if machine.deletion.is_confirmed() {
                    evacuation.release.push(*id);
                } else if attempt.stop_reason.is_none() && self.must_stop(now, attempt, &mut gangs)
                {
                    evacuation.stop.push(*id);
                }
            }
        }
        evacuation
    }

    /// Stops an attempt, or its whole gang if it is part of one, so that progress can be saved.
    fn stop_for_drain(&mut self, id: AttemptId) {
        let job_idx = self.attempts.get(id).map(|attempt| attempt.job);
        let is_gang = |job_idx: &JobIdx| self.jobs.get(job_idx).is_some_and(Job::is_gang);
        if let Some(job_idx) = job_idx.filter(is_gang) {
            self.stop_gang(job_idx, StopReason::Drained);
        } else {
            let machine_idx = self.attempts.update(id, |attempt| {
                attempt.stop_reason = Some(StopReason::Drained);
                attempt.machine
            });
            self.commands.request_commands_on(machine_idx);
        }
    }

    /// Whether a task on a machine that is leaving should be stopped now: either because the task
    /// can still save its progress, or because it will not complete before the machine is
    /// reclaimed, so that an immediate restart on another machine is better.
    fn must_stop(&self, now: f64, attempt: &Attempt, gangs: &mut GangReachability) -> bool {
        let (Some(machine), Some(job)) =
            (self.cluster.machines.get(&attempt.machine), self.jobs.get(&attempt.job))
        else {
            return false;
        };
        match machine.termination_at {
            None => machine.draining && self.can_save(now, attempt, job, gangs),
            Some(at) => self.must_stop_before_termination(now, at - now, attempt, job, gangs),
        }
    }

    /// Whether a task can save its progress when it is stopped now.
    fn can_save(
        &self,
        now: f64,
        attempt: &Attempt,
        job: &Job,
        gangs: &mut GangReachability,
    ) -> bool {
        job.spec.checkpoint_interval_s > 0.0
            && attempt.reported_state.is_some()
            && (!job.is_gang() || self.is_gang_reachable(attempt.job, now, gangs))
    }

    /// Whether a task should be stopped on a machine that is reclaimed in `remaining_s` seconds.
    fn must_stop_before_termination(
        &self,
        now: f64,
        remaining_s: f64,
        attempt: &Attempt,
        job: &Job,
        gangs: &mut GangReachability,
    ) -> bool {
        let expected_run_s = job.run_times.median_s().unwrap_or_else(|| self.expected_run_s(job));
        let elapsed_s = attempt.running_since.map_or(0.0, |since| now - since);
        let exceeds_termination = expected_run_s - elapsed_s > remaining_s - TERMINATION_MARGIN_S;
        if !job.is_gang() || job.spec.checkpoint_interval_s == 0.0 {
            return exceeds_termination;
        }
        // If there is too little time to save progress, the gang falls back to its last checkpoint,
        // whether it is stopped now or loses the machine later. If the gang continues, it may reach
        // another checkpoint.
        exceeds_termination
            && remaining_s > job.grace_period_s(StopReason::Drained)
            && self.is_gang_reachable(attempt.job, now, gangs)
    }

    /// Whether all machines of a gang are reachable, so that a stop reaches all tasks of the gang.
    /// Progress that only some of the tasks save is of no use.
    pub(in crate::leader) fn is_gang_reachable(
        &self,
        job_idx: JobIdx,
        now: f64,
        cache: &mut GangReachability,
    ) -> bool {
        let heartbeat_timeout_s = self.deployment.workers.heartbeat_timeout_s();
        *cache.0.entry(job_idx).or_insert_with(|| {
            self.attempts.of_job(job_idx).machines().all(|machine_idx| {
                self.cluster.machines.get(&machine_idx).is_some_and(|machine| {
                    machine.liveness.since_last_seen_s(now) < heartbeat_timeout_s
                        && machine.acknowledgements.missed() == 0
                })
            })
        })
    }
}

/// Whether a machine that the cloud reclaims is to be deleted now: the time of its termination has
/// come, or the machine is idle. Tasks that are still on the machine are lost; the confirmation of
/// the deletion proves that they are off the machine.
fn is_reclaimed(machine: &Machine, now: f64) -> bool {
    machine.termination_at.is_some_and(|at| now >= at || machine.is_idle())
}
