//! Finds machines for all pending tasks of a gang, or for none of them.

use super::SchedulingCycle;
use crate::candidate_index::CandidateIndex;
use crate::snapshot::{ImageState, SchedulableMachine};
use crate::{DenseIndex, ImageIdx, ZoneIdx};
use std::{cmp::Reverse, collections::BTreeSet};

/// A machine that can take tasks of a gang. The derived order compares the fields from first to
/// last, and the candidate that sorts first is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// State of the gang's image on the machine.
    image_state: ImageState,
    /// False for machines of the warm pool, which are preferred.
    outside_warm_pool: bool,
    /// False for spot machines, which are preferred.
    on_demand: bool,
    /// How many tasks fit. Machines that hold more tasks are preferred, since a gang on fewer
    /// machines is less likely to lose one or to have a slow one.
    tasks: Reverse<u32>,
    /// Free CPUs, in thousandths: the fullest machine is preferred.
    free_cpus: i64,
    /// Position of the machine in the cycle's list of machines.
    machine: usize,
    /// Zone of the machine.
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

/// Machines that hold all pending tasks of a gang.
pub(super) struct GangPlacement {
    /// The position of each machine, and how many of the gang's tasks it takes.
    pub tasks_by_machine: Vec<(usize, u32)>,
    /// State of the gang's image on the machine where the image is ready last: the gang cannot
    /// start sooner.
    slowest_image: ImageState,
}

/// Returns machines for all pending tasks of a gang; `None` if the usable machines' free resources
/// cannot hold all of them. A single-zone gang gets the zone where its image is ready soonest and,
/// among such zones, the one where it needs the fewest machines.
pub(super) fn place(
    cycle: &SchedulingCycle,
    gang: usize,
    index: &mut CandidateIndex,
) -> Option<GangPlacement> {
    let candidates = find_candidates(cycle, gang, index);
    if !cycle.jobs[gang].single_zone {
        return assign_tasks(cycle, gang, &candidates);
    }
    let zones: BTreeSet<ZoneIdx> = candidates.iter().map(|candidate| candidate.zone).collect();
    let in_zone = |zone: ZoneIdx| candidates.iter().filter(move |c| c.zone == zone);
    let placements = zones.into_iter().filter_map(|zone| assign_tasks(cycle, gang, in_zone(zone)));
    placements.min_by_key(|placement| (placement.slowest_image, placement.tasks_by_machine.len()))
}

/// Returns the machines that can take at least one task of a gang, the preferred ones first.
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

/// Assigns a gang's pending tasks to these machines, in the given order; `None` if the machines do
/// not hold all of the tasks.
fn assign_tasks<'a>(
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
