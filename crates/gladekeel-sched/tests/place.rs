//! Placing: shares, limits, zones, restarts, and the index against the plain rule.

mod common;

use common::{job, machine, room, round, team};
use gladekeel_sched::{
    DenseIndex, ImageIdx, MachineTypeIdx, Resources, ZoneIdx,
    cycle::{Binding, SchedulableJob, SchedulableMachine, SchedulingCycle},
    fair_share::FairShare,
};
use proptest::prelude::*;

fn count(placed: &[Binding], job: usize) -> usize {
    placed.iter().filter(|p| p.job == job).count()
}

#[test]
fn short_room_goes_to_the_smallest_and_floors_hold() {
    let jobs = vec![job(0, 4.0, 40), job(0, 4.0, 4)];
    let mut round = round(vec![machine(0, false); 2], vec![team(0.0, 1000.0)], jobs);
    let placed = round.run(&FairShare::default());
    assert_eq!((count(&placed, 1), count(&placed, 0)), (4, 12));
}

#[test]
fn limits_bound_and_guarantees_lead() {
    let jobs = vec![job(0, 16.0, 1), job(1, 16.0, 3), job(2, 16.0, 5)];
    let teams = vec![team(0.0, 0.0), team(0.0, 64.0), team(32.0, 32.0)];
    let mut round = round(vec![machine(0, false); 2], teams, jobs);
    let placed = round.run(&FairShare::default());
    assert_eq!([0, 1, 2].map(|j| count(&placed, j)), [0, 2, 2]);
}

#[test]
fn zones_kinds_and_spot_are_kept() {
    let mut one_zone = job(0, 16.0, 4);
    one_zone.single_zone = true;
    one_zone.tasks_by_zone = vec![0, 1];
    let mut halves = job(0, 16.0, 4);
    halves.max_tasks_per_zone = 2;
    let mut ordinary = job(0, 16.0, 4);
    ordinary.spot = false;
    for (job, zones) in [(one_zone, [0, 2]), (halves, [2, 2]), (ordinary, [2, 0])] {
        let machines = vec![machine(0, false), machine(1, true)];
        let mut round = round(machines, vec![team(0.0, 1000.0)], vec![job]);
        let placed = round.run(&FairShare::default());
        assert_eq!([0, 1].map(|m| placed.iter().filter(|p| p.machine == m).count()), zones);
    }
}

#[test]
fn summed_room_in_small_pieces_does_not_count() {
    let mut machines = vec![machine(0, false); 4];
    machines.iter_mut().for_each(|m| m.free = room(12.0));
    let mut round = round(machines, vec![team(0.0, 1000.0)], vec![job(0, 16.0, 1)]);
    assert!(round.run(&FairShare::default()).is_empty());
}

#[test]
fn restarts_go_before_other_jobs_new_tasks() {
    let mut slow = job(0, 16.0, 9);
    (slow.pending, slow.speculative_restarts) = (1, 1);
    let jobs = vec![job(0, 16.0, 2), slow];
    let mut machines = vec![machine(0, false)];
    machines[0].free = room(16.0);
    let mut round = round(machines, vec![team(0.0, 1000.0)], jobs);
    let placed = round.run(&FairShare::default());
    assert_eq!(placed, [Binding { job: 1, machine: 0 }]);
}

#[test]
fn a_hurried_job_waits_for_a_machine_with_its_image() {
    let mut machines = vec![machine(0, false); 2];
    machines[1].free = room(8.0);
    machines[1].cached_images = vec![ImageIdx::new(0)];
    let mut hurried = job(0, 8.0, 3);
    let teams = vec![team(0.0, 1000.0)];
    let place = |job: &SchedulableJob| {
        let mut round = round(machines.clone(), teams.clone(), vec![job.clone()]);
        let placed = round.run(&FairShare::default());
        [0, 1].map(|m| placed.iter().filter(|p| p.machine == m).count())
    };
    assert_eq!(place(&hurried), [2, 1]);
    hurried.requires_cached_image = true;
    assert_eq!(place(&hurried), [0, 1]);
}

#[test]
fn gangs_start_whole_and_overdue_ones_first() {
    let mut gang = job(0, 16.0, 4);
    gang.gang = true;
    let other = job(0, 16.0, 2);
    let teams = vec![team(0.0, 1000.0)];
    let place = |machines: usize, gang: &SchedulableJob| {
        let jobs = vec![gang.clone(), other.clone()];
        let mut round = round(vec![machine(0, false); machines], teams.clone(), jobs);
        let placed = round.run(&FairShare::default());
        [count(&placed, 0), count(&placed, 1)]
    };
    assert_eq!(place(3, &gang), [4, 2]);
    assert_eq!(place(2, &gang), [0, 2], "the smaller job leaves too little for the gang");
    gang.overdue_s = 1;
    assert_eq!(place(2, &gang), [4, 0]);
    assert_eq!(place(1, &gang), [0, 2], "what can never hold it need not be kept for it");
}

#[test]
fn room_gathers_for_what_has_waited_long() {
    let mut machines = vec![machine(0, false); 2];
    machines[0].free = room(8.0);
    machines[1].free = room(12.0);
    let mut large = job(0, 16.0, 9);
    let place = |large: &SchedulableJob| {
        let jobs = vec![large.clone(), job(0, 4.0, 9)];
        let mut round = round(machines.clone(), vec![team(0.0, 1000.0)], jobs);
        let placed = round.run(&FairShare::default());
        [0, 1].map(|m| placed.iter().filter(|p| p.machine == m).count())
    };
    assert_eq!(place(&large), [2, 3], "small tasks fill what is free");
    large.overdue_s = 1;
    assert_eq!(place(&large), [2, 0], "the machine with most room is left alone");
}

/// The plain rule for one task: looks at every machine.
fn plain_best(job: &SchedulableJob, machines: &[SchedulableMachine]) -> Option<usize> {
    let fitting = machines.iter().enumerate().filter(|(_, m)| {
        m.schedulable
            && job.task_request.fits_in(m.free)
            && (!job.requires_cached_image || m.cached_images.contains(&job.image))
            && job.may_use(m.machine_type, m.zone, m.spot)
    });
    let key = |m: &SchedulableMachine| {
        let fetch =
            (!m.cached_images.contains(&job.image), !m.cached_or_fetching.contains(&job.image));
        let busy = fetch == (true, true) && m.fetching;
        (fetch, busy, !m.spot, m.free.cpus)
    };
    fitting.min_by_key(|(_, m)| key(m)).map(|(at, _)| at)
}

/// The plain effect of one placement.
fn take(round: &mut SchedulingCycle, at: usize, machine: usize) {
    let (job, machine) = (&mut round.jobs[at], &mut round.machines[machine]);
    machine.free -= job.task_request;
    if !machine.cached_or_fetching.contains(&job.image) {
        machine.cached_or_fetching.push(job.image);
        machine.fetching = true;
    }
    round.teams[job.team.position()].used += job.task_request;
    let zone = machine.zone.position();
    if job.tasks_by_zone.len() <= zone {
        job.tasks_by_zone.resize(zone + 1, 0);
    }
    job.tasks_by_zone[zone] += 1;
    job.pending -= 1;
}

fn on_machines(job: &SchedulableJob) -> u32 {
    job.remaining - job.pending
}

fn machines() -> impl Strategy<Value = Vec<SchedulableMachine>> {
    let images = || prop::collection::btree_set(0u32..4, 0..4);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let one = (0i64..9, 0i64..9, 0u32..2, 0u32..2, images(), flags);
    let one = one.prop_map(|(cpus, memory, kind, zone, images, flags)| {
        let (spot, fetching, open) = flags;
        let ready =
            images.iter().copied().filter(|image| image % 2 == 0).map(ImageIdx::new).collect();
        let images = images.into_iter().map(ImageIdx::new).collect();
        let free = Resources { cpus: cpus * 4000, gpus: 0, memory: memory * 4000 };
        let machine = machine(zone, spot);
        SchedulableMachine {
            free,
            machine_type: MachineTypeIdx::new(kind),
            cached_or_fetching: images,
            cached_images: ready,
            fetching,
            schedulable: open,
            ..machine
        }
    });
    prop::collection::vec(one, 0..12)
}

fn jobs() -> impl Strategy<Value = Vec<SchedulableJob>> {
    let rules = (prop::option::of(0u32..2), any::<bool>(), any::<bool>(), 1u32..9);
    let one = (1i64..5, 1i64..5, 0u32..4, 1u32..9, any::<bool>(), rules);
    let one = one.prop_map(|(cpus, memory, image, tasks, spot, rules)| {
        let (zone, one_zone, hurried, zone_cap) = rules;
        let task = Resources { cpus: cpus * 4000, gpus: 0, memory: memory * 4000 };
        SchedulableJob {
            task_request: task,
            image: ImageIdx::new(image),
            spot,
            zone: zone.map(ZoneIdx::new),
            single_zone: one_zone,
            requires_cached_image: hurried,
            max_tasks_per_zone: zone_cap,
            ..job(0, 1.0, tasks)
        }
    });
    prop::collection::vec(one, 1..5)
}

proptest! {
    /// The index finds what looking at every machine finds, task for task.
    #[test]
    fn the_index_places_as_the_plain_rule_does(machines in machines(), jobs in jobs()) {
        let mut fast = round(machines, vec![team(0.0, 1e6)], jobs);
        let mut plain = fast.clone();
        let order = fast.job_order();
        let targets = fast.task_allocations(&FairShare::default());
        let mut expected = Vec::new();
        for (lent, cached) in [(false, true), (false, false), (true, true), (true, false)] {
            for at in order.iter().copied() {
                while plain.jobs[at].pending > 0
                    && ((lent && !cached) || on_machines(&plain.jobs[at]) < targets[at])
                    && let Some(machine) = plain_best(&plain.jobs[at], &plain.machines)
                    && (!cached || plain.machines[machine].cached_or_fetching.contains(&plain.jobs[at].image))
                {
                    expected.push(Binding { job: at, machine });
                    take(&mut plain, at, machine);
                }
            }
        }
        prop_assert_eq!(fast.run(&FairShare::default()), expected);
    }
}
