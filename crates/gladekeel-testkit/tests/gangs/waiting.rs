use super::{GangFixture, is_near, task};
use gladekeel_testkit::stand_ins::worker::WorkerEvent;
use gladekeel_wire::{
    TaskId,
    worker::{ExitCause, TaskState},
};

#[test]
fn a_gang_starts_when_its_last_task_has_its_image() {
    let mut gang = GangFixture::new(2);
    gang.start(0, 0, 1);
    gang.run_until(5.0);
    assert_eq!(gang.state(0), TaskState::Waiting);
    let (first, image_fetched_at) = (TaskId { job: gang.spec.id.clone(), index: 0 }, 1.0);
    assert!(
        gang.events.iter().any(|(at, _, event)| *event == WorkerEvent::TaskStarted(first.clone())
            && is_near(*at, image_fetched_at)),
        "a task is on its machine as soon as it has its image"
    );
    gang.start(1, 1, 1);
    gang.run_until(5.5);
    assert_eq!(gang.state(0), TaskState::Waiting);
    assert_eq!(gang.worker(0).heartbeat(5.5).tasks[0].state, TaskState::Waiting);
    gang.run_until(6.3);
    assert_eq!((gang.state(0), gang.state(1)), (TaskState::Running, TaskState::Running));
    gang.run_until(35.5);
    assert_eq!(gang.exit_of(0), None, "the gang makes no progress while it waits");
    gang.run_until(36.5);
    assert_eq!(
        (gang.exit_of(0), gang.exit_of(1)),
        (Some((ExitCause::Done, None)), Some((ExitCause::Done, None)))
    );
    assert!(gang.gangs.record(&gang.spec.id.clone()).done);
}

#[test]
fn tasks_of_different_attempts_do_not_run_together() {
    let mut gang = GangFixture::new(2);
    gang.start(0, 0, 1);
    gang.start(1, 1, 2);
    gang.run_until(30.5);
    assert_eq!((gang.state(0), gang.state(1)), (TaskState::Waiting, TaskState::Waiting));
    gang.run_until(31.5);
    assert_eq!(gang.exit_of(0), Some((ExitCause::GangIncomplete, None)));
    assert_eq!(gang.exit_of(1), Some((ExitCause::GangIncomplete, None)));
    assert!(is_near(gang.ended_at(0), 31.0), "30 s after the task had its image");
}

#[test]
fn a_waiting_task_occupies_its_resources() {
    let mut gang = GangFixture::new(2);
    gang.spec.cpus = 20.0;
    gang.start(0, 0, 1);
    gang.run_until(3.0);
    gang.start(0, 1, 1);
    assert_eq!(gang.exit_of(0), Some((ExitCause::InsufficientResources, None)));
}

#[test]
fn the_other_tasks_keep_waiting_for_a_replacement_in_the_same_attempt() {
    let mut gang = GangFixture::new(3);
    gang.start(0, 0, 1);
    gang.start(1, 1, 1);
    gang.run_until(3.0);
    let ended = gang.worker(1).kill_all();
    assert_eq!(
        ended,
        [WorkerEvent::TaskEnded { task: task(1), completed: false }],
        "a task that waits for its gang occupies its machine"
    );
    gang.run_until(10.0);
    assert_eq!(gang.state(0), TaskState::Waiting);
    gang.start(2, 2, 1);
    gang.start(3, 1, 1);
    gang.run_until(12.0);
    assert!([0, 2, 3].iter().all(|n| gang.state(*n) == TaskState::Running));
}

#[test]
fn a_waiting_task_that_is_stopped_exits_at_once() {
    let mut gang = GangFixture::new(2);
    gang.start(0, 0, 1);
    gang.run_until(3.0);
    gang.stop(0, 0, 60.0);
    assert_eq!(gang.exit_of(0), Some((ExitCause::Stopped, Some(false))));
    let ended = (3.0, "n-0".to_owned(), WorkerEvent::TaskEnded { task: task(0), completed: false });
    assert!(gang.events.iter().any(|event| is_near(event.0, ended.0) && event.2 == ended.2));
}

#[test]
fn a_task_on_a_hung_machine_does_not_complete_a_gang() {
    let mut gang = GangFixture::new(2);
    gang.start(0, 0, 1);
    gang.run_until(3.0);
    gang.worker(0).hung = true;
    gang.start(1, 1, 1);
    gang.run_until(10.0);
    assert_eq!((gang.state(0), gang.state(1)), (TaskState::Waiting, TaskState::Waiting));
    gang.worker(0).hung = false;
    gang.run_until(10.3);
    assert_eq!((gang.state(0), gang.state(1)), (TaskState::Running, TaskState::Running));
}
