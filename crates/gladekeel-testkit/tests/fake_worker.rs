//! Under faults, fake workers behave as the protocol defines.

use gladekeel_testkit::{
    scenario::example_job,
    stand_ins::{
        resources::Resources,
        worker::{DelayedHeartbeat, FakeWorker, MachineIdentity, WorkerEvent},
    },
};
use gladekeel_wire::{
    TaskId,
    worker::{Command, DirectCommands, ExitCause, HeartbeatResponse},
};

fn new_worker() -> FakeWorker {
    let machine = MachineIdentity {
        name: "n-1".into(),
        machine_type: "m32".into(),
        zone: "a".into(),
        spot: false,
    };
    let capacity = Resources { cpus: 32.0, gpus: 0.0, memory_gb: 64.0 };
    FakeWorker::new(machine, capacity, 30.0, 0.0, 0)
}

fn start(task: &TaskId) -> Vec<Command> {
    vec![Command::Start { task: task.clone(), attempt: 1 }]
}

/// A machine that hangs beyond the end of its lease keeps its tasks until it resumes. Commands that
/// arrived while the machine hung name an earlier incarnation of the worker and are refused.
#[test]
fn a_hung_machine_keeps_its_tasks_until_it_resumes() {
    let spec = example_job("job-1");
    let task = TaskId { job: spec.id.clone(), index: 0 };
    let find = |_: &TaskId| Some(spec.clone());
    let mut worker = new_worker();
    let response = HeartbeatResponse { token: 7, commands: start(&task) };
    assert!(worker.handle_heartbeat_response(0.0, 1, 0.0, &response, &find).is_empty());
    assert_eq!(worker.step(1.5), [WorkerEvent::TaskStarted(task.clone())]);
    worker.hang(2.0, true);
    assert!(
        worker.step(100.0).is_empty(),
        "a hung machine keeps its task after the lease has expired"
    );
    assert_eq!(worker.tasks.len(), 1);
    worker.hang(100.0, false);
    assert_eq!(
        worker.step(100.0),
        [WorkerEvent::TaskEnded { task: task.clone(), completed: false }]
    );
    assert!(worker.tasks.is_empty());
    let late = DirectCommands { token: 7, incarnation: 1, commands: start(&task) };
    assert!(!worker.handle_direct_commands(100.0, &late, &find).0);
    // The delayed heartbeat contains the state of the machine when it hung.
    let DelayedHeartbeat { created_at, heartbeat } = worker.delayed_heartbeat.take().unwrap();
    assert_eq!((created_at, heartbeat.incarnation, heartbeat.tasks.len()), (2.0, 1, 1));
}

/// The result of a completed task is kept: if the task is started again, it exits with it.
#[test]
fn a_completed_task_that_is_started_again_does_not_run_again() {
    let spec = example_job("job-1");
    let task = TaskId { job: spec.id.clone(), index: 0 };
    let find = |_: &TaskId| Some(spec.clone());
    let mut worker = new_worker();
    let commands = DirectCommands { token: 7, incarnation: 1, commands: start(&task) };
    assert!(worker.handle_direct_commands(0.0, &commands, &find).0);
    worker.record_kept_results(|completed| *completed == task);
    assert!(worker.step(1.5).is_empty(), "the task never occupies the machine");
    assert_eq!(worker.tasks[0].status().cause, Some(ExitCause::Done));
}
