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

/// Checks every 5 s on a job that stays pending, from 0 to `until`; returns what is violated.
fn violated_while_pending(
    spec: &JobSpec,
    until: u32,
    look: impl Fn(u32, &mut InvariantChecker) -> (Vec<FreeCapacity>, bool),
) -> Vec<String> {
    let mut checker = checker_with(spec);
    respond(&mut checker, 0.0, JobRequest::Submit, 201, Some(JobState::Queued));
    for now in (0..=until).step_by(5) {
        let (free, holds) = look(now, &mut checker);
        let active = if holds { BTreeSet::from([spec.id.clone()]) } else { BTreeSet::new() };
        checker.check_pending(f64::from(now), &free, &active);
    }
    violated(&checker).into_iter().map(str::to_owned).collect()
}

/// Without a fault a job that has nothing on any machine is pending for 90 s at most while a
/// machine that fits is free; every reason to be pending longer is one of those listed.
#[test]
fn a_job_that_stays_pending_next_to_a_free_machine_is_a_violation() {
    let mut spec = example_job("job-1");
    (spec.cpus, spec.tasks) = (8.0, 4);
    let beside = |_: u32, _: &mut InvariantChecker| (vec![machine_with("a", false, 8.0)], false);
    assert!(violated_while_pending(&spec, 90, beside).is_empty(), "90 s have not passed");
    assert_eq!(violated_while_pending(&spec, 400, beside), ["left_waiting"], "it is reported once");

    // The clock begins when the faults are cleared.
    let cleared_at = |at: f64| {
        move |_: u32, checker: &mut InvariantChecker| {
            checker.faults_cleared_at = at;
            (vec![machine_with("a", false, 8.0)], false)
        }
    };
    assert!(violated_while_pending(&spec, 190, cleared_at(100.0)).is_empty());
    assert_eq!(violated_while_pending(&spec, 195, cleared_at(100.0)), ["left_waiting"]);

    // No machine is free, not for a while or never.
    assert!(
        violated_while_pending(&spec, 400, |_, _| (vec![machine_with("a", false, 7.9)], false))
            .is_empty()
    );
    let gap = |now: u32, _: &mut InvariantChecker| {
        (if now == 60 { vec![] } else { vec![machine_with("a", false, 8.0)] }, false)
    };
    assert!(violated_while_pending(&spec, 155, gap).is_empty());
    assert_eq!(violated_while_pending(&spec, 160, gap), ["left_waiting"]);

    // Something of it is on a machine.
    assert!(
        violated_while_pending(&spec, 400, |_, _| (vec![machine_with("a", false, 8.0)], true))
            .is_empty()
    );

    // A machine is free where it may not be.
    let elsewhere = JobSpec { zone: Some("b".into()), spot: false, ..spec.clone() };
    assert!(violated_while_pending(&elsewhere, 400, beside).is_empty());
    assert!(
        violated_while_pending(&elsewhere, 400, |_, _| (vec![machine_with("b", true, 8.0)], false))
            .is_empty()
    );
    let there = |_: u32, _: &mut InvariantChecker| (vec![machine_with("b", false, 8.0)], false);
    assert_eq!(violated_while_pending(&elsewhere, 400, there), ["left_waiting"]);

    // Its team is at its limit of 200 CPUs.
    let full = |cpus: f64| {
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
    assert!(violated_while_pending(&spec, 400, full(193.0)).is_empty());
    assert_eq!(violated_while_pending(&spec, 400, full(192.0)), ["left_waiting"]);

    // A gang begins whole, on several machines.
    let gang = JobSpec { kind: JobKind::Gang, ..spec.clone() };
    let two = |cpus: f64| {
        move |_: u32, _: &mut InvariantChecker| {
            (vec![machine_with("a", false, 16.0), machine_with("b", false, cpus)], false)
        }
    };
    assert!(violated_while_pending(&gang, 400, two(8.0)).is_empty());
    assert_eq!(violated_while_pending(&gang, 400, two(16.0)), ["left_waiting"]);

    // Its user cancelled it.
    let cancelled = |_: u32, checker: &mut InvariantChecker| {
        checker.on_cancel_request(&job_id());
        (vec![machine_with("a", false, 8.0)], false)
    };
    assert!(violated_while_pending(&spec, 400, cancelled).is_empty());
}
