//! GangRuntime, seen across machines: what the tasks of a job and attempt do together.
//!
//! A worker alone brings a task of a gang up to `waiting` and takes its commands. What
//! depends on the other tasks is worked out here, step by step, from the tasks as they
//! are on the machines; nothing is kept that a machine would have to report first.

use crate::stand_ins::worker::{FakeTask, FakeWorker, WorkerEvent};
use gladekeel_wire::{
    JobId,
    job::{JobKind, JobSpec},
    worker::{ExitCause, TaskState},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// What became of a job's attempts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Record {
    /// Attempt numbers seen on machines.
    pub attempts: BTreeSet<u64>,
    /// How often all its tasks began to run.
    pub runs: u32,
    /// How often an orderly stop kept its progress.
    pub saves: u32,
    /// Progress from which the next attempt continues, in seconds.
    pub kept_s: f64,
    /// Progress that was made and lost, in seconds.
    pub lost_s: f64,
    /// Whether it has completed.
    pub done: bool,
}

/// A gang whose tasks have begun to run.
#[derive(Debug, Clone)]
struct Run {
    /// Up to when its progress is counted.
    at: f64,
    /// Progress of the job.
    progress_s: f64,
    /// When the first task was told to stop.
    halted_at: Option<f64>,
    /// Its progress is safe: a task has exited with it saved.
    safe: bool,
    /// When it fell apart.
    broken_at: Option<f64>,
}

/// Every gang of the world.
#[derive(Debug)]
pub struct GangRuntime {
    /// Within this time the tasks of a gang notice what befell another one.
    pub peer_s: f64,
    /// Tasks run without waiting for the others: a fault for the checker to find.
    pub alone: bool,
    runs: BTreeMap<(JobId, u64), Run>,
    jobs: BTreeMap<JobId, Record>,
}

/// Progress that sums of small steps may fall short of the whole by.
const ROUNDING_S: f64 = 1e-6;

/// A task of a gang, by where it is.
#[derive(Debug, Clone)]
struct Member {
    /// The task's index in its job.
    index: u32,
    /// Its machine.
    machine: Rc<str>,
    /// Its position in the machine's list.
    position: usize,
}

impl Member {
    fn worker<'a>(&self, workers: &'a BTreeMap<String, FakeWorker>) -> &'a FakeWorker {
        &workers[&*self.machine]
    }

    fn task<'a>(&self, workers: &'a BTreeMap<String, FakeWorker>) -> &'a FakeTask {
        &self.worker(workers).tasks[self.position]
    }
}

/// Whether a task takes part in its gang as far as it can tell.
fn present(task: &FakeTask) -> bool {
    matches!(task.state, TaskState::Waiting | TaskState::Running)
}

impl GangRuntime {
    /// No gangs yet.
    pub fn new(peer_s: f64) -> GangRuntime {
        GangRuntime { peer_s, alone: false, runs: BTreeMap::new(), jobs: BTreeMap::new() }
    }

    /// What became of a job.
    pub fn record(&self, job: &JobId) -> Record {
        self.jobs.get(job).cloned().unwrap_or_default()
    }

    /// Lets the gangs go on until now. Returns what events on which machine.
    pub fn step(
        &mut self,
        now: f64,
        workers: &mut BTreeMap<String, FakeWorker>,
    ) -> Vec<(String, WorkerEvent)> {
        let mut members: BTreeMap<(JobId, u64), Vec<Member>> = BTreeMap::new();
        for (name, worker) in workers.iter() {
            let name: Rc<str> = name.as_str().into();
            let gangs = worker.tasks.iter().enumerate();
            let gangs: Vec<_> = gangs.filter(|(_, task)| task.spec.kind == JobKind::Gang).collect();
            // Tasks of an attempt mostly lie together: they are noted together.
            let same =
                |a: &FakeTask, b: &FakeTask| a.attempt == b.attempt && a.task.job == b.task.job;
            for attempt in gangs.chunk_by(|(_, a), (_, b)| same(a, b)) {
                let Some((_, first)) = attempt.first() else { continue };
                let job = self.jobs.entry(first.task.job.clone()).or_default();
                job.attempts.insert(first.attempt);
                let present = attempt.iter().filter(|(_, task)| present(task));
                let here = present.map(|(position, task)| Member {
                    index: task.task.index,
                    machine: name.clone(),
                    position: *position,
                });
                let mut here = here.peekable();
                if here.peek().is_some() {
                    let key = (first.task.job.clone(), first.attempt);
                    members.entry(key).or_default().extend(here);
                }
            }
        }
        let mut events = Vec::new();
        let keys: BTreeSet<_> = members.keys().chain(self.runs.keys()).cloned().collect();
        for key in keys {
            let here = members.remove(&key).unwrap_or_default();
            let (waiting, running): (Vec<Member>, Vec<Member>) =
                here.into_iter().partition(|m| m.task(workers).state == TaskState::Waiting);
            if self.runs.contains_key(&key) {
                self.go_on(now, &key, &running, workers, &mut events);
            }
            if !self.runs.contains_key(&key) || self.alone {
                self.gather(now, &key, &waiting, workers, &mut events);
            }
        }
        events
    }

    /// Starts a gang whose tasks all wait.
    fn gather(
        &mut self,
        now: f64,
        key: &(JobId, u64),
        waiting: &[Member],
        workers: &mut BTreeMap<String, FakeWorker>,
        events: &mut Vec<(String, WorkerEvent)>,
    ) {
        let awake: Vec<&Member> =
            waiting.iter().filter(|member| !member.worker(workers).hung).collect();
        let Some(first) = awake.first() else { return };
        let spec = first.task(workers).spec.clone();
        let job = self.jobs.entry(key.0.clone()).or_default();
        if job.done {
            // The result is kept: whoever comes later has nothing left to do.
            for member in awake {
                exit(workers, member, ExitCause::Done, None, events);
            }
            return;
        }
        let indices: BTreeSet<u32> = awake.iter().map(|member| member.index).collect();
        if indices.len() < spec.tasks as usize && !self.alone {
            return;
        }
        job.runs += 1;
        let progress_s = job.kept_s;
        for member in awake {
            let Some(worker) = workers.get_mut(&*member.machine) else { continue };
            let fails = worker.fails_tasks || spec.class == "faulty";
            worker.changed = true;
            let task = &mut worker.tasks[member.position];
            task.state = TaskState::Running;
            task.state_ends_at = if fails { now + 0.5 } else { f64::MAX };
            task.cause = fails.then_some(ExitCause::Error);
            let what =
                WorkerEvent::GangTaskRunning { task: task.task.clone(), attempt: task.attempt };
            events.push((member.machine.to_string(), what));
        }
        let run = Run { at: now, progress_s, halted_at: None, safe: false, broken_at: None };
        self.runs.insert(key.clone(), run);
    }

    /// Lets a gang that has started go on, stop or fall apart.
    fn go_on(
        &mut self,
        now: f64,
        key: &(JobId, u64),
        running: &[Member],
        workers: &mut BTreeMap<String, FakeWorker>,
        events: &mut Vec<(String, WorkerEvent)>,
    ) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let job = self.jobs.entry(key.0.clone()).or_default();
        let Some(first) = running.first() else {
            // Its last task is gone; what it had not kept is lost.
            if let Some(run) = self.runs.remove(key)
                && !run.safe
                && run.broken_at.is_none()
            {
                job.lost_s += run.progress_s - job.kept_s;
            }
            return;
        };
        let spec = first.task(workers).spec.clone();
        let halts = running.iter().filter_map(|member| member.task(workers).stop_requested_at);
        let first_halt = halts.min_by(f64::total_cmp);
        run.halted_at = run.halted_at.or(first_halt);
        if run.broken_at.is_none() && !run.safe {
            run.make_progress(now, job, &spec, running, workers);
        }
        if let Some(broken_at) = run.broken_at {
            fall_apart(now, broken_at, self.peer_s, running, workers, events);
        } else if let Some(halted_at) = run.halted_at {
            let late_at = halted_at + self.peer_s;
            run.stop_in_order(now, late_at, job, running, workers, events);
        } else if run.progress_s >= spec.estimate_s - ROUNDING_S {
            job.done = true;
            self.runs.remove(key);
            for member in running {
                exit(workers, member, ExitCause::Done, None, events);
            }
        }
    }
}

impl Run {
    /// Adds the progress since the last step. It ends with the first halt; what was made
    /// until a task went is counted up to the last step that saw all of them.
    fn make_progress(
        &mut self,
        now: f64,
        job: &mut Record,
        spec: &JobSpec,
        running: &[Member],
        workers: &BTreeMap<String, FakeWorker>,
    ) {
        let hung = running.iter().any(|member| member.worker(workers).hung);
        let whole = running.len() == spec.tasks as usize && !hung;
        let until = self.halted_at.map_or(now, |halted| halted.min(now));
        if whole && until > self.at {
            let slowest = running.iter().map(|member| member.worker(workers).slowdown);
            self.progress_s += (until - self.at) / slowest.fold(1.0, f64::max);
        }
        self.at = now;
        keep_checkpoints(job, spec, self.progress_s);
        if !whole {
            self.fail(now, job);
        }
    }

    /// The gang falls back to its last checkpoint.
    fn fail(&mut self, now: f64, job: &mut Record) {
        self.broken_at = Some(now);
        job.lost_s += self.progress_s - job.kept_s;
    }

    /// Lets a gang whose first task was told to stop save and exit; tasks that are not told
    /// until `late_at` make the save fail.
    fn stop_in_order(
        &mut self,
        now: f64,
        late_at: f64,
        job: &mut Record,
        running: &[Member],
        workers: &mut BTreeMap<String, FakeWorker>,
        events: &mut Vec<(String, WorkerEvent)>,
    ) {
        let stop_requested = |member: &Member| member.task(workers).stop_requested_at.is_some();
        let has_saved = |member: &Member| {
            let task = member.task(workers);
            task.stop_requested_at.is_some_and(|stop_requested_at| {
                stop_requested_at + task.spec.checkpoint_write_s <= now
            })
        };
        let all_requested = self.safe || running.iter().all(stop_requested);
        let all_saved = all_requested && running.iter().all(has_saved);
        let mut leave = Vec::new();
        for member in running.iter().filter(|member| !member.worker(workers).hung) {
            if all_requested {
                if has_saved(member) && (all_saved || self.safe || now >= late_at) {
                    leave.push((member, ExitCause::Stopped, Some(true)));
                }
            } else if now >= late_at && stop_requested(member) {
                leave.push((member, ExitCause::Stopped, Some(false)));
            } else if now >= late_at {
                leave.push((member, ExitCause::GangMemberLost, None));
            }
        }
        if !all_requested && now >= late_at {
            self.fail(now, job);
        } else if !leave.is_empty() && !self.safe {
            self.safe = true;
            job.saves += 1;
            job.kept_s = self.progress_s;
        }
        for (member, cause, saved) in leave {
            exit(workers, member, cause, saved, events);
        }
    }
}

/// Ends the tasks of a gang that has lost one: some notice early, some as late as they may.
fn fall_apart(
    now: f64,
    broken_at: f64,
    peer_s: f64,
    running: &[Member],
    workers: &mut BTreeMap<String, FakeWorker>,
    events: &mut Vec<(String, WorkerEvent)>,
) {
    for member in running {
        let tasks = member.task(workers).spec.tasks;
        let part = f64::from(member.index + 1) / f64::from(tasks);
        let notices_at = broken_at + peer_s * (0.25 + 0.7 * part);
        if now >= notices_at && !member.worker(workers).hung {
            exit(workers, member, ExitCause::GangMemberLost, None, events);
        }
    }
}

/// Checkpoints lie at multiples of the job's progress, whichever attempt made it.
fn keep_checkpoints(job: &mut Record, spec: &JobSpec, progress_s: f64) {
    if spec.checkpoint_interval_s > 0.0 {
        let reached = ((progress_s + ROUNDING_S) / spec.checkpoint_interval_s).floor()
            * spec.checkpoint_interval_s;
        job.kept_s = job.kept_s.max(reached);
    }
}

/// Ends a task on its machine.
fn exit(
    workers: &mut BTreeMap<String, FakeWorker>,
    member: &Member,
    cause: ExitCause,
    saved: Option<bool>,
    events: &mut Vec<(String, WorkerEvent)>,
) {
    let Some(worker) = workers.get_mut(&*member.machine) else { return };
    worker.changed = true;
    let task = &mut worker.tasks[member.position];
    task.state = TaskState::Exited;
    task.state_ends_at = f64::MAX;
    task.cause = Some(cause);
    task.saved = saved;
    let ended =
        WorkerEvent::TaskEnded { task: task.task.clone(), completed: cause == ExitCause::Done };
    events.push((member.machine.to_string(), ended));
}
