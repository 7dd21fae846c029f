use super::{GangFixture, is_near};
use gladekeel_wire::worker::{ExitCause, TaskState};

#[test]
fn a_gang_whose_tasks_are_all_stopped_in_time_keeps_its_progress() {
    let mut gang = GangFixture::running(2);
    gang.run_until(17.0);
    gang.stop(0, 0, 10.0);
    assert_eq!(
        gang.worker(0).heartbeat(17.0).tasks[0].state,
        TaskState::Running,
        "a task of a gang is never reported as `Checkpointing`"
    );
    gang.run_until(20.5);
    assert_eq!(gang.exit_of(0), None, "the task has saved and waits for the other one");
    gang.stop(1, 1, 10.0);
    gang.run_until(21.5);
    assert_eq!(gang.exit_of(0), Some((ExitCause::Stopped, Some(true))), "4 s after the first stop");
    assert_eq!(gang.exit_of(1), None, "the task takes 2 s to save");
    gang.run_until(22.8);
    assert_eq!(gang.exit_of(1), Some((ExitCause::Stopped, Some(true))));
    assert!(
        is_near(gang.checkpointed_s(), 16.0),
        "progress ends with the first stop command: {}",
        gang.checkpointed_s()
    );
    assert_eq!(gang.gangs.record(&gang.spec.id.clone()).stop_checkpoints, 1);
}

#[test]
fn a_task_that_is_not_stopped_in_time_makes_the_checkpoint_fail() {
    let mut gang = GangFixture::running(2);
    gang.run_until(17.0);
    gang.stop(0, 0, 10.0);
    gang.run_until(21.3);
    assert_eq!(gang.exit_of(0), Some((ExitCause::Stopped, Some(false))));
    assert_eq!(gang.exit_of(1), Some((ExitCause::GangMemberLost, None)));
    assert!(is_near(gang.checkpointed_s(), 10.0), "{}", gang.checkpointed_s());
    assert_eq!(gang.gangs.record(&gang.spec.id.clone()).stop_checkpoints, 0);
}

#[test]
fn a_grace_period_too_short_for_one_task_makes_the_checkpoint_fail() {
    let mut gang = GangFixture::running(2);
    gang.run_until(17.0);
    gang.stop(0, 0, 10.0);
    gang.stop(1, 1, 1.0);
    assert_eq!(gang.exit_of(1), Some((ExitCause::Stopped, Some(false))));
    gang.run_until(21.3);
    assert!(matches!(gang.exit_of(0), Some((ExitCause::GangMemberLost, _))));
    assert!(is_near(gang.checkpointed_s(), 10.0), "{}", gang.checkpointed_s());
}

#[test]
fn a_lost_task_makes_the_checkpoint_fail_unless_all_tasks_have_saved() {
    for (lost_at, expected_s) in [(18.0, 10.0), (20.5, 16.0)] {
        let mut gang = GangFixture::running(3);
        gang.run_until(17.0);
        (0..2).for_each(|n| gang.stop(n, n, 10.0));
        gang.run_until(17.6);
        gang.stop(2, 2, 10.0);
        // At 19.6 s all tasks have written their checkpoints, which takes 2 s after a stop command.
        gang.run_until(lost_at);
        gang.worker(2).kill_all();
        gang.run_until(25.0);
        assert!(
            is_near(gang.checkpointed_s(), expected_s),
            "lost at {lost_at}: {}",
            gang.checkpointed_s()
        );
    }
}

#[test]
fn a_second_stop_without_a_grace_period_aborts_the_checkpoint() {
    let mut gang = GangFixture::running(2);
    gang.run_until(17.0);
    (0..2).for_each(|n| gang.stop(n, n, 10.0));
    gang.run_until(18.0);
    gang.stop(0, 0, 1.0);
    assert_eq!(gang.exit_of(0), None, "a repeated stop command with a grace period has no effect");
    gang.stop(0, 0, 0.0);
    assert_eq!(gang.exit_of(0), Some((ExitCause::Stopped, Some(false))));
    gang.run_until(22.5);
    assert!(is_near(gang.checkpointed_s(), 10.0), "{}", gang.checkpointed_s());
}

#[test]
fn a_gang_without_checkpoints_loses_its_progress() {
    let mut gang = GangFixture::new(2);
    gang.spec.checkpoint_interval_s = 0.0;
    (0..2).for_each(|n| gang.start(n, n, 1));
    gang.run_until(17.0);
    (0..2).for_each(|n| gang.stop(n, n, 10.0));
    assert_eq!(gang.exit_of(0), Some((ExitCause::Stopped, Some(false))));
    gang.run_until(22.0);
    assert!(is_near(gang.checkpointed_s(), 0.0));
}
