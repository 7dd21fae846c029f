use super::{array_of_four, checker, checker_with, respond, violated};
use gladekeel_testkit::{
    invariants::JobRequest,
    scenario::{example_job, example_type},
};
use gladekeel_wire::job::{JobKind, JobSpec, JobState};

#[test]
fn an_accepted_job_that_is_unknown_or_refused_later_is_a_violation() {
    let mut checker = checker_with(&array_of_four());
    respond(&mut checker, 1.0, JobRequest::Other, 404, None);
    assert!(violated(&checker).is_empty(), "the job is not accepted yet");
    respond(&mut checker, 1.0, JobRequest::Submit, 201, Some(JobState::Queued));
    respond(&mut checker, 2.0, JobRequest::Other, 404, None);
    respond(&mut checker, 3.0, JobRequest::Submit, 422, None);
    assert_eq!(violated(&checker), ["accepted_job_kept", "accepted_job_kept"]);
}

#[test]
fn a_known_job_that_nobody_submitted_is_a_violation() {
    let mut checker = checker();
    respond(&mut checker, 1.0, JobRequest::Other, 200, Some(JobState::Queued));
    assert_eq!(violated(&checker), ["no_invented_job"]);
}

#[test]
fn an_accepted_job_that_can_never_run_is_a_violation() {
    let changes: [fn(&mut JobSpec); 9] = [
        |_| {},
        |s| s.cpus = 33.0,
        |s| s.gpus = 1.0,
        |s| s.memory_gb = 65.0,
        |s| s.machine_types = Some(vec!["g8".into()]),
        |s| s.zone = Some("c".into()),
        |s| s.team = "nobody".into(),
        // The team's limit is 200 CPUs. A gang must run all its tasks at once, an array only one.
        |s| (s.kind, s.tasks, s.cpus) = (JobKind::Gang, 20, 16.0),
        |s| (s.kind, s.tasks, s.cpus) = (JobKind::Array, 20, 16.0),
    ];
    for (index, change) in changes.into_iter().enumerate() {
        let mut spec = example_job("job-1");
        change(&mut spec);
        let mut checker = checker_with(&spec);
        checker.machine_types = vec![example_type(vec!["a".into(), "b".into()])];
        respond(&mut checker, 1.0, JobRequest::Submit, 422, None);
        assert!(violated(&checker).is_empty(), "refusing the job is no violation");
        respond(&mut checker, 2.0, JobRequest::Submit, 201, Some(JobState::Queued));
        let expected: &[&str] =
            if matches!(index, 0 | 8) { &[] } else { &["accepted_job_can_run"] };
        assert_eq!(violated(&checker), expected, "change {index}");
    }
}
