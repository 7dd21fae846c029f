//! Placing: shares, limits, zones, restarts, and the index against the plain rule.

mod common;

use common::{job, machine, room, round, team};
use gladekeel_sched::{
    Room,
    place::{Job, Machine, Placement, Round},
    share::Hopper,
};
use proptest::prelude::*;

fn count(placed: &[Placement], job: usize) -> usize {
    placed.iter().filter(|p| p.job == job).count()
}

#[test]
fn short_room_goes_to_the_smallest_and_floors_hold() {
    let jobs = vec![job(0, 4.0, 40), job(0, 4.0, 4)];
    let mut round = round(vec![machine(0, false); 2], vec![team(0.0, 1000.0)], jobs);
    let placed = round.place(&Hopper::default());
    assert_eq!((count(&placed, 1), count(&placed, 0)), (4, 12));
}

#[test]
fn limits_bound_and_guarantees_lead() {
    let jobs = vec![job(0, 16.0, 1), job(1, 16.0, 3), job(2, 16.0, 5)];
    let teams = vec![team(0.0, 0.0), team(0.0, 64.0), team(32.0, 32.0)];
    let mut round = round(vec![machine(0, false); 2], teams, jobs);
    let placed = round.place(&Hopper::default());
    assert_eq!([0, 1, 2].map(|j| count(&placed, j)), [0, 2, 2]);
}

#[test]
fn zones_kinds_and_spot_are_kept() {
    let mut one_zone = job(0, 16.0, 4);
    one_zone.one_zone = true;
    one_zone.by_zone = vec![0, 1];
    let mut halves = job(0, 16.0, 4);
    halves.zone_cap = 2;
    let mut ordinary = job(0, 16.0, 4);
    ordinary.spot = false;
    for (job, zones) in [(one_zone, [0, 2]), (halves, [2, 2]), (ordinary, [2, 0])] {
        let machines = vec![machine(0, false), machine(1, true)];
        let mut round = round(machines, vec![team(0.0, 1000.0)], vec![job]);
        let placed = round.place(&Hopper::default());
        assert_eq!([0, 1].map(|m| placed.iter().filter(|p| p.machine == m).count()), zones);
    }
}

#[test]
fn summed_room_in_small_pieces_does_not_count() {
    let mut machines = vec![machine(0, false); 4];
    machines.iter_mut().for_each(|m| m.free = room(12.0));
    let mut round = round(machines, vec![team(0.0, 1000.0)], vec![job(0, 16.0, 1)]);
    assert!(round.place(&Hopper::default()).is_empty());
}

#[test]
fn restarts_go_before_other_jobs_new_tasks() {
    let mut slow = job(0, 16.0, 9);
    (slow.pending, slow.restarts) = (1, 1);
    let jobs = vec![job(0, 16.0, 2), slow];
    let mut machines = vec![machine(0, false)];
    machines[0].free = room(16.0);
    let mut round = round(machines, vec![team(0.0, 1000.0)], jobs);
    let placed = round.place(&Hopper::default());
    assert_eq!(placed, [Placement { job: 1, machine: 0 }]);
}

#[test]
fn a_hurried_job_waits_for_a_machine_with_its_image() {
    let mut machines = vec![machine(0, false); 2];
    machines[1].free = room(8.0);
    machines[1].ready = vec![0];
    let mut hurried = job(0, 8.0, 3);
    let teams = vec![team(0.0, 1000.0)];
    let place = |job: &Job| {
        let mut round = round(machines.clone(), teams.clone(), vec![job.clone()]);
        let placed = round.place(&Hopper::default());
        [0, 1].map(|m| placed.iter().filter(|p| p.machine == m).count())
    };
    assert_eq!(place(&hurried), [2, 1]);
    hurried.hurried = true;
    assert_eq!(place(&hurried), [0, 1]);
}

#[test]
fn gangs_start_whole_and_overdue_ones_first() {
    let mut gang = job(0, 16.0, 4);
    gang.gang = true;
    let other = job(0, 16.0, 2);
    let teams = vec![team(0.0, 1000.0)];
    let place = |machines: usize, gang: &Job| {
        let jobs = vec![gang.clone(), other.clone()];
        let mut round = round(vec![machine(0, false); machines], teams.clone(), jobs);
        let placed = round.place(&Hopper::default());
        [count(&placed, 0), count(&placed, 1)]
    };
    assert_eq!(place(3, &gang), [4, 2]);
    assert_eq!(place(2, &gang), [0, 2], "the smaller job leaves too little for the gang");
    gang.overdue = 1;
    assert_eq!(place(2, &gang), [4, 0]);
    assert_eq!(place(1, &gang), [0, 2], "what can never hold it need not be kept for it");
}

#[test]
fn room_gathers_for_what_has_waited_long() {
    let mut machines = vec![machine(0, false); 2];
    machines[0].free = room(8.0);
    machines[1].free = room(12.0);
    let mut large = job(0, 16.0, 9);
    let place = |large: &Job| {
        let jobs = vec![large.clone(), job(0, 4.0, 9)];
        let mut round = round(machines.clone(), vec![team(0.0, 1000.0)], jobs);
        let placed = round.place(&Hopper::default());
        [0, 1].map(|m| placed.iter().filter(|p| p.machine == m).count())
    };
    assert_eq!(place(&large), [2, 3], "small tasks fill what is free");
    large.overdue = 1;
    assert_eq!(place(&large), [2, 0], "the machine with most room is left alone");
}

/// The plain rule for one task: looks at every machine.
fn plain_best(job: &Job, machines: &[Machine]) -> Option<usize> {
    let fitting = machines.iter().enumerate().filter(|(_, m)| {
        m.open
            && job.task.fits(m.free)
            && (!job.hurried || m.ready.contains(&job.image))
            && job.may_use(m.kind, m.zone, m.spot)
    });
    let key = |m: &Machine| {
        let fetch = (!m.ready.contains(&job.image), !m.images.contains(&job.image));
        let busy = fetch == (true, true) && m.fetching;
        (fetch, busy, !m.spot, m.free.cpus)
    };
    fitting.min_by_key(|(_, m)| key(m)).map(|(at, _)| at)
}

/// The plain effect of one placement.
fn take(round: &mut Round, at: usize, machine: usize) {
    let (job, machine) = (&mut round.jobs[at], &mut round.machines[machine]);
    machine.free -= job.task;
    if !machine.images.contains(&job.image) {
        machine.images.push(job.image);
        machine.fetching = true;
    }
    round.teams[job.team as usize].used += job.task;
    let zone = machine.zone as usize;
    if job.by_zone.len() <= zone {
        job.by_zone.resize(zone + 1, 0);
    }
    job.by_zone[zone] += 1;
    job.pending -= 1;
}

fn on_machines(job: &Job) -> u32 {
    job.remaining - job.pending
}

fn machines() -> impl Strategy<Value = Vec<Machine>> {
    let images = || prop::collection::btree_set(0u32..4, 0..4);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let one = (0i64..9, 0i64..9, 0u32..2, 0u32..2, images(), flags);
    let one = one.prop_map(|(cpus, memory, kind, zone, images, flags)| {
        let (spot, fetching, open) = flags;
        let images: Vec<u32> = images.into_iter().collect();
        let ready = images.iter().copied().filter(|image| image % 2 == 0).collect();
        let free = Room { cpus: cpus * 4000, gpus: 0, memory: memory * 4000 };
        let machine = machine(zone, spot);
        Machine { free, kind, images, ready, fetching, open, ..machine }
    });
    prop::collection::vec(one, 0..12)
}

fn jobs() -> impl Strategy<Value = Vec<Job>> {
    let rules = (prop::option::of(0u32..2), any::<bool>(), any::<bool>(), 1u32..9);
    let one = (1i64..5, 1i64..5, 0u32..4, 1u32..9, any::<bool>(), rules);
    let one = one.prop_map(|(cpus, memory, image, tasks, spot, rules)| {
        let (zone, one_zone, hurried, zone_cap) = rules;
        let task = Room { cpus: cpus * 4000, gpus: 0, memory: memory * 4000 };
        Job { task, image, spot, zone, one_zone, hurried, zone_cap, ..job(0, 1.0, tasks) }
    });
    prop::collection::vec(one, 1..5)
}

proptest! {
    /// The index finds what looking at every machine finds, task for task.
    #[test]
    fn the_index_places_as_the_plain_rule_does(machines in machines(), jobs in jobs()) {
        let mut fast = round(machines, vec![team(0.0, 1e6)], jobs);
        let mut plain = fast.clone();
        let order = fast.order();
        let targets = fast.targets(&Hopper::default());
        let mut expected = Vec::new();
        for (lent, cached) in [(false, true), (false, false), (true, true), (true, false)] {
            for at in order.iter().copied() {
                while plain.jobs[at].pending > 0
                    && ((lent && !cached) || on_machines(&plain.jobs[at]) < targets[at])
                    && let Some(machine) = plain_best(&plain.jobs[at], &plain.machines)
                    && (!cached || plain.machines[machine].images.contains(&plain.jobs[at].image))
                {
                    expected.push(Placement { job: at, machine });
                    take(&mut plain, at, machine);
                }
            }
        }
        prop_assert_eq!(fast.place(&Hopper::default()), expected);
    }
}
