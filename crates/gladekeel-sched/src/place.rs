//! One round: which tasks go where, and what is stopped to make room.

use crate::{
    Room,
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
    /// Whether it takes new work now.
    pub open: bool,
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
    /// A gang that has waited long: it goes first.
    pub overdue: bool,
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
    /// The machines.
    pub machines: Vec<Machine>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The jobs, oldest first.
    pub jobs: Vec<Job>,
    /// Most placements; the rest waits for the next round.
    pub most: usize,
}

impl Round {
    /// Places what the design says, in its order.
    pub fn place(&mut self, hopper: &Hopper) -> Vec<Placement> {
        let order = self.order();
        let targets = self.targets(hopper);
        let mut placed = Vec::new();
        // A restart has first claim on free room, up to its job's virtual size.
        for job in order.iter().copied() {
            let size = hopper.virtual_size(self.jobs[job].remaining) as u32;
            while self.jobs[job].restarts > 0 && self.on_machines(job) < size {
                if !self.place_one(job, &mut placed, true, false) {
                    break;
                }
            }
        }
        for (at, job) in order.iter().copied().enumerate() {
            if self.jobs[job].overdue
                && !self.place_gang(job, &mut placed, false)
                && self.could_hold(job)
            {
                // Room for it gathers only if those behind it leave it alone.
                let behind: Vec<usize> = order[at..].to_vec();
                return self.place_in(&order[..at], &targets, placed, &behind);
            }
        }
        self.place_in(&order, &targets, placed, &[])
    }

    /// Guarantees, shares and lending, for these jobs.
    fn place_in(
        &mut self,
        order: &[usize],
        targets: &[u32],
        mut placed: Vec<Placement>,
        held: &[usize],
    ) -> Vec<Placement> {
        let order: Vec<usize> = order.iter().copied().filter(|job| !held.contains(job)).collect();
        // Guarantees come before shares: within them nobody waits for another team.
        for job in order.iter().copied() {
            if self.jobs[job].gang {
                self.place_gang(job, &mut placed, true);
            } else {
                while self.place_one(job, &mut placed, false, true) {}
            }
        }
        for job in order.iter().copied() {
            if self.jobs[job].gang && targets[job] >= self.jobs[job].remaining {
                self.place_gang(job, &mut placed, false);
            }
            while !self.jobs[job].gang && self.on_machines(job) < targets[job] {
                if !self.place_one(job, &mut placed, false, false) {
                    break;
                }
            }
        }
        // Room between remaining tasks and shares, and room that shares left in
        // pieces, is lent.
        for job in order {
            if self.jobs[job].gang {
                self.place_gang(job, &mut placed, false);
            } else {
                while self.place_one(job, &mut placed, false, false) {}
            }
        }
        placed
    }

    /// Places all of a gang's tasks, or none.
    fn place_gang(&mut self, index: usize, placed: &mut Vec<Placement>, guaranteed: bool) -> bool {
        let job = &self.jobs[index];
        if job.pending == 0 || job.pending < job.remaining {
            return false;
        }
        let before = (self.machines.clone(), self.teams.clone(), job.clone(), placed.len());
        while self.place_one(index, placed, false, guaranteed) {}
        let whole = self.jobs[index].pending == 0;
        if !whole {
            (self.machines, self.teams, self.jobs[index]) = (before.0, before.1, before.2);
            placed.truncate(before.3);
        }
        whole
    }

    /// Whether the machines could hold a gang if nothing else were on them.
    fn could_hold(&self, index: usize) -> bool {
        let job = &self.jobs[index];
        let fits = |m: &Machine| job.task.times_in(m.whole, job.remaining);
        let machines = self.machines.iter().filter(|m| m.open && self.allowed(job, m));
        machines.map(fits).sum::<u32>() >= job.remaining
    }

    /// Jobs by priority, then virtual size, then age.
    pub fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|index| {
            let job = &self.jobs[*index];
            (!job.overdue, u8::MAX - job.priority, job.remaining)
        });
        order
    }

    fn on_machines(&self, job: usize) -> u32 {
        self.jobs[job].remaining - self.jobs[job].pending
    }

    /// How many tasks of each job its share covers.
    fn targets(&self, hopper: &Hopper) -> Vec<u32> {
        let mut whole = Room::default();
        for machine in &self.machines {
            whole += machine.whole;
        }
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
                    Claim { remaining: job.remaining, task: job.task.share_of(whole).min(1e6) }
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

    /// Whether the job's rules allow a further task on the machine.
    fn allowed(&self, job: &Job, machine: &Machine) -> bool {
        (!job.hurried || machine.ready.contains(&job.image))
            && (job.spot || !machine.spot)
            && job.kinds.as_ref().is_none_or(|kinds| kinds.contains(&machine.kind))
            && job.zone.is_none_or(|zone| zone == machine.zone)
            && job.by_zone.get(machine.zone as usize).copied().unwrap_or(0) < job.zone_cap
            && (!job.one_zone
                || job
                    .by_zone
                    .iter()
                    .enumerate()
                    .all(|(zone, n)| *n == 0 || zone == machine.zone as usize))
    }

    fn place_one(
        &mut self,
        index: usize,
        placed: &mut Vec<Placement>,
        restart: bool,
        guaranteed: bool,
    ) -> bool {
        let job = &self.jobs[index];
        let team = &self.teams[job.team as usize];
        if job.pending == 0
            || placed.len() >= self.most
            || !team.allows(job.task)
            || (guaranteed && !team.guarantees(job.task))
        {
            return false;
        }
        let best = self
            .machines
            .iter()
            .enumerate()
            .filter(|(_, m)| m.open && job.task.fits(m.free) && self.allowed(job, m))
            .min_by_key(|(_, m)| {
                // A machine that has the image starts at once; then the cheap
                // kind; then the fullest, so that whole machines stay free for
                // large pieces or can be returned.
                let fetch = (!m.ready.contains(&job.image), !m.images.contains(&job.image));
                (fetch, !m.spot, m.free.cpus)
            })
            .map(|(machine, _)| machine);
        let Some(machine) = best else { return false };
        let restart = restart || job.restarts == job.pending;
        self.take(index, machine, restart);
        placed.push(Placement { job: index, machine });
        true
    }

    fn take(&mut self, job: usize, machine: usize, restart: bool) {
        let (job, machine) = (&mut self.jobs[job], &mut self.machines[machine]);
        machine.free -= job.task;
        if !machine.images.contains(&job.image) {
            machine.images.push(job.image);
        }
        self.teams[job.team as usize].used += job.task;
        let zone = machine.zone as usize;
        if job.by_zone.len() <= zone {
            job.by_zone.resize(zone + 1, 0);
        }
        job.by_zone[zone] += 1;
        job.pending -= 1;
        job.restarts -= u32::from(restart);
    }
}

/// A task on a machine that could be stopped for another.
#[derive(Debug, Clone, Copy)]
pub struct Victim {
    /// Whose it is, for the caller.
    pub id: u64,
    /// The machine, as an index into the round's machines.
    pub machine: usize,
    /// Its team.
    pub team: u32,
    /// Its priority.
    pub priority: u8,
    /// What it takes.
    pub task: Room,
    /// Work that stopping it would lose, in CPU-seconds.
    pub loss: f64,
    /// Whether it saves its progress.
    pub saves: bool,
}

/// Which tasks to stop so that a waiting task of `job` fits somewhere.
///
/// A victim has a lower priority, or belongs to another team that runs beyond
/// its guarantee while the claimant stays within its own. The machine with the
/// least lost work is chosen.
pub fn preempt(round: &Round, job: &Job, victims: &[Victim]) -> Option<(usize, Vec<u64>)> {
    let team = &round.teams[job.team as usize];
    if !team.allows(job.task) {
        return None;
    }
    let claims_guarantee = team.guarantees(job.task);
    let mut best: Option<(f64, usize, Vec<u64>)> = None;
    for (index, machine) in round.machines.iter().enumerate() {
        if !machine.open || !job.task.fits(machine.whole) || !round.allowed(job, machine) {
            continue;
        }
        let mut here: Vec<&Victim> = victims
            .iter()
            .filter(|victim| {
                let other = &round.teams[victim.team as usize];
                victim.machine == index
                    && (victim.priority < job.priority
                        || (claims_guarantee
                            && victim.team != job.team
                            && !within(other.used, other.guarantee)))
            })
            .collect();
        here.sort_by(|a, b| a.loss.total_cmp(&b.loss).then(a.id.cmp(&b.id)));
        let (mut free, mut loss, mut stopped) = (machine.free, 0.0, Vec::new());
        for victim in here {
            if job.task.fits(free) {
                break;
            }
            free += victim.task;
            loss += victim.loss;
            stopped.push(victim.id);
        }
        if job.task.fits(free)
            && !stopped.is_empty()
            && best.as_ref().is_none_or(|(least, ..)| loss < *least)
        {
            best = Some((loss, index, stopped));
        }
    }
    best.map(|(_, machine, stopped)| (machine, stopped))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn room(cpus: f64) -> Room {
        Room::taken(cpus, 0.0, cpus)
    }

    fn machine(zone: u32, spot: bool) -> Machine {
        Machine {
            whole: room(32.0),
            free: room(32.0),
            kind: 0,
            zone,
            spot,
            images: Vec::new(),
            ready: Vec::new(),
            open: true,
        }
    }

    fn job(team: u32, cpus: f64, tasks: u32) -> Job {
        Job {
            team,
            priority: 1,
            task: room(cpus),
            remaining: tasks,
            pending: tasks,
            restarts: 0,
            image: 0,
            kinds: None,
            zone: None,
            one_zone: false,
            zone_cap: u32::MAX,
            spot: true,
            by_zone: Vec::new(),
            gang: false,
            overdue: false,
            hurried: false,
        }
    }

    fn team(guarantee: f64, limit: f64) -> Team {
        Team { guarantee: room(guarantee), limit: room(limit), used: Room::default() }
    }

    fn round(machines: Vec<Machine>, teams: Vec<Team>, jobs: Vec<Job>) -> Round {
        Round { machines, teams, jobs, most: 1000 }
    }

    fn count(placed: &[Placement], job: usize) -> usize {
        placed.iter().filter(|p| p.job == job).count()
    }

    #[test]
    fn short_room_goes_to_the_smallest_and_floors_hold() {
        let jobs = vec![job(0, 4.0, 40), job(0, 4.0, 4)];
        let mut round = round(vec![machine(0, false); 2], vec![team(0.0, 1000.0)], jobs);
        let placed = round.place(&Hopper::default());
        assert_eq!((count(&placed, 1), count(&placed, 0)), (4, 12));
    }

    #[test]
    fn limits_bound_and_guarantees_lead() {
        let jobs = vec![job(0, 16.0, 1), job(1, 16.0, 3), job(2, 16.0, 5)];
        let teams = vec![team(0.0, 0.0), team(0.0, 64.0), team(32.0, 32.0)];
        let mut round = round(vec![machine(0, false); 2], teams, jobs);
        let placed = round.place(&Hopper::default());
        assert_eq!([0, 1, 2].map(|j| count(&placed, j)), [0, 2, 2]);
    }

    #[test]
    fn zones_kinds_and_spot_are_kept() {
        let mut one_zone = job(0, 16.0, 4);
        one_zone.one_zone = true;
        one_zone.by_zone = vec![0, 1];
        let mut halves = job(0, 16.0, 4);
        halves.zone_cap = 2;
        let mut ordinary = job(0, 16.0, 4);
        ordinary.spot = false;
        for (job, zones) in [(one_zone, [0, 2]), (halves, [2, 2]), (ordinary, [2, 0])] {
            let machines = vec![machine(0, false), machine(1, true)];
            let mut round = round(machines, vec![team(0.0, 1000.0)], vec![job]);
            let placed = round.place(&Hopper::default());
            assert_eq!([0, 1].map(|m| placed.iter().filter(|p| p.machine == m).count()), zones);
        }
    }

    #[test]
    fn summed_room_in_small_pieces_does_not_count() {
        let mut machines = vec![machine(0, false); 4];
        machines.iter_mut().for_each(|m| m.free = room(12.0));
        let mut round = round(machines, vec![team(0.0, 1000.0)], vec![job(0, 16.0, 1)]);
        assert!(round.place(&Hopper::default()).is_empty());
    }

    #[test]
    fn restarts_go_before_other_jobs_new_tasks() {
        let mut slow = job(0, 16.0, 9);
        (slow.pending, slow.restarts) = (1, 1);
        let jobs = vec![job(0, 16.0, 2), slow];
        let mut machines = vec![machine(0, false)];
        machines[0].free = room(16.0);
        let mut round = round(machines, vec![team(0.0, 1000.0)], jobs);
        let placed = round.place(&Hopper::default());
        assert_eq!(placed, [Placement { job: 1, machine: 0 }]);
    }

    #[test]
    fn a_hurried_job_waits_for_a_machine_with_its_image() {
        let mut machines = vec![machine(0, false); 2];
        machines[1].free = room(8.0);
        machines[1].ready = vec![0];
        let mut hurried = job(0, 8.0, 3);
        let teams = vec![team(0.0, 1000.0)];
        let place = |job: &Job| {
            let mut round = round(machines.clone(), teams.clone(), vec![job.clone()]);
            let placed = round.place(&Hopper::default());
            [0, 1].map(|m| placed.iter().filter(|p| p.machine == m).count())
        };
        assert_eq!(place(&hurried), [2, 1]);
        hurried.hurried = true;
        assert_eq!(place(&hurried), [0, 1]);
    }

    #[test]
    fn gangs_start_whole_and_overdue_ones_first() {
        let mut gang = job(0, 16.0, 4);
        gang.gang = true;
        let other = job(0, 16.0, 2);
        let teams = vec![team(0.0, 1000.0)];
        let place = |machines: usize, gang: &Job| {
            let jobs = vec![gang.clone(), other.clone()];
            let mut round = round(vec![machine(0, false); machines], teams.clone(), jobs);
            let placed = round.place(&Hopper::default());
            [count(&placed, 0), count(&placed, 1)]
        };
        assert_eq!(place(3, &gang), [4, 2]);
        assert_eq!(place(2, &gang), [0, 2], "the smaller job leaves too little for the gang");
        gang.overdue = true;
        assert_eq!(place(2, &gang), [4, 0]);
        assert_eq!(place(1, &gang), [0, 2], "what can never hold it need not be kept for it");
    }

    #[test]
    fn preemption_takes_lower_priority_or_what_is_borrowed() {
        let mut machines = vec![machine(0, false); 2];
        machines.iter_mut().for_each(|m| m.free = Room::default());
        let mut teams = vec![team(32.0, 64.0), team(0.0, 64.0)];
        teams[1].used = room(64.0);
        let round = round(machines, teams, Vec::new());
        let victim = |id, machine, team, loss| Victim {
            id,
            machine,
            team,
            priority: 1,
            task: room(16.0),
            loss,
            saves: false,
        };
        let victims = [victim(1, 0, 1, 9.0), victim(2, 1, 1, 3.0), victim(3, 1, 0, 1.0)];
        // Same priority: only what team 1 borrowed, and the least loss of it.
        assert_eq!(preempt(&round, &job(0, 16.0, 1), &victims), Some((1, vec![2])));
        // Beyond its own guarantee a team may not reclaim.
        assert_eq!(preempt(&round, &job(0, 48.0, 1), &victims), None);
        let mut urgent = job(1, 16.0, 1);
        urgent.priority = 2;
        assert_eq!(preempt(&round, &urgent, &victims), None, "the limit holds for urgent work too");
    }
}
