use super::{checker_with, respond, violated};
use gladekeel_testkit::{invariants::JobRequest, scenario::example_job};
use gladekeel_wire::job::JobState;

#[test]
fn queries_that_fail_for_over_75_s_after_faults_are_cleared_are_a_violation() {
    let mut checker = checker_with(&example_job("job-1"));
    respond(&mut checker, 1.0, JobRequest::Submit, 201, Some(JobState::Queued));
    checker.faults_cleared_at = 100.0;
    for now in [50.0, 100.0, 174.0] {
        respond(&mut checker, now, JobRequest::Other, 503, None);
    }
    assert!(violated(&checker).is_empty(), "75 s have not passed since the faults were cleared");
    respond(&mut checker, 176.0, JobRequest::Other, 503, None);
    assert_eq!(violated(&checker), ["availability"]);
    respond(&mut checker, 177.0, JobRequest::Other, 200, Some(JobState::Queued));
    respond(&mut checker, 250.0, JobRequest::Other, 0, None);
    assert_eq!(violated(&checker), ["availability"]);
}
