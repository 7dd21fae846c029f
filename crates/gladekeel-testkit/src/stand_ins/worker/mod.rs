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

/// Run time of a task that fails, in seconds.
pub(in crate::stand_ins) const FAILS_AFTER_S: f64 = 0.5;

/// Looks up the specification of a task's job; returns `None` if there is no such task.
pub type FindSpec<'a> = dyn Fn(&TaskId) -> Option<JobSpec> + 'a;

/// An event on a machine that the invariant checker must observe.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerEvent {
    /// A task has its image and occupies its machine from now on.
    TaskStarted(TaskId),
    /// A task of a gang begins to run, together with the other tasks of its gang.
    GangTaskRunning {
        /// The task.
        task: TaskId,
        /// Number of the attempt that the task belongs to.
        attempt: u64,
    },
    /// A task no longer occupies the machine.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// Whether the task completed, rather than failed or was stopped.
        completed: bool,
    },
    /// The worker refused to start a task for lack of free resources.
    StartRefused(TaskId),
}

/// The properties of a machine that never change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineIdentity {
    /// Name of the machine, which is also the address of its worker in the simulation.
    pub name: String,
    /// Type of the machine.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
}

/// A heartbeat that a worker was about to send when its machine hung.
#[derive(Debug)]
pub struct DelayedHeartbeat {
    /// When the heartbeat was created.
    pub created_at: f64,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// A fake worker and its machine.
#[derive(Debug)]
pub struct FakeWorker {
    /// Identity of the machine.
    pub machine: MachineIdentity,
    /// Resources of the machine.
    pub capacity: Resources,
    /// Incarnation of the worker; increases when its lease expires or its machine reboots.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat of this incarnation.
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    pub token: u64,
    /// When the latest heartbeat that got a response was sent; the lease is counted from this time.
    pub lease_renewed_at: f64,
    /// Duration of the worker's lease, in seconds.
    pub lease_s: f64,
    /// All tasks on the worker, including exited tasks until the worker forgets them.
    pub tasks: Vec<FakeTask>,
    /// Index of the node that the worker sends its heartbeats to.
    pub node: usize,
    /// Whether every task that runs on the machine fails.
    pub fails_tasks: bool,
    /// Whether the worker refuses every start as if the machine had no free resources.
    pub refuses_starts: bool,
    /// Whether the machine hangs: the worker and its tasks execute nothing.
    pub hung: bool,
    /// Whether the worker receives neither responses nor commands, while its heartbeats arrive.
    pub inbound_partitioned: bool,
    /// Whether the worker's heartbeats reach no controller, while the worker receives direct
    /// commands and its responses to them arrive.
    pub outbound_partitioned: bool,
    /// The heartbeat that the worker was about to send when its machine hung.
    pub delayed_heartbeat: Option<DelayedHeartbeat>,
    /// When the cloud reclaims the machine; `None` without a termination notice.
    pub terminates_at: Option<f64>,
    /// Whether the next heartbeat is due early, for example because a task has changed its state.
    pub changed: bool,
    /// Sequence number of the heartbeat that is waiting for its response; `None` if none is.
    pub in_flight: Option<u64>,
    /// Direct commands that arrived while the machine hung.
    pub queued_commands: Vec<DirectCommands>,
    /// Factor by which tasks run longer than estimated.
    pub slowdown: f64,
    /// How long a task waits for the other tasks of its gang, in seconds.
    pub gang_wait_s: f64,
    /// Images that the machine has already fetched.
    cached_images: BTreeSet<String>,
}

impl FakeWorker {
    /// Creates a worker whose machine has just booted.
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
            refuses_starts: false,
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

    /// Creates the next heartbeat, with the state of the machine at the time `now`.
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

    /// Handles the response to the heartbeat that was sent at `sent_at` in `incarnation`. Ignores
    /// the response if a new incarnation has begun since or if its fencing token is stale.
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
        self.update_token(response.token);
        self.lease_renewed_at = self.lease_renewed_at.max(sent_at);
        self.execute(now, &response.commands, find_spec)
    }

    /// Executes direct commands unless they have a stale fencing token or name another
    /// incarnation. Returns whether they were executed, and the resulting events.
    pub fn handle_direct_commands(
        &mut self,
        now: f64,
        direct: &DirectCommands,
        find_spec: &FindSpec<'_>,
    ) -> (bool, Vec<WorkerEvent>) {
        if direct.token < self.token || direct.incarnation != self.incarnation {
            return (false, Vec::new());
        }
        self.update_token(direct.token);
        (true, self.execute(now, &direct.commands, find_spec))
    }

    fn update_token(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            self.changed = true;
        }
    }

    /// Resources of the machine that no task uses.
    pub fn free(&self) -> Resources {
        let present = self.tasks.iter().filter(|task| task.state != TaskState::Exited);
        present.fold(self.capacity, |free, task| free.without(&task.spec))
    }

    /// Makes the machine hang or resume. A hung machine keeps its tasks, even after its lease has
    /// expired: they are only killed when the machine resumes or is removed.
    pub fn hang(&mut self, now: f64, hung: bool) {
        if hung && !self.hung {
            let heartbeat = self.heartbeat(now);
            self.delayed_heartbeat = Some(DelayedHeartbeat { created_at: now, heartbeat });
        }
        self.hung = hung;
    }

    /// Advances the worker to the time `now`: tasks change their states, and the lease may expire.
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
            events.extend(self.advance_task(now, task));
        }
        self.tasks = tasks;
        events
    }

    /// Records which of the tasks that wait for their image completed in an earlier attempt.
    pub fn record_kept_results(&mut self, is_completed: impl Fn(&TaskId) -> bool) {
        for task in self.tasks.iter_mut().filter(|task| task.state == TaskState::Fetching) {
            task.completed_before = is_completed(&task.task);
        }
    }

    /// Moves a task to its next state; called when the time of its current state has passed.
    fn advance_task(&mut self, now: f64, task: &mut FakeTask) -> Option<WorkerEvent> {
        let event = match task.state {
            TaskState::Fetching => {
                self.cached_images.insert(task.spec.image.clone());
                if task.completed_before {
                    task.exit(ExitCause::Done, None);
                    self.changed = true;
                    return None;
                }
                if task.spec.kind == JobKind::Gang {
                    task.state = TaskState::Waiting;
                    task.state_ends_at = now + self.gang_wait_s;
                } else {
                    self.run(now, task);
                }
                WorkerEvent::TaskStarted(task.task.clone())
            }
            TaskState::Running => task.exit(task.cause.unwrap_or(ExitCause::Done), None),
            TaskState::Checkpointing => {
                task.exit(task.cause.unwrap_or(ExitCause::Stopped), Some(true))
            }
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

    /// Reboots the machine instantly. The address stays the same, a new incarnation begins, and
    /// tasks, cached images and the fencing token are lost.
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

    /// Kills and removes every task; returns the events of the tasks that had started.
    pub fn kill_all(&mut self) -> Vec<WorkerEvent> {
        let tasks = std::mem::take(&mut self.tasks);
        let present = tasks.into_iter().filter(FakeTask::has_started);
        present.map(|task| WorkerEvent::TaskEnded { task: task.task, completed: false }).collect()
    }
}
