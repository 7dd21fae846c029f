use super::{checker_with, job_id, machine, respond, violated};
use gladekeel_testkit::{
    invariants::{FreeCapacity, InvariantChecker, JobRequest},
    scenario::example_job,
    stand_ins::resources::Resources,
};
use gladekeel_wire::{
    TaskId,
    job::{JobKind, JobSpec, JobState},
};
use std::collections::BTreeSet;

fn machine_with(zone: &str, spot: bool, cpus: f64) -> FreeCapacity {
    FreeCapacity {
        machine_type: "m32".into(),
        zone: zone.into(),
        spot,
        free: Resources { cpus, gpus: 0.0, memory_gb: 64.0 },
    }
}

/// Runs the check every 5 s from 0 to `until` on a job that stays pending. `observe` returns the
/// free machines and whether the job has tasks on machines. Returns the names of the violated
/// invariants.
fn violated_while_pending(
    spec: &JobSpec,
    until: u32,
    observe: impl Fn(u32, &mut InvariantChecker) -> (Vec<FreeCapacity>, bool),
) -> Vec<String> {
    let mut checker = checker_with(spec);
    respond(&mut checker, 0.0, JobRequest::Submit, 201, Some(JobState::Queued));
    for now in (0..=until).step_by(5) {
        let (free, is_active) = observe(now, &mut checker);
        let active = if is_active { BTreeSet::from([spec.id.clone()]) } else { BTreeSet::new() };
        checker.check_pending(f64::from(now), &free, &active);
    }
    violated(&checker).into_iter().map(str::to_owned).collect()
}

fn array() -> JobSpec {
    JobSpec { cpus: 8.0, tasks: 4, ..example_job("job-1") }
}

fn free_machine(_: u32, _: &mut InvariantChecker) -> (Vec<FreeCapacity>, bool) {
    (vec![machine_with("a", false, 8.0)], false)
}

/// Without a fault, a job without tasks on machines may be pending for at most 90 s while a
/// machine that fits is free. The tests below cover the reasons to be pending for longer.
#[test]
fn a_job_that_stays_pending_next_to_a_free_machine_is_a_violation() {
    assert!(violated_while_pending(&array(), 90, free_machine).is_empty(), "90 s have not passed");
    let violated = violated_while_pending(&array(), 400, free_machine);
    assert_eq!(violated, ["no_starvation"], "the violation is reported once");
}

#[test]
fn pending_time_counts_from_when_faults_are_cleared() {
    let cleared_at = |at: f64| {
        move |_: u32, checker: &mut InvariantChecker| {
            checker.faults_cleared_at = at;
            (vec![machine_with("a", false, 8.0)], false)
        }
    };
    assert!(violated_while_pending(&array(), 190, cleared_at(100.0)).is_empty());
    assert_eq!(violated_while_pending(&array(), 195, cleared_at(100.0)), ["no_starvation"]);
}

#[test]
fn a_job_may_be_pending_while_no_machine_that_fits_is_free() {
    let too_small = |_: u32, _: &mut InvariantChecker| (vec![machine_with("a", false, 7.9)], false);
    assert!(violated_while_pending(&array(), 400, too_small).is_empty());
    let occupied_once = |now: u32, _: &mut InvariantChecker| {
        (if now == 60 { vec![] } else { vec![machine_with("a", false, 8.0)] }, false)
    };
    assert!(violated_while_pending(&array(), 155, occupied_once).is_empty());
    assert_eq!(violated_while_pending(&array(), 160, occupied_once), ["no_starvation"]);
}

#[test]
fn a_job_with_a_task_on_a_machine_is_not_pending() {
    let active = |_: u32, _: &mut InvariantChecker| (vec![machine_with("a", false, 8.0)], true);
    assert!(violated_while_pending(&array(), 400, active).is_empty());
}

#[test]
fn a_job_may_be_pending_while_only_machines_that_it_does_not_allow_are_free() {
    let spec = JobSpec { zone: Some("b".into()), spot: false, ..array() };
    assert!(violated_while_pending(&spec, 400, free_machine).is_empty());
    let spot = |_: u32, _: &mut InvariantChecker| (vec![machine_with("b", true, 8.0)], false);
    assert!(violated_while_pending(&spec, 400, spot).is_empty());
    let allowed = |_: u32, _: &mut InvariantChecker| (vec![machine_with("b", false, 8.0)], false);
    assert_eq!(violated_while_pending(&spec, 400, allowed), ["no_starvation"]);
}

/// The team's limit is 200 CPUs.
#[test]
fn a_job_may_be_pending_while_its_team_is_at_its_limit() {
    let team_uses = |cpus: f64| {
        move |now: u32, checker: &mut InvariantChecker| {
            if now == 0 {
                let other = JobSpec { cpus, ..example_job("job-2") };
                checker.on_submission(&other);
                let task = TaskId { job: other.id, index: 0 };
                checker.on_task_started(0.0, &task, &machine("n-9", "a", false));
            }
            (vec![machine_with("a", false, 8.0)], false)
        }
    };
    assert!(violated_while_pending(&array(), 400, team_uses(193.0)).is_empty());
    assert_eq!(violated_while_pending(&array(), 400, team_uses(192.0)), ["no_starvation"]);
}

#[test]
fn a_gang_may_be_pending_until_all_its_tasks_fit_on_several_machines() {
    let gang = JobSpec { kind: JobKind::Gang, ..array() };
    let second_machine = |cpus: f64| {
        move |_: u32, _: &mut InvariantChecker| {
            (vec![machine_with("a", false, 16.0), machine_with("b", false, cpus)], false)
        }
    };
    assert!(violated_while_pending(&gang, 400, second_machine(8.0)).is_empty());
    assert_eq!(violated_while_pending(&gang, 400, second_machine(16.0)), ["no_starvation"]);
}

#[test]
fn a_job_whose_cancellation_was_requested_is_not_pending() {
    let cancelled = |_: u32, checker: &mut InvariantChecker| {
        checker.on_cancel_request(&job_id());
        (vec![machine_with("a", false, 8.0)], false)
    };
    assert!(violated_while_pending(&array(), 400, cancelled).is_empty());
}
