use super::{checker_with, job_id, machine, respond, task, violated};
use gladekeel_testkit::{invariants::JobRequest, scenario::example_job};
use gladekeel_wire::job::{JobKind, JobSpec, JobState};

fn gang(tasks: u32) -> JobSpec {
    JobSpec { kind: JobKind::Gang, tasks, ..example_job("job-1") }
}

#[test]
fn a_gang_has_started_when_all_its_tasks_run() {
    let mut checker = checker_with(&gang(2));
    checker.on_task_started(1.0, &task(0), &machine("n-1", "a", false));
    checker.on_task_started(2.0, &task(1), &machine("n-2", "a", false));
    checker.check_gang_starts(2.0);
    assert_eq!(checker.started_at(&job_id()), None, "both tasks wait");
    (0..2).for_each(|n| checker.on_gang_task_running(3.0, &task(n), 1));
    checker.check_gang_starts(3.0);
    assert_eq!(checker.started_at(&job_id()), Some(3.0));
    assert!(violated(&checker).is_empty());
}

#[test]
fn a_gang_of_which_only_some_tasks_run_is_a_violation() {
    let mut checker = checker_with(&gang(2));
    (0..2).for_each(|n| checker.on_task_started(1.0, &task(n), &machine("n-1", "a", false)));
    checker.on_gang_task_running(2.0, &task(0), 1);
    checker.check_gang_starts(2.0);
    assert_eq!(violated(&checker), ["gang_start"]);

    // Both tasks of the gang run, but in different attempts.
    let mut checker = checker_with(&gang(2));
    (0..2).for_each(|n| checker.on_task_started(1.0, &task(n), &machine("n-1", "a", false)));
    (0..2).for_each(|n| checker.on_gang_task_running(2.0, &task(n), u64::from(n)));
    checker.check_gang_starts(2.0);
    assert_eq!(violated(&checker), ["gang_start", "gang_start"]);

    // The only task of the gang runs, but is on no machine.
    let mut checker = checker_with(&gang(1));
    checker.on_gang_task_running(2.0, &task(0), 1);
    checker.check_gang_starts(2.0);
    assert_eq!(violated(&checker), ["gang_start"]);
}

#[test]
fn a_task_that_waits_for_its_gang_occupies_its_machine() {
    // `on_task_started` is the only event that the checker observes for a task that waits for its
    // gang.
    let mut checker = checker_with(&gang(2));
    checker.on_task_started(1.0, &task(0), &machine("n-1", "a", false));
    checker.on_task_started(2.0, &task(0), &machine("n-2", "a", false));
    assert_eq!(violated(&checker), ["single_execution"]);

    let mut checker = checker_with(&JobSpec { single_zone: true, ..gang(2) });
    checker.on_task_started(1.0, &task(0), &machine("n-1", "a", false));
    checker.on_task_started(2.0, &task(1), &machine("n-2", "b", false));
    assert_eq!(violated(&checker), ["placement"]);

    let mut checker = checker_with(&JobSpec { cpus: 60.0, ..gang(4) });
    (0..4).for_each(|n| checker.on_task_started(1.0, &task(n), &machine("n-1", "a", false)));
    assert_eq!(violated(&checker), ["team_quota"]);
}

#[test]
fn a_task_that_waits_past_the_cancellation_deadline_is_a_violation() {
    let mut checker = checker_with(&gang(2));
    checker.on_task_started(1.0, &task(0), &machine("n-1", "a", false));
    checker.on_cancel_request(&job_id());
    respond(&mut checker, 2.0, JobRequest::Other, 200, Some(JobState::Cancelled));
    checker.check_cancellation_deadlines(2.0 + 50.0);
    assert!(violated(&checker).is_empty());
    checker.check_cancellation_deadlines(2.1 + 50.0);
    assert_eq!(violated(&checker), ["cancellation_deadline"]);
}

#[test]
fn a_gang_that_is_done_before_all_its_tasks_have_completed_is_a_violation() {
    for missing in [0, 1] {
        let mut checker = checker_with(&gang(3));
        (missing..3).for_each(|n| checker.on_task_ended(&task(n), "n-1", true));
        respond(&mut checker, 2.0, JobRequest::Other, 200, Some(JobState::Done));
        assert_eq!(violated(&checker).len(), missing as usize, "{:?}", checker.violations);
        assert!(violated(&checker).iter().all(|name| *name == "done_is_completed"));
    }
}
