//! Binds tasks to machines, one job after the other, in the order of the scheduling rules.

use super::{Binding, SchedulingCycle, gang};
use crate::DenseIndex;
use crate::candidate_index::{CandidateIndex, ImageFilter};
use crate::fair_share::FairShare;
use crate::snapshot::{SchedulableJob, SchedulableMachine};

/// Why a task may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entitlement {
    /// As a speculative restart, ahead of other jobs' new tasks.
    SpeculativeRestart,
    /// Within its team's guarantee, which bounds how many tasks there may be.
    Guarantee,
    /// Within its job's fair share.
    FairShare,
    /// Beyond the fair share, on resources that the shares of others left over.
    Borrowed,
}

/// The bindings of a cycle under way.
pub(super) struct Binder<'a> {
    cycle: &'a mut SchedulingCycle,
    candidates: CandidateIndex,
    bindings: Vec<Binding>,
}

impl Binder<'_> {
    pub fn new(cycle: &mut SchedulingCycle, candidates: CandidateIndex) -> Binder<'_> {
        Binder { cycle, candidates, bindings: Vec::new() }
    }

    /// The bindings, and how many machines were examined for them.
    pub fn finish(self) -> (Vec<Binding>, u64) {
        (self.bindings, self.candidates.examined())
    }

    /// Binds speculative restarts, overdue jobs and then all others; `order` has the positions
    /// of the jobs, `allocations` the tasks that each one's fair share covers.
    pub fn run(&mut self, fair_share: &FairShare, order: &[usize], allocations: &[u32]) {
        self.bind_speculative_restarts(fair_share, order);
        let eligible = self.bind_overdue(order, allocations);
        self.bind_by_priority(eligible, allocations);
    }

    /// A speculative restart comes before new tasks, up to its job's virtual size.
    fn bind_speculative_restarts(&mut self, fair_share: &FairShare, order: &[usize]) {
        for position in order.iter().copied() {
            let job = &self.cycle.jobs[position];
            let virtual_size = fair_share.virtual_size(job.remaining) as u32;
            let allowed = virtual_size.saturating_sub(job.assigned());
            let restarts = job.speculative_restarts.min(allowed);
            let entitlement = Entitlement::SpeculativeRestart;
            self.bind_tasks(position, restarts, entitlement, ImageFilter::Any);
        }
    }

    /// Binds tasks of overdue jobs, and returns the jobs that are still eligible for placing:
    /// if a gang finds no place now but could have one, those behind it wait, since the
    /// resources for it are free together only if they leave them alone.
    fn bind_overdue<'o>(&mut self, order: &'o [usize], allocations: &[u32]) -> &'o [usize] {
        for (rank, position) in order.iter().copied().enumerate() {
            let job = &self.cycle.jobs[position];
            if job.overdue_s == 0 {
                continue;
            }
            if !job.gang {
                self.bind_overdue_array(position, allocations[position]);
            } else if !self.bind_gang(position, Entitlement::FairShare)
                && self.cycle.could_hold_gang(position)
            {
                return &order[..rank];
            }
        }
        order
    }

    /// An overdue job begins with its fair share, or with one task where that rounds down to
    /// none, however large its tasks are.
    fn bind_overdue_array(&mut self, position: usize, allocation: u32) {
        let tasks = allocation.max(1);
        self.bind_tasks(position, tasks, Entitlement::FairShare, ImageFilter::Any);
        if self.cycle.jobs[position].assigned() == 0 {
            self.reserve_machine_for(position);
        }
    }

    /// Keeps the machine with the most free CPUs that could hold a job's task from other jobs,
    /// so that resources that become free in small pieces add up there.
    fn reserve_machine_for(&mut self, position: usize) {
        let job = &self.cycle.jobs[position];
        if job.pending == 0 || !self.cycle.team_of(job).within_limit(job.task_request) {
            return;
        }
        let could_hold = |machine: &SchedulableMachine| {
            machine.schedulable
                && job.task_request.fits_in(machine.capacity)
                && !job.task_request.fits_in(machine.free)
                && job.is_feasible_on(machine)
        };
        let machines = self.cycle.machines.iter().enumerate();
        let usable = machines.filter(|(_, machine)| could_hold(machine));
        if let Some((machine, state)) = usable.max_by_key(|(_, machine)| machine.free.cpus) {
            self.candidates.reserve(machine, state);
        }
    }

    /// Guarantees, fair shares and borrowing, in this order; within each, jobs by priority.
    fn bind_by_priority(&mut self, order: &[usize], allocations: &[u32]) {
        let jobs = &self.cycle.jobs;
        let groups: Vec<Vec<usize>> = order
            .chunk_by(|a, b| jobs[*a].priority == jobs[*b].priority)
            .map(<[usize]>::to_vec)
            .collect();
        // Guarantees come before shares: within them no team waits for another one.
        let entitlements = [Entitlement::Guarantee, Entitlement::FairShare, Entitlement::Borrowed];
        for entitlement in entitlements {
            for group in &groups {
                self.bind_group(group, allocations, entitlement);
            }
        }
    }

    /// Binds tasks of jobs of one priority.
    fn bind_group(&mut self, group: &[usize], allocations: &[u32], entitlement: Entitlement) {
        // Each job first takes, within its share, the machines that have its image:
        // otherwise smaller jobs would have them fetch other images while this job's image
        // is fetched elsewhere.
        for position in group.iter().copied() {
            let job = &self.cycle.jobs[position];
            if !job.gang {
                let tasks = allocations[position].saturating_sub(job.assigned());
                self.bind_tasks(position, tasks, entitlement, ImageFilter::CachedOrFetching);
            }
        }
        let all = entitlement != Entitlement::FairShare;
        for position in group.iter().copied() {
            let job = &self.cycle.jobs[position];
            if !job.gang {
                let in_share = allocations[position].saturating_sub(job.assigned());
                let tasks = if all { u32::MAX } else { in_share };
                self.bind_tasks(position, tasks, entitlement, ImageFilter::Any);
            } else if all || allocations[position] >= job.remaining {
                self.bind_gang(position, entitlement);
            }
        }
    }

    /// Binds up to `max_tasks` of a job's tasks.
    fn bind_tasks(
        &mut self,
        position: usize,
        max_tasks: u32,
        entitlement: Entitlement,
        filter: ImageFilter,
    ) {
        let mut remaining = max_tasks.min(self.cycle.jobs[position].pending);
        let mut skipped = Vec::new();
        while remaining > 0 && self.bindings.len() < self.cycle.max_bindings {
            let job = &self.cycle.jobs[position];
            if !self.is_entitled(job, 1, entitlement) {
                break;
            }
            let machines = &self.cycle.machines;
            let best = self.candidates.find_best(job, machines, filter, &mut skipped);
            let Some(machine) = best else { break };
            let is_restart = entitlement == Entitlement::SpeculativeRestart
                || job.speculative_restarts == job.pending;
            self.cycle.jobs[position].speculative_restarts -= u32::from(is_restart);
            self.bind(position, machine);
            remaining -= 1;
        }
        self.candidates.restore(skipped);
    }

    /// Binds all of a gang's tasks, or none; returns whether it did.
    fn bind_gang(&mut self, position: usize, entitlement: Entitlement) -> bool {
        let job = &self.cycle.jobs[position];
        // A cycle that is full takes no more, but one gang may be more than a cycle.
        let is_full = !self.bindings.is_empty()
            && self.bindings.len() + job.pending as usize > self.cycle.max_bindings;
        if job.pending == 0
            || (job.pending < job.remaining && !job.replaces_gang_members)
            || is_full
            || !self.is_entitled(job, job.pending, entitlement)
        {
            return false;
        }
        let placement = gang::place(self.cycle, position, &mut self.candidates);
        let Some(placement) = placement else { return false };
        for (machine, tasks) in placement.tasks_by_machine {
            for _ in 0..tasks {
                self.bind(position, machine);
            }
        }
        true
    }

    /// Whether so many tasks keep the job's team within its limit and, if that is why they may
    /// be placed, its guarantee.
    fn is_entitled(&self, job: &SchedulableJob, tasks: u32, entitlement: Entitlement) -> bool {
        let team = self.cycle.team_of(job);
        let request = job.task_request * i64::from(tasks);
        team.within_limit(request)
            && (entitlement != Entitlement::Guarantee || team.within_guarantee(request))
    }

    /// Binds a job's next task to a machine, and counts what follows from that.
    fn bind(&mut self, job_position: usize, machine_position: usize) {
        let job = &mut self.cycle.jobs[job_position];
        let machine = &mut self.cycle.machines[machine_position];
        let free_before = machine.free;
        machine.free -= job.task_request;
        if !machine.cached_or_fetching.contains(&job.image) {
            machine.cached_or_fetching.push(job.image);
            machine.fetching = true;
            self.candidates.fetch_started(machine_position, free_before, job.image);
        }
        self.candidates.free_changed(machine_position, machine, free_before);
        self.cycle.teams[job.team.position()].used += job.task_request;
        let zone = machine.zone.position();
        if job.tasks_by_zone.len() <= zone {
            job.tasks_by_zone.resize(zone + 1, 0);
        }
        job.tasks_by_zone[zone] += 1;
        job.pending -= 1;
        self.bindings.push(Binding { job: job_position, machine: machine_position });
    }
}
