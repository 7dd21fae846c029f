//! What is stopped to make room for those with a better claim.

use crate::{DenseIndex, TeamIdx, ZoneIdx};
use crate::{
    Resources,
    cycle::{SchedulableJob, SchedulingCycle, TeamQuota},
};
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};

/// A task on a machine that could be stopped for another.
#[derive(Debug, Clone, Copy)]
pub struct PreemptionCandidate {
    /// Whose it is, for the caller.
    pub id: u64,
    /// The machine, as an index into the round's machines.
    pub machine: usize,
    /// Its team.
    pub team: TeamIdx,
    /// Its priority.
    pub priority: u8,
    /// What it takes.
    pub resources: Resources,
    /// Work that stopping it would lose, in CPU-seconds.
    pub lost_work: f64,
    /// Whether it saves its progress.
    pub checkpoints: bool,
}

/// Tasks that could be stopped, by machine.
#[derive(Debug, Clone)]
pub struct PreemptionCandidates(Vec<Vec<PreemptionCandidate>>);

/// What making room for a task costs on a machine: work lost, and how many of the
/// machine's victims are stopped.
type PreemptionCost = (f64, Vec<u64>);

impl PreemptionCandidates {
    /// Groups victims by machine, those that lose least first.
    pub fn new(
        machines: usize,
        victims: impl IntoIterator<Item = PreemptionCandidate>,
    ) -> PreemptionCandidates {
        let mut groups = vec![Vec::new(); machines];
        for victim in victims {
            groups[victim.machine].push(victim);
        }
        for group in &mut groups {
            group.sort_by(|a: &PreemptionCandidate, b| {
                a.lost_work.total_cmp(&b.lost_work).then(a.id.cmp(&b.id))
            });
        }
        PreemptionCandidates(groups)
    }

    /// Chooses tasks to stop for up to `most` waiting tasks of a job, and returns
    /// them; `saving` takes only ones that save their progress. The round counts
    /// their room as the job's from then on.
    ///
    /// A victim has a lower priority, or belongs to another team that runs beyond
    /// its guarantee while the claimant stays within its own. Machines where least
    /// work is lost come first.
    pub fn preempt_for(
        &mut self,
        round: &mut SchedulingCycle,
        index: usize,
        most: usize,
        saving: bool,
    ) -> Vec<u64> {
        let job = round.jobs[index].clone();
        let mut heap: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        // Losses are never negative, so that their bits are in their order.
        for machine in 0..round.machines.len() {
            if let Some((loss, _)) = self.cost_on(round, &job, machine, saving) {
                heap.push(Reverse((loss.to_bits(), machine)));
            }
        }
        let mut stopped = Vec::new();
        while round.jobs[index].pending > 0
            && stopped.len() < most
            && let Some(Reverse((known, machine))) = heap.pop()
        {
            // Uses of teams have changed since; what an offer costs may have too.
            let Some((loss, ids)) = self.cost_on(round, &job, machine, saving) else { continue };
            if loss.to_bits() > known {
                heap.push(Reverse((loss.to_bits(), machine)));
                continue;
            }
            let group = &mut self.0[machine];
            for victim in group.iter().filter(|victim| ids.contains(&victim.id)) {
                round.machines[machine].free += victim.resources;
                round.teams[victim.team.position()].used -= victim.resources;
            }
            group.retain(|victim| !ids.contains(&victim.id));
            round.machines[machine].free -= job.task_request;
            round.teams[job.team.position()].used += job.task_request;
            round.jobs[index].pending -= 1;
            stopped.extend(ids);
            if let Some((loss, _)) = self.cost_on(round, &job, machine, saving) {
                heap.push(Reverse((loss.to_bits(), machine)));
            }
        }
        stopped
    }

    /// The same for a whole gang, together with what is free, or nothing: half of the
    /// room would help nobody. Machines that have its image come before others.
    pub fn preempt_for_gang(
        &mut self,
        round: &mut SchedulingCycle,
        index: usize,
        most: usize,
        saving: bool,
    ) -> Vec<u64> {
        let zones: BTreeSet<ZoneIdx> = round.machines.iter().map(|machine| machine.zone).collect();
        let only = |zone: ZoneIdx| Some(zone);
        let tries: Vec<Option<ZoneIdx>> = match round.jobs[index].single_zone {
            true => zones.into_iter().map(only).collect(),
            false => vec![round.jobs[index].zone],
        };
        for ready in [true, false] {
            for zone in &tries {
                let (mut round_then, mut victims_then) = (round.clone(), self.clone());
                let job = &mut round_then.jobs[index];
                if job.zone.is_some_and(|own| Some(own) != *zone) {
                    continue;
                }
                let before = (job.zone, job.requires_cached_image);
                (job.zone, job.requires_cached_image) = (*zone, ready);
                round_then.reserve_free(index);
                let stopped = victims_then.preempt_for(&mut round_then, index, most, saving);
                if round_then.jobs[index].pending == 0 {
                    let job = &mut round_then.jobs[index];
                    (job.zone, job.requires_cached_image) = before;
                    (*round, *self) = (round_then, victims_then);
                    return stopped;
                }
            }
        }
        Vec::new()
    }

    fn cost_on(
        &self,
        round: &SchedulingCycle,
        job: &SchedulableJob,
        at: usize,
        saving: bool,
    ) -> Option<PreemptionCost> {
        let machine = &round.machines[at];
        let team: &TeamQuota = &round.teams[job.team.position()];
        if !machine.schedulable
            || (machine.warm_pool && !job.gang)
            || self.0[at].is_empty()
            || !team.within_limit(job.task_request)
            || !job.task_request.fits_in(machine.capacity)
            || (job.requires_cached_image && !machine.cached_images.contains(&job.image))
            || !job.may_use(machine.machine_type, machine.zone, machine.spot)
        {
            return None;
        }
        let claims_guarantee = team.within_guarantee(job.task_request);
        let (mut free, mut loss, mut ids) = (machine.free, 0.0, Vec::new());
        for victim in &self.0[at] {
            if job.task_request.fits_in(free) {
                break;
            }
            let borrowed = claims_guarantee
                && victim.team != job.team
                && round.teams[victim.team.position()].exceeds_guarantee();
            if (victim.checkpoints || !saving) && (victim.priority < job.priority || borrowed) {
                free += victim.resources;
                loss += victim.lost_work;
                ids.push(victim.id);
            }
        }
        (job.task_request.fits_in(free) && !ids.is_empty()).then_some((loss, ids))
    }
}
