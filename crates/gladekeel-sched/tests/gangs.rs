//! Gangs: bound whole or not at all; preemption, the warm pool and scale-out for them.

mod common;

use common::{cycle, job, machine, resources, team};
use gladekeel_sched::{
    ImageIdx, TeamIdx,
    autoscaling::{Autoscaler, AutoscalerConfig, JobDemand, ScalingInput, ScalingPlan, Supply},
    cycle::Binding,
    fair_share::FairShare,
    preemption::{PreemptionCandidate, PreemptionCandidates, PreemptionScope},
    snapshot::SchedulableJob,
};

fn count(bindings: &[Binding], job: usize) -> usize {
    bindings.iter().filter(|p| p.job == job).count()
}

fn plan(demands: &[JobDemand], up: f64, booting: &[f64]) -> ScalingPlan {
    let supply = Supply { up, booting: booting.to_vec() };
    let input = ScalingInput { demands, supply: &supply, arrivals: &[], boot_s: 50.0 };
    let config =
        AutoscalerConfig { smoothing_s: 60.0, spot_retention: 1.0, target_utilization: 1.0 };
    Autoscaler::default().plan(0.0, &input, &config)
}

#[test]
fn a_single_zone_gang_goes_to_the_zone_that_holds_all_of_it() {
    let mut machines = vec![machine(0, false), machine(1, false), machine(1, false)];
    machines[0].cached_images = vec![ImageIdx::new(0)];
    let mut gang = job(0, 16.0, 4);
    (gang.gang, gang.single_zone) = (true, true);
    let run = |gang: &SchedulableJob| {
        let teams = vec![team(0.0, 1000.0)];
        let mut cycle = cycle(machines.clone(), teams, vec![gang.clone()]);
        let bindings = cycle.run(&FairShare::default());
        [0, 1, 2].map(|m| bindings.iter().filter(|p| p.machine == m).count())
    };
    assert_eq!(run(&gang), [0, 2, 2], "the machine with the image holds only half of it");
    (gang.remaining, gang.pending) = (2, 2);
    assert_eq!(run(&gang), [2, 0, 0]);
    (gang.single_zone, gang.max_tasks_per_zone) = (false, 1);
    assert_eq!(run(&gang), [1, 1, 0], "at most one task in each zone");
}

#[test]
fn a_missing_gang_member_is_replaced_in_the_zone_of_the_others() {
    let mut gang = job(0, 16.0, 3);
    (gang.gang, gang.single_zone, gang.pending, gang.tasks_by_zone) = (true, true, 1, vec![0, 2]);
    let run = |gang: &SchedulableJob| {
        let machines = vec![machine(0, false), machine(1, false)];
        let mut cycle = cycle(machines, vec![team(0.0, 1000.0)], vec![gang.clone()]);
        cycle.run(&FairShare::default())
    };
    assert!(run(&gang).is_empty(), "the earlier attempt is not released yet");
    gang.replaces_gang_members = true;
    assert_eq!(run(&gang), [Binding { job: 0, machine: 1 }]);
}

#[test]
fn a_gang_larger_than_a_cycle_is_bound_whole() {
    let mut gang = job(0, 4.0, 9);
    gang.gang = true;
    let run = |jobs: Vec<SchedulableJob>| {
        let mut cycle = cycle(vec![machine(0, false); 2], vec![team(0.0, 1000.0)], jobs);
        cycle.max_bindings = 4;
        let bindings = cycle.run(&FairShare::default());
        [0, 1].map(|job| count(&bindings, job))
    };
    assert_eq!(run(vec![gang.clone()]), [9, 0]);
    assert_eq!(
        run(vec![gang, job(0, 4.0, 3)]),
        [0, 3],
        "a gang that no longer fits into the cycle waits for the next one"
    );
}

#[test]
fn the_warm_pool_is_used_by_gangs_only() {
    let mut machines = vec![machine(0, false); 2];
    machines[1].warm_pool = true;
    let mut gang = job(0, 8.0, 2);
    gang.gang = true;
    let teams = vec![team(0.0, 1000.0)];
    let mut cycle = cycle(machines, teams, vec![gang, job(0, 8.0, 9)]);
    let bindings = cycle.run(&FairShare::default());
    let on =
        |job: usize, m: usize| bindings.iter().filter(|p| p.job == job && p.machine == m).count();
    assert_eq!([on(0, 0), on(0, 1), on(1, 0), on(1, 1)], [0, 2, 4, 0]);
}

#[test]
fn preemption_frees_machines_for_a_whole_gang_or_stops_nothing() {
    let mut machines = vec![machine(0, false), machine(1, false), machine(1, false)];
    machines.iter_mut().for_each(|m| m.free = resources(16.0));
    machines[0].cached_images = vec![ImageIdx::new(0)];
    let candidate = |id, machine, lost_work| PreemptionCandidate {
        id,
        machine,
        team: TeamIdx::new(0),
        priority: 1,
        resources: resources(16.0),
        lost_work,
        checkpoints: true,
    };
    let preempt = |tasks: u32| {
        let mut gang = SchedulableJob { priority: 2, ..job(0, 16.0, tasks) };
        (gang.gang, gang.single_zone) = (true, true);
        let mut cycle = cycle(machines.clone(), vec![team(0.0, 1000.0)], vec![gang]);
        let candidates = [candidate(1, 0, 9.0), candidate(2, 1, 1.0), candidate(3, 2, 2.0)];
        let mut candidates = PreemptionCandidates::new(3, candidates);
        let scope = PreemptionScope::CheckpointingTasks;
        candidates.preempt_for_gang(&mut cycle, 0, 8, scope)
    };
    assert_eq!(preempt(2), [1], "in the zone with the image, beside the free resources");
    assert_eq!(preempt(3), [2], "the other zone holds it, on the machine with the least lost work");
    assert!(preempt(5).is_empty(), "no zone holds it: nothing is preempted");
}

#[test]
fn a_pending_gang_scales_out_to_run_beside_all_other_tasks() {
    let demand = |gang| JobDemand { pending: 6.2, run_s: 15.0, gang, ..JobDemand::default() };
    let others =
        JobDemand { running: 2.0, run_s: 15.0, time_left_s: 900.0, ..JobDemand::default() };
    let late = |gang| plan(&[JobDemand { time_left_s: 900.0, ..demand(gang) }, others], 5.0, &[]);
    assert_eq!(late(false).scale_out, 0.0, "its tasks can run one after the other");
    assert_eq!((late(true).scale_out, late(true).required), (4.0, 8.2));
}
