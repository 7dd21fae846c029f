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
pub struct Task {
    /// Which.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: u64,
    /// Its job.
    pub spec: JobSpec,
    /// Its state.
    pub state: TaskState,
    /// When this state ends by itself.
    pub until: f64,
    /// Why it ended.
    pub cause: Option<ExitCause>,
    /// Whether it saved.
    pub saved: Option<bool>,
    /// When it was told to stop with time enough to save, as a task of a gang.
    pub told_at: Option<f64>,
}

/// What happened on a machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Happened {
    /// A task is on the machine from now.
    Started(TaskId),
    /// A task of a gang runs from now, under this attempt.
    Runs(TaskId, u64),
    /// A task is no longer on the machine; whether it completed.
    Ended(TaskId, bool),
    /// A start was refused for want of room.
    NoRoom(TaskId),
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
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
    pub session: u64,
    /// Number of the last message.
    pub seq: u64,
    /// Highest token seen.
    pub token: u64,
    /// When the last answered report was sent.
    pub lease_from: f64,
    /// Length of its lease.
    pub lease_s: f64,
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Node that it reports to.
    pub node: usize,
    /// Fails every task.
    pub sick: bool,
    /// Does nothing for now.
    pub hung: bool,
    /// Its reports arrive; answers and commands do not reach it.
    pub deaf: bool,
    /// It reaches no controller, while direct commands reach it and are answered.
    pub mute: bool,
    /// The report that it was about to send when it hung, and when that was.
    pub held_report: Option<(f64, Heartbeat)>,
    /// When it goes.
    pub leaves_at: Option<f64>,
    /// Whether something changed since the last report.
    pub changed: bool,
    /// The report that waits for its answer.
    pub in_flight: Option<u64>,
    /// Direct commands that wait while it hangs.
    pub held: Vec<DirectCommands>,
    /// Slowness: run times are this many times longer.
    pub slow: f64,
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
    fn of(tasks: &[Task]) -> Lookup {
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

    fn of_attempt(&self, tasks: &[Task], task: &TaskId, attempt: u64) -> Vec<usize> {
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

impl Worker {
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
    ) -> Worker {
        Worker {
            name,
            machine_type,
            zone,
            spot,
            room,
            session: 1,
            seq: 0,
            token: 0,
            lease_from: now,
            lease_s,
            tasks: Vec::new(),
            node,
            sick: false,
            hung: false,
            deaf: false,
            mute: false,
            held_report: None,
            leaves_at: None,
            changed: true,
            in_flight: None,
            held: Vec::new(),
            slow: 1.0,
            gang_wait_s: 30.0,
            images: BTreeSet::new(),
        }
    }

    /// A report as of now.
    pub fn report(&mut self, now: f64) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: self.name.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.session,
            sequence: self.seq,
            token: self.token,
            termination_notice_s: self.leaves_at.map(|at| (at - now).max(0.0)),
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
    pub fn answered(
        &mut self,
        now: f64,
        session: u64,
        sent_at: f64,
        answer: &HeartbeatResponse,
        find: &dyn Fn(&TaskId) -> Option<JobSpec>,
    ) -> Vec<Happened> {
        if session != self.session || answer.token < self.token {
            return Vec::new();
        }
        if answer.token > self.token {
            self.token = answer.token;
            self.changed = true;
        }
        self.lease_from = self.lease_from.max(sent_at);
        self.carry_out(now, &answer.commands, find)
    }

    /// Carries out direct commands; tells whether it did.
    pub fn direct(
        &mut self,
        now: f64,
        direct: &DirectCommands,
        find: &dyn Fn(&TaskId) -> Option<JobSpec>,
    ) -> (bool, Vec<Happened>) {
        if direct.token < self.token || direct.incarnation != self.session {
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
    ) -> Vec<Happened> {
        if commands.is_empty() {
            return Vec::new();
        }
        let mut lookup = Lookup::of(&self.tasks);
        let mut happened = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    happened.extend(self.start(now, task, *attempt, find, &mut lookup));
                }
                Command::Stop { task, attempt, grace_s } => {
                    for at in lookup.of_attempt(&self.tasks, task, *attempt) {
                        let ended = self.stop(now, at, *grace_s);
                        lookup.free =
                            lookup.free.filter(|_| self.tasks[at].state != TaskState::Exited);
                        happened.extend(ended);
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
        happened
    }

    /// Starts a task; returns that it was refused, if that was for want of room.
    fn start(
        &mut self,
        now: f64,
        task: &TaskId,
        attempt: u64,
        find: &dyn Fn(&TaskId) -> Option<JobSpec>,
        lookup: &mut Lookup,
    ) -> Option<Happened> {
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
            .then(|| Happened::NoRoom(task.clone()));
        let Some(spec) = spec.or_else(|| self.any_spec(lookup)) else { return no_room };
        let (state, until) = if refused.is_some() {
            (TaskState::Exited, f64::MAX)
        } else {
            lookup.free = Some(less(free, &spec));
            let cached = self.images.contains(&spec.image);
            (TaskState::Fetching, now + if cached { 0.0 } else { spec.image_gb })
        };
        lookup.add(task, self.tasks.len());
        self.tasks.push(Task {
            task: task.clone(),
            attempt,
            spec,
            state,
            until,
            cause: refused,
            saved: None,
            told_at: None,
        });
        no_room
    }

    /// Tells a task to stop; returns that it has ended, if it has at once.
    fn stop(&mut self, now: f64, at: usize, grace_s: f64) -> Option<Happened> {
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
            t.told_at = t.told_at.or(Some(now));
        } else if t.told_at.is_some() && grace_s > 0.0 {
            // It is saving already.
        } else if saves {
            t.state = TaskState::Saving;
            t.until = now + t.spec.checkpoint_write_s;
        } else if t.state != TaskState::Saving || grace_s == 0.0 {
            let began = t.state != TaskState::Fetching;
            t.state = TaskState::Exited;
            t.cause = Some(ExitCause::Stopped);
            t.saved = Some(false);
            return began.then(|| Happened::Ended(t.task.clone(), false));
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
            self.held_report = Some((now, self.report(now)));
        }
        self.hung = on;
    }

    /// Lets time pass: tasks go on, the lease runs out.
    pub fn step(&mut self, now: f64) -> Vec<Happened> {
        let mut happened = Vec::new();
        if self.hung {
            return happened;
        }
        if now - self.lease_from > self.lease_s {
            happened.extend(self.kill_all());
            self.session += 1;
            self.seq = 0;
            self.lease_from = now;
            self.in_flight = None;
            self.changed = true;
            return happened;
        }
        for task in self.tasks.iter_mut().filter(|t| t.until <= now) {
            match task.state {
                TaskState::Fetching => {
                    self.images.insert(task.spec.image.clone());
                    if task.spec.kind == JobKind::Gang {
                        task.state = TaskState::Waiting;
                        task.until = now + self.gang_wait_s;
                        happened.push(Happened::Started(task.task.clone()));
                        self.changed = true;
                        continue;
                    }
                    task.state = TaskState::Running;
                    let fails = self.sick || task.spec.class == "faulty";
                    let run = if fails { 0.5 } else { task.spec.estimate_s * self.slow };
                    let service = task.spec.kind == JobKind::Service && !fails;
                    task.until = if service { f64::MAX } else { now + run };
                    task.cause = fails.then_some(ExitCause::Error);
                    happened.push(Happened::Started(task.task.clone()));
                }
                TaskState::Running | TaskState::Saving => {
                    let saving = task.state == TaskState::Saving;
                    task.state = TaskState::Exited;
                    let cause = if saving { ExitCause::Stopped } else { ExitCause::Done };
                    task.cause = Some(task.cause.unwrap_or(cause));
                    task.saved = saving.then_some(true);
                    let done = task.cause == Some(ExitCause::Done);
                    happened.push(Happened::Ended(task.task.clone(), done));
                }
                TaskState::Waiting => {
                    task.state = TaskState::Exited;
                    task.cause = Some(ExitCause::GangIncomplete);
                    happened.push(Happened::Ended(task.task.clone(), false));
                }
                _ => continue,
            }
            self.changed = true;
        }
        happened
    }

    /// Comes back from a restart within an instant: the same address, a new session, and
    /// nothing is left of what it knew.
    pub fn reboot(&mut self, now: f64) -> Vec<Happened> {
        let ended = self.kill_all();
        self.session += 1;
        self.seq = 0;
        self.token = 0;
        self.lease_from = now;
        self.in_flight = None;
        self.changed = true;
        self.images.clear();
        ended
    }

    /// Kills and forgets every task.
    pub fn kill_all(&mut self) -> Vec<Happened> {
        let ended = self
            .tasks
            .iter()
            .filter(|t| {
                matches!(t.state, TaskState::Waiting | TaskState::Running | TaskState::Saving)
            })
            .map(|t| Happened::Ended(t.task.clone(), false))
            .collect();
        self.tasks.clear();
        ended
    }
}
