//! Gangs on a few fake workers wait, run, fail and stop in an orderly way as the protocol defines.

mod invariants;
mod orderly_stop;
mod running;
mod waiting;

use gladekeel_testkit::{
    scenario::example_job,
    stand_ins::{
        gang::GangRuntime,
        resources::Resources,
        worker::{FakeWorker, MachineIdentity, WorkerEvent},
    },
};
use gladekeel_wire::{
    TaskId,
    job::{JobKind, JobSpec},
    worker::{Command, ExitCause, HeartbeatResponse, TaskState},
};
use std::collections::BTreeMap;

const STEP_S: f64 = 0.1;

/// The gang `job-1` and the machines `n-0`, `n-1` and so on: one machine more than the gang has
/// tasks.
struct GangFixture {
    now: f64,
    spec: JobSpec,
    workers: BTreeMap<String, FakeWorker>,
    gangs: GangRuntime,
    events: Vec<(f64, String, WorkerEvent)>,
}

impl GangFixture {
    fn new(tasks: u32) -> GangFixture {
        let mut spec = example_job("job-1");
        (spec.kind, spec.tasks, spec.image_gb) = (JobKind::Gang, tasks, 1.0);
        (spec.estimate_s, spec.checkpoint_interval_s, spec.checkpoint_write_s) = (30.0, 10.0, 2.0);
        let workers = (0..tasks + 1)
            .map(|n| {
                let name = format!("n-{n}");
                (name.clone(), worker(name))
            })
            .collect();
        GangFixture { now: 0.0, spec, workers, gangs: GangRuntime::new(4.0), events: Vec::new() }
    }

    fn command(&mut self, machine: u32, command: Command) {
        let spec = self.spec.clone();
        let worker = self.workers.get_mut(&format!("n-{machine}")).unwrap();
        let response = HeartbeatResponse { token: 1, commands: vec![command] };
        let (incarnation, now) = (worker.incarnation, self.now);
        let events = worker
            .handle_heartbeat_response(now, incarnation, now, &response, &|_| Some(spec.clone()));
        let name = worker.machine.name.clone();
        self.events.extend(events.into_iter().map(|event| (now, name.clone(), event)));
    }

    fn start(&mut self, machine: u32, index: u32, attempt: u64) {
        self.command(machine, Command::Start { task: task(index), attempt });
    }

    fn stop(&mut self, machine: u32, index: u32, grace_s: f64) {
        self.command(machine, Command::Stop { task: task(index), attempt: 1, grace_s });
    }

    /// Starts the tasks of a new gang, each on its own machine, and waits until all of them run.
    fn running(tasks: u32) -> GangFixture {
        let mut gang = GangFixture::new(tasks);
        (0..tasks).for_each(|n| gang.start(n, n, 1));
        gang.run_until(2.0);
        assert!((0..tasks).all(|n| gang.state(n) == TaskState::Running));
        gang
    }

    fn run_until(&mut self, time: f64) {
        while self.now < time - 1e-9 {
            self.now += STEP_S;
            for (name, worker) in &mut self.workers {
                let events = worker.step(self.now);
                self.events.extend(events.into_iter().map(|event| (self.now, name.clone(), event)));
            }
            let events = self.gangs.step(self.now, &mut self.workers);
            self.events.extend(events.into_iter().map(|(name, event)| (self.now, name, event)));
        }
    }

    fn worker(&mut self, machine: u32) -> &mut FakeWorker {
        self.workers.get_mut(&format!("n-{machine}")).unwrap()
    }

    fn state(&self, machine: u32) -> TaskState {
        self.workers[&format!("n-{machine}")].tasks[0].state
    }

    /// Why a machine's last task exited and whether it wrote a checkpoint when it was stopped;
    /// `None` if the task has not exited.
    fn exit_of(&self, machine: u32) -> Option<(ExitCause, Option<bool>)> {
        let task = self.workers[&format!("n-{machine}")].tasks.last().unwrap();
        (task.state == TaskState::Exited).then(|| (task.cause.unwrap(), task.saved))
    }

    /// When the first task of a machine ended.
    fn ended_at(&self, machine: u32) -> f64 {
        let name = format!("n-{machine}");
        let ended = |(_, machine, event): &&(f64, String, WorkerEvent)| {
            *machine == name && matches!(event, WorkerEvent::TaskEnded { .. })
        };
        self.events.iter().find(ended).expect("the task has ended").0
    }

    fn checkpointed_s(&self) -> f64 {
        self.gangs.record(&self.spec.id).checkpointed_s
    }
}

fn worker(name: String) -> FakeWorker {
    let machine =
        MachineIdentity { name, machine_type: "m32".into(), zone: "a".into(), spot: false };
    let capacity = Resources { cpus: 32.0, gpus: 0.0, memory_gb: 64.0 };
    FakeWorker::new(machine, capacity, 1e6, 0.0, 0)
}

fn task(index: u32) -> TaskId {
    TaskId { job: "job-1".parse().unwrap(), index }
}

fn is_near(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 2.5 * STEP_S
}
