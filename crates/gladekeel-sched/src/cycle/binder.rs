//! Binds tasks to machines, one job after another, in the order that the scheduling rules of
//! [`cycle`](super) define.

use super::{Binding, SchedulingCycle, gang};
use crate::DenseIndex;
use crate::candidate_index::{CandidateIndex, ImageFilter};
use crate::fair_share::FairShare;
use crate::snapshot::{SchedulableJob, SchedulableMachine};

/// The rule that entitles a task to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entitlement {
    /// The task is a speculative restart, which goes ahead of other jobs' new tasks.
    SpeculativeRestart,
    /// The task is within its team's guarantee, even if it exceeds its job's fair share.
    Guarantee,
    /// The task is within its job's fair share.
    FairShare,
    /// The task exceeds its job's fair share and uses resources that other jobs' shares left over.
    Borrowed,
}

/// Binds tasks in a scheduling cycle and collects the bindings.
pub(super) struct Binder<'a> {
    cycle: &'a mut SchedulingCycle,
    candidates: CandidateIndex,
    bindings: Vec<Binding>,
}

impl Binder<'_> {
    pub fn new(cycle: &mut SchedulingCycle, candidates: CandidateIndex) -> Binder<'_> {
        Binder { cycle, candidates, bindings: Vec::new() }
    }

    /// Returns the bindings and how many times a machine or pool was examined to find them.
    pub fn finish(self) -> (Vec<Binding>, u64) {
        (self.bindings, self.candidates.examined())
    }

    /// Binds speculative restarts, then overdue jobs, then all others. `order` lists the positions
    /// of the jobs in scheduling order; `allocations` holds, by position, the number of tasks that
    /// each job's fair share covers.
    pub fn run(&mut self, fair_share: &FairShare, order: &[usize], allocations: &[u32]) {
        self.bind_speculative_restarts(fair_share, order);
        let eligible = self.bind_overdue(order, allocations);
        self.bind_by_priority(eligible, allocations);
    }

    /// Binds speculative restarts, which precede new tasks, until as many tasks of the job are
    /// assigned as its virtual size allows.
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

    /// Binds tasks of overdue jobs and returns the jobs that may still be placed afterwards.
    ///
    /// If an overdue gang does not fit now but would fit on empty machines, the jobs after it in
    /// `order` are not returned and must wait: the resources that the gang needs become free
    /// together only if these jobs do not take them.
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

    /// Binds as many tasks of an overdue job as its fair share covers, or one task if the tasks are
    /// so large that the share covers none. Reserves a machine if the job still has no task on any
    /// machine.
    fn bind_overdue_array(&mut self, position: usize, allocation: u32) {
        let tasks = allocation.max(1);
        self.bind_tasks(position, tasks, Entitlement::FairShare, ImageFilter::Any);
        if self.cycle.jobs[position].assigned() == 0 {
            self.reserve_machine_for(position);
        }
    }

    /// Reserves one machine for a job's task: the one with the most free CPUs among the machines
    /// that are large enough for the task but have too few free resources now. No other task is
    /// bound to the reserved machine, so that resources that become free there a few at a time add
    /// up until the task fits.
    fn reserve_machine_for(&mut self, position: usize) {
        let job = &self.cycle.jobs[position];
        if job.pending == 0 || !self.cycle.team_of(job).within_limit(job.task_request) {
            return;
        }
        let could_hold_task = |machine: &SchedulableMachine| {
            machine.schedulable
                && job.task_request.fits_in(machine.capacity)
                && !job.task_request.fits_in(machine.free)
                && job.is_feasible_on(machine)
        };
        let machines = self.cycle.machines.iter().enumerate();
        let usable = machines.filter(|(_, machine)| could_hold_task(machine));
        let most_free = usable.max_by_key(|(_, machine)| machine.free.cpus);
        if let Some((machine_position, machine)) = most_free {
            self.candidates.reserve(machine_position, machine);
        }
    }

    /// Binds guaranteed tasks first, then tasks within fair shares, then tasks that borrow; within
    /// each of these three groups, jobs of higher priority go first.
    fn bind_by_priority(&mut self, order: &[usize], allocations: &[u32]) {
        let jobs = &self.cycle.jobs;
        let groups: Vec<Vec<usize>> = order
            .chunk_by(|a, b| jobs[*a].priority == jobs[*b].priority)
            .map(<[usize]>::to_vec)
            .collect();
        // Guarantees come before fair shares, so that a team's guaranteed tasks never wait for
        // other teams' tasks.
        let entitlements = [Entitlement::Guarantee, Entitlement::FairShare, Entitlement::Borrowed];
        for entitlement in entitlements {
            for group in &groups {
                self.bind_group(group, allocations, entitlement);
            }
        }
    }

    /// Binds tasks of a group of jobs that have the same priority.
    fn bind_group(&mut self, group: &[usize], allocations: &[u32], entitlement: Entitlement) {
        // Tasks within a job's fair share are first bound to machines that have or fetch the job's
        // image. Otherwise smaller jobs would make those machines fetch other images, and the job's
        // own image would be fetched elsewhere.
        for position in group.iter().copied() {
            let job = &self.cycle.jobs[position];
            if !job.gang {
                let tasks = allocations[position].saturating_sub(job.assigned());
                self.bind_tasks(position, tasks, entitlement, ImageFilter::CachedOrFetching);
            }
        }
        let ignores_share = entitlement != Entitlement::FairShare;
        for position in group.iter().copied() {
            let job = &self.cycle.jobs[position];
            if !job.gang {
                let in_share = allocations[position].saturating_sub(job.assigned());
                let tasks = if ignores_share { u32::MAX } else { in_share };
                self.bind_tasks(position, tasks, entitlement, ImageFilter::Any);
            } else if ignores_share || allocations[position] >= job.remaining {
                self.bind_gang(position, entitlement);
            }
        }
    }

    /// Binds up to `max_tasks` of a job's pending tasks to machines that `filter` accepts.
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

    /// Binds all pending tasks of a gang or none of them; returns whether they were bound.
    fn bind_gang(&mut self, position: usize, entitlement: Entitlement) -> bool {
        let job = &self.cycle.jobs[position];
        // A gang must fit into the number of bindings that the cycle may still make. Only a gang
        // that is bound first may exceed this number, since a gang can have more tasks than
        // `max_bindings`.
        let exceeds_cycle = !self.bindings.is_empty()
            && self.bindings.len() + job.pending as usize > self.cycle.max_bindings;
        if job.pending == 0
            || (job.pending < job.remaining && !job.replaces_gang_members)
            || exceeds_cycle
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

    /// Whether the job's team stays within its limit with this many further tasks and, if the
    /// entitlement is the guarantee, also within its guarantee.
    fn is_entitled(&self, job: &SchedulableJob, tasks: u32, entitlement: Entitlement) -> bool {
        let team = self.cycle.team_of(job);
        let request = job.task_request * i64::from(tasks);
        team.within_limit(request)
            && (entitlement != Entitlement::Guarantee || team.within_guarantee(request))
    }

    /// Binds a job's next task to a machine, and updates the cycle and the candidate index.
    fn bind(&mut self, job_position: usize, machine_position: usize) {
        let job = &mut self.cycle.jobs[job_position];
        let machine = &mut self.cycle.machines[machine_position];
        let free_before = machine.free;
        machine.free -= job.task_request;
        if !machine.cached_or_fetching.contains(&job.image) {
            machine.cached_or_fetching.push(job.image);
            machine.fetching = true;
            self.candidates.record_fetch_started(machine_position, free_before, job.image);
        }
        self.candidates.record_free_change(machine_position, machine, free_before);
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
