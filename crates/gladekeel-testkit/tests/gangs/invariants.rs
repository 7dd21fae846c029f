//! The events that fake workers emit for a gang are sufficient for the invariant checker.

use super::GangFixture;
use gladekeel_testkit::{
    invariants::InvariantChecker, scenario::example_settings, stand_ins::worker::WorkerEvent,
};
use gladekeel_wire::worker::TaskState;

#[test]
fn tasks_that_wait_for_their_gang_are_checked_for_their_placement() {
    let mut gang = GangFixture::new(2);
    gang.spec.single_zone = true;
    let mut checker = InvariantChecker::new(example_settings(0, 1).deployment);
    checker.on_submission(&gang.spec);
    gang.worker(1).machine.zone = "b".into();
    gang.start(0, 0, 1);
    gang.start(1, 1, 2);
    gang.run_until(5.0);
    assert_eq!((gang.state(0), gang.state(1)), (TaskState::Waiting, TaskState::Waiting));
    for (at, machine, event) in &gang.events {
        let WorkerEvent::TaskStarted(task) = event else { continue };
        checker.on_task_started(*at, task, &gang.workers[machine].machine);
    }
    let violated: Vec<&str> =
        checker.violations.iter().map(|violation| violation.invariant.name()).collect();
    assert_eq!(violated, ["placement"]);
}
