//! The page's table on gangs, row by row, on a handful of stand-in workers.

use gladekeel_testkit::{
    invariants::InvariantChecker,
    scenario::{example_job, example_settings, run, settings_with},
    stand_ins::gang::GangRuntime,
    stand_ins::store::{FakeStore, StoreLimits},
    stand_ins::worker::{FakeWorker, WorkerEvent},
};
use gladekeel_wire::{
    JobId, TaskId,
    job::{JobKind, JobSpec, JobState},
    store::{Precondition, Transaction, Write},
    worker::{Command, ExitCause, HeartbeatResponse, TaskState},
};
use std::collections::BTreeMap;

const STEP_S: f64 = 0.1;

/// Machines `n-0`, `n-1`, ... with one task each of `job-1` at most.
struct Yard {
    now: f64,
    spec: JobSpec,
    workers: BTreeMap<String, FakeWorker>,
    gangs: GangRuntime,
    events: Vec<(f64, String, WorkerEvent)>,
}

impl Yard {
    fn new(tasks: u32) -> Yard {
        let mut spec = example_job("job-1");
        (spec.kind, spec.tasks, spec.image_gb) = (JobKind::Gang, tasks, 1.0);
        (spec.estimate_s, spec.checkpoint_interval_s, spec.checkpoint_write_s) = (30.0, 10.0, 2.0);
        let workers = (0..tasks + 1)
            .map(|n| {
                let name = format!("n-{n}");
                let room = (32.0, 0.0, 64.0);
                let zone = "a".to_owned();
                (name.clone(), FakeWorker::new(name, "m32".into(), zone, false, room, 1e6, 0.0, 0))
            })
            .collect();
        Yard { now: 0.0, spec, workers, gangs: GangRuntime::new(4.0), events: Vec::new() }
    }

    fn command(&mut self, machine: u32, command: Command) {
        let spec = self.spec.clone();
        let worker = self.workers.get_mut(&format!("n-{machine}")).unwrap();
        let answer = HeartbeatResponse { token: 1, commands: vec![command] };
        let (session, now) = (worker.incarnation, self.now);
        let events =
            worker.handle_heartbeat_response(now, session, now, &answer, &|_| Some(spec.clone()));
        let name = worker.name.clone();
        self.events.extend(events.into_iter().map(|what| (now, name.clone(), what)));
    }

    fn start(&mut self, machine: u32, index: u32, attempt: u64) {
        self.command(machine, Command::Start { task: task(index), attempt });
    }

    fn stop(&mut self, machine: u32, index: u32, grace_s: f64) {
        self.command(machine, Command::Stop { task: task(index), attempt: 1, grace_s });
    }

    /// Starts a task on each machine and waits until all run.
    fn started(tasks: u32) -> Yard {
        let mut yard = Yard::new(tasks);
        (0..tasks).for_each(|n| yard.start(n, n, 1));
        yard.until(2.0);
        assert!((0..tasks).all(|n| yard.state(n) == TaskState::Running));
        yard
    }

    fn until(&mut self, time: f64) {
        while self.now < time - 1e-9 {
            self.now += STEP_S;
            for (name, worker) in &mut self.workers {
                let events = worker.step(self.now);
                self.events.extend(events.into_iter().map(|h| (self.now, name.clone(), h)));
            }
            let events = self.gangs.step(self.now, &mut self.workers);
            self.events.extend(events.into_iter().map(|(name, h)| (self.now, name, h)));
        }
    }

    fn worker(&mut self, machine: u32) -> &mut FakeWorker {
        self.workers.get_mut(&format!("n-{machine}")).unwrap()
    }

    fn state(&self, machine: u32) -> TaskState {
        self.workers[&format!("n-{machine}")].tasks[0].state
    }

    /// How a machine's last task ended, if it has.
    fn end(&self, machine: u32) -> Option<(ExitCause, Option<bool>)> {
        let task = self.workers[&format!("n-{machine}")].tasks.last().unwrap();
        (task.state == TaskState::Exited).then(|| (task.cause.unwrap(), task.saved))
    }

    /// When a machine's task ended.
    fn ended_at(&self, machine: u32) -> f64 {
        let name = format!("n-{machine}");
        let ended = |(_, on, what): &&(f64, String, WorkerEvent)| {
            *on == name && matches!(what, WorkerEvent::TaskEnded { .. })
        };
        self.events.iter().find(ended).expect("the task has ended").0
    }

    fn kept_s(&self) -> f64 {
        self.gangs.record(&self.spec.id).kept_s
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: "job-1".parse().unwrap(), index }
}

fn near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() < 2.5 * STEP_S
}

// ---- waiting ------------------------------------------------------------

#[test]
fn a_gang_starts_when_its_last_task_has_its_image() {
    let mut yard = Yard::new(2);
    yard.start(0, 0, 1);
    yard.until(5.0);
    assert_eq!(yard.state(0), TaskState::Waiting);
    let on = (TaskId { job: yard.spec.id.clone(), index: 0 }, 1.0);
    assert!(
        yard.events
            .iter()
            .any(|(at, _, what)| *what == WorkerEvent::TaskStarted(on.0.clone()) && near(*at, on.1)),
        "it is on its machine from when it has its image"
    );
    yard.start(1, 1, 1);
    yard.until(5.5);
    assert_eq!(yard.state(0), TaskState::Waiting);
    assert_eq!(yard.worker(0).heartbeat(5.5).tasks[0].state, TaskState::Waiting);
    yard.until(6.3);
    assert_eq!((yard.state(0), yard.state(1)), (TaskState::Running, TaskState::Running));
    yard.until(35.5);
    assert_eq!(yard.end(0), None, "waiting is no progress");
    yard.until(36.5);
    assert_eq!(
        (yard.end(0), yard.end(1)),
        (Some((ExitCause::Done, None)), Some((ExitCause::Done, None)))
    );
    assert!(yard.gangs.record(&yard.spec.id.clone()).done);
}

#[test]
fn tasks_of_different_attempts_do_not_find_each_other() {
    let mut yard = Yard::new(2);
    yard.start(0, 0, 1);
    yard.start(1, 1, 2);
    yard.until(30.5);
    assert_eq!((yard.state(0), yard.state(1)), (TaskState::Waiting, TaskState::Waiting));
    yard.until(31.5);
    assert_eq!(yard.end(0), Some((ExitCause::GangIncomplete, None)));
    assert_eq!(yard.end(1), Some((ExitCause::GangIncomplete, None)));
    assert!(near(yard.ended_at(0), 31.0), "30 s from when it had its image");
}

#[test]
fn a_waiting_task_occupies_its_place() {
    let mut yard = Yard::new(2);
    yard.spec.cpus = 20.0;
    yard.start(0, 0, 1);
    yard.until(3.0);
    yard.start(0, 1, 1);
    assert_eq!(yard.end(0), Some((ExitCause::InsufficientResources, None)));
}

#[test]
fn the_rest_keeps_waiting_for_a_replacement_with_the_same_attempt() {
    let mut yard = Yard::new(3);
    yard.start(0, 0, 1);
    yard.start(1, 1, 1);
    yard.until(3.0);
    let gone = yard.worker(1).kill_all();
    assert_eq!(
        gone,
        [WorkerEvent::TaskEnded { task: task(1), completed: false }],
        "a waiting task was on its machine"
    );
    yard.until(10.0);
    assert_eq!(yard.state(0), TaskState::Waiting);
    yard.start(2, 2, 1);
    yard.start(3, 1, 1);
    yard.until(12.0);
    assert!([0, 2, 3].iter().all(|n| yard.state(*n) == TaskState::Running));
}

#[test]
fn a_waiting_task_that_is_stopped_exits_at_once() {
    let mut yard = Yard::new(2);
    yard.start(0, 0, 1);
    yard.until(3.0);
    yard.stop(0, 0, 60.0);
    assert_eq!(yard.end(0), Some((ExitCause::Stopped, Some(false))));
    let ended = (3.0, "n-0".to_owned(), WorkerEvent::TaskEnded { task: task(0), completed: false });
    assert!(yard.events.iter().any(|h| near(h.0, ended.0) && h.2 == ended.2));
}

#[test]
fn a_machine_that_hangs_does_not_complete_a_gang() {
    let mut yard = Yard::new(2);
    yard.start(0, 0, 1);
    yard.until(3.0);
    yard.worker(0).hung = true;
    yard.start(1, 1, 1);
    yard.until(10.0);
    assert_eq!((yard.state(0), yard.state(1)), (TaskState::Waiting, TaskState::Waiting));
    yard.worker(0).hung = false;
    yard.until(10.3);
    assert_eq!((yard.state(0), yard.state(1)), (TaskState::Running, TaskState::Running));
}

// ---- running and failing ------------------------------------------------

#[test]
fn a_gang_runs_at_the_speed_of_its_slowest_machine() {
    let mut yard = Yard::new(2);
    yard.worker(1).slowdown = 2.0;
    yard.start(0, 0, 1);
    yard.start(1, 1, 1);
    yard.until(60.5);
    assert_eq!(yard.end(0), None);
    yard.until(62.0);
    assert!(near(yard.ended_at(0), 61.0) && near(yard.ended_at(1), 61.0));
}

#[test]
fn the_rest_exits_when_a_task_of_a_running_gang_disappears() {
    let mut yard = Yard::started(3);
    yard.until(25.0);
    yard.worker(1).kill_all();
    yard.until(25.3);
    assert_eq!(
        yard.worker(0).heartbeat(25.3).tasks[0].state,
        TaskState::Running,
        "not yet noticed"
    );
    yard.until(29.1);
    assert_eq!(yard.end(0), Some((ExitCause::GangMemberLost, None)));
    assert_eq!(yard.end(2), Some((ExitCause::GangMemberLost, None)));
    assert!(near(yard.kept_s(), 20.0), "checkpoints are at 10 and 20 s");
    let lost_s = yard.gangs.record(&yard.spec.id.clone()).lost_s;
    assert!(near(lost_s, 4.0), "{lost_s}");

    // The next attempt goes on from there, and its checkpoints are the job's.
    (0..3).for_each(|n| yard.start(n, n, 2));
    yard.until(31.0);
    assert!(yard.end(1).is_none());
    yard.until(38.5);
    assert_eq!(yard.end(1), None);
    yard.until(39.7);
    assert_eq!(yard.end(1), Some((ExitCause::Done, None)));
}

#[test]
fn the_rest_exits_when_a_machine_of_a_running_gang_hangs() {
    let mut yard = Yard::started(2);
    yard.until(8.0);
    yard.worker(1).hung = true;
    yard.until(12.1);
    assert_eq!(yard.end(0), Some((ExitCause::GangMemberLost, None)));
    assert_eq!(yard.end(1), None, "it executes nothing");
    assert!(near(yard.kept_s(), 0.0));
    yard.until(20.0);
    yard.worker(1).hung = false;
    yard.until(20.2);
    assert_eq!(yard.end(1), Some((ExitCause::GangMemberLost, None)));
}

#[test]
fn a_task_that_comes_again_does_not_mend_a_running_gang() {
    let mut yard = Yard::started(2);
    yard.worker(1).kill_all();
    yard.start(2, 1, 1);
    yard.until(10.0);
    assert_eq!(yard.end(0), Some((ExitCause::GangMemberLost, None)));
    assert_eq!(yard.state(2), TaskState::Waiting);
    yard.until(33.2);
    assert_eq!(yard.end(2), Some((ExitCause::GangIncomplete, None)));
}

#[test]
fn a_sick_machine_fails_its_task_and_the_rest_notices() {
    let mut yard = Yard::new(2);
    yard.worker(1).fails_tasks = true;
    yard.start(0, 0, 1);
    yard.start(1, 1, 1);
    yard.until(6.0);
    assert_eq!(yard.end(1), Some((ExitCause::Error, None)));
    assert_eq!(yard.end(0), Some((ExitCause::GangMemberLost, None)));
}

#[test]
fn whoever_starts_a_task_of_a_gang_that_is_done_finds_it_done() {
    let mut yard = Yard::started(2);
    yard.until(32.0);
    assert_eq!(yard.end(0), Some((ExitCause::Done, None)));
    yard.start(2, 1, 7);
    yard.until(33.5);
    assert_eq!(yard.end(2), Some((ExitCause::Done, None)));
}

// ---- orderly stop -------------------------------------------------------

#[test]
fn a_gang_that_is_stopped_in_time_keeps_all_of_its_progress() {
    let mut yard = Yard::started(2);
    yard.until(17.0);
    yard.stop(0, 0, 10.0);
    assert_eq!(yard.worker(0).heartbeat(17.0).tasks[0].state, TaskState::Running, "not `flushing`");
    yard.until(20.5);
    assert_eq!(yard.end(0), None, "it has saved and waits for the other");
    yard.stop(1, 1, 10.0);
    yard.until(21.5);
    assert_eq!(yard.end(0), Some((ExitCause::Stopped, Some(true))), "4 s after the first halt");
    assert_eq!(yard.end(1), None, "it saves for 2 s");
    yard.until(22.8);
    assert_eq!(yard.end(1), Some((ExitCause::Stopped, Some(true))));
    assert!(near(yard.kept_s(), 16.0), "progress ends with the first halt: {}", yard.kept_s());
    assert_eq!(yard.gangs.record(&yard.spec.id.clone()).saves, 1);
}

#[test]
fn a_task_that_is_not_told_in_time_spoils_the_save() {
    let mut yard = Yard::started(2);
    yard.until(17.0);
    yard.stop(0, 0, 10.0);
    yard.until(21.3);
    assert_eq!(yard.end(0), Some((ExitCause::Stopped, Some(false))));
    assert_eq!(yard.end(1), Some((ExitCause::GangMemberLost, None)));
    assert!(near(yard.kept_s(), 10.0), "{}", yard.kept_s());
    assert_eq!(yard.gangs.record(&yard.spec.id.clone()).saves, 0);
}

#[test]
fn too_little_grace_for_one_is_too_little_for_all() {
    let mut yard = Yard::started(2);
    yard.until(17.0);
    yard.stop(0, 0, 10.0);
    yard.stop(1, 1, 1.0);
    assert_eq!(yard.end(1), Some((ExitCause::Stopped, Some(false))));
    yard.until(21.3);
    assert!(matches!(yard.end(0), Some((ExitCause::GangMemberLost, _))));
    assert!(near(yard.kept_s(), 10.0), "{}", yard.kept_s());
}

#[test]
fn a_task_that_disappears_counts_until_the_first_has_saved() {
    for (gone_at, kept_s) in [(18.0, 10.0), (20.5, 16.0)] {
        let mut yard = Yard::started(3);
        yard.until(17.0);
        (0..2).for_each(|n| yard.stop(n, n, 10.0));
        yard.until(17.6);
        yard.stop(2, 2, 10.0);
        // All have saved at 19.6.
        yard.until(gone_at);
        yard.worker(2).kill_all();
        yard.until(25.0);
        assert!(near(yard.kept_s(), kept_s), "gone at {gone_at}: {}", yard.kept_s());
    }
}

#[test]
fn a_second_halt_without_grace_ends_a_save() {
    let mut yard = Yard::started(2);
    yard.until(17.0);
    (0..2).for_each(|n| yard.stop(n, n, 10.0));
    yard.until(18.0);
    yard.stop(0, 0, 1.0);
    assert_eq!(yard.end(0), None, "a halt that is repeated changes nothing");
    yard.stop(0, 0, 0.0);
    assert_eq!(yard.end(0), Some((ExitCause::Stopped, Some(false))));
    yard.until(22.5);
    assert!(near(yard.kept_s(), 10.0), "{}", yard.kept_s());
}

#[test]
fn a_gang_that_never_saves_begins_anew() {
    let mut yard = Yard::new(2);
    yard.spec.checkpoint_interval_s = 0.0;
    (0..2).for_each(|n| yard.start(n, n, 1));
    yard.until(17.0);
    (0..2).for_each(|n| yard.stop(n, n, 10.0));
    assert_eq!(yard.end(0), Some((ExitCause::Stopped, Some(false))));
    yard.until(22.0);
    assert!(near(yard.kept_s(), 0.0));
}

// ---- the checker --------------------------------------------------------

fn checker(spec: &JobSpec) -> InvariantChecker {
    let mut checker = InvariantChecker::new(example_settings(0, 1).deployment);
    checker.submits(spec);
    checker
}

fn names(checker: &InvariantChecker) -> Vec<&str> {
    checker.broken.iter().map(|(rule, _)| *rule).collect()
}

fn gang(tasks: u32) -> JobSpec {
    JobSpec { kind: JobKind::Gang, tasks, ..example_job("job-1") }
}

#[test]
fn a_gang_has_begun_when_all_run() {
    let mut r = checker(&gang(2));
    let id: JobId = "job-1".parse().unwrap();
    r.started(1.0, &task(0), "n-1", "m32", "a", false);
    r.started(2.0, &task(1), "n-2", "m32", "a", false);
    r.check_together(2.0);
    assert_eq!(r.began(&id), None, "both wait");
    (0..2).for_each(|n| r.runs(3.0, &task(n), 1));
    r.check_together(3.0);
    assert_eq!(r.began(&id), Some(3.0));
    assert!(names(&r).is_empty());
}

#[test]
fn a_gang_that_runs_in_part_is_seen() {
    let mut r = checker(&gang(2));
    (0..2).for_each(|n| r.started(1.0, &task(n), "n-1", "m32", "a", false));
    r.runs(2.0, &task(0), 1);
    r.check_together(2.0);
    assert_eq!(names(&r), ["ran_alone"]);

    // The same number of tasks, of two attempts.
    let mut r = checker(&gang(2));
    (0..2).for_each(|n| r.started(1.0, &task(n), "n-1", "m32", "a", false));
    (0..2).for_each(|n| r.runs(2.0, &task(n), u64::from(n)));
    r.check_together(2.0);
    assert_eq!(names(&r), ["ran_alone", "ran_alone"]);

    // A task that is on no machine.
    let mut r = checker(&gang(1));
    r.runs(2.0, &task(0), 1);
    r.check_together(2.0);
    assert_eq!(names(&r), ["ran_alone"]);
}

#[test]
fn a_waiting_task_counts_as_on_its_machine() {
    // `started` is all that the checker learns of a task that waits.
    let mut r = checker(&gang(2));
    r.started(1.0, &task(0), "n-1", "m32", "a", false);
    r.started(2.0, &task(0), "n-2", "m32", "a", false);
    assert_eq!(names(&r), ["ran_twice"]);

    let mut r = checker(&JobSpec { single_zone: true, ..gang(2) });
    r.started(1.0, &task(0), "n-1", "m32", "a", false);
    r.started(2.0, &task(1), "n-2", "m32", "b", false);
    assert_eq!(names(&r), ["wrong_place"]);

    let mut r = checker(&JobSpec { cpus: 60.0, ..gang(4) });
    (0..4).for_each(|n| r.started(1.0, &task(n), "n-1", "m32", "a", false));
    assert_eq!(names(&r), ["quota"]);
}

#[test]
fn a_task_that_waits_after_a_cancellation_is_seen() {
    let id: JobId = "job-1".parse().unwrap();
    let mut r = checker(&gang(2));
    r.started(1.0, &task(0), "n-1", "m32", "a", false);
    r.asks_to_cancel(&id);
    r.answer(2.0, &id, 200, Some(JobState::Cancelled), false);
    r.check_cancelled(2.0 + 50.0);
    assert!(names(&r).is_empty());
    r.check_cancelled(2.1 + 50.0);
    assert_eq!(names(&r), ["ran_cancelled"]);
}

#[test]
fn a_gang_is_done_when_all_of_its_tasks_are() {
    let id: JobId = "job-1".parse().unwrap();
    for missing in [0, 1] {
        let mut r = checker(&gang(3));
        (missing..3).for_each(|n| r.ended(&task(n), "n-1", true));
        r.answer(2.0, &id, 200, Some(JobState::Done), false);
        assert_eq!(names(&r).len(), missing as usize, "{:?}", r.broken);
        assert!(names(&r).iter().all(|rule| *rule == "not_done"));
    }
}

#[test]
fn tasks_that_wait_on_stand_ins_are_on_their_machines_for_the_checker() {
    let mut yard = Yard::new(2);
    yard.spec.single_zone = true;
    let mut r = checker(&yard.spec);
    yard.worker(1).zone = "b".into();
    yard.start(0, 0, 1);
    yard.start(1, 1, 2);
    yard.until(5.0);
    assert_eq!((yard.state(0), yard.state(1)), (TaskState::Waiting, TaskState::Waiting));
    for (at, machine, what) in &yard.events {
        let WorkerEvent::TaskStarted(task) = what else { continue };
        r.started(*at, task, machine, "m32", &yard.workers[machine].zone, false);
    }
    assert_eq!(names(&r), ["wrong_place"]);
}

/// A world in which tasks do not wait for their gang: one machine has the image when the
/// gang comes, the other has yet to boot.
#[test]
fn a_world_with_gangs_that_run_in_part_breaks_the_rule() {
    let text = "world ordinary=4 gang_alone=yes\n\
                at 3 submit job-2 tasks=1 cpus=8 run=60\n\
                at 30 submit job-1 tasks=2 cpus=20 run=20 kind=gang\n\
                until 100\n\
                expect broken ran_alone\n";
    run(text).unwrap();
    let failure = run(&text.replace("expect broken ran_alone\n", "")).unwrap_err();
    assert!(failure.to_string().contains("rule ran_alone broken"), "{failure}");
    let failure = run(&text.replace("gang_alone=yes", "")).unwrap_err();
    assert!(failure.to_string().contains("ran_alone is not broken"), "{failure}");
}

// ---- limits to come -----------------------------------------------------

#[test]
fn lowered_limits_refuse_what_is_larger_and_keep_what_is_stored() {
    use gladekeel_store::{StoreOutcome, StoreRequest};
    let limits = StoreLimits { rps: 1000.0, write_rps: 1000.0, txn_ops: 8, value: 4096 };
    let mut state = FakeStore::new(limits);
    let put = |key: &str, bytes: usize| Write::Put {
        key: key.into(),
        value: "x".repeat(bytes).into(),
        lease: None,
    };
    let commit = |writes: Vec<Write>| {
        StoreRequest::Commit(Transaction { preconditions: Vec::<Precondition>::new(), writes })
    };
    let large = commit(vec![put("a", 3000)]);
    let many = commit((0..5).map(|n| put(&format!("b{n}"), 1)).collect());
    assert!(matches!(state.call(0.0, 0, &large), StoreOutcome::Committed(_)));
    assert!(matches!(state.call(0.0, 0, &many), StoreOutcome::Committed(_)));
    state.lower_limits(StoreLimits { rps: 1000.0, write_rps: 6.0, txn_ops: 4, value: 2048 });
    // The client knows a 400 to a commit by this name only.
    assert_eq!(state.call(10.0, 0, &large), StoreOutcome::LeaseNotFound);
    assert_eq!(state.call(10.0, 0, &many), StoreOutcome::LeaseNotFound);
    assert_eq!(state.too_large.len(), 2);
    let StoreOutcome::Page(rows) =
        state.call(10.0, 0, &StoreRequest::List { prefix: "a".into(), after: None })
    else {
        panic!("a list is answered")
    };
    assert_eq!(rows.entries[0].value.as_str().map(str::len), Some(3000));
    assert!(matches!(
        state.call(10.0, 0, &commit(vec![put("a", 2000)])),
        StoreOutcome::Committed(_)
    ));
    let four = commit((0..4).map(|n| put(&format!("b{n}"), 1)).collect());
    assert!(matches!(state.call(10.0, 0, &four), StoreOutcome::Committed(_)));
    assert_eq!(
        state.call(10.0, 0, &four),
        StoreOutcome::RateLimited,
        "9 changes in an instant, 6 a second"
    );
    assert!(state.abuses.is_empty());
}

#[test]
fn settings_with_times_of_gangs_and_limits_to_come_are_read() {
    let next = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 18.0\n";
    let settings = settings_with(0, 3, (50.0, 4.0), next).unwrap();
    settings.check().unwrap();
    assert!(settings_with(0, 3, (50.0, 4.0), "value_kb = = 2\n").is_err());
}
