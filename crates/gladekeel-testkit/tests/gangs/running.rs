use super::{GangFixture, is_near};
use gladekeel_wire::worker::{ExitCause, TaskState};

#[test]
fn a_gang_runs_at_the_speed_of_its_slowest_machine() {
    let mut gang = GangFixture::new(2);
    gang.worker(1).slowdown = 2.0;
    gang.start(0, 0, 1);
    gang.start(1, 1, 1);
    gang.run_until(60.5);
    assert_eq!(gang.exit_of(0), None);
    gang.run_until(62.0);
    assert!(is_near(gang.ended_at(0), 61.0) && is_near(gang.ended_at(1), 61.0));
}

#[test]
fn the_other_tasks_exit_when_a_task_of_a_running_gang_is_lost() {
    let mut gang = GangFixture::running(3);
    gang.run_until(25.0);
    gang.worker(1).kill_all();
    gang.run_until(25.3);
    assert_eq!(
        gang.worker(0).heartbeat(25.3).tasks[0].state,
        TaskState::Running,
        "the loss is not yet detected"
    );
    gang.run_until(29.1);
    assert_eq!(gang.exit_of(0), Some((ExitCause::GangMemberLost, None)));
    assert_eq!(gang.exit_of(2), Some((ExitCause::GangMemberLost, None)));
    assert!(is_near(gang.checkpointed_s(), 20.0), "checkpoints were written at 10 and 20 s");
    let lost_progress_s = gang.gangs.record(&gang.spec.id.clone()).lost_progress_s;
    assert!(is_near(lost_progress_s, 4.0), "{lost_progress_s}");

    // The next attempt continues from the last checkpoint, which belongs to the job, not to an
    // attempt.
    (0..3).for_each(|n| gang.start(n, n, 2));
    gang.run_until(31.0);
    assert!(gang.exit_of(1).is_none());
    gang.run_until(38.5);
    assert_eq!(gang.exit_of(1), None);
    gang.run_until(39.7);
    assert_eq!(gang.exit_of(1), Some((ExitCause::Done, None)));
}

#[test]
fn the_other_tasks_exit_when_a_machine_of_a_running_gang_hangs() {
    let mut gang = GangFixture::running(2);
    gang.run_until(8.0);
    gang.worker(1).hung = true;
    gang.run_until(12.1);
    assert_eq!(gang.exit_of(0), Some((ExitCause::GangMemberLost, None)));
    assert_eq!(gang.exit_of(1), None, "a hung machine executes nothing");
    assert!(is_near(gang.checkpointed_s(), 0.0));
    gang.run_until(20.0);
    gang.worker(1).hung = false;
    gang.run_until(20.2);
    assert_eq!(gang.exit_of(1), Some((ExitCause::GangMemberLost, None)));
}

#[test]
fn a_restarted_task_does_not_repair_a_running_gang() {
    let mut gang = GangFixture::running(2);
    gang.worker(1).kill_all();
    gang.start(2, 1, 1);
    gang.run_until(10.0);
    assert_eq!(gang.exit_of(0), Some((ExitCause::GangMemberLost, None)));
    assert_eq!(gang.state(2), TaskState::Waiting);
    gang.run_until(33.2);
    assert_eq!(gang.exit_of(2), Some((ExitCause::GangIncomplete, None)));
}

#[test]
fn the_other_tasks_exit_when_a_task_fails() {
    let mut gang = GangFixture::new(2);
    gang.worker(1).fails_tasks = true;
    gang.start(0, 0, 1);
    gang.start(1, 1, 1);
    gang.run_until(6.0);
    assert_eq!(gang.exit_of(1), Some((ExitCause::Error, None)));
    assert_eq!(gang.exit_of(0), Some((ExitCause::GangMemberLost, None)));
}

#[test]
fn a_task_that_starts_after_its_gang_is_done_exits_as_done() {
    let mut gang = GangFixture::running(2);
    gang.run_until(32.0);
    assert_eq!(gang.exit_of(0), Some((ExitCause::Done, None)));
    gang.start(2, 1, 7);
    gang.run_until(33.5);
    assert_eq!(gang.exit_of(2), Some((ExitCause::Done, None)));
}
