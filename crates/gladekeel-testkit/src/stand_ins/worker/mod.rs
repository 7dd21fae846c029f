//! A fake worker and its machine: tasks, lease and heartbeats as the protocol defines them.

mod commands;
mod task;

pub use task::FakeTask;

use crate::stand_ins::resources::Resources;
use gladekeel_wire::{
    TaskId,
    job::{JobKind, JobSpec},
    worker::{DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskState},
};
use std::collections::BTreeSet;

/// How long a task runs that fails.
pub(in crate::stand_ins) const FAILS_AFTER_S: f64 = 0.5;

/// Finds the description of a task's job.
pub type FindSpec<'a> = dyn Fn(&TaskId) -> Option<JobSpec> + 'a;

/// An event on a machine that the invariant checker has to know of.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerEvent {
    /// A task has its image and occupies resources from now on.
    TaskStarted(TaskId),
    /// A task of a gang has met the others and begins to run.
    GangTaskRunning {
        /// The task.
        task: TaskId,
        /// The attempt under which it runs.
        attempt: u64,
    },
    /// A task no longer occupies the machine.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// Whether it completed, as opposed to having failed or been stopped.
        completed: bool,
    },
    /// A start was refused for lack of free resources.
    StartRefused(TaskId),
}

/// What of a machine never changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineIdentity {
    /// Its name, which is also its worker's address in the simulation.
    pub name: String,
    /// Its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
}

/// A heartbeat that a worker was about to send when it hung.
#[derive(Debug)]
pub struct DelayedHeartbeat {
    /// When it was made.
    pub made_at: f64,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// A worker.
#[derive(Debug)]
pub struct FakeWorker {
    /// Its machine.
    pub machine: MachineIdentity,
    /// What the machine has.
    pub capacity: Resources,
    /// Number of the worker's life; a new one begins when its lease has expired.
    pub incarnation: u64,
    /// Number of the last heartbeat of this incarnation.
    pub sequence: u64,
    /// Highest fencing token seen.
    pub token: u64,
    /// When the last answered heartbeat was sent.
    pub lease_renewed_at: f64,
    /// Length of its lease in seconds.
    pub lease_s: f64,
    /// The tasks that it knows, exited ones until they are forgotten.
    pub tasks: Vec<FakeTask>,
    /// Index of the node that it sends heartbeats to.
    pub node: usize,
    /// Every task on it fails.
    pub fails_tasks: bool,
    /// It does nothing at present.
    pub hung: bool,
    /// Responses and commands do not reach it, while its heartbeats arrive.
    pub inbound_partitioned: bool,
    /// Its heartbeats reach no controller, while direct commands reach it and are answered.
    pub outbound_partitioned: bool,
    /// The heartbeat that it was about to send when it hung.
    pub delayed_heartbeat: Option<DelayedHeartbeat>,
    /// When the cloud takes the machine back, once that is announced.
    pub terminates_at: Option<f64>,
    /// Whether something has changed since the last heartbeat.
    pub changed: bool,
    /// Sequence number of the heartbeat that awaits its response.
    pub in_flight: Option<u64>,
    /// Direct commands that arrived while it hung.
    pub queued_commands: Vec<DirectCommands>,
    /// By which factor tasks run longer than estimated.
    pub slowdown: f64,
    /// How long a task waits for the others of its gang.
    pub gang_wait_s: f64,
    cached_images: BTreeSet<String>,
}

impl FakeWorker {
    /// A worker whose machine has just booted.
    pub fn new(
        machine: MachineIdentity,
        capacity: Resources,
        lease_s: f64,
        now: f64,
        node: usize,
    ) -> FakeWorker {
        FakeWorker {
            machine,
            capacity,
            incarnation: 1,
            sequence: 0,
            token: 0,
            lease_renewed_at: now,
            lease_s,
            tasks: Vec::new(),
            node,
            fails_tasks: false,
            hung: false,
            inbound_partitioned: false,
            outbound_partitioned: false,
            delayed_heartbeat: None,
            terminates_at: None,
            changed: true,
            in_flight: None,
            queued_commands: Vec::new(),
            slowdown: 1.0,
            gang_wait_s: 30.0,
            cached_images: BTreeSet::new(),
        }
    }

    /// The next heartbeat, as of now.
    pub fn heartbeat(&mut self, now: f64) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.machine.name.clone(),
            addr: self.machine.name.clone(),
            machine_type: self.machine.machine_type.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            termination_notice_s: self.terminates_at.map(|at| (at - now).max(0.0)),
            tasks: self.tasks.iter().map(FakeTask::status).collect(),
        }
    }

    /// Handles the response to the heartbeat that was sent at `sent_at` in `incarnation`.
    pub fn handle_heartbeat_response(
        &mut self,
        now: f64,
        incarnation: u64,
        sent_at: f64,
        response: &HeartbeatResponse,
        find_spec: &FindSpec<'_>,
    ) -> Vec<WorkerEvent> {
        if incarnation != self.incarnation || response.token < self.token {
            return Vec::new();
        }
        self.learn_token(response.token);
        self.lease_renewed_at = self.lease_renewed_at.max(sent_at);
        self.execute(now, &response.commands, find_spec)
    }

    /// Executes direct commands; returns whether it did, and what came of it.
    pub fn handle_direct_commands(
        &mut self,
        now: f64,
        direct: &DirectCommands,
        find_spec: &FindSpec<'_>,
    ) -> (bool, Vec<WorkerEvent>) {
        if direct.token < self.token || direct.incarnation != self.incarnation {
            return (false, Vec::new());
        }
        self.learn_token(direct.token);
        (true, self.execute(now, &direct.commands, find_spec))
    }

    fn learn_token(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            self.changed = true;
        }
    }

    /// What no task uses.
    pub fn free(&self) -> Resources {
        let present = self.tasks.iter().filter(|task| task.state != TaskState::Exited);
        present.fold(self.capacity, |free, task| free.without(&task.spec))
    }

    /// Hangs, or resumes. A hung machine keeps its tasks, past the end of its lease too: they
    /// are only killed when it resumes, or with the machine.
    pub fn hang(&mut self, now: f64, hung: bool) {
        if hung && !self.hung {
            let heartbeat = self.heartbeat(now);
            self.delayed_heartbeat = Some(DelayedHeartbeat { made_at: now, heartbeat });
        }
        self.hung = hung;
    }

    /// Lets time pass: tasks go on, the lease expires.
    pub fn step(&mut self, now: f64) -> Vec<WorkerEvent> {
        if self.hung {
            return Vec::new();
        }
        if now - self.lease_renewed_at > self.lease_s {
            return self.begin_incarnation(now);
        }
        let mut events = Vec::new();
        let mut tasks = std::mem::take(&mut self.tasks);
        for task in tasks.iter_mut().filter(|task| task.state_ends_at <= now) {
            events.extend(self.end_state(now, task));
        }
        self.tasks = tasks;
        events
    }

    /// The present state of a task has lasted its time: the next one begins.
    fn end_state(&mut self, now: f64, task: &mut FakeTask) -> Option<WorkerEvent> {
        let event = match task.state {
            TaskState::Fetching => {
                self.cached_images.insert(task.spec.image.clone());
                if task.spec.kind == JobKind::Gang {
                    task.state = TaskState::Waiting;
                    task.state_ends_at = now + self.gang_wait_s;
                } else {
                    self.run(now, task);
                }
                WorkerEvent::TaskStarted(task.task.clone())
            }
            TaskState::Running => task.exit(task.cause.unwrap_or(ExitCause::Done), None),
            TaskState::Saving => task.exit(task.cause.unwrap_or(ExitCause::Stopped), Some(true)),
            TaskState::Waiting => task.exit(ExitCause::GangIncomplete, task.saved),
            _ => return None,
        };
        self.changed = true;
        Some(event)
    }

    fn run(&self, now: f64, task: &mut FakeTask) {
        let fails = self.fails_tasks || task.spec.class == "faulty";
        let run_s = if fails { FAILS_AFTER_S } else { task.spec.estimate_s * self.slowdown };
        let endless = task.spec.kind == JobKind::Service && !fails;
        task.state = TaskState::Running;
        task.state_ends_at = if endless { f64::MAX } else { now + run_s };
        task.cause = fails.then_some(ExitCause::Error);
    }

    /// Restarts within an instant: the same address, a new incarnation, and nothing is left
    /// of what it knew.
    pub fn reboot(&mut self, now: f64) -> Vec<WorkerEvent> {
        self.token = 0;
        self.cached_images.clear();
        self.begin_incarnation(now)
    }

    fn begin_incarnation(&mut self, now: f64) -> Vec<WorkerEvent> {
        let ended = self.kill_all();
        self.incarnation += 1;
        self.sequence = 0;
        self.lease_renewed_at = now;
        self.in_flight = None;
        self.changed = true;
        ended
    }

    /// Kills and forgets every task.
    pub fn kill_all(&mut self) -> Vec<WorkerEvent> {
        let tasks = std::mem::take(&mut self.tasks);
        let present = tasks.into_iter().filter(FakeTask::has_started);
        present.map(|task| WorkerEvent::TaskEnded { task: task.task, completed: false }).collect()
    }
}
