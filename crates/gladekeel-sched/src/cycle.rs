//! One round: which tasks go where, and what is stopped to make room.

mod binder;
mod gang;

use crate::{DenseIndex, ImageIdx, MachineTypeIdx, TeamIdx, ZoneIdx};
use crate::{
    Resources,
    fair_share::{Demand, FairShare},
    machine_index::MachineIndex,
};
use binder::Binder;

/// A machine that may take work.
#[derive(Debug, Clone)]
pub struct SchedulableMachine {
    /// What it has in all.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// Its type.
    pub machine_type: MachineTypeIdx,
    /// Its zone.
    pub zone: ZoneIdx,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Images that it has or fetches.
    pub cached_or_fetching: Vec<ImageIdx>,
    /// Images that it has for certain.
    pub cached_images: Vec<ImageIdx>,
    /// Whether it fetches an image now: another one would share its rate.
    pub fetching: bool,
    /// Whether it takes new work now.
    pub schedulable: bool,
    /// Whether it is kept for gangs.
    pub warm_pool: bool,
}

/// A team's bounds and use, in CPUs and GPUs.
#[derive(Debug, Clone, Copy)]
pub struct TeamQuota {
    /// What it is guaranteed.
    pub guaranteed: Resources,
    /// What it may use at most.
    pub limit: Resources,
    /// What its tasks use.
    pub used: Resources,
}

impl TeamQuota {
    /// Whether a further task stays fits_quota the limit.
    pub fn within_limit(&self, task: Resources) -> bool {
        fits_quota(self.used + task, self.limit)
    }

    /// Whether a further task stays fits_quota the guarantee.
    pub fn within_guarantee(&self, task: Resources) -> bool {
        fits_quota(self.used + task, self.guaranteed)
    }

    /// Whether it uses more than it is guaranteed.
    pub fn exceeds_guarantee(&self) -> bool {
        !fits_quota(self.used, self.guaranteed)
    }
}

/// Bounds of teams are in CPUs and GPUs; memory is not counted.
fn fits_quota(used: Resources, bound: Resources) -> bool {
    used.cpus <= bound.cpus && used.gpus <= bound.gpus
}

/// A job that wants room.
#[derive(Debug, Clone)]
pub struct SchedulableJob {
    /// Its team.
    pub team: TeamIdx,
    /// Greater goes first.
    pub priority: u8,
    /// What a task takes.
    pub task_request: Resources,
    /// Tasks that have not completed.
    pub remaining: u32,
    /// Tasks that are on no machine.
    pub pending: u32,
    /// How many of the pending ones are restarts.
    pub speculative_restarts: u32,
    /// The image.
    pub image: ImageIdx,
    /// Allowed machine types; none for any.
    pub machine_types: Option<Vec<MachineTypeIdx>>,
    /// The only allowed zone.
    pub zone: Option<ZoneIdx>,
    /// All tasks in one zone.
    pub single_zone: bool,
    /// At most this many tasks in a zone.
    pub max_tasks_per_zone: u32,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Tasks on machines, by zone.
    pub tasks_by_zone: Vec<u32>,
    /// All of its tasks start together or none does.
    pub gang: bool,
    /// A gang that waits for tasks in place of ones that are gone.
    pub replaces_gang_members: bool,
    /// For how long it has waited too long, in seconds, with nothing on any machine:
    /// the longest goes first.
    pub overdue_s: u32,
    /// It should start sooner than its image can be fetched, so for now only
    /// machines that have the image will do.
    pub requires_cached_image: bool,
}

/// A task to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Binding {
    /// The job.
    pub job: usize,
    /// The machine.
    pub machine: usize,
}

/// Everything that a round looks at. Placing changes it as it goes.
#[derive(Debug, Clone, Default)]
pub struct SchedulingCycle {
    /// The machines; ones without free room may be left out.
    pub machines: Vec<SchedulableMachine>,
    /// What all machines have together, those left out included.
    pub total_capacity: Resources,
    /// The teams.
    pub teams: Vec<TeamQuota>,
    /// The jobs, oldest first.
    pub jobs: Vec<SchedulableJob>,
    /// Most placements; the rest waits for the next round.
    pub max_bindings: usize,
    /// How often a machine was looked at, for placing to tell.
    pub machines_examined: u64,
}

impl SchedulingCycle {
    /// Places what the design says, in its order.
    pub fn run(&mut self, hopper: &FairShare) -> Vec<Binding> {
        let order = self.job_order();
        let targets = self.task_allocations(hopper);
        let index =
            MachineIndex::new(&self.machines, self.jobs.iter().filter(|job| job.pending > 0));
        let mut placing = Binder { cycle: self, index, bindings: Vec::new() };
        placing.run(hopper, &order, &targets);
        let (placed, looked) = (placing.bindings, placing.index.machines_examined);
        self.machines_examined += looked;
        placed
    }

    /// Whether the machines could hold a gang if nothing else were on them.
    fn could_hold(&self, index: usize) -> bool {
        let job = &self.jobs[index];
        let fits = |m: &SchedulableMachine| job.task_request.times_in(m.capacity, job.remaining);
        let machines = self.machines.iter().filter(|m| m.schedulable && self.is_feasible(job, m));
        machines.map(fits).sum::<u32>() >= job.remaining
    }

    /// Jobs by priority, then virtual size, then age; those that waited long first.
    pub fn job_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|index| {
            let job = &self.jobs[*index];
            (u32::MAX - job.overdue_s, u8::MAX - job.priority, job.remaining)
        });
        order
    }

    fn on_machines(&self, job: usize) -> u32 {
        self.jobs[job].remaining - self.jobs[job].pending
    }

    /// How many tasks of each job its share covers.
    pub fn task_allocations(&self, hopper: &FairShare) -> Vec<u32> {
        let mut targets = vec![0; self.jobs.len()];
        let mut left = 1.0;
        let mut priorities: Vec<u8> = self.jobs.iter().map(|job| job.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        for priority in priorities.into_iter().rev() {
            let group: Vec<usize> =
                (0..self.jobs.len()).filter(|job| self.jobs[*job].priority == priority).collect();
            let claims: Vec<Demand> = group
                .iter()
                .map(|job| {
                    let job = &self.jobs[*job];
                    Demand {
                        remaining: job.remaining,
                        task_share: job
                            .task_request
                            .dominant_share_of(self.total_capacity)
                            .min(1e6),
                    }
                })
                .collect();
            let parts = hopper.allocate(&claims, left);
            for ((job, claim), part) in group.into_iter().zip(claims).zip(parts) {
                let tasks = (part / claim.task_share.max(1e-12) + 1e-6).floor();
                targets[job] = (tasks.min(1e9) as u32).min(claim.remaining);
                left -= f64::from(targets[job]) * claim.task_share;
            }
            left = left.max(0.0);
        }
        targets
    }

    /// Counts a job's tasks on free room, as far as they fit.
    pub(crate) fn reserve_free(&mut self, index: usize) {
        for at in 0..self.machines.len() {
            let (job, machine) = (&self.jobs[index], &self.machines[at]);
            let team = &self.teams[job.team.position()];
            if !machine.schedulable || !self.is_feasible(job, machine) {
                continue;
            }
            let mut tasks = job.task_request.times_in(machine.free, job.pending);
            while tasks > 0 && !team.within_limit(job.task_request * i64::from(tasks)) {
                tasks -= 1;
            }
            let (task, team) = (job.task_request * i64::from(tasks), job.team.position());
            self.machines[at].free -= task;
            self.teams[team].used += task;
            self.jobs[index].pending -= tasks;
        }
    }

    /// Whether the job's rules allow a further task on the machine.
    fn is_feasible(&self, job: &SchedulableJob, machine: &SchedulableMachine) -> bool {
        (!job.requires_cached_image || machine.cached_images.contains(&job.image))
            && job.may_use(machine.machine_type, machine.zone, machine.spot)
    }
}

impl SchedulableJob {
    /// Whether its rules allow a further task on such machines.
    pub fn may_use(&self, kind: MachineTypeIdx, zone: ZoneIdx, spot: bool) -> bool {
        (self.spot || !spot)
            && self.machine_types.as_ref().is_none_or(|kinds| kinds.contains(&kind))
            && self.zone.is_none_or(|only| only == zone)
            && self.tasks_by_zone.get(zone.position()).copied().unwrap_or(0)
                < self.max_tasks_per_zone
            && (!self.single_zone
                || self
                    .tasks_by_zone
                    .iter()
                    .enumerate()
                    .all(|(at, n)| *n == 0 || at == zone.position()))
    }
}
