//! One round: which tasks go where, and what is stopped to make room.

use crate::{
    Room,
    index::Index,
    share::{Claim, Hopper},
};

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

/// Why a task may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claimed {
    /// As a restart, ahead of others' new tasks.
    Restart,
    /// Within its team's guarantee.
    Guarantee,
    /// Within its share, or lent.
    Share,
}

/// A machine as a place for tasks of a gang, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Seat {
    /// How far the image is: there, on the way, to be fetched, sharing the rate.
    fetch: u8,
    /// It is not kept for gangs.
    shared: bool,
    /// It is no spot machine.
    dear: bool,
    few: std::cmp::Reverse<u32>,
    free: i64,
    at: usize,
}

/// Placing under way.
struct Placing<'a> {
    round: &'a mut Round,
    index: Index,
    placed: Vec<Placement>,
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

impl Placing<'_> {
    fn run(&mut self, hopper: &Hopper, order: &[usize], targets: &[u32]) {
        // A restart has first claim on free room, up to its job's virtual size.
        for job in order.iter().copied() {
            let size = hopper.virtual_size(self.round.jobs[job].remaining) as u32;
            let more = size.saturating_sub(self.round.on_machines(job));
            let restarts = self.round.jobs[job].restarts.min(more);
            self.place(job, restarts, Claimed::Restart, false);
        }
        for (at, job) in order.iter().copied().enumerate() {
            if self.round.jobs[job].overdue == 0 {
                continue;
            }
            if !self.round.jobs[job].gang {
                // Its floor, or one task where that rounds down to none: whoever has
                // waited long begins, however large it is.
                let floor = targets[job].max(1);
                self.place(job, floor, Claimed::Share, false);
                if self.round.on_machines(job) == 0 {
                    self.gather_for(job);
                }
            } else if !self.place_gang(job, Claimed::Share) && self.round.could_hold(job) {
                // Room for it gathers only if those behind it leave it alone.
                return self.place_in(&order[..at], targets);
            }
        }
        self.place_in(order, targets);
    }

    /// Keeps the machine that has most room for a job's task from the others: room that
    /// comes in pieces too small for it gathers there.
    fn gather_for(&mut self, index: usize) {
        let job = &self.round.jobs[index];
        let team = &self.round.teams[job.team as usize];
        let fits = |m: &Machine| {
            m.open && job.task.fits(m.whole) && !job.task.fits(m.free) && self.round.allowed(job, m)
        };
        let machines = self.round.machines.iter().enumerate().filter(|(_, m)| fits(m));
        let most = machines.max_by_key(|(_, m)| m.free.cpus).map(|(at, _)| at);
        if let Some(at) = most.filter(|_| job.pending > 0 && team.allows(job.task)) {
            self.index.close(at, &self.round.machines[at]);
        }
    }

    /// Guarantees, shares and lending, for these jobs.
    fn place_in(&mut self, order: &[usize], targets: &[u32]) {
        let jobs = &self.round.jobs;
        let groups: Vec<Vec<usize>> = order
            .chunk_by(|a, b| jobs[*a].priority == jobs[*b].priority)
            .map(<[usize]>::to_vec)
            .collect();
        // Guarantees come before shares: within them nobody waits for another team.
        for group in &groups {
            self.place_group(group, targets, Claimed::Guarantee, false);
        }
        for group in &groups {
            self.place_group(group, targets, Claimed::Share, false);
        }
        // Room between remaining tasks and shares, and room that shares left in
        // pieces, is lent.
        for group in &groups {
            self.place_group(group, targets, Claimed::Share, true);
        }
    }

    /// Places tasks of jobs of one priority: all within the guarantee or if `lent`, else
    /// as far as their shares go.
    fn place_group(&mut self, group: &[usize], targets: &[u32], claimed: Claimed, lent: bool) {
        let all = lent || claimed == Claimed::Guarantee;
        // Each job first takes, within its share, the machines that have its image:
        // otherwise the smaller ones would have them fetch other images while their own
        // is fetched elsewhere.
        for job in group.iter().copied() {
            if self.round.jobs[job].gang {
                continue;
            }
            let more = targets[job].saturating_sub(self.round.on_machines(job));
            self.place(job, more, claimed, true);
        }
        for job in group.iter().copied() {
            if !self.round.jobs[job].gang {
                let more = targets[job].saturating_sub(self.round.on_machines(job));
                self.place(job, if all { u32::MAX } else { more }, claimed, false);
            } else if all || targets[job] >= self.round.jobs[job].remaining {
                self.place_gang(job, claimed);
            }
        }
    }

    /// Places all of a gang's tasks, or none.
    fn place_gang(&mut self, index: usize, claimed: Claimed) -> bool {
        let job = &self.round.jobs[index];
        // A round that is full takes no more, but one gang may be more than a round.
        let late =
            !self.placed.is_empty() && self.placed.len() + job.pending as usize > self.round.most;
        let team = &self.round.teams[job.team as usize];
        let all = job.task * i64::from(job.pending);
        if job.pending == 0
            || (job.pending < job.remaining && !job.completes)
            || late
            || !team.allows(all)
            || (claimed == Claimed::Guarantee && !team.guarantees(all))
        {
            return false;
        }
        let Some(chosen) = self.seats(index) else { return false };
        for (machine, tasks) in chosen {
            for _ in 0..tasks {
                self.take(index, machine, false);
                self.placed.push(Placement { job: index, machine });
            }
        }
        true
    }

    /// The machines for a whole gang, with how many of its tasks each takes; none if it
    /// does not fit as things are.
    fn seats(&mut self, index: usize) -> Option<Vec<(usize, u32)>> {
        let job = &self.round.jobs[index];
        let mut fitting: Vec<(Seat, u32)> = Vec::new();
        for (at, machine) in self.round.machines.iter().enumerate() {
            self.index.looked += 1;
            if !machine.open || self.index.is_closed(at) || !self.round.allowed(job, machine) {
                continue;
            }
            let fits = job.task.times_in(machine.free, job.pending);
            if fits == 0 {
                continue;
            }
            let ready = machine.ready.contains(&job.image);
            let begun = machine.images.contains(&job.image);
            let seat = Seat {
                fetch: match (ready, begun, machine.fetching) {
                    (true, ..) => 0,
                    (_, true, _) => 1,
                    (_, _, false) => 2,
                    _ => 3,
                },
                shared: !machine.standby,
                dear: !machine.spot,
                // Fewer machines: each may be lost, or turn out to be slow.
                few: std::cmp::Reverse(fits),
                free: machine.free.cpus,
                at,
            };
            fitting.push((seat, fits));
        }
        fitting.sort_unstable();
        let zones: std::collections::BTreeSet<u32> =
            fitting.iter().map(|(seat, _)| self.round.machines[seat.at].zone).collect();
        let choose = |only: Option<u32>| {
            let (mut left, mut chosen, mut worst) = (job.pending, Vec::new(), (0, 0));
            let mut by_zone = job.by_zone.clone();
            for (seat, fits) in &fitting {
                let zone = self.round.machines[seat.at].zone;
                if left == 0 || only.is_some_and(|only| only != zone) {
                    continue;
                }
                let zone = zone as usize;
                if by_zone.len() <= zone {
                    by_zone.resize(zone + 1, 0);
                }
                let tasks = (*fits).min(left).min(job.zone_cap.saturating_sub(by_zone[zone]));
                if tasks > 0 {
                    by_zone[zone] += tasks;
                    left -= tasks;
                    chosen.push((seat.at, tasks));
                    // It starts when the last of its tasks has the image.
                    worst = (worst.0.max(seat.fetch), worst.1 + 1);
                }
            }
            (left == 0).then_some((worst, chosen))
        };
        if !job.one_zone {
            return choose(None).map(|(_, chosen)| chosen);
        }
        let whole = zones.iter().filter_map(|zone| choose(Some(*zone)));
        whole.min_by_key(|(worst, _)| *worst).map(|(_, chosen)| chosen)
    }

    /// Places up to so many of a job's tasks, with `cached` only on machines that have
    /// the image or fetch it already.
    fn place(&mut self, index: usize, most: u32, claimed: Claimed, cached: bool) {
        let mut left = most.min(self.round.jobs[index].pending);
        // Machines that turn out not to fit its tasks are set aside meanwhile.
        let mut aside = Vec::new();
        while left > 0 && self.placed.len() < self.round.most {
            let job = &self.round.jobs[index];
            let team = &self.round.teams[job.team as usize];
            if !team.allows(job.task)
                || (claimed == Claimed::Guarantee && !team.guarantees(job.task))
            {
                break;
            }
            let Some(machine) = self.index.best(job, &self.round.machines, cached, &mut aside)
            else {
                break;
            };
            let restart = claimed == Claimed::Restart || job.restarts == job.pending;
            self.take(index, machine, restart);
            self.placed.push(Placement { job: index, machine });
            left -= 1;
        }
        self.index.put_back(aside);
    }

    fn take(&mut self, index: usize, at: usize, restart: bool) {
        let (job, machine) = (&mut self.round.jobs[index], &mut self.round.machines[at]);
        let before = machine.free;
        machine.free -= job.task;
        if !machine.images.contains(&job.image) {
            machine.images.push(job.image);
            machine.fetching = true;
            self.index.fetches(at, before, job.image);
        }
        self.index.moved(at, machine, before);
        self.round.teams[job.team as usize].used += job.task;
        let zone = machine.zone as usize;
        if job.by_zone.len() <= zone {
            job.by_zone.resize(zone + 1, 0);
        }
        job.by_zone[zone] += 1;
        job.pending -= 1;
        job.restarts -= u32::from(restart);
    }
}
