//! Preemption: decides which running tasks are stopped in favour of pending ones that take
//! precedence.
//!
//! The leader calls this module after a [`SchedulingCycle`] has run, for jobs that still have
//! pending tasks and have waited long enough. The caller passes only tasks that may be stopped.
//!
//! A task may be preempted if it has a lower priority than the preempting job, or if its team has
//! borrowed beyond its guarantee while the preempting job's team stays within its own guarantee.
//! Tasks are stopped first on the machines where the least work is lost. For a gang, capacity is
//! freed for all of its pending tasks or not at all.

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
    /// Identifies the candidate to the caller.
    pub id: u64,
    /// Position of the candidate's machine in the cycle's list of machines.
    pub machine: usize,
    /// Team of the candidate's job.
    pub team: TeamIdx,
    /// Priority of the candidate's job; a greater value is a higher priority.
    pub priority: u8,
    /// Resources that the candidate has requested and that stopping it frees.
    pub resources: Resources,
    /// Work that is lost if the candidate is stopped, in CPU-seconds; never negative.
    pub lost_work: f64,
    /// Whether the candidate saves its progress in checkpoints.
    pub saves_checkpoints: bool,
}

/// The kind of tasks that a job may preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreemptionScope {
    /// Only tasks that save their progress in checkpoints.
    CheckpointingTasks,
    /// All tasks.
    AllTasks,
}

impl PreemptionScope {
    fn includes(self, candidate: &PreemptionCandidate) -> bool {
        self == PreemptionScope::AllTasks || candidate.saves_checkpoints
    }
}

/// Tasks that may be preempted, grouped by machine; on each machine, those that lose the least
/// work come first.
#[derive(Debug, Clone)]
pub struct PreemptionCandidates {
    /// The candidates on each machine, by the machine's position in the cycle's list of machines.
    by_machine: Vec<Vec<PreemptionCandidate>>,
}

/// The candidates to stop on one machine so that a task fits there.
struct Eviction {
    /// Total work that the candidates lose, in CPU-seconds.
    lost_work: f64,
    /// The candidates' [`PreemptionCandidate::id`]s.
    ids: Vec<u64>,
}

/// Priority queue of machines, ordered by the work that is lost if a task is placed there; the
/// machine with the least lost work comes first.
#[derive(Default)]
struct EvictionQueue(BinaryHeap<Reverse<(u64, usize)>>);

impl EvictionQueue {
    fn push(&mut self, eviction: &Eviction, machine: usize) {
        // Lost work is never negative, and the bit patterns of non-negative floating-point numbers
        // sort as the numbers do.
        self.0.push(Reverse((eviction.lost_work.to_bits(), machine)));
    }

    /// Removes the machine with the least lost work; returns the bit pattern of the lost work, as
    /// queued, and the machine's position.
    fn pop(&mut self) -> Option<(u64, usize)> {
        self.0.pop().map(|Reverse(entry)| entry)
    }
}

impl PreemptionCandidates {
    /// Groups candidates by machine, for a cycle with `machine_count` machines.
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

    /// Chooses candidates to stop for the pending tasks of the job at `position`, and returns their
    /// identifiers. No more candidates are chosen once there are at least `max_preemptions`.
    ///
    /// Updates `cycle` as if the chosen candidates were stopped and the pending tasks that then fit
    /// were placed.
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
            // Earlier evictions have changed what the teams use, and therefore which candidates may
            // be preempted: the lost work in the queue may be outdated.
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

    /// Like [`PreemptionCandidates::preempt_for`], but for all pending tasks of a gang or for none:
    /// a part of a gang cannot start.
    ///
    /// The gang also uses free resources. If its pending tasks still do not all fit, the function
    /// returns no identifiers and leaves `cycle` as it was. A placement on machines that have the
    /// gang's image is preferred.
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

    /// Builds the queue of all machines where an eviction makes a task of the job fit.
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

    /// Returns the candidates that must be stopped on a machine so that a task of the job fits;
    /// `None` if the task cannot be made to fit there or fits without an eviction.
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
            let has_borrowed = reclaims_guarantee
                && candidate.team != job.team
                && cycle.teams[candidate.team.position()].exceeds_guarantee();
            if scope.includes(candidate) && (candidate.priority < job.priority || has_borrowed) {
                free += candidate.resources;
                eviction.lost_work += candidate.lost_work;
                eviction.ids.push(candidate.id);
            }
        }
        (job.task_request.fits_in(free) && !eviction.ids.is_empty()).then_some(eviction)
    }

    /// Removes an eviction's candidates and updates the cycle as if these candidates were stopped.
    fn evict(&mut self, cycle: &mut SchedulingCycle, machine: usize, eviction: &Eviction) {
        let group = &mut self.by_machine[machine];
        for candidate in group.iter().filter(|candidate| eviction.ids.contains(&candidate.id)) {
            cycle.machines[machine].free += candidate.resources;
            cycle.teams[candidate.team.position()].used -= candidate.resources;
        }
        group.retain(|candidate| !eviction.ids.contains(&candidate.id));
    }
}

/// Whether a machine could run a task of the job if no other task were on the machine.
fn could_run_on(job: &SchedulableJob, machine: &SchedulableMachine) -> bool {
    machine.schedulable
        && (!machine.warm_pool || job.gang)
        && job.task_request.fits_in(machine.capacity)
        && job.is_feasible_on(machine)
}

/// Returns the zones to try one after another for a gang; `None` in the list stands for all zones
/// together.
fn allowed_zones(cycle: &SchedulingCycle, gang: &SchedulableJob) -> Vec<Option<ZoneIdx>> {
    if !gang.single_zone {
        return vec![gang.zone];
    }
    let zones: BTreeSet<ZoneIdx> = cycle.machines.iter().map(|machine| machine.zone).collect();
    zones.into_iter().map(Some).collect()
}
