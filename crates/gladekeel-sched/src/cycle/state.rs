//! The state of a scheduling cycle, with the functions by which binding and preemption query it.

use crate::fair_share::{Demand, FairShare};
use crate::snapshot::{SchedulableJob, SchedulableMachine, TeamQuota};
use crate::{DenseIndex, Resources};

/// Upper bound on the share of the cluster that one task requests. The bound keeps the share finite
/// if a task requests a resource of which the cluster has none.
const MAX_TASK_SHARE: f64 = 1e6;
/// Lower bound on a task's share of the cluster when an allocation is divided by the share, since a
/// task that requests nothing has a share of 0.
const MIN_TASK_SHARE: f64 = 1e-12;
/// Added to a number of tasks before rounding down, so that a floating-point error does not cost a
/// whole task.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Upper bound on an allocation, in tasks, before its conversion to an integer; the number of the
/// job's remaining tasks then limits the allocation further.
const MAX_TASKS: f64 = 1e9;

/// The snapshot that a scheduling cycle works on. Binding and preemption update this snapshot.
#[derive(Debug, Clone, Default)]
pub struct SchedulingCycle {
    /// The machines; machines without free resources may be left out.
    pub machines: Vec<SchedulableMachine>,
    /// Total capacity of all machines, including those left out of `machines`.
    pub total_capacity: Resources,
    /// The teams, each at the position that its [`TeamIdx`](crate::TeamIdx) denotes.
    pub teams: Vec<TeamQuota>,
    /// The jobs, oldest first.
    pub jobs: Vec<SchedulableJob>,
    /// Maximum number of bindings; further tasks wait for the next cycle.
    pub max_bindings: usize,
    /// How many times a machine or pool was examined: the cost of a cycle, for metrics and load
    /// tests.
    pub machines_examined: u64,
}

impl SchedulingCycle {
    /// Returns the positions of the jobs in scheduling order: overdue jobs first, by descending
    /// waiting time; then by descending priority, ascending virtual size and descending age.
    pub fn job_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|position| {
            let job = &self.jobs[*position];
            (u32::MAX - job.overdue_s, u8::MAX - job.priority, job.remaining)
        });
        order
    }

    /// Returns how many tasks of each job its fair share covers, by the job's position. Jobs of
    /// higher priority get their shares first; [`FairShare`] divides what is left at each priority.
    pub fn task_allocations(&self, fair_share: &FairShare) -> Vec<u32> {
        let mut allocations = vec![0; self.jobs.len()];
        let mut unallocated = 1.0;
        for priority in self.priorities_descending() {
            let jobs: Vec<usize> = (0..self.jobs.len())
                .filter(|position| self.jobs[*position].priority == priority)
                .collect();
            let demands: Vec<Demand> = jobs.iter().map(|job| self.demand(*job)).collect();
            let shares = fair_share.allocate(&demands, unallocated);
            for ((job, demand), share) in jobs.into_iter().zip(demands).zip(shares) {
                allocations[job] = whole_tasks(share, demand);
                unallocated -= f64::from(allocations[job]) * demand.task_share;
            }
            unallocated = unallocated.max(0.0);
        }
        allocations
    }

    fn priorities_descending(&self) -> impl Iterator<Item = u8> + use<> {
        let mut priorities: Vec<u8> = self.jobs.iter().map(|job| job.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        priorities.into_iter().rev()
    }

    fn demand(&self, position: usize) -> Demand {
        let job = &self.jobs[position];
        let task_share = job.task_request.dominant_share_of(self.total_capacity);
        Demand { remaining: job.remaining, task_share: task_share.min(MAX_TASK_SHARE) }
    }

    /// Returns the quota of a job's team.
    pub(crate) fn team_of(&self, job: &SchedulableJob) -> &TeamQuota {
        &self.teams[job.team.position()]
    }

    /// Whether the schedulable machines could hold the whole gang if no other task were on them.
    pub(super) fn could_hold_gang(&self, position: usize) -> bool {
        let job = &self.jobs[position];
        let usable = self.machines.iter().filter(|m| m.schedulable && job.is_feasible_on(m));
        let tasks = usable.map(|m| job.task_request.times_in(m.capacity, job.remaining));
        tasks.sum::<u32>() >= job.remaining
    }

    /// Reserves free resources for as many of a gang's pending tasks as fit and counts those tasks
    /// as placed, so that preemption has to free resources only for the gang's remaining tasks.
    pub(crate) fn reserve_free_resources(&mut self, position: usize) {
        let job = &mut self.jobs[position];
        let team = &mut self.teams[job.team.position()];
        for machine in &mut self.machines {
            if !machine.schedulable || !job.is_feasible_on(machine) {
                continue;
            }
            let mut tasks = job.task_request.times_in(machine.free, job.pending);
            while tasks > 0 && !team.within_limit(job.task_request * i64::from(tasks)) {
                tasks -= 1;
            }
            let requested = job.task_request * i64::from(tasks);
            machine.free -= requested;
            team.used += requested;
            job.pending -= tasks;
        }
    }
}

/// Returns the number of whole tasks that `share` covers, at most the number of the job's remaining
/// tasks.
fn whole_tasks(share: f64, demand: Demand) -> u32 {
    let tasks = (share / demand.task_share.max(MIN_TASK_SHARE) + ROUNDING_TOLERANCE).floor();
    (tasks.min(MAX_TASKS) as u32).min(demand.remaining)
}
