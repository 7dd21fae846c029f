use super::{array_of_four, checker_with, job_id, respond, respond_to, task, violated};
use gladekeel_testkit::{invariants::JobRequest, scenario::example_job};
use gladekeel_wire::job::{JobSpec, JobState};

#[test]
fn a_job_that_is_done_before_all_its_tasks_have_completed_is_a_violation() {
    let mut checker = checker_with(&array_of_four());
    checker.on_task_ended(&task(0), "n-1", true);
    respond(&mut checker, 1.0, JobRequest::Other, 200, Some(JobState::Done));
    assert_eq!(violated(&checker), ["done_is_completed"]);
}

#[test]
fn a_job_that_runs_again_after_it_was_done_is_a_violation() {
    let mut checker = checker_with(&array_of_four());
    for index in 0..4 {
        checker.on_task_ended(&task(index), "n-1", true);
    }
    respond(&mut checker, 1.0, JobRequest::Other, 200, Some(JobState::Done));
    assert!(violated(&checker).is_empty());
    respond(&mut checker, 2.0, JobRequest::Other, 200, Some(JobState::Running));
    assert_eq!(violated(&checker), ["state_order"]);
}

#[test]
fn a_job_that_is_cancelled_without_a_request_is_a_violation() {
    let mut checker = checker_with(&array_of_four());
    respond(&mut checker, 1.0, JobRequest::Other, 200, Some(JobState::Cancelled));
    assert_eq!(violated(&checker), ["state_order"], "no user requested the cancellation");
}

/// Responses to requests that were in flight at once may overtake one another. A response
/// contradicts an observed final state only if its request was sent after a user had observed
/// that state. Two different final states contradict each other, whichever was observed first.
#[test]
fn responses_that_overtake_one_another_are_no_violation() {
    let spec = JobSpec { tasks: 1, ..example_job("job-1") };
    let observe = |sent_at: f64, status: u16, state: Option<JobState>| {
        let mut checker = checker_with(&spec);
        checker.on_cancel_request(&job_id());
        respond_to(&mut checker, (0.5, 1.0), JobRequest::Submit, 201, Some(JobState::Queued));
        checker.on_task_ended(&task(0), "n-1", true);
        respond_to(&mut checker, (4.0, 5.0), JobRequest::Other, 200, Some(JobState::Done));
        respond_to(&mut checker, (sent_at, 6.0), JobRequest::Submit, status, state);
        (violated(&checker).join(" "), checker.last_state(&job_id()))
    };
    let done = Some(JobState::Done);
    assert_eq!(observe(4.9, 200, Some(JobState::Running)), (String::new(), done));
    assert_eq!(observe(5.0, 200, Some(JobState::Running)).0, "state_order");
    assert_eq!(observe(4.9, 200, Some(JobState::Cancelled)).0, "state_order");
    assert_eq!(observe(0.9, 404, None).0, "");
    assert_eq!(observe(1.0, 404, None).0, "accepted_job_kept");
    assert_eq!(observe(1.0, 422, None).0, "accepted_job_kept");
}
