//! Gangs: placed whole or not at all, and what is made room and kept for them.

mod common;

use common::{job, machine, room, round, team};
use gladekeel_sched::{
    ImageIdx, TeamIdx,
    autoscaling::{Autoscaler, AutoscalerConfig, JobDemand, ScalingPlan, Supply},
    cycle::{Binding, SchedulableJob},
    fair_share::FairShare,
    preemption::{PreemptionCandidate, PreemptionCandidates},
};

fn count(placed: &[Binding], job: usize) -> usize {
    placed.iter().filter(|p| p.job == job).count()
}

fn plan(needs: &[JobDemand], up: f64, booting: &[f64]) -> ScalingPlan {
    let supply = Supply { up, booting: booting.to_vec() };
    let sizing =
        AutoscalerConfig { smoothing_s: 60.0, spot_retention: 1.0, target_utilization: 1.0 };
    Autoscaler::default().plan(0.0, needs, &supply, &[], 50.0, &sizing)
}

#[test]
fn gangs_of_one_zone_take_the_zone_that_holds_them_whole() {
    let mut machines = vec![machine(0, false), machine(1, false), machine(1, false)];
    machines[0].cached_images = vec![ImageIdx::new(0)];
    let mut gang = job(0, 16.0, 4);
    (gang.gang, gang.single_zone) = (true, true);
    let place = |gang: &SchedulableJob| {
        let teams = vec![team(0.0, 1000.0)];
        let mut round = round(machines.clone(), teams, vec![gang.clone()]);
        let placed = round.run(&FairShare::default());
        [0, 1, 2].map(|m| placed.iter().filter(|p| p.machine == m).count())
    };
    assert_eq!(place(&gang), [0, 2, 2], "the machine with the image holds half of it");
    (gang.remaining, gang.pending) = (2, 2);
    assert_eq!(place(&gang), [2, 0, 0]);
    (gang.single_zone, gang.max_tasks_per_zone) = (false, 1);
    assert_eq!(place(&gang), [1, 1, 0], "scattered");
}

#[test]
fn what_a_waiting_gang_lacks_is_placed_beside_the_rest() {
    let mut gang = job(0, 16.0, 3);
    (gang.gang, gang.single_zone, gang.pending, gang.tasks_by_zone) = (true, true, 1, vec![0, 2]);
    let place = |gang: &SchedulableJob| {
        let machines = vec![machine(0, false), machine(1, false)];
        let mut round = round(machines, vec![team(0.0, 1000.0)], vec![gang.clone()]);
        round.run(&FairShare::default())
    };
    assert!(place(&gang).is_empty(), "the old attempt is not gone yet");
    gang.replaces_gang_members = true;
    assert_eq!(place(&gang), [Binding { job: 0, machine: 1 }]);
}

#[test]
fn a_gang_larger_than_a_round_still_starts_whole() {
    let mut gang = job(0, 4.0, 9);
    gang.gang = true;
    let place = |jobs: Vec<SchedulableJob>| {
        let mut round = round(vec![machine(0, false); 2], vec![team(0.0, 1000.0)], jobs);
        round.max_bindings = 4;
        let placed = round.run(&FairShare::default());
        [0, 1].map(|at| count(&placed, at))
    };
    assert_eq!(place(vec![gang.clone()]), [9, 0]);
    assert_eq!(place(vec![gang, job(0, 4.0, 3)]), [0, 3], "when it is its turn");
}

#[test]
fn what_is_kept_for_gangs_is_left_to_them() {
    let mut machines = vec![machine(0, false); 2];
    machines[1].warm_pool = true;
    let mut gang = job(0, 8.0, 2);
    gang.gang = true;
    let teams = vec![team(0.0, 1000.0)];
    let mut round = round(machines, teams, vec![gang, job(0, 8.0, 9)]);
    let placed = round.run(&FairShare::default());
    let on =
        |job: usize, m: usize| placed.iter().filter(|p| p.job == job && p.machine == m).count();
    assert_eq!([on(0, 0), on(0, 1), on(1, 0), on(1, 1)], [0, 2, 4, 0]);
}

#[test]
fn room_is_made_for_a_whole_gang_or_not_at_all() {
    let mut machines = vec![machine(0, false), machine(1, false), machine(1, false)];
    machines.iter_mut().for_each(|m| m.free = room(16.0));
    machines[0].cached_images = vec![ImageIdx::new(0)];
    let victim = |id, machine, loss| PreemptionCandidate {
        id,
        machine,
        team: TeamIdx::new(0),
        priority: 1,
        resources: room(16.0),
        lost_work: loss,
        checkpoints: true,
    };
    let stop = |tasks: u32| {
        let mut gang = SchedulableJob { priority: 2, ..job(0, 16.0, tasks) };
        (gang.gang, gang.single_zone) = (true, true);
        let mut round = round(machines.clone(), vec![team(0.0, 1000.0)], vec![gang]);
        let mut victims =
            PreemptionCandidates::new(3, [victim(1, 0, 9.0), victim(2, 1, 1.0), victim(3, 2, 2.0)]);
        victims.preempt_for_gang(&mut round, 0, 8, true)
    };
    assert_eq!(stop(2), [1], "where the image is, and beside what is free");
    assert_eq!(stop(3), [2], "the other zone holds it, and little is lost there");
    assert!(stop(5).is_empty(), "no zone holds it: nothing is stopped in vain");
}

#[test]
fn a_gang_needs_its_machines_at_once() {
    let need =
        |together| JobDemand { pending: 6.2, run_s: 15.0, gang: together, ..JobDemand::default() };
    let others =
        JobDemand { running: 2.0, run_s: 15.0, time_left_s: 900.0, ..JobDemand::default() };
    let late =
        |together| plan(&[JobDemand { time_left_s: 900.0, ..need(together) }, others], 5.0, &[]);
    assert_eq!(late(false).scale_out, 0.0, "its tasks can run one after the other");
    assert_eq!((late(true).scale_out, late(true).required), (4.0, 8.2));
}
