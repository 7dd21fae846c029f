//! Preemption: which running tasks are stopped for pending ones with a better claim.
//!
//! The leader calls this after a [`SchedulingCycle`] has run, for jobs that are still pending
//! and have waited long enough, with the tasks that may be stopped at all.
//!
//! A task may be preempted if it has a lower priority, or if its team has borrowed beyond its
//! guarantee while the preempting job's team stays within its own. Machines where the least
//! work is lost come first. For a gang, room is made for all of it or not at all.

use crate::{
    DenseIndex, Resources, TeamIdx, ZoneIdx,
    cycle::SchedulingCycle,
    snapshot::{SchedulableJob, SchedulableMachine},
};
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};

/// A running task, or a gang's tasks on one machine, that may be preempted.
#[derive(Debug, Clone, Copy)]
pub struct PreemptionCandidate {
    /// Identifies it to the caller.
    pub id: u64,
    /// Position of its machine in the cycle.
    pub machine: usize,
    /// Its team.
    pub team: TeamIdx,
    /// Its priority.
    pub priority: u8,
    /// What it has requested.
    pub resources: Resources,
    /// Work that is lost if it is stopped, in CPU-seconds; never negative.
    pub lost_work: f64,
    /// Whether it saves its progress in checkpoints.
    pub checkpoints: bool,
}

/// Which tasks a job may preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreemptionScope {
    /// Only tasks that save their progress.
    CheckpointingTasks,
    /// All tasks.
    AllTasks,
}

impl PreemptionScope {
    fn includes(self, candidate: &PreemptionCandidate) -> bool {
        self == PreemptionScope::AllTasks || candidate.checkpoints
    }
}

/// Tasks that may be preempted, by machine, those that lose the least work first.
#[derive(Debug, Clone)]
pub struct PreemptionCandidates {
    by_machine: Vec<Vec<PreemptionCandidate>>,
}

/// The candidates of one machine to stop so that a task fits there.
struct Eviction {
    lost_work: f64,
    ids: Vec<u64>,
}

/// Machines by the work that is lost if a task is placed there, the least first.
#[derive(Default)]
struct EvictionQueue(BinaryHeap<Reverse<(u64, usize)>>);

impl EvictionQueue {
    fn push(&mut self, eviction: &Eviction, machine: usize) {
        // Lost work is never negative: the bits of such numbers are in their order.
        self.0.push(Reverse((eviction.lost_work.to_bits(), machine)));
    }

    /// The machine with the least lost work, with the bits of that.
    fn pop(&mut self) -> Option<(u64, usize)> {
        self.0.pop().map(|Reverse(entry)| entry)
    }
}

impl PreemptionCandidates {
    /// Groups candidates by machine, for a cycle with so many machines.
    pub fn new(
        machine_count: usize,
        candidates: impl IntoIterator<Item = PreemptionCandidate>,
    ) -> PreemptionCandidates {
        let mut by_machine = vec![Vec::new(); machine_count];
        for candidate in candidates {
            by_machine[candidate.machine].push(candidate);
        }
        for group in &mut by_machine {
            group.sort_by(|a: &PreemptionCandidate, b| {
                a.lost_work.total_cmp(&b.lost_work).then(a.id.cmp(&b.id))
            });
        }
        PreemptionCandidates { by_machine }
    }

    /// Chooses tasks to stop for the pending tasks of the job at this position, and returns
    /// their identifiers. Chooses no further ones once there are `max_preemptions`.
    ///
    /// The cycle counts the pending tasks that fit thereby as placed.
    pub fn preempt_for(
        &mut self,
        cycle: &mut SchedulingCycle,
        position: usize,
        max_preemptions: usize,
        scope: PreemptionScope,
    ) -> Vec<u64> {
        let job = cycle.jobs[position].clone();
        let mut queue = self.eviction_queue(cycle, &job, scope);
        let mut preempted = Vec::new();
        while cycle.jobs[position].pending > 0
            && preempted.len() < max_preemptions
            && let Some((queued_loss, machine)) = queue.pop()
        {
            // What the teams use has changed since, and with it what may be preempted.
            let Some(eviction) = self.eviction_on(cycle, &job, machine, scope) else { continue };
            if eviction.lost_work.to_bits() > queued_loss {
                queue.push(&eviction, machine);
                continue;
            }
            self.evict(cycle, machine, &eviction);
            cycle.machines[machine].free -= job.task_request;
            cycle.teams[job.team.position()].used += job.task_request;
            cycle.jobs[position].pending -= 1;
            preempted.extend(eviction.ids);
            if let Some(next) = self.eviction_on(cycle, &job, machine, scope) {
                queue.push(&next, machine);
            }
        }
        preempted
    }

    /// As [`PreemptionCandidates::preempt_for`], for all pending tasks of a gang together with
    /// what is free, or for none: half of a gang cannot start. Machines that have its image
    /// come before others.
    pub fn preempt_for_gang(
        &mut self,
        cycle: &mut SchedulingCycle,
        position: usize,
        max_preemptions: usize,
        scope: PreemptionScope,
    ) -> Vec<u64> {
        let zones = allowed_zones(cycle, &cycle.jobs[position]);
        for requires_cached_image in [true, false] {
            for zone in &zones {
                let (mut trial_cycle, mut trial_candidates) = (cycle.clone(), self.clone());
                let job = &mut trial_cycle.jobs[position];
                if job.zone.is_some_and(|only| Some(only) != *zone) {
                    continue;
                }
                (job.zone, job.requires_cached_image) = (*zone, requires_cached_image);
                trial_cycle.reserve_free_resources(position);
                let preempted = trial_candidates.preempt_for(
                    &mut trial_cycle,
                    position,
                    max_preemptions,
                    scope,
                );
                if trial_cycle.jobs[position].pending == 0 {
                    let original = &cycle.jobs[position];
                    let job = &mut trial_cycle.jobs[position];
                    job.zone = original.zone;
                    job.requires_cached_image = original.requires_cached_image;
                    (*cycle, *self) = (trial_cycle, trial_candidates);
                    return preempted;
                }
            }
        }
        Vec::new()
    }

    fn eviction_queue(
        &self,
        cycle: &SchedulingCycle,
        job: &SchedulableJob,
        scope: PreemptionScope,
    ) -> EvictionQueue {
        let mut queue = EvictionQueue::default();
        for machine in 0..cycle.machines.len() {
            if let Some(eviction) = self.eviction_on(cycle, job, machine, scope) {
                queue.push(&eviction, machine);
            }
        }
        queue
    }

    /// What must be stopped on a machine so that a task of the job fits; `None` if that cannot
    /// be had, or if nothing need be stopped.
    fn eviction_on(
        &self,
        cycle: &SchedulingCycle,
        job: &SchedulableJob,
        position: usize,
        scope: PreemptionScope,
    ) -> Option<Eviction> {
        let machine = &cycle.machines[position];
        let candidates = &self.by_machine[position];
        let team = cycle.team_of(job);
        if candidates.is_empty()
            || !team.within_limit(job.task_request)
            || !could_run_on(job, machine)
        {
            return None;
        }
        let reclaims_guarantee = team.within_guarantee(job.task_request);
        let mut free = machine.free;
        let mut eviction = Eviction { lost_work: 0.0, ids: Vec::new() };
        for candidate in candidates {
            if job.task_request.fits_in(free) {
                break;
            }
            let borrowed = reclaims_guarantee
                && candidate.team != job.team
                && cycle.teams[candidate.team.position()].exceeds_guarantee();
            if scope.includes(candidate) && (candidate.priority < job.priority || borrowed) {
                free += candidate.resources;
                eviction.lost_work += candidate.lost_work;
                eviction.ids.push(candidate.id);
            }
        }
        (job.task_request.fits_in(free) && !eviction.ids.is_empty()).then_some(eviction)
    }

    /// Counts candidates of a machine as stopped.
    fn evict(&mut self, cycle: &mut SchedulingCycle, machine: usize, eviction: &Eviction) {
        let group = &mut self.by_machine[machine];
        for candidate in group.iter().filter(|candidate| eviction.ids.contains(&candidate.id)) {
            cycle.machines[machine].free += candidate.resources;
            cycle.teams[candidate.team.position()].used -= candidate.resources;
        }
        group.retain(|candidate| !eviction.ids.contains(&candidate.id));
    }
}

/// Whether a machine could run a task of the job if it were empty.
fn could_run_on(job: &SchedulableJob, machine: &SchedulableMachine) -> bool {
    machine.schedulable
        && (!machine.warm_pool || job.gang)
        && job.task_request.fits_in(machine.capacity)
        && job.is_feasible_on(machine)
}

/// The zones that are tried for a gang, one after the other; `None` stands for all at once.
fn allowed_zones(cycle: &SchedulingCycle, gang: &SchedulableJob) -> Vec<Option<ZoneIdx>> {
    if !gang.single_zone {
        return vec![gang.zone];
    }
    let zones: BTreeSet<ZoneIdx> = cycle.machines.iter().map(|machine| machine.zone).collect();
    zones.into_iter().map(Some).collect()
}
