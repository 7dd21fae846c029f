//! Tests of gangs: binding whole or not at all, and preemption, the warm pool and scale-out for
//! gangs.

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

/// The number of bindings of a job.
fn count_of_job(bindings: &[Binding], job: usize) -> usize {
    bindings.iter().filter(|binding| binding.job == job).count()
}

/// The first plan of a new autoscaler for a type whose machines boot in 50 s.
fn plan(demands: &[JobDemand], up: f64, booting: &[f64]) -> ScalingPlan {
    let supply = Supply { up, booting: booting.to_vec() };
    let input = ScalingInput { demands, supply: &supply, arrivals: &[], boot_s: 50.0 };
    let config =
        AutoscalerConfig { smoothing_s: 60.0, spot_retention: 1.0, target_utilization: 1.0 };
    Autoscaler::default().plan(0.0, &input, &config)
}

/// Guards against a gang that is split over zones, or bound in part, because a machine that has the
/// image is preferred although its zone cannot hold the whole gang.
#[test]
fn a_single_zone_gang_is_bound_in_a_zone_that_holds_all_of_its_tasks() {
    let mut machines = vec![machine(0, false), machine(1, false), machine(1, false)];
    machines[0].cached_images = vec![ImageIdx::new(0)];
    let mut gang = job(0, 16.0, 4);
    (gang.gang, gang.single_zone) = (true, true);
    let run = |gang: &SchedulableJob| {
        let teams = vec![team(0.0, 1000.0)];
        let mut cycle = cycle(machines.clone(), teams, vec![gang.clone()]);
        let bindings = cycle.run(&FairShare::default());
        [0, 1, 2].map(|m| bindings.iter().filter(|binding| binding.machine == m).count())
    };
    assert_eq!(run(&gang), [0, 2, 2], "the machine with the image holds only half of the gang");
    (gang.remaining, gang.pending) = (2, 2);
    assert_eq!(run(&gang), [2, 0, 0]);
    (gang.single_zone, gang.max_tasks_per_zone) = (false, 1);
    assert_eq!(run(&gang), [1, 1, 0], "at most one task in each zone");
}

/// Guards against two faults after a gang has lost a task: binding the task while an earlier
/// attempt of the gang may still be running, and replacing the task outside the zone of the gang's
/// other tasks.
#[test]
fn a_lost_gang_member_is_replaced_in_the_zone_of_the_other_members() {
    let mut gang = job(0, 16.0, 3);
    (gang.gang, gang.single_zone, gang.pending, gang.tasks_by_zone) = (true, true, 1, vec![0, 2]);
    let run = |gang: &SchedulableJob| {
        let machines = vec![machine(0, false), machine(1, false)];
        let mut cycle = cycle(machines, vec![team(0.0, 1000.0)], vec![gang.clone()]);
        cycle.run(&FairShare::default())
    };
    assert!(run(&gang).is_empty(), "an attempt of the gang has not been released yet");
    gang.replaces_gang_members = true;
    assert_eq!(run(&gang), [Binding { job: 0, machine: 1 }]);
}

/// Guards against a gang that is cut off at `max_bindings`, or that is never bound because it has
/// more tasks than a cycle may bind.
#[test]
fn a_gang_that_exceeds_max_bindings_is_bound_whole() {
    let mut gang = job(0, 4.0, 9);
    gang.gang = true;
    let run = |jobs: Vec<SchedulableJob>| {
        let mut cycle = cycle(vec![machine(0, false); 2], vec![team(0.0, 1000.0)], jobs);
        cycle.max_bindings = 4;
        let bindings = cycle.run(&FairShare::default());
        [0, 1].map(|job| count_of_job(&bindings, job))
    };
    assert_eq!(run(vec![gang.clone()]), [9, 0]);
    assert_eq!(
        run(vec![gang, job(0, 4.0, 3)]),
        [0, 3],
        "a gang that exceeds the remaining bindings of the cycle waits for the next cycle"
    );
}

/// Guards against an array that fills the warm pool, so that a gang finds no free machines there.
#[test]
fn only_gangs_are_bound_to_the_warm_pool() {
    let mut machines = vec![machine(0, false); 2];
    machines[1].warm_pool = true;
    let mut gang = job(0, 8.0, 2);
    gang.gang = true;
    let teams = vec![team(0.0, 1000.0)];
    let mut cycle = cycle(machines, teams, vec![gang, job(0, 8.0, 9)]);
    let bindings = cycle.run(&FairShare::default());
    let count = |job, machine| bindings.iter().filter(|b| **b == Binding { job, machine }).count();
    assert_eq!([count(0, 0), count(0, 1), count(1, 0), count(1, 1)], [0, 2, 4, 0]);
}

/// Guards against stopping tasks in vain: a gang cannot start if the capacity freed by preemption
/// holds only a part of the gang.
#[test]
fn preemption_for_a_gang_frees_capacity_for_all_of_it_or_stops_nothing() {
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
        saves_checkpoints: true,
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
    assert_eq!(preempt(2), [1], "in the zone with the image, in addition to the free resources");
    assert_eq!(
        preempt(3),
        [2],
        "only the other zone holds the gang; the machine with the least lost work is chosen"
    );
    assert!(preempt(5).is_empty(), "no zone holds the gang: nothing is preempted");
}

/// Guards against a gang that never starts because the autoscaler considers only that there is
/// enough time to run the gang's tasks one after another on the existing machines: the tasks must
/// all run at once.
#[test]
fn a_pending_gang_requires_machines_in_addition_to_those_of_running_tasks() {
    let demand = |gang| JobDemand { pending: 6.2, run_s: 15.0, gang, ..JobDemand::default() };
    let others =
        JobDemand { running: 2.0, run_s: 15.0, time_left_s: 900.0, ..JobDemand::default() };
    let plan_for =
        |gang| plan(&[JobDemand { time_left_s: 900.0, ..demand(gang) }, others], 5.0, &[]);
    assert_eq!(plan_for(false).scale_out, 0.0, "tasks of an array can run one after another");
    assert_eq!((plan_for(true).scale_out, plan_for(true).required), (4.0, 8.2));
}
