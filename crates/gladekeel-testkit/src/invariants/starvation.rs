//! A job does not stay pending while free machines could run it.
//!
//! This is a liveness check: it only applies while no fault is active.

use super::{Invariant, InvariantChecker, LIMIT_TOLERANCE, running_tasks::TeamUsage};
use crate::stand_ins::resources::Resources;
use gladekeel_wire::{
    JobId,
    job::{JobKind, JobSpec, JobState},
};
use std::collections::BTreeSet;

/// How long a job may be pending while free machines could run it, in seconds.
const MAX_PENDING_S: f64 = 90.0;

/// A healthy machine with its free resources.
#[derive(Debug, Clone)]
pub struct FreeCapacity {
    /// Type of the machine.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Resources of the machine that no task uses.
    pub free: Resources,
}

impl FreeCapacity {
    fn is_allowed_by(&self, spec: &JobSpec) -> bool {
        (!self.spot || spec.spot)
            && spec.machine_types.as_ref().is_none_or(|types| types.contains(&self.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.zone)
    }

    /// How many tasks of a job fit on the machine, at most `max`.
    fn count_fitting(&self, spec: &JobSpec, max: u32) -> u32 {
        let (mut free, mut count) = (self.free, 0);
        while count < max && free.fits(spec) {
            free = free.without(spec);
            count += 1;
        }
        count
    }
}

impl InvariantChecker {
    /// Reports jobs that have been pending for too long although the machines in `free` could
    /// run them. `active` holds the jobs that have tasks on machines, including tasks whose image
    /// is being fetched.
    pub fn check_pending(&mut self, now: f64, free: &[FreeCapacity], active: &BTreeSet<JobId>) {
        if now < self.faults_cleared_at {
            return self.pending_since.clear();
        }
        let pending = self.startable_jobs(free, active);
        self.pending_since.retain(|job, _| pending.contains(job));
        for job in pending {
            let since = *self.pending_since.entry(job.clone()).or_insert(now);
            if now - since > MAX_PENDING_S {
                // Prevents a second report while the job stays pending.
                self.pending_since.insert(job.clone(), f64::MAX);
                self.report(
                    Invariant::NoStarvation,
                    format!("{now:.2}: {job} pending since {since:.2}"),
                );
            }
        }
    }

    /// Returns the accepted, unfinished jobs that have no tasks on machines but could start now.
    fn startable_jobs(&self, free: &[FreeCapacity], active: &BTreeSet<JobId>) -> BTreeSet<JobId> {
        let startable = |job: &JobId| {
            let Some(spec) = self.specs.get(job) else { return false };
            // Tasks of the class `faulty` fail on every machine, and the leader backs off before it
            // starts them again.
            let backed_off = spec.class == "faulty";
            !backed_off && self.has_capacity(spec, free) && !self.all_tasks_completed(job)
        };
        let unfinished = self.observed_jobs.iter().filter(|(_, observed)| {
            let finished = observed.last_state.is_none_or(JobState::is_final);
            observed.accepted_at.is_some() && !observed.cancel_requested && !finished
        });
        unfinished
            .map(|(job, _)| job)
            .filter(|job| !active.contains(*job) && startable(job))
            .cloned()
            .collect()
    }

    /// Whether a job that has no tasks on machines could start now: enough machines are free, and
    /// the team's limit allows the tasks.
    fn has_capacity(&self, spec: &JobSpec, free: &[FreeCapacity]) -> bool {
        // An array can start with one task; other jobs need all their tasks to start at once.
        let tasks_at_once = if spec.kind == JobKind::Array { 1 } else { spec.tasks };
        let mut fitting = 0;
        for machine in free.iter().filter(|machine| machine.is_allowed_by(spec)) {
            fitting += machine.count_fitting(spec, tasks_at_once - fitting);
        }
        self.is_within_quota(spec, tasks_at_once) && fitting >= tasks_at_once
    }

    /// Whether the team's limit allows this number of additional tasks of a job.
    fn is_within_quota(&self, spec: &JobSpec, tasks: u32) -> bool {
        let TeamUsage { cpus, gpus } = self.running.used_by_team(&spec.team);
        let limit = self.deployment.teams.iter().find(|limit| limit.name == spec.team);
        limit.is_some_and(|limit| {
            cpus + spec.cpus * f64::from(tasks) <= limit.cpus_max + LIMIT_TOLERANCE
                && gpus + spec.gpus * f64::from(tasks) <= limit.gpus_max + LIMIT_TOLERANCE
        })
    }
}
