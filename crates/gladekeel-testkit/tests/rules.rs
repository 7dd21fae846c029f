//! Each rule of the checker is shown to fail on a world that breaks it.

use gladekeel_testkit::{
    invariants::{FreeCapacity, InvariantChecker},
    scenario::{example_job, example_settings, example_type},
};
use gladekeel_wire::{
    JobId, TaskId,
    job::{JobKind, JobSpec, JobState},
};
use std::collections::BTreeSet;

fn checker() -> InvariantChecker {
    InvariantChecker::new(example_settings(0, 1).deployment)
}

fn cancel_s() -> f64 {
    example_settings(0, 1).deployment.workers.cancellation_deadline_s
}

fn task(index: u32) -> TaskId {
    TaskId { job: "job-1".parse().unwrap(), index }
}

fn names(checker: &InvariantChecker) -> Vec<&str> {
    checker.broken.iter().map(|(rule, _)| *rule).collect()
}

/// Each rule is shown to fail on a world that breaks it, and only it.
#[test]
fn every_rule_can_fail() {
    let id: JobId = "job-1".parse().unwrap();
    let mut spec = example_job("job-1");
    spec.tasks = 4;
    spec.cpus = 4.0;

    let mut r = checker();
    r.submits(&spec);
    r.started(1.0, &task(0), "n-1", "m32", "a", false);
    r.started(2.0, &task(0), "n-2", "m32", "a", false);
    assert_eq!(names(&r), ["ran_twice"]);

    let mut r = checker();
    let mut large = spec.clone();
    large.cpus = 60.0;
    r.submits(&large);
    for index in 0..4 {
        r.started(1.0, &task(index), "n-1", "m32", "a", false);
    }
    assert_eq!(names(&r), ["quota"]);

    for change in [
        (|s: &mut JobSpec| s.spot = false) as fn(&mut JobSpec),
        |s| s.zone = Some("b".into()),
        |s| s.machine_types = Some(vec!["g8".into()]),
        |s| s.single_zone = true,
        |s| s.spread = true,
    ] {
        let mut r = checker();
        let mut spec = spec.clone();
        change(&mut spec);
        r.submits(&spec);
        if spec.single_zone {
            r.started(1.0, &task(3), "n-9", "m32", "b", true);
        }
        let tasks = if spec.spread { 3 } else { 1 };
        for index in 0..tasks {
            r.started(1.0, &task(index), "n-1", "m32", "a", true);
        }
        assert_eq!(names(&r), ["wrong_place"]);
    }

    let mut r = checker();
    r.submits(&spec);
    r.asks_to_cancel(&id);
    r.started(1.0, &task(0), "n-1", "m32", "a", false);
    r.answer(2.0, &id, 200, Some(JobState::Cancelled), false);
    r.check_cancelled(2.0 + cancel_s());
    assert!(names(&r).is_empty());
    r.check_cancelled(2.1 + cancel_s());
    assert_eq!(names(&r), ["ran_cancelled"]);

    let mut r = checker();
    r.submits(&spec);
    r.answer(1.0, &id, 404, None, false);
    assert!(names(&r).is_empty(), "not accepted yet");
    r.answer(1.0, &id, 201, Some(JobState::Queued), true);
    r.answer(2.0, &id, 404, None, false);
    r.answer(3.0, &id, 422, None, true);
    assert_eq!(names(&r), ["forgotten", "forgotten"]);

    let mut r = checker();
    r.answer(1.0, &id, 200, Some(JobState::Queued), false);
    assert_eq!(names(&r), ["invented"]);

    let mut r = checker();
    r.submits(&spec);
    r.ended(&task(0), "n-1", true);
    r.answer(1.0, &id, 200, Some(JobState::Done), false);
    assert_eq!(names(&r), ["not_done"]);

    let mut r = checker();
    r.submits(&spec);
    for index in 0..4 {
        r.ended(&task(index), "n-1", true);
    }
    r.answer(1.0, &id, 200, Some(JobState::Done), false);
    assert!(names(&r).is_empty());
    r.answer(2.0, &id, 200, Some(JobState::Running), false);
    assert_eq!(names(&r), ["went_back"]);

    let mut r = checker();
    r.submits(&spec);
    r.answer(1.0, &id, 200, Some(JobState::Cancelled), false);
    assert_eq!(names(&r), ["went_back"], "its user did not cancel it");
}

#[test]
fn unanswered_polls_count_once_troubles_are_over() {
    let id: JobId = "job-1".parse().unwrap();
    let mut r = checker();
    r.submits(&example_job("job-1"));
    r.answer(1.0, &id, 201, Some(JobState::Queued), true);
    r.faults_cleared_at = 100.0;
    for now in [50.0, 100.0, 174.0] {
        r.answer(now, &id, 503, None, false);
    }
    assert!(names(&r).is_empty(), "75 s have not passed since");
    r.answer(176.0, &id, 503, None, false);
    assert_eq!(names(&r), ["unanswered"]);
    r.answer(177.0, &id, 200, Some(JobState::Queued), false);
    r.answer(250.0, &id, 0, None, false);
    assert_eq!(names(&r), ["unanswered"]);
}

/// A start that was in flight when the cancellation was confirmed breaks nothing: its
/// command may be 4 s old, and then the image is fetched. What begins later does.
#[test]
fn starts_after_a_cancellation_count_once_none_can_be_in_flight() {
    let id: JobId = "job-1".parse().unwrap();
    let mut spec = example_job("job-1");
    spec.tasks = 4;
    for (image_gb, fine, late) in [(1.0, 6.9, 7.1), (10.0, 15.9, 16.1)] {
        let mut r = checker();
        r.types = vec![example_type(vec!["a".into()])];
        r.submits(&JobSpec { image_gb, ..spec.clone() });
        r.answer(1.0, &id, 201, Some(JobState::Queued), true);
        r.asks_to_cancel(&id);
        r.answer(2.0, &id, 200, Some(JobState::Cancelled), false);
        r.started(fine, &task(0), "n-1", "m32", "a", false);
        assert!(names(&r).is_empty(), "it was in flight");
        r.started(late, &task(1), "n-1", "m32", "a", false);
        assert_eq!(names(&r), ["started_cancelled"]);
    }
}

#[test]
fn jobs_that_can_never_run_must_not_be_accepted() {
    let id: JobId = "job-1".parse().unwrap();
    let fits = example_job("job-1");
    let changes: [fn(&mut JobSpec); 9] = [
        |_| {},
        |s| s.cpus = 33.0,
        |s| s.gpus = 1.0,
        |s| s.memory_gb = 65.0,
        |s| s.machine_types = Some(vec!["g8".into()]),
        |s| s.zone = Some("c".into()),
        |s| s.team = "nobody".into(),
        // The team's limit is 200 CPUs: a gang needs all of its tasks at once.
        |s| (s.kind, s.tasks, s.cpus) = (JobKind::Gang, 20, 16.0),
        |s| (s.kind, s.tasks, s.cpus) = (JobKind::Array, 20, 16.0),
    ];
    for (index, change) in changes.into_iter().enumerate() {
        let mut spec = fits.clone();
        change(&mut spec);
        let mut r = checker();
        r.types = vec![example_type(vec!["a".into(), "b".into()])];
        r.submits(&spec);
        r.answer(1.0, &id, 422, None, true);
        assert!(names(&r).is_empty(), "to refuse it breaks nothing");
        r.answer(2.0, &id, 201, Some(JobState::Queued), true);
        let broken: &[&str] = if matches!(index, 0 | 8) { &[] } else { &["cannot_run"] };
        assert_eq!(names(&r), broken, "change {index}");
    }
}

fn room(zone: &str, spot: bool, cpus: f64) -> FreeCapacity {
    FreeCapacity { machine_type: "m32".into(), zone: zone.into(), spot, free: (cpus, 0.0, 64.0) }
}

/// Looks every 5 s at a job that waits, from 0 to `until`, and tells what broke.
fn waits(
    spec: &JobSpec,
    until: u32,
    look: impl Fn(u32, &mut InvariantChecker) -> (Vec<FreeCapacity>, bool),
) -> Vec<String> {
    let mut r = checker();
    r.submits(spec);
    r.answer(0.0, &spec.id, 201, Some(JobState::Queued), true);
    for now in (0..=until).step_by(5) {
        let (rooms, holds) = look(now, &mut r);
        let held = if holds { BTreeSet::from([spec.id.clone()]) } else { BTreeSet::new() };
        r.check_pending(f64::from(now), &rooms, &held);
    }
    r.broken.iter().map(|(rule, _)| (*rule).to_owned()).collect()
}

/// In calm a job that has nothing on any machine waits for 90 s at most while a machine
/// that fits has room; every reason to wait longer is one of those listed.
#[test]
fn jobs_that_wait_beside_room_count_in_calm() {
    let mut spec = example_job("job-1");
    (spec.cpus, spec.tasks) = (8.0, 4);
    let beside = |_: u32, _: &mut InvariantChecker| (vec![room("a", false, 8.0)], false);
    assert!(waits(&spec, 90, beside).is_empty(), "90 s have not passed");
    assert_eq!(waits(&spec, 400, beside), ["left_waiting"], "it is said once");

    // The clock begins when the troubles are over.
    let faults_cleared_at = |at: f64| {
        move |_: u32, r: &mut InvariantChecker| {
            r.faults_cleared_at = at;
            (vec![room("a", false, 8.0)], false)
        }
    };
    assert!(waits(&spec, 190, faults_cleared_at(100.0)).is_empty());
    assert_eq!(waits(&spec, 195, faults_cleared_at(100.0)), ["left_waiting"]);

    // No room, not for a while or never.
    assert!(waits(&spec, 400, |_, _| (vec![room("a", false, 7.9)], false)).is_empty());
    let gap = |now: u32, _: &mut InvariantChecker| {
        (if now == 60 { vec![] } else { vec![room("a", false, 8.0)] }, false)
    };
    assert!(waits(&spec, 155, gap).is_empty());
    assert_eq!(waits(&spec, 160, gap), ["left_waiting"]);

    // Something of it is on a machine.
    assert!(waits(&spec, 400, |_, _| (vec![room("a", false, 8.0)], true)).is_empty());

    // Room where it may not be.
    let elsewhere = JobSpec { zone: Some("b".into()), spot: false, ..spec.clone() };
    assert!(waits(&elsewhere, 400, beside).is_empty());
    assert!(waits(&elsewhere, 400, |_, _| (vec![room("b", true, 8.0)], false)).is_empty());
    let there = |_: u32, _: &mut InvariantChecker| (vec![room("b", false, 8.0)], false);
    assert_eq!(waits(&elsewhere, 400, there), ["left_waiting"]);

    // Its team is at its limit of 200 CPUs.
    let full = |cpus: f64| {
        move |now: u32, r: &mut InvariantChecker| {
            if now == 0 {
                let other = JobSpec { cpus, ..example_job("job-2") };
                r.submits(&other);
                let task = TaskId { job: other.id, index: 0 };
                r.started(0.0, &task, "n-9", "m32", "a", false);
            }
            (vec![room("a", false, 8.0)], false)
        }
    };
    assert!(waits(&spec, 400, full(193.0)).is_empty());
    assert_eq!(waits(&spec, 400, full(192.0)), ["left_waiting"]);

    // A gang begins whole, on several machines.
    let gang = JobSpec { kind: JobKind::Gang, ..spec.clone() };
    let two = |cpus: f64| {
        move |_: u32, _: &mut InvariantChecker| {
            (vec![room("a", false, 16.0), room("b", false, cpus)], false)
        }
    };
    assert!(waits(&gang, 400, two(8.0)).is_empty());
    assert_eq!(waits(&gang, 400, two(16.0)), ["left_waiting"]);

    // Its user called it off.
    let cancelled = |_: u32, r: &mut InvariantChecker| {
        r.asks_to_cancel(&"job-1".parse().unwrap());
        (vec![room("a", false, 8.0)], false)
    };
    assert!(waits(&spec, 400, cancelled).is_empty());
}

/// Answers to requests that were under way at once may overtake one another; only an answer
/// to a request that was sent after a user was told of the end is older than that. Two
/// different ends contradict each other in any order.
#[test]
fn answers_that_overtake_one_another_go_back_nowhere() {
    let id: JobId = "job-1".parse().unwrap();
    let mut spec = example_job("job-1");
    spec.tasks = 1;
    let told = |asked: f64, status: u16, state: Option<JobState>| {
        let mut r = checker();
        r.submits(&spec);
        r.asks_to_cancel(&id);
        r.answer_to(0.5, 1.0, &id, 201, Some(JobState::Queued), true);
        r.ended(&task(0), "n-1", true);
        r.answer_to(4.0, 5.0, &id, 200, Some(JobState::Done), false);
        r.answer_to(asked, 6.0, &id, status, state, true);
        (names(&r).join(" "), r.last(&id))
    };
    let done = Some(JobState::Done);
    assert_eq!(told(4.9, 200, Some(JobState::Running)), (String::new(), done));
    assert_eq!(told(5.0, 200, Some(JobState::Running)).0, "went_back");
    assert_eq!(told(4.9, 200, Some(JobState::Cancelled)).0, "went_back");
    assert_eq!(told(0.9, 404, None).0, "");
    assert_eq!(told(1.0, 404, None).0, "forgotten");
    assert_eq!(told(1.0, 422, None).0, "forgotten");
}

/// A start that was sent directly before the cancellation was confirmed may be held up for
/// longer, as the protocol says; one sent after it, or told again in an answer, may not.
#[test]
fn only_direct_starts_of_before_the_cancellation_may_be_held_up() {
    let id: JobId = "job-1".parse().unwrap();
    let broken = |sent_at: f64, told_again: bool| {
        let mut r = checker();
        r.submits(&example_job("job-1"));
        r.answer(1.0, &id, 201, Some(JobState::Queued), true);
        r.asks_to_cancel(&id);
        r.sent_directly(sent_at, &task(0));
        if told_again {
            r.sent_in_answer(&task(0));
        }
        r.answer(2.0, &id, 200, Some(JobState::Cancelled), false);
        r.started(20.0, &task(0), "n-1", "m32", "a", false);
        r.check_cancelled(2.1 + cancel_s());
        names(&r).join(" ")
    };
    assert_eq!(broken(1.9, false), "ran_cancelled", "it must be gone all the same");
    assert_eq!(broken(2.1, false), "started_cancelled ran_cancelled");
    assert_eq!(broken(1.9, true), "started_cancelled ran_cancelled");
}

/// A repeat of a known job that is answered as a new one or refused, and a request without a
/// field or without a fitting machine that is accepted, break the rule of odd requests; what
/// is put off does not.
#[test]
fn odd_requests_have_one_right_answer() {
    let mut r = checker();
    for (wanted, got) in [(200, 200), (400, 400), (422, 422), (200, 503), (422, 429), (400, 0)] {
        r.check_status(1.0, wanted, got, "right or put off");
    }
    assert!(names(&r).is_empty());
    for (wanted, got) in [(200, 201), (200, 404), (200, 422), (400, 201), (422, 201), (422, 400)] {
        let mut r = checker();
        r.check_status(1.0, wanted, got, "wrong");
        assert_eq!(names(&r), ["odd"], "{got} instead of {wanted}");
    }
}
