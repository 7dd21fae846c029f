//! Tasks on machines that go away: stopped in time, released once the machine is gone.

use crate::leader::{
    AssignmentPhase, Attempt, AttemptOutcome, Job, Leader, StopReason, machine::DeletionReason,
};
use gladekeel_sched::JobIdx;
use std::collections::BTreeMap;

impl Leader {
    /// Looks after machines that went away and tasks that must leave.
    pub(in crate::leader) fn evacuate_leaving_machines(&mut self, now: f64) {
        let (mut release, mut withdraw, mut stop) = (Vec::new(), Vec::new(), Vec::new());
        self.cluster
            .leaving
            .retain(|ix| self.cluster.machines.get(ix).is_some_and(|m| m.is_leaving()));
        let mut taken = Vec::new();
        let mut heard = BTreeMap::new();
        for ix in &self.cluster.leaving {
            let Some(machine) = self.cluster.machines.get(ix) else { continue };
            // The cloud takes it: what is left on it is lost, and to know that for
            // certain it is deleted.
            let over =
                machine.termination_at.is_some_and(|at| now >= at || machine.attempts.is_empty());
            if over && machine.deletion_reason.is_none() {
                taken.push(*ix);
            }
            for id in &machine.attempts {
                match self.attempts.get(*id) {
                    Some(attempt) if attempt.phase == AssignmentPhase::Proposed => {
                        withdraw.push(*id);
                    }
                    Some(_) if machine.deleted => release.push(*id),
                    Some(attempt)
                        if attempt.stop_reason.is_none()
                            && self.must_leave(now, attempt, &mut heard) =>
                    {
                        stop.push(*id);
                    }
                    _ => {}
                }
            }
        }
        for ix in taken {
            if let Some(machine) = self.cluster.machines.get_mut(&ix) {
                tracing::info!(
                    machine = machine.name,
                    tasks = machine.attempts.len(),
                    "taken: deleted"
                );
                machine.deletion_reason = Some(DeletionReason::SpotTermination);
            }
        }
        for id in stop {
            let job = self.attempts.get(id).map(|attempt| attempt.job);
            if let Some(job) = job.filter(|job| self.jobs.get(job).is_some_and(Job::is_gang)) {
                self.stop_gang(job, StopReason::Drained);
            } else {
                let machine = self.attempts.update(id, |attempt| {
                    attempt.stop_reason = Some(StopReason::Drained);
                    attempt.machine
                });
                self.commands.request_commands_on(machine);
            }
        }
        self.withdraw(&withdraw, now);
        for id in release {
            self.release(id, AttemptOutcome::Requeued);
        }
    }

    /// Whether a task on a machine that is on its way out should be stopped: while it
    /// still can save, or since it will not complete before the machine is taken and
    /// is better begun anew at once.
    fn must_leave(&self, now: f64, attempt: &Attempt, heard: &mut BTreeMap<JobIdx, bool>) -> bool {
        let (Some(machine), Some(job)) =
            (self.cluster.machines.get(&attempt.machine), self.jobs.get(&attempt.job))
        else {
            return false;
        };
        let Some(left_s) = machine.termination_at.map(|at| at - now) else {
            return machine.draining
                && job.spec.checkpoint_interval_s > 0.0
                && attempt.reported_state.is_some()
                && (!job.is_gang() || self.all_heard(attempt.job, now, heard));
        };
        let run_s = job.run_times.median_s().unwrap_or_else(|| self.expected_run(job));
        let ran = attempt.running_since.map_or(0.0, |since| now - since);
        let too_long = run_s - ran > left_s - 0.5;
        if !job.is_gang() || job.spec.checkpoint_interval_s == 0.0 {
            return too_long;
        }
        // A gang with too little time to save would fall back to its last checkpoint by
        // being stopped as by losing the machine; running on it may reach another one.
        too_long
            && left_s > job.grace_period_s(StopReason::Drained)
            && self.all_heard(attempt.job, now, heard)
    }

    /// Whether all machines of a gang are heard, so that a stop reaches all its tasks.
    /// `heard` keeps the answers that were worked out at the same time already.
    pub(in crate::leader) fn all_heard(
        &self,
        job_ix: JobIdx,
        now: f64,
        heard: &mut BTreeMap<JobIdx, bool>,
    ) -> bool {
        let late_s = self.deployment.workers.heartbeat_timeout_s();
        *heard.entry(job_ix).or_insert_with(|| {
            self.attempts.of_job(job_ix).machines().all(|ix| {
                let machine = self.cluster.machines.get(&ix);
                machine.is_some_and(|m| now - m.silent_since < late_s && m.missed_acks == 0)
            })
        })
    }
}
