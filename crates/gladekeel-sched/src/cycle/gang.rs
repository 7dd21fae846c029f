//! Finds machines for a whole gang, or none.

use super::SchedulingCycle;
use crate::candidate_index::CandidateIndex;
use crate::snapshot::{ImageState, SchedulableMachine};
use crate::{DenseIndex, ImageIdx, ZoneIdx};
use std::{cmp::Reverse, collections::BTreeSet};

/// A machine that can take tasks of a gang. The order of the fields is the order of
/// preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    image_state: ImageState,
    /// Machines of the warm pool come first.
    outside_warm_pool: bool,
    /// Spot machines come first.
    on_demand: bool,
    /// How many tasks fit. Few machines are better: each may be lost, or be a straggler.
    tasks: Reverse<u32>,
    free_cpus: i64,
    /// Its position in the cycle.
    machine: usize,
    zone: ZoneIdx,
}

impl Candidate {
    fn new(position: usize, machine: &SchedulableMachine, image: ImageIdx, tasks: u32) -> Self {
        Candidate {
            image_state: machine.image_state(image),
            outside_warm_pool: !machine.warm_pool,
            on_demand: !machine.spot,
            tasks: Reverse(tasks),
            free_cpus: machine.free.cpus,
            machine: position,
            zone: machine.zone,
        }
    }
}

/// Machines that hold a whole gang.
pub(super) struct GangPlacement {
    /// Positions of the machines, with how many of the gang's tasks each takes.
    pub tasks_by_machine: Vec<(usize, u32)>,
    /// The state of the image on the machine that has it last: the gang starts no sooner.
    slowest_image: ImageState,
}

/// The machines for all pending tasks of a gang; `None` if they do not fit as things are. A gang
/// of one zone gets the zone where its image is ready soonest, then the one with the fewest
/// machines for it.
pub(super) fn place(
    cycle: &SchedulingCycle,
    gang: usize,
    index: &mut CandidateIndex,
) -> Option<GangPlacement> {
    let candidates = find_candidates(cycle, gang, index);
    if !cycle.jobs[gang].single_zone {
        return spread(cycle, gang, &candidates);
    }
    let zones: BTreeSet<ZoneIdx> = candidates.iter().map(|candidate| candidate.zone).collect();
    let in_zone = |zone: ZoneIdx| candidates.iter().filter(move |c| c.zone == zone);
    let placements = zones.into_iter().filter_map(|zone| spread(cycle, gang, in_zone(zone)));
    placements.min_by_key(|placement| (placement.slowest_image, placement.tasks_by_machine.len()))
}

/// Machines that can take tasks of a gang, the best first.
fn find_candidates(
    cycle: &SchedulingCycle,
    gang: usize,
    index: &mut CandidateIndex,
) -> Vec<Candidate> {
    let job = &cycle.jobs[gang];
    let mut candidates = Vec::new();
    for (position, machine) in cycle.machines.iter().enumerate() {
        index.count_examined();
        if !machine.schedulable || index.is_reserved(position) || !job.is_feasible_on(machine) {
            continue;
        }
        let tasks = job.task_request.times_in(machine.free, job.pending);
        if tasks > 0 {
            candidates.push(Candidate::new(position, machine, job.image, tasks));
        }
    }
    candidates.sort_unstable();
    candidates
}

/// Spreads a gang's pending tasks over the first of these machines; `None` if they do not hold
/// all of them.
fn spread<'a>(
    cycle: &SchedulingCycle,
    gang: usize,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<GangPlacement> {
    let job = &cycle.jobs[gang];
    let mut unplaced = job.pending;
    let mut tasks_by_zone = job.tasks_by_zone.clone();
    let mut tasks_by_machine = Vec::new();
    let mut slowest_image = ImageState::Cached;
    for candidate in candidates {
        if unplaced == 0 {
            break;
        }
        let zone = candidate.zone.position();
        if tasks_by_zone.len() <= zone {
            tasks_by_zone.resize(zone + 1, 0);
        }
        let allowed_in_zone = job.max_tasks_per_zone.saturating_sub(tasks_by_zone[zone]);
        let tasks = candidate.tasks.0.min(unplaced).min(allowed_in_zone);
        if tasks > 0 {
            tasks_by_zone[zone] += tasks;
            unplaced -= tasks;
            tasks_by_machine.push((candidate.machine, tasks));
            slowest_image = slowest_image.max(candidate.image_state);
        }
    }
    (unplaced == 0).then_some(GangPlacement { tasks_by_machine, slowest_image })
}
