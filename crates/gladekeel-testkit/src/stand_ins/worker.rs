//! A stand-in for a worker and its machine.

use gladekeel_wire::{
    TaskId,
    job::{JobKind, JobSpec},
    worker::{
        Command, DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
    },
};
use std::collections::{BTreeMap, BTreeSet};

/// A task on the worker.
#[derive(Debug, Clone)]
pub struct FakeTask {
    /// Which.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: u64,
    /// Its job.
    pub spec: JobSpec,
    /// Its state.
    pub state: TaskState,
    /// When this state ends by itself.
    pub state_ends_at: f64,
    /// Why it ended.
    pub cause: Option<ExitCause>,
    /// Whether it saved.
    pub saved: Option<bool>,
    /// When it was told to stop with time enough to save, as a task of a gang.
    pub stop_requested_at: Option<f64>,
}

/// What events on a machine.
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

/// A worker.
#[derive(Debug)]
pub struct FakeWorker {
    /// The machine.
    pub name: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or not.
    pub spot: bool,
    /// CPUs, GPUs, memory.
    pub room: (f64, f64, f64),
    /// Session.
    pub incarnation: u64,
    /// Number of the last message.
    pub sequence: u64,
    /// Highest token seen.
    pub token: u64,
    /// When the last answered report was sent.
    pub lease_renewed_at: f64,
    /// Length of its lease.
    pub lease_s: f64,
    /// Tasks.
    pub tasks: Vec<FakeTask>,
    /// Node that it reports to.
    pub node: usize,
    /// Fails every task.
    pub fails_tasks: bool,
    /// Does nothing for now.
    pub hung: bool,
    /// Its reports arrive; answers and commands do not reach it.
    pub inbound_partitioned: bool,
    /// It reaches no controller, while direct commands reach it and are answered.
    pub outbound_partitioned: bool,
    /// The report that it was about to send when it hung, and when that was.
    pub delayed_heartbeat: Option<(f64, Heartbeat)>,
    /// When it goes.
    pub terminates_at: Option<f64>,
    /// Whether something changed since the last report.
    pub changed: bool,
    /// The report that waits for its answer.
    pub in_flight: Option<u64>,
    /// Direct commands that wait while it hangs.
    pub queued_commands: Vec<DirectCommands>,
    /// Slowness: run times are this many times longer.
    pub slowdown: f64,
    /// How long a task waits for the others of its gang.
    pub gang_wait_s: f64,
    images: BTreeSet<String>,
}

/// The tasks on a worker as one message finds and changes them.
struct Lookup {
    /// Where each task is in the worker's list.
    places: BTreeMap<TaskId, Vec<usize>>,
    /// Places that are forgotten by the message, and no longer among those above.
    forgotten: BTreeSet<usize>,
    /// CPUs, GPUs and memory that no task has, if that is known.
    free: Option<(f64, f64, f64)>,
}

impl Lookup {
    fn of(tasks: &[FakeTask]) -> Lookup {
        let mut lookup = Lookup { places: BTreeMap::new(), forgotten: BTreeSet::new(), free: None };
        for (at, task) in tasks.iter().enumerate() {
            lookup.add(&task.task, at);
        }
        lookup
    }

    fn add(&mut self, task: &TaskId, at: usize) {
        self.places.entry(task.clone()).or_default().push(at);
    }

    fn of_task(&self, task: &TaskId) -> &[usize] {
        self.places.get(task).map_or(&[], Vec::as_slice)
    }

    fn of_attempt(&self, tasks: &[FakeTask], task: &TaskId, attempt: u64) -> Vec<usize> {
        let here = self.of_task(task).iter().copied();
        here.filter(|at| tasks[*at].attempt == attempt).collect()
    }

    fn forget(&mut self, task: &TaskId, at: usize) {
        if let Some(places) = self.places.get_mut(task) {
            places.retain(|other| *other != at);
        }
        self.forgotten.insert(at);
    }
}

/// What is left of free room once a task has its part.
fn less((cpus, gpus, memory): (f64, f64, f64), spec: &JobSpec) -> (f64, f64, f64) {
    (cpus - spec.cpus, gpus - spec.gpus, memory - spec.memory_gb)
}

fn fits(spec: &JobSpec, (cpus, gpus, memory): (f64, f64, f64)) -> bool {
    spec.cpus <= cpus && spec.gpus <= gpus && spec.memory_gb <= memory
}

impl FakeWorker {
    /// A worker that has just come up.
    #[allow(clippy::too_many_arguments, reason = "a machine's fixed properties, spelled out")]
    pub fn new(
        name: String,
        machine_type: String,
        zone: String,
        spot: bool,
        room: (f64, f64, f64),
        lease_s: f64,
        now: f64,
        node: usize,
    ) -> FakeWorker {
        FakeWorker {
            name,
            machine_type,
            zone,
            spot,
            room,
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
            images: BTreeSet::new(),
        }
    }

    /// A report as of now.
    pub fn heartbeat(&mut self, now: f64) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: self.name.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            termination_notice_s: self.terminates_at.map(|at| (at - now).max(0.0)),
            tasks: self
                .tasks
                .iter()
                .map(|task| TaskStatus {
                    task: task.task.clone(),
                    attempt: task.attempt,
                    state: task.state,
                    cause: task.cause,
                    saved: task.saved,
                })
                .collect(),
        }
    }

    /// Takes an answer to the report that was sent at `sent_at` in `session`.
    pub fn handle_heartbeat_response(
        &mut self,
        now: f64,
        incarnation: u64,
        sent_at: f64,
        answer: &HeartbeatResponse,
        find: &dyn Fn(&TaskId) -> Option<JobSpec>,
    ) -> Vec<WorkerEvent> {
        if incarnation != self.incarnation || answer.token < self.token {
            return Vec::new();
        }
        if answer.token > self.token {
            self.token = answer.token;
            self.changed = true;
        }
        self.lease_renewed_at = self.lease_renewed_at.max(sent_at);
        self.carry_out(now, &answer.commands, find)
    }

    /// Carries out direct commands; tells whether it did.
    pub fn handle_direct_commands(
        &mut self,
        now: f64,
        direct: &DirectCommands,
        find: &dyn Fn(&TaskId) -> Option<JobSpec>,
    ) -> (bool, Vec<WorkerEvent>) {
        if direct.token < self.token || direct.incarnation != self.incarnation {
            return (false, Vec::new());
        }
        if direct.token > self.token {
            self.token = direct.token;
            self.changed = true;
        }
        (true, self.carry_out(now, &direct.commands, find))
    }

    /// Carries out commands in order. The tasks are looked through once for all of them:
    /// an answer about a gang may hold hundreds, on a machine with thousands of tasks.
    fn carry_out(
        &mut self,
        now: f64,
        commands: &[Command],
        find: &dyn Fn(&TaskId) -> Option<JobSpec>,
    ) -> Vec<WorkerEvent> {
        if commands.is_empty() {
            return Vec::new();
        }
        let mut lookup = Lookup::of(&self.tasks);
        let mut events = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    events.extend(self.start(now, task, *attempt, find, &mut lookup));
                }
                Command::Stop { task, attempt, grace_s } => {
                    for at in lookup.of_attempt(&self.tasks, task, *attempt) {
                        let ended = self.stop(now, at, *grace_s);
                        lookup.free =
                            lookup.free.filter(|_| self.tasks[at].state != TaskState::Exited);
                        events.extend(ended);
                    }
                }
                Command::Forget { task, attempt } => {
                    for at in lookup.of_attempt(&self.tasks, task, *attempt) {
                        if self.tasks[at].state == TaskState::Exited {
                            lookup.forget(task, at);
                            self.changed = true;
                        }
                    }
                }
            }
        }
        let mut at = 0;
        self.tasks.retain(|_| {
            at += 1;
            !lookup.forgotten.contains(&(at - 1))
        });
        events
    }

    /// Starts a task; returns that it was refused, if that was for want of room.
    fn start(
        &mut self,
        now: f64,
        task: &TaskId,
        attempt: u64,
        find: &dyn Fn(&TaskId) -> Option<JobSpec>,
        lookup: &mut Lookup,
    ) -> Option<WorkerEvent> {
        let here = lookup.of_task(task);
        if here.iter().any(|at| self.tasks[*at].attempt == attempt) {
            return None;
        }
        self.changed = true;
        let busy = here.iter().any(|at| self.tasks[*at].state != TaskState::Exited);
        let free = *lookup.free.get_or_insert_with(|| self.free());
        let spec = find(task);
        let refused = match &spec {
            None => Some(ExitCause::Unknown),
            Some(_) if busy => Some(ExitCause::Busy),
            Some(spec) if !fits(spec, free) => Some(ExitCause::InsufficientResources),
            Some(_) => None,
        };
        let no_room = (refused == Some(ExitCause::InsufficientResources))
            .then(|| WorkerEvent::StartRefused(task.clone()));
        let Some(spec) = spec.or_else(|| self.any_spec(lookup)) else { return no_room };
        let (state, until) = if refused.is_some() {
            (TaskState::Exited, f64::MAX)
        } else {
            lookup.free = Some(less(free, &spec));
            let cached = self.images.contains(&spec.image);
            (TaskState::Fetching, now + if cached { 0.0 } else { spec.image_gb })
        };
        lookup.add(task, self.tasks.len());
        self.tasks.push(FakeTask {
            task: task.clone(),
            attempt,
            spec,
            state,
            state_ends_at: until,
            cause: refused,
            saved: None,
            stop_requested_at: None,
        });
        no_room
    }

    /// Tells a task to stop; returns that it has ended, if it has at once.
    fn stop(&mut self, now: f64, at: usize, grace_s: f64) -> Option<WorkerEvent> {
        let t = &mut self.tasks[at];
        if t.state == TaskState::Exited {
            return None;
        }
        self.changed = true;
        let saves = t.state == TaskState::Running
            && t.spec.checkpoint_interval_s > 0.0
            && grace_s >= t.spec.checkpoint_write_s;
        if saves && t.spec.kind == JobKind::Gang {
            // It reports `running` until it exits; when it may depends on
            // the others.
            t.stop_requested_at = t.stop_requested_at.or(Some(now));
        } else if t.stop_requested_at.is_some() && grace_s > 0.0 {
            // It is saving already.
        } else if saves {
            t.state = TaskState::Saving;
            t.state_ends_at = now + t.spec.checkpoint_write_s;
        } else if t.state != TaskState::Saving || grace_s == 0.0 {
            let began = t.state != TaskState::Fetching;
            t.state = TaskState::Exited;
            t.cause = Some(ExitCause::Stopped);
            t.saved = Some(false);
            return began
                .then(|| WorkerEvent::TaskEnded { task: t.task.clone(), completed: false });
        }
        None
    }

    fn any_spec(&self, lookup: &Lookup) -> Option<JobSpec> {
        let mut tasks = self.tasks.iter().enumerate();
        let there = tasks.find(|(at, _)| !lookup.forgotten.contains(at));
        there.map(|(_, task)| task.spec.clone())
    }

    /// CPUs, GPUs and memory that no task has.
    pub fn free(&self) -> (f64, f64, f64) {
        let there = self.tasks.iter().filter(|t| t.state != TaskState::Exited);
        there.fold(self.room, |free, task| less(free, &task.spec))
    }

    /// Hangs, or goes on. What hangs keeps its tasks on the machine, past the end of its
    /// lease too: they are only killed when it goes on, or with the machine.
    pub fn hang(&mut self, now: f64, on: bool) {
        if on && !self.hung {
            self.delayed_heartbeat = Some((now, self.heartbeat(now)));
        }
        self.hung = on;
    }

    /// Lets time pass: tasks go on, the lease runs out.
    pub fn step(&mut self, now: f64) -> Vec<WorkerEvent> {
        let mut events = Vec::new();
        if self.hung {
            return events;
        }
        if now - self.lease_renewed_at > self.lease_s {
            events.extend(self.kill_all());
            self.incarnation += 1;
            self.sequence = 0;
            self.lease_renewed_at = now;
            self.in_flight = None;
            self.changed = true;
            return events;
        }
        for task in self.tasks.iter_mut().filter(|t| t.state_ends_at <= now) {
            match task.state {
                TaskState::Fetching => {
                    self.images.insert(task.spec.image.clone());
                    if task.spec.kind == JobKind::Gang {
                        task.state = TaskState::Waiting;
                        task.state_ends_at = now + self.gang_wait_s;
                        events.push(WorkerEvent::TaskStarted(task.task.clone()));
                        self.changed = true;
                        continue;
                    }
                    task.state = TaskState::Running;
                    let fails = self.fails_tasks || task.spec.class == "faulty";
                    let run = if fails { 0.5 } else { task.spec.estimate_s * self.slowdown };
                    let service = task.spec.kind == JobKind::Service && !fails;
                    task.state_ends_at = if service { f64::MAX } else { now + run };
                    task.cause = fails.then_some(ExitCause::Error);
                    events.push(WorkerEvent::TaskStarted(task.task.clone()));
                }
                TaskState::Running | TaskState::Saving => {
                    let saving = task.state == TaskState::Saving;
                    task.state = TaskState::Exited;
                    let cause = if saving { ExitCause::Stopped } else { ExitCause::Done };
                    task.cause = Some(task.cause.unwrap_or(cause));
                    task.saved = saving.then_some(true);
                    let done = task.cause == Some(ExitCause::Done);
                    events
                        .push(WorkerEvent::TaskEnded { task: task.task.clone(), completed: done });
                }
                TaskState::Waiting => {
                    task.state = TaskState::Exited;
                    task.cause = Some(ExitCause::GangIncomplete);
                    events
                        .push(WorkerEvent::TaskEnded { task: task.task.clone(), completed: false });
                }
                _ => continue,
            }
            self.changed = true;
        }
        events
    }

    /// Comes back from a restart within an instant: the same address, a new session, and
    /// nothing is left of what it knew.
    pub fn reboot(&mut self, now: f64) -> Vec<WorkerEvent> {
        let ended = self.kill_all();
        self.incarnation += 1;
        self.sequence = 0;
        self.token = 0;
        self.lease_renewed_at = now;
        self.in_flight = None;
        self.changed = true;
        self.images.clear();
        ended
    }

    /// Kills and forgets every task.
    pub fn kill_all(&mut self) -> Vec<WorkerEvent> {
        let ended = self
            .tasks
            .iter()
            .filter(|t| {
                matches!(t.state, TaskState::Waiting | TaskState::Running | TaskState::Saving)
            })
            .map(|t| WorkerEvent::TaskEnded { task: t.task.clone(), completed: false })
            .collect();
        self.tasks.clear();
        ended
    }
}
