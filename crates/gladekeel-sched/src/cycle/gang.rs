//! Places for a whole gang, or none.

use super::binder::{Binder, Entitlement};
use crate::cycle::{Binding, SchedulableMachine};
use crate::{DenseIndex, ImageIdx, ZoneIdx};
use std::{cmp::Reverse, collections::BTreeSet};

/// How soon a machine has an image, the soonest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ImageState {
    /// It has it.
    Ready,
    /// It fetches it already.
    Fetching,
    /// It has to fetch it, and fetches nothing else.
    Absent,
    /// It has to fetch it, and shares the rate with another fetch.
    AbsentBusy,
}

/// A machine that can take tasks of a gang. The order of the fields is the order of
/// preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    image: ImageState,
    /// It is not kept for gangs.
    shared: bool,
    /// It is no spot machine.
    ordinary: bool,
    /// How many tasks fit. Fewer machines: each may be lost, or turn out to be slow.
    tasks: Reverse<u32>,
    free_cpus: i64,
    /// Its index in the round.
    machine: usize,
    zone: ZoneIdx,
}

impl Candidate {
    fn new(at: usize, machine: &SchedulableMachine, image: ImageIdx, tasks: u32) -> Candidate {
        let image = if machine.cached_images.contains(&image) {
            ImageState::Ready
        } else if machine.cached_or_fetching.contains(&image) {
            ImageState::Fetching
        } else if machine.fetching {
            ImageState::AbsentBusy
        } else {
            ImageState::Absent
        };
        Candidate {
            image,
            shared: !machine.warm_pool,
            ordinary: !machine.spot,
            tasks: Reverse(tasks),
            free_cpus: machine.free.cpus,
            machine: at,
            zone: machine.zone,
        }
    }
}

/// Machines that hold a whole gang, with how many of its tasks each takes.
struct Choice {
    /// The state of the image on the machine that has it last.
    slowest: ImageState,
    machines: Vec<(usize, u32)>,
}

impl Binder<'_> {
    /// Places all of a gang's tasks, or none.
    pub(super) fn place_gang(&mut self, index: usize, claimed: Entitlement) -> bool {
        let job = &self.cycle.jobs[index];
        // A round that is full takes no more, but one gang may be more than a round.
        let late = !self.bindings.is_empty()
            && self.bindings.len() + job.pending as usize > self.cycle.max_bindings;
        let team = &self.cycle.teams[job.team.position()];
        let all = job.task_request * i64::from(job.pending);
        if job.pending == 0
            || (job.pending < job.remaining && !job.replaces_gang_members)
            || late
            || !team.within_limit(all)
            || (claimed == Entitlement::Guarantee && !team.within_guarantee(all))
        {
            return false;
        }
        let Some(chosen) = self.machines_for_gang(index) else { return false };
        for (machine, tasks) in chosen {
            for _ in 0..tasks {
                self.take(index, machine, false);
                self.bindings.push(Binding { job: index, machine });
            }
        }
        true
    }

    /// The machines for a whole gang, with how many of its tasks each takes; none if it
    /// does not fit as things are.
    fn machines_for_gang(&mut self, index: usize) -> Option<Vec<(usize, u32)>> {
        let candidates = self.gang_candidates(index);
        if !self.cycle.jobs[index].single_zone {
            return self.choose(index, &candidates, None).map(|choice| choice.machines);
        }
        let zones: BTreeSet<ZoneIdx> = candidates.iter().map(|candidate| candidate.zone).collect();
        let whole =
            zones.into_iter().filter_map(|zone| self.choose(index, &candidates, Some(zone)));
        whole.min_by_key(|choice| (choice.slowest, choice.machines.len())).map(|best| best.machines)
    }

    /// Machines that can take tasks of a gang, the best first.
    fn gang_candidates(&mut self, index: usize) -> Vec<Candidate> {
        let job = &self.cycle.jobs[index];
        let mut candidates = Vec::new();
        for (at, machine) in self.cycle.machines.iter().enumerate() {
            self.index.machines_examined += 1;
            if !machine.schedulable
                || self.index.is_closed(at)
                || !self.cycle.is_feasible(job, machine)
            {
                continue;
            }
            let tasks = job.task_request.times_in(machine.free, job.pending);
            if tasks > 0 {
                candidates.push(Candidate::new(at, machine, job.image, tasks));
            }
        }
        candidates.sort_unstable();
        candidates
    }

    /// Spreads a gang over the best of these machines, within one zone if there is `only`
    /// one; none if they do not hold all of it.
    fn choose(
        &self,
        index: usize,
        candidates: &[Candidate],
        only: Option<ZoneIdx>,
    ) -> Option<Choice> {
        let job = &self.cycle.jobs[index];
        let mut left = job.pending;
        let mut choice = Choice { slowest: ImageState::Ready, machines: Vec::new() };
        let mut by_zone = job.tasks_by_zone.clone();
        for candidate in candidates {
            if left == 0 || only.is_some_and(|only| only != candidate.zone) {
                continue;
            }
            let zone = candidate.zone.position();
            if by_zone.len() <= zone {
                by_zone.resize(zone + 1, 0);
            }
            let allowed = job.max_tasks_per_zone.saturating_sub(by_zone[zone]);
            let tasks = candidate.tasks.0.min(left).min(allowed);
            if tasks > 0 {
                by_zone[zone] += tasks;
                left -= tasks;
                choice.machines.push((candidate.machine, tasks));
                // It starts when the last of its tasks has the image.
                choice.slowest = choice.slowest.max(candidate.image);
            }
        }
        (left == 0).then_some(choice)
    }
}
