use super::{
    array_of_four, cancellation_deadline_s, checker_with, job_id, machine, respond, task, violated,
};
use gladekeel_testkit::scenario::run;
use gladekeel_testkit::{
    invariants::JobRequest,
    scenario::{example_job, example_type},
};
use gladekeel_wire::job::{JobSpec, JobState};

#[test]
fn a_task_that_runs_past_the_cancellation_deadline_is_a_violation() {
    let mut checker = checker_with(&array_of_four());
    checker.on_cancel_request(&job_id());
    checker.on_task_started(1.0, &task(0), &machine("n-1", "a", false));
    respond(&mut checker, 2.0, JobRequest::Other, 200, Some(JobState::Cancelled));
    checker.check_cancellation_deadlines(2.0 + cancellation_deadline_s());
    assert!(violated(&checker).is_empty());
    checker.check_cancellation_deadlines(2.1 + cancellation_deadline_s());
    assert_eq!(violated(&checker), ["cancellation_deadline"]);
}

/// A start that was in flight when the cancellation was confirmed is no violation: the command
/// may be up to 4 s old, and then the image is fetched. A task that starts later is a violation.
#[test]
fn a_start_after_a_cancellation_is_a_violation_once_it_cannot_have_been_in_flight() {
    let spec = JobSpec { tasks: 4, ..example_job("job-1") };
    for (image_gb, in_flight_until, late) in [(1.0, 6.9, 7.1), (10.0, 15.9, 16.1)] {
        let mut checker = checker_with(&JobSpec { image_gb, ..spec.clone() });
        checker.machine_types = vec![example_type(vec!["a".into()])];
        respond(&mut checker, 1.0, JobRequest::Submit, 201, Some(JobState::Queued));
        checker.on_cancel_request(&job_id());
        respond(&mut checker, 2.0, JobRequest::Other, 200, Some(JobState::Cancelled));
        checker.on_task_started(in_flight_until, &task(0), &machine("n-1", "a", false));
        assert!(violated(&checker).is_empty(), "the start was in flight");
        checker.on_task_started(late, &task(1), &machine("n-1", "a", false));
        assert_eq!(violated(&checker), ["no_start_after_cancellation"]);
    }
}

/// The protocol permits a longer delay of a start command that was sent directly, outside heartbeat
/// responses, before the cancellation was confirmed. It does not permit such a delay if the command
/// was sent later, or if a heartbeat response repeated the command.
#[test]
fn only_a_direct_start_sent_before_the_cancellation_may_be_delayed() {
    let violated_by = |sent_at: f64, repeated_in_response: bool| {
        let mut checker = checker_with(&example_job("job-1"));
        respond(&mut checker, 1.0, JobRequest::Submit, 201, Some(JobState::Queued));
        checker.on_cancel_request(&job_id());
        checker.on_direct_start_sent(sent_at, &task(0));
        if repeated_in_response {
            checker.on_start_in_heartbeat_response(&task(0));
        }
        respond(&mut checker, 2.0, JobRequest::Other, 200, Some(JobState::Cancelled));
        checker.on_task_started(20.0, &task(0), &machine("n-1", "a", false));
        checker.check_cancellation_deadlines(2.1 + cancellation_deadline_s());
        violated(&checker).join(" ")
    };
    assert_eq!(
        violated_by(1.9, false),
        "cancellation_deadline",
        "the task must still end by the deadline"
    );
    assert_eq!(violated_by(2.1, false), "no_start_after_cancellation cancellation_deadline");
    assert_eq!(violated_by(1.9, true), "no_start_after_cancellation cancellation_deadline");
}

/// Guards against a task that counts as being on its machine for ever, because a stop that had
/// waited for the machine to resume was recorded before the start of the task.
#[test]
fn a_stop_that_waited_for_a_hung_machine_is_recorded_after_the_start() {
    let text = "world on_demand=1 zones=a heartbeat_interval_s=10\n\
                at 3 submit job-1 tasks=1 cpus=8 run_s=10\n\
                at 12 http PUT /admin/settings {\"version\":0,\"settings\":{\"idle_s\":400}} = 200\n\
                at 50 submit job-2 tasks=1 cpus=8 run_s=60 image=other image_gb=4\n\
                at 53 hang 1 for 6\n\
                at 53.2 cancel job-2\n\
                until 140\n\
                expect job-2 cancelled\n\
                expect cancelled_tasks_on_machines = 0\n";
    run(text).unwrap();
}
