//! Tests of the scheduling cycle: shares, quotas, constraints and restarts, and a comparison of the
//! candidate index with a linear search.

mod common;

use common::{cycle, job, machine, resources, team};
use gladekeel_sched::{
    DenseIndex, ImageIdx, MachineTypeIdx, Resources, ZoneIdx,
    cycle::{Binding, SchedulingCycle},
    fair_share::FairShare,
    snapshot::{SchedulableJob, SchedulableMachine},
};
use proptest::prelude::*;

/// The number of bindings of a job.
fn count_of_job(bindings: &[Binding], job: usize) -> usize {
    bindings.iter().filter(|binding| binding.job == job).count()
}

/// Guards against a small job that waits behind a large one, and against a large job that gets no
/// capacity while smaller jobs run: the large job keeps its floor, and here gets all of the rest.
#[test]
fn when_capacity_is_scarce_the_smallest_job_runs_whole_and_the_other_gets_the_rest() {
    let jobs = vec![job(0, 4.0, 40), job(0, 4.0, 4)];
    let mut cycle = cycle(vec![machine(0, false); 2], vec![team(0.0, 1000.0)], jobs);
    let bindings = cycle.run(&FairShare::default());
    assert_eq!((count_of_job(&bindings, 1), count_of_job(&bindings, 0)), (4, 12));
}

/// Guards against a team that exceeds its limit, and against a team that does not get its guarantee
/// because tasks of other teams were bound first.
#[test]
fn team_limits_hold_and_guaranteed_tasks_are_bound_first() {
    let jobs = vec![job(0, 16.0, 1), job(1, 16.0, 3), job(2, 16.0, 5)];
    let teams = vec![team(0.0, 0.0), team(0.0, 64.0), team(32.0, 32.0)];
    let mut cycle = cycle(vec![machine(0, false); 2], teams, jobs);
    let bindings = cycle.run(&FairShare::default());
    assert_eq!([0, 1, 2].map(|j| count_of_job(&bindings, j)), [0, 2, 2]);
}

/// Guards against tasks in a zone or on a spot machine that the constraints of their job exclude.
#[test]
fn zone_and_spot_constraints_hold() {
    let mut single_zone = job(0, 16.0, 4);
    single_zone.single_zone = true;
    single_zone.tasks_by_zone = vec![0, 1];
    let mut two_per_zone = job(0, 16.0, 4);
    two_per_zone.max_tasks_per_zone = 2;
    let mut on_demand = job(0, 16.0, 4);
    on_demand.allows_spot = false;
    for (job, zones) in [(single_zone, [0, 2]), (two_per_zone, [2, 2]), (on_demand, [2, 0])] {
        let machines = vec![machine(0, false), machine(1, true)];
        let mut cycle = cycle(machines, vec![team(0.0, 1000.0)], vec![job]);
        let bindings = cycle.run(&FairShare::default());
        assert_eq!(
            [0, 1].map(|m| bindings.iter().filter(|binding| binding.machine == m).count()),
            zones
        );
    }
}

/// Guards against overcommitted machines: the free resources suffice in total, but not on any one
/// machine.
#[test]
fn a_task_that_exceeds_the_free_resources_of_every_machine_is_not_bound() {
    let mut machines = vec![machine(0, false); 4];
    machines.iter_mut().for_each(|m| m.free = resources(12.0));
    let mut cycle = cycle(machines, vec![team(0.0, 1000.0)], vec![job(0, 16.0, 1)]);
    assert!(cycle.run(&FairShare::default()).is_empty());
}

/// Guards against a straggler that was stopped for its restart and then waits behind a smaller job.
#[test]
fn speculative_restarts_are_bound_before_new_tasks_of_other_jobs() {
    let mut straggling = job(0, 16.0, 9);
    (straggling.pending, straggling.speculative_restarts) = (1, 1);
    let jobs = vec![job(0, 16.0, 2), straggling];
    let mut machines = vec![machine(0, false)];
    machines[0].free = resources(16.0);
    let mut cycle = cycle(machines, vec![team(0.0, 1000.0)], jobs);
    let bindings = cycle.run(&FairShare::default());
    assert_eq!(bindings, [Binding { job: 1, machine: 0 }]);
}

/// Guards against a job that misses its start objective because a task was bound to a machine that
/// has to fetch the image.
#[test]
fn a_job_that_requires_a_cached_image_uses_only_machines_that_have_it() {
    let mut machines = vec![machine(0, false); 2];
    machines[1].free = resources(8.0);
    machines[1].cached_images = vec![ImageIdx::new(0)];
    let mut job = job(0, 8.0, 3);
    let teams = vec![team(0.0, 1000.0)];
    let run = |job: &SchedulableJob| {
        let mut cycle = cycle(machines.clone(), teams.clone(), vec![job.clone()]);
        let bindings = cycle.run(&FairShare::default());
        [0, 1].map(|m| bindings.iter().filter(|binding| binding.machine == m).count())
    };
    assert_eq!(run(&job), [2, 1]);
    job.requires_cached_image = true;
    assert_eq!(run(&job), [0, 1]);
}

/// Guards against a gang that is bound in part, and against a gang that never starts because
/// smaller jobs keep taking the resources that become free.
#[test]
fn gangs_are_bound_whole_and_overdue_gangs_are_bound_first() {
    let mut gang = job(0, 16.0, 4);
    gang.gang = true;
    let other = job(0, 16.0, 2);
    let teams = vec![team(0.0, 1000.0)];
    let run = |machines: usize, gang: &SchedulableJob| {
        let jobs = vec![gang.clone(), other.clone()];
        let mut cycle = cycle(vec![machine(0, false); machines], teams.clone(), jobs);
        let bindings = cycle.run(&FairShare::default());
        [count_of_job(&bindings, 0), count_of_job(&bindings, 1)]
    };
    assert_eq!(run(3, &gang), [4, 2]);
    assert_eq!(
        run(2, &gang),
        [0, 2],
        "the smaller job is bound first and leaves too few resources for the gang"
    );
    gang.overdue_s = 1;
    assert_eq!(run(2, &gang), [4, 0]);
    assert_eq!(
        run(1, &gang),
        [0, 2],
        "no resources are kept free for a gang that the machines could never hold"
    );
}

/// Guards against a job that never starts: small tasks would take free resources on every machine
/// as soon as there are any, so that no machine ever has enough for a large task.
#[test]
fn a_machine_is_reserved_for_an_overdue_job_whose_task_fits_nowhere() {
    let mut machines = vec![machine(0, false); 2];
    machines[0].free = resources(8.0);
    machines[1].free = resources(12.0);
    let mut large = job(0, 16.0, 9);
    let run = |large: &SchedulableJob| {
        let jobs = vec![large.clone(), job(0, 4.0, 9)];
        let mut cycle = cycle(machines.clone(), vec![team(0.0, 1000.0)], jobs);
        let bindings = cycle.run(&FairShare::default());
        [0, 1].map(|m| bindings.iter().filter(|binding| binding.machine == m).count())
    };
    assert_eq!(run(&large), [2, 3], "small tasks use all free resources");
    large.overdue_s = 1;
    assert_eq!(run(&large), [2, 0], "the machine with the most free CPUs is reserved");
}

/// Returns the best machine for one task of a job by examining every machine.
fn linear_best(job: &SchedulableJob, machines: &[SchedulableMachine]) -> Option<usize> {
    let fitting = machines.iter().enumerate().filter(|(_, m)| {
        m.schedulable
            && job.task_request.fits_in(m.free)
            && (!job.requires_cached_image || m.cached_images.contains(&job.image))
            && job.may_use(m.machine_type, m.zone, m.spot)
    });
    let key = |m: &SchedulableMachine| {
        let fetch =
            (!m.cached_images.contains(&job.image), !m.cached_or_fetching.contains(&job.image));
        let network_busy = fetch == (true, true) && m.fetching;
        (fetch, network_busy, !m.spot, m.free.cpus)
    };
    fitting.min_by_key(|(_, m)| key(m)).map(|(machine, _)| machine)
}

/// Applies one binding to the state of a cycle.
fn apply_binding(cycle: &mut SchedulingCycle, job: usize, machine: usize) {
    let (job, machine) = (&mut cycle.jobs[job], &mut cycle.machines[machine]);
    machine.free -= job.task_request;
    if !machine.cached_or_fetching.contains(&job.image) {
        machine.cached_or_fetching.push(job.image);
        machine.fetching = true;
    }
    cycle.teams[job.team.position()].used += job.task_request;
    let zone = machine.zone.position();
    if job.tasks_by_zone.len() <= zone {
        job.tasks_by_zone.resize(zone + 1, 0);
    }
    job.tasks_by_zone[zone] += 1;
    job.pending -= 1;
}

fn assigned(job: &SchedulableJob) -> u32 {
    job.remaining - job.pending
}

/// Up to 11 machines with random free resources, images and flags.
fn machines() -> impl Strategy<Value = Vec<SchedulableMachine>> {
    let images = || prop::collection::btree_set(0u32..4, 0..4);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let fields = (0i64..9, 0i64..9, 0u32..2, 0u32..2, images(), flags);
    let any_machine = fields.prop_map(|(cpus, memory, machine_type, zone, images, flags)| {
        let (spot, fetching, schedulable) = flags;
        let cached_images =
            images.iter().copied().filter(|image| image % 2 == 0).map(ImageIdx::new).collect();
        let cached_or_fetching = images.into_iter().map(ImageIdx::new).collect();
        let free = Resources { cpus: cpus * 4000, gpus: 0, memory: memory * 4000 };
        let machine = machine(zone, spot);
        SchedulableMachine {
            free,
            machine_type: MachineTypeIdx::new(machine_type),
            cached_or_fetching,
            cached_images,
            fetching,
            schedulable,
            ..machine
        }
    });
    prop::collection::vec(any_machine, 0..12)
}

/// Up to 4 jobs with random requests and constraints.
fn jobs() -> impl Strategy<Value = Vec<SchedulableJob>> {
    let constraints = (prop::option::of(0u32..2), any::<bool>(), any::<bool>(), 1u32..9);
    let fields = (1i64..5, 1i64..5, 0u32..4, 1u32..9, any::<bool>(), constraints);
    let any_job = fields.prop_map(|(cpus, memory, image, tasks, allows_spot, constraints)| {
        let (zone, single_zone, requires_cached_image, max_tasks_per_zone) = constraints;
        let task_request = Resources { cpus: cpus * 4000, gpus: 0, memory: memory * 4000 };
        SchedulableJob {
            task_request,
            image: ImageIdx::new(image),
            allows_spot,
            zone: zone.map(ZoneIdx::new),
            single_zone,
            requires_cached_image,
            max_tasks_per_zone,
            ..job(0, 1.0, tasks)
        }
    });
    prop::collection::vec(any_job, 1..5)
}

proptest! {
    /// Guards against a candidate index that no longer matches the machines, so that tasks are
    /// bound to a worse machine or stay pending. For every task, the index must find the same
    /// machine as a search that examines all machines.
    #[test]
    fn the_candidate_index_finds_the_same_machines_as_a_linear_search(
        machines in machines(), jobs in jobs(),
    ) {
        let mut indexed = cycle(machines, vec![team(0.0, 1e6)], jobs);
        let mut linear = indexed.clone();
        let order = indexed.job_order();
        let allocations = indexed.task_allocations(&FairShare::default());
        let mut expected = Vec::new();
        for (borrowed, cached) in [(false, true), (false, false), (true, true), (true, false)] {
            for job in order.iter().copied() {
                while linear.jobs[job].pending > 0
                    && ((borrowed && !cached) || assigned(&linear.jobs[job]) < allocations[job])
                    && let Some(machine) = linear_best(&linear.jobs[job], &linear.machines)
                    && (!cached || linear.machines[machine].cached_or_fetching.contains(&linear.jobs[job].image))
                {
                    expected.push(Binding { job, machine });
                    apply_binding(&mut linear, job, machine);
                }
            }
        }
        prop_assert_eq!(indexed.run(&FairShare::default()), expected);
    }
}
