//! Demand: how many machines of each type the unfinished jobs need.

use crate::leader::{Job, Leader};
use gladekeel_sched::{
    DenseIndex, JobIdx, MachineTypeIdx, Resources, TeamIdx, autoscaling::JobDemand,
};
use std::collections::BTreeMap;

/// Maximum number of tasks that are assumed to fit on one machine.
const MAX_TASKS_PER_MACHINE: u32 = 1000;
/// Stands for unlimited memory, since quotas don't limit memory: more than any job requests, and
/// small enough that sums don't overflow.
const UNLIMITED_MEMORY: i64 = i64::MAX / 4;
/// Minimum expected run time of a task.
const MIN_RUN_S: f64 = 1.0;
/// Assumed fetch rate for images if no machine type fits the job.
const DEFAULT_FETCH_GB_PER_S: f64 = 1.0;
/// Minimum assumed fetch rate for images.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// The demands of unfinished jobs for one machine type.
#[derive(Debug, Default)]
pub(super) struct MachineTypeDemand {
    /// Demands of all jobs.
    pub any: Vec<JobDemand>,
    /// Demands of the jobs that may not use spot machines.
    pub on_demand_only: Vec<JobDemand>,
}

/// The machine type that a job is planned for, and how the job's tasks fit on its machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineFit {
    pub machine_type: MachineTypeIdx,
    /// How many of the job's tasks fit on one machine.
    pub tasks_per_machine: u32,
}

impl Leader {
    /// Returns the demands of unfinished jobs by machine type. Tasks that would exceed their team's
    /// limit are left out; older jobs use the limit first.
    pub(super) fn demands_by_machine_type(
        &self,
        now: f64,
    ) -> BTreeMap<MachineTypeIdx, MachineTypeDemand> {
        let mut demands: BTreeMap<MachineTypeIdx, MachineTypeDemand> = BTreeMap::new();
        let mut quotas = RemainingQuotas(self.teams.iter().map(|team| team.limit).collect());
        for (job_idx, job) in self.jobs.iter().filter(|(_, job)| !job.is_finished()) {
            let Some(fit) = self.cheapest_fit(job) else { continue };
            let allowed_tasks = quotas.take(job.team, job.task_request, job.remaining());
            let demand = self.job_demand(now, *job_idx, job, fit, allowed_tasks);
            let of_type = demands.entry(fit.machine_type).or_default();
            of_type.any.push(demand);
            if !job.spec.spot {
                of_type.on_demand_only.push(demand);
            }
        }
        demands
    }

    /// Returns the demand of a job of which `allowed_tasks` may run within the team's limit.
    fn job_demand(
        &self,
        now: f64,
        job_idx: JobIdx,
        job: &Job,
        fit: MachineFit,
        allowed_tasks: u32,
    ) -> JobDemand {
        let running = (self.attempts.of_job(job_idx).len() as u32).min(allowed_tasks);
        let pending = if job.backoff.is_active(now) { 0 } else { allowed_tasks - running };
        let tasks_per_machine = f64::from(fit.tasks_per_machine);
        let run_s = self.expected_run_s(job);
        JobDemand {
            pending: f64::from(pending) / tasks_per_machine,
            running: f64::from(running) / tasks_per_machine,
            run_s,
            time_left_s: job.time_allowed_s(&self.deployment, run_s) - (now - job.submitted_at),
            gang: job.is_gang(),
        }
    }

    /// How long a machine of the cheapest type that fits the job takes to fetch the job's image, in
    /// seconds.
    pub(in crate::leader) fn image_fetch_s(&self, job: &Job) -> f64 {
        let machine_type =
            self.cheapest_fit(job).and_then(|fit| self.catalog.machine_type(fit.machine_type));
        let gb_per_s = machine_type.map_or(DEFAULT_FETCH_GB_PER_S, |t| t.fetch_gb_per_s);
        job.spec.image_gb / gb_per_s.max(MIN_FETCH_GB_PER_S)
    }

    /// How long a task of the job is expected to run, in seconds: the user's estimate, corrected by
    /// the ratio of actual to estimated run times of the job's class.
    pub(in crate::leader) fn expected_run_s(&self, job: &Job) -> f64 {
        let ratio = self.cluster.run_time_ratios.get(&job.spec.class).copied().unwrap_or(1.0);
        (job.spec.estimate_s * ratio).max(MIN_RUN_S)
    }

    /// Returns the machine type on which a job's tasks cost least at list prices; `None` if the
    /// cloud offers no machine type that fits.
    pub(super) fn cheapest_fit(&self, job: &Job) -> Option<MachineFit> {
        let all: Vec<MachineTypeIdx> = self.catalog.machine_type_indices().collect();
        job.machine_types
            .as_ref()
            .unwrap_or(&all)
            .iter()
            .filter_map(|machine_type_idx| self.fit_with_task_price(job, *machine_type_idx))
            .min_by(|(price, _), (other, _)| price.total_cmp(other))
            .map(|(_, fit)| fit)
    }

    /// Returns how a job's tasks fit on machines of a type, with the price of one task per hour;
    /// `None` if no task fits on a machine or the type is not offered in the job's zone.
    fn fit_with_task_price(
        &self,
        job: &Job,
        machine_type_idx: MachineTypeIdx,
    ) -> Option<(f64, MachineFit)> {
        let machine_type = self.catalog.machine_type(machine_type_idx)?;
        let capacity = self.catalog.capacity(machine_type_idx)?;
        let tasks_per_machine = job.task_request.times_in(capacity, MAX_TASKS_PER_MACHINE);
        let in_allowed_zone =
            job.zone.is_none_or(|zone| machine_type.zones.contains(self.catalog.zones.name(zone)));
        if tasks_per_machine == 0 || !in_allowed_zone {
            return None;
        }
        let task_price = machine_type.price / f64::from(tasks_per_machine);
        Some((task_price, MachineFit { machine_type: machine_type_idx, tasks_per_machine }))
    }
}

/// The unused part of each team's limit, by team.
struct RemainingQuotas(Vec<Resources>);

impl RemainingQuotas {
    /// Subtracts the resources of up to `max_tasks` tasks from the remaining part of a team's
    /// limit, and returns the number of tasks for which the remaining part sufficed.
    fn take(&mut self, team: TeamIdx, task_request: Resources, max_tasks: u32) -> u32 {
        let remaining = &mut self.0[team.position()];
        let available = Resources { memory: UNLIMITED_MEMORY, ..*remaining };
        let tasks = task_request.times_in(available, max_tasks);
        *remaining -= task_request * i64::from(tasks);
        tasks
    }
}
