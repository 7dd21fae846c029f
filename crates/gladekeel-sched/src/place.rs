//! One round: which tasks go where, and what is stopped to make room.

mod gang;
mod placing;

use crate::{
    Room,
    index::Index,
    share::{Claim, Hopper},
};
use placing::Placing;

/// A machine that may take work.
#[derive(Debug, Clone)]
pub struct Machine {
    /// What it has in all.
    pub whole: Room,
    /// What is free.
    pub free: Room,
    /// Its type.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Images that it has or fetches.
    pub images: Vec<u32>,
    /// Images that it has for certain.
    pub ready: Vec<u32>,
    /// Whether it fetches an image now: another one would share its rate.
    pub fetching: bool,
    /// Whether it takes new work now.
    pub open: bool,
    /// Whether it is kept for gangs.
    pub standby: bool,
}

/// A team's bounds and use, in CPUs and GPUs.
#[derive(Debug, Clone, Copy)]
pub struct Team {
    /// What it is guaranteed.
    pub guarantee: Room,
    /// What it may use at most.
    pub limit: Room,
    /// What its tasks use.
    pub used: Room,
}

impl Team {
    /// Whether a further task stays within the limit.
    pub fn allows(&self, task: Room) -> bool {
        within(self.used + task, self.limit)
    }

    /// Whether a further task stays within the guarantee.
    pub fn guarantees(&self, task: Room) -> bool {
        within(self.used + task, self.guarantee)
    }

    /// Whether it uses more than it is guaranteed.
    pub fn borrows(&self) -> bool {
        !within(self.used, self.guarantee)
    }
}

/// Bounds of teams are in CPUs and GPUs; memory is not counted.
fn within(used: Room, bound: Room) -> bool {
    used.cpus <= bound.cpus && used.gpus <= bound.gpus
}

/// A job that wants room.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its team.
    pub team: u32,
    /// Greater goes first.
    pub priority: u8,
    /// What a task takes.
    pub task: Room,
    /// Tasks that have not completed.
    pub remaining: u32,
    /// Tasks that are on no machine.
    pub pending: u32,
    /// How many of the pending ones are restarts.
    pub restarts: u32,
    /// The image.
    pub image: u32,
    /// Allowed machine types; none for any.
    pub kinds: Option<Vec<u32>>,
    /// The only allowed zone.
    pub zone: Option<u32>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most this many tasks in a zone.
    pub zone_cap: u32,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Tasks on machines, by zone.
    pub by_zone: Vec<u32>,
    /// All of its tasks start together or none does.
    pub gang: bool,
    /// A gang that waits for tasks in place of ones that are gone.
    pub completes: bool,
    /// For how long it has waited too long, in seconds, with nothing on any machine:
    /// the longest goes first.
    pub overdue: u32,
    /// It should start sooner than its image can be fetched, so for now only
    /// machines that have the image will do.
    pub hurried: bool,
}

/// A task to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The job.
    pub job: usize,
    /// The machine.
    pub machine: usize,
}

/// Everything that a round looks at. Placing changes it as it goes.
#[derive(Debug, Clone, Default)]
pub struct Round {
    /// The machines; ones without free room may be left out.
    pub machines: Vec<Machine>,
    /// What all machines have together, those left out included.
    pub whole: Room,
    /// The teams.
    pub teams: Vec<Team>,
    /// The jobs, oldest first.
    pub jobs: Vec<Job>,
    /// Most placements; the rest waits for the next round.
    pub most: usize,
    /// How often a machine was looked at, for placing to tell.
    pub looked: u64,
}

impl Round {
    /// Places what the design says, in its order.
    pub fn place(&mut self, hopper: &Hopper) -> Vec<Placement> {
        let order = self.order();
        let targets = self.targets(hopper);
        let index = Index::new(&self.machines, self.jobs.iter().filter(|job| job.pending > 0));
        let mut placing = Placing { round: self, index, placed: Vec::new() };
        placing.run(hopper, &order, &targets);
        let (placed, looked) = (placing.placed, placing.index.looked);
        self.looked += looked;
        placed
    }

    /// Whether the machines could hold a gang if nothing else were on them.
    fn could_hold(&self, index: usize) -> bool {
        let job = &self.jobs[index];
        let fits = |m: &Machine| job.task.times_in(m.whole, job.remaining);
        let machines = self.machines.iter().filter(|m| m.open && self.allowed(job, m));
        machines.map(fits).sum::<u32>() >= job.remaining
    }

    /// Jobs by priority, then virtual size, then age; those that waited long first.
    pub fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|index| {
            let job = &self.jobs[*index];
            (u32::MAX - job.overdue, u8::MAX - job.priority, job.remaining)
        });
        order
    }

    fn on_machines(&self, job: usize) -> u32 {
        self.jobs[job].remaining - self.jobs[job].pending
    }

    /// How many tasks of each job its share covers.
    pub fn targets(&self, hopper: &Hopper) -> Vec<u32> {
        let mut targets = vec![0; self.jobs.len()];
        let mut left = 1.0;
        let mut priorities: Vec<u8> = self.jobs.iter().map(|job| job.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        for priority in priorities.into_iter().rev() {
            let group: Vec<usize> =
                (0..self.jobs.len()).filter(|job| self.jobs[*job].priority == priority).collect();
            let claims: Vec<Claim> = group
                .iter()
                .map(|job| {
                    let job = &self.jobs[*job];
                    Claim { remaining: job.remaining, task: job.task.share_of(self.whole).min(1e6) }
                })
                .collect();
            let parts = hopper.divide(&claims, left);
            for ((job, claim), part) in group.into_iter().zip(claims).zip(parts) {
                let tasks = (part / claim.task.max(1e-12) + 1e-6).floor();
                targets[job] = (tasks.min(1e9) as u32).min(claim.remaining);
                left -= f64::from(targets[job]) * claim.task;
            }
            left = left.max(0.0);
        }
        targets
    }

    /// Counts a job's tasks on free room, as far as they fit.
    pub(crate) fn take_free(&mut self, index: usize) {
        for at in 0..self.machines.len() {
            let (job, machine) = (&self.jobs[index], &self.machines[at]);
            let team = &self.teams[job.team as usize];
            if !machine.open || !self.allowed(job, machine) {
                continue;
            }
            let mut tasks = job.task.times_in(machine.free, job.pending);
            while tasks > 0 && !team.allows(job.task * i64::from(tasks)) {
                tasks -= 1;
            }
            let (task, team) = (job.task * i64::from(tasks), job.team as usize);
            self.machines[at].free -= task;
            self.teams[team].used += task;
            self.jobs[index].pending -= tasks;
        }
    }

    /// Whether the job's rules allow a further task on the machine.
    fn allowed(&self, job: &Job, machine: &Machine) -> bool {
        (!job.hurried || machine.ready.contains(&job.image))
            && job.may_use(machine.kind, machine.zone, machine.spot)
    }
}

impl Job {
    /// Whether its rules allow a further task on such machines.
    pub fn may_use(&self, kind: u32, zone: u32, spot: bool) -> bool {
        (self.spot || !spot)
            && self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&kind))
            && self.zone.is_none_or(|only| only == zone)
            && self.by_zone.get(zone as usize).copied().unwrap_or(0) < self.zone_cap
            && (!self.one_zone
                || self.by_zone.iter().enumerate().all(|(at, n)| *n == 0 || at == zone as usize))
    }
}
