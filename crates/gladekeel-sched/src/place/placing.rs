//! A round under way: jobs take room in turn.

use super::{Machine, Placement, Round};
use crate::{index::Index, share::Hopper};

/// Why a task may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Claimed {
    /// As a restart, ahead of others' new tasks.
    Restart,
    /// Within its team's guarantee.
    Guarantee,
    /// Within its share, or lent.
    Share,
}

/// Placing under way.
pub(super) struct Placing<'a> {
    pub round: &'a mut Round,
    pub index: Index,
    pub placed: Vec<Placement>,
}

impl Placing<'_> {
    /// Places in the order of the design: restarts, who has waited long, the others.
    pub fn run(&mut self, hopper: &Hopper, order: &[usize], targets: &[u32]) {
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

    /// Places up to so many of a job's tasks, with `cached` only on machines that have
    /// the image or fetch it already.
    fn place(&mut self, index: usize, most: u32, claimed: Claimed, cached: bool) {
        let mut left = most.min(self.round.jobs[index].pending);
        // Machines that turn out not to fit its tasks are set skipped meanwhile.
        let mut skipped = Vec::new();
        while left > 0 && self.placed.len() < self.round.most {
            let job = &self.round.jobs[index];
            let team = &self.round.teams[job.team as usize];
            if !team.allows(job.task)
                || (claimed == Claimed::Guarantee && !team.guarantees(job.task))
            {
                break;
            }
            let Some(machine) = self.index.best(job, &self.round.machines, cached, &mut skipped)
            else {
                break;
            };
            let restart = claimed == Claimed::Restart || job.restarts == job.pending;
            self.take(index, machine, restart);
            self.placed.push(Placement { job: index, machine });
            left -= 1;
        }
        self.index.restore(skipped);
    }

    pub(super) fn take(&mut self, index: usize, at: usize, restart: bool) {
        let (job, machine) = (&mut self.round.jobs[index], &mut self.round.machines[at]);
        let before = machine.free;
        machine.free -= job.task;
        if !machine.images.contains(&job.image) {
            machine.images.push(job.image);
            machine.fetching = true;
            self.index.begins_fetch(at, before, job.image);
        }
        self.index.free_changed(at, machine, before);
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
