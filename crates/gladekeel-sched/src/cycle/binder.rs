//! A round under way: jobs take room in turn.

use super::{Binding, SchedulableMachine, SchedulingCycle};
use crate::DenseIndex;
use crate::{fair_share::FairShare, machine_index::MachineIndex};

/// Why a task may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Entitlement {
    /// As a restart, ahead of others' new tasks.
    Restart,
    /// Within its team's guarantee.
    Guarantee,
    /// Within its share, or lent.
    Share,
}

/// Binder under way.
pub(super) struct Binder<'a> {
    pub cycle: &'a mut SchedulingCycle,
    pub index: MachineIndex,
    pub bindings: Vec<Binding>,
}

impl Binder<'_> {
    /// Places in the order of the design: restarts, who has waited long, the others.
    pub fn run(&mut self, hopper: &FairShare, order: &[usize], targets: &[u32]) {
        // A restart has first claim on free room, up to its job's virtual size.
        for job in order.iter().copied() {
            let size = hopper.virtual_size(self.cycle.jobs[job].remaining) as u32;
            let more = size.saturating_sub(self.cycle.on_machines(job));
            let restarts = self.cycle.jobs[job].speculative_restarts.min(more);
            self.place(job, restarts, Entitlement::Restart, false);
        }
        for (at, job) in order.iter().copied().enumerate() {
            if self.cycle.jobs[job].overdue_s == 0 {
                continue;
            }
            if !self.cycle.jobs[job].gang {
                // Its floor, or one task where that rounds down to none: whoever has
                // waited long begins, however large it is.
                let floor = targets[job].max(1);
                self.place(job, floor, Entitlement::Share, false);
                if self.cycle.on_machines(job) == 0 {
                    self.gather_for(job);
                }
            } else if !self.place_gang(job, Entitlement::Share) && self.cycle.could_hold(job) {
                // Room for it gathers only if those behind it leave it alone.
                return self.place_in(&order[..at], targets);
            }
        }
        self.place_in(order, targets);
    }

    /// Keeps the machine that has most room for a job's task from the others: room that
    /// comes in pieces too small for it gathers there.
    fn gather_for(&mut self, index: usize) {
        let job = &self.cycle.jobs[index];
        let team = &self.cycle.teams[job.team.position()];
        let fits = |m: &SchedulableMachine| {
            m.schedulable
                && job.task_request.fits_in(m.capacity)
                && !job.task_request.fits_in(m.free)
                && self.cycle.is_feasible(job, m)
        };
        let machines = self.cycle.machines.iter().enumerate().filter(|(_, m)| fits(m));
        let most = machines.max_by_key(|(_, m)| m.free.cpus).map(|(at, _)| at);
        if let Some(at) = most.filter(|_| job.pending > 0 && team.within_limit(job.task_request)) {
            self.index.close(at, &self.cycle.machines[at]);
        }
    }

    /// Guarantees, shares and lending, for these jobs.
    fn place_in(&mut self, order: &[usize], targets: &[u32]) {
        let jobs = &self.cycle.jobs;
        let groups: Vec<Vec<usize>> = order
            .chunk_by(|a, b| jobs[*a].priority == jobs[*b].priority)
            .map(<[usize]>::to_vec)
            .collect();
        // Guarantees come before shares: within them nobody waits for another team.
        for group in &groups {
            self.place_group(group, targets, Entitlement::Guarantee, false);
        }
        for group in &groups {
            self.place_group(group, targets, Entitlement::Share, false);
        }
        // Room between remaining tasks and shares, and room that shares left in
        // pieces, is lent.
        for group in &groups {
            self.place_group(group, targets, Entitlement::Share, true);
        }
    }

    /// Places tasks of jobs of one priority: all within the guarantee or if `lent`, else
    /// as far as their shares go.
    fn place_group(&mut self, group: &[usize], targets: &[u32], claimed: Entitlement, lent: bool) {
        let all = lent || claimed == Entitlement::Guarantee;
        // Each job first takes, within its share, the machines that have its image:
        // otherwise the smaller ones would have them fetch other images while their own
        // is fetched elsewhere.
        for job in group.iter().copied() {
            if self.cycle.jobs[job].gang {
                continue;
            }
            let more = targets[job].saturating_sub(self.cycle.on_machines(job));
            self.place(job, more, claimed, true);
        }
        for job in group.iter().copied() {
            if !self.cycle.jobs[job].gang {
                let more = targets[job].saturating_sub(self.cycle.on_machines(job));
                self.place(job, if all { u32::MAX } else { more }, claimed, false);
            } else if all || targets[job] >= self.cycle.jobs[job].remaining {
                self.place_gang(job, claimed);
            }
        }
    }

    /// Places up to so many of a job's tasks, with `cached` only on machines that have
    /// the image or fetch it already.
    fn place(&mut self, index: usize, most: u32, claimed: Entitlement, cached: bool) {
        let mut left = most.min(self.cycle.jobs[index].pending);
        // Machines that turn out not to fit its tasks are set skipped meanwhile.
        let mut skipped = Vec::new();
        while left > 0 && self.bindings.len() < self.cycle.max_bindings {
            let job = &self.cycle.jobs[index];
            let team = &self.cycle.teams[job.team.position()];
            if !team.within_limit(job.task_request)
                || (claimed == Entitlement::Guarantee && !team.within_guarantee(job.task_request))
            {
                break;
            }
            let Some(machine) = self.index.best(job, &self.cycle.machines, cached, &mut skipped)
            else {
                break;
            };
            let restart =
                claimed == Entitlement::Restart || job.speculative_restarts == job.pending;
            self.take(index, machine, restart);
            self.bindings.push(Binding { job: index, machine });
            left -= 1;
        }
        self.index.restore(skipped);
    }

    pub(super) fn take(&mut self, index: usize, at: usize, restart: bool) {
        let (job, machine) = (&mut self.cycle.jobs[index], &mut self.cycle.machines[at]);
        let before = machine.free;
        machine.free -= job.task_request;
        if !machine.cached_or_fetching.contains(&job.image) {
            machine.cached_or_fetching.push(job.image);
            machine.fetching = true;
            self.index.begins_fetch(at, before, job.image);
        }
        self.index.free_changed(at, machine, before);
        self.cycle.teams[job.team.position()].used += job.task_request;
        let zone = machine.zone.position();
        if job.tasks_by_zone.len() <= zone {
            job.tasks_by_zone.resize(zone + 1, 0);
        }
        job.tasks_by_zone[zone] += 1;
        job.pending -= 1;
        job.speculative_restarts -= u32::from(restart);
    }
}
