//! Gangs, seen across machines: what the tasks of a job and attempt do together.
//!
//! A worker alone brings a task of a gang up to `waiting` and takes its commands. What
//! depends on the other tasks is worked out here, step by step, from the tasks as they
//! are on the machines; nothing is kept that a machine would have to report first.

use crate::worker::{Happened, Task, Worker};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, Kind},
    worker::{Cause, TaskState},
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
pub struct Gangs {
    /// Within this time the tasks of a gang notice what befell another one.
    pub peer_s: f64,
    /// Tasks run without waiting for the others: a fault for the checker to find.
    pub alone: bool,
    runs: BTreeMap<(JobId, u64), Run>,
    jobs: BTreeMap<JobId, Record>,
}

/// Where a task is: its index, its machine, its place in the machine's list.
type Seat = (u32, Rc<str>, usize);

/// Whether a task takes part in its gang as far as it can tell.
fn present(task: &Task) -> bool {
    matches!(task.state, TaskState::Waiting | TaskState::Running)
}

impl Gangs {
    /// No gangs yet.
    pub fn new(peer_s: f64) -> Gangs {
        Gangs { peer_s, alone: false, runs: BTreeMap::new(), jobs: BTreeMap::new() }
    }

    /// What became of a job.
    pub fn record(&self, job: &JobId) -> Record {
        self.jobs.get(job).cloned().unwrap_or_default()
    }

    /// Lets the gangs go on until now. Returns what happened on which machine.
    pub fn step(
        &mut self,
        now: f64,
        workers: &mut BTreeMap<String, Worker>,
    ) -> Vec<(String, Happened)> {
        let mut seats: BTreeMap<(JobId, u64), Vec<Seat>> = BTreeMap::new();
        for (name, worker) in workers.iter() {
            let name: Rc<str> = name.as_str().into();
            let gangs = worker.tasks.iter().enumerate();
            let gangs: Vec<_> = gangs.filter(|(_, task)| task.spec.kind == Kind::Gang).collect();
            // Tasks of an attempt mostly lie together: they are noted together.
            let same = |a: &Task, b: &Task| a.attempt == b.attempt && a.task.job == b.task.job;
            for attempt in gangs.chunk_by(|(_, a), (_, b)| same(a, b)) {
                let Some((_, first)) = attempt.first() else { continue };
                let job = self.jobs.entry(first.task.job.clone()).or_default();
                job.attempts.insert(first.attempt);
                let present = attempt.iter().filter(|(_, task)| present(task));
                let here = present.map(|(at, task)| (task.task.index, name.clone(), *at));
                let mut here = here.peekable();
                if here.peek().is_some() {
                    let key = (first.task.job.clone(), first.attempt);
                    seats.entry(key).or_default().extend(here);
                }
            }
        }
        let mut happened = Vec::new();
        let keys: BTreeSet<_> = seats.keys().chain(self.runs.keys()).cloned().collect();
        for key in keys {
            let here = seats.remove(&key).unwrap_or_default();
            let (waiting, running): (Vec<Seat>, Vec<Seat>) = here
                .into_iter()
                .partition(|(_, name, at)| workers[&**name].tasks[*at].state == TaskState::Waiting);
            if self.runs.contains_key(&key) {
                self.go_on(now, &key, &running, workers, &mut happened);
            }
            if !self.runs.contains_key(&key) || self.alone {
                self.gather(now, &key, &waiting, workers, &mut happened);
            }
        }
        happened
    }

    /// Starts a gang whose tasks all wait.
    fn gather(
        &mut self,
        now: f64,
        key: &(JobId, u64),
        waiting: &[Seat],
        workers: &mut BTreeMap<String, Worker>,
        happened: &mut Vec<(String, Happened)>,
    ) {
        let awake: Vec<&Seat> =
            waiting.iter().filter(|(_, name, _)| !workers[&**name].hung).collect();
        let Some((_, name, at)) = awake.first() else { return };
        let spec = workers[&**name].tasks[*at].spec.clone();
        let job = self.jobs.entry(key.0.clone()).or_default();
        if job.done {
            // The result is kept: whoever comes later has nothing left to do.
            for (_, name, at) in awake {
                exit(workers, name, *at, Cause::Done, None, happened);
            }
            return;
        }
        let indices: BTreeSet<u32> = awake.iter().map(|(index, ..)| *index).collect();
        if indices.len() < spec.tasks as usize && !self.alone {
            return;
        }
        job.runs += 1;
        let progress_s = job.kept_s;
        for (_, name, at) in awake {
            let Some(worker) = workers.get_mut(&**name) else { continue };
            let fails = worker.sick || spec.class == "faulty";
            worker.changed = true;
            let task = &mut worker.tasks[*at];
            task.state = TaskState::Running;
            task.until = if fails { now + 0.5 } else { f64::MAX };
            task.cause = fails.then_some(Cause::Error);
            let what = Happened::Runs(task.task.clone(), task.attempt);
            happened.push((name.to_string(), what));
        }
        let run = Run { at: now, progress_s, halted_at: None, safe: false, broken_at: None };
        self.runs.insert(key.clone(), run);
    }

    /// Lets a gang that has started go on, stop or fall apart.
    fn go_on(
        &mut self,
        now: f64,
        key: &(JobId, u64),
        running: &[Seat],
        workers: &mut BTreeMap<String, Worker>,
        happened: &mut Vec<(String, Happened)>,
    ) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let job = self.jobs.entry(key.0.clone()).or_default();
        let Some((_, name, at)) = running.first() else {
            // Its last task is gone; what it had not kept is lost.
            if let Some(run) = self.runs.remove(key)
                && !run.safe
                && run.broken_at.is_none()
            {
                job.lost_s += run.progress_s - job.kept_s;
            }
            return;
        };
        let spec = workers[&**name].tasks[*at].spec.clone();
        let told = |(_, name, at): &Seat| workers[&**name].tasks[*at].told_at;
        let first = running.iter().filter_map(told).min_by(f64::total_cmp);
        run.halted_at = run.halted_at.or(first);
        let hung = running.iter().any(|(_, name, _)| workers[&**name].hung);
        let whole = running.len() == spec.tasks as usize && !hung;

        if run.broken_at.is_none() && !run.safe {
            // Progress ends with the first halt. What was made until a task went is
            // counted up to the last step that saw all of them.
            let until = run.halted_at.map_or(now, |halted| halted.min(now));
            if whole && until > run.at {
                let slowest = running.iter().map(|(_, name, _)| workers[&**name].slow);
                run.progress_s += (until - run.at) / slowest.fold(1.0, f64::max);
            }
            run.at = now;
            keep_checkpoints(job, &spec, run.progress_s);
            if !whole {
                run.broken_at = Some(now);
                job.lost_s += run.progress_s - job.kept_s;
            }
        }
        if let Some(broken_at) = run.broken_at {
            // Some notice early, some as late as they may.
            for (index, name, at) in running {
                let part = f64::from(*index + 1) / f64::from(spec.tasks);
                let notices_at = broken_at + self.peer_s * (0.25 + 0.7 * part);
                if now >= notices_at && !workers[&**name].hung {
                    exit(workers, name, *at, Cause::PeersGone, None, happened);
                }
            }
            return;
        }
        if let Some(halted_at) = run.halted_at {
            let late_at = halted_at + self.peer_s;
            let all_told = run.safe || running.iter().all(|seat| told(seat).is_some());
            let saved_at = |seat: &Seat| told(seat).map(|told| told + spec.save_s);
            let all_saved =
                all_told && running.iter().all(|s| saved_at(s).is_some_and(|t| t <= now));
            let mut leave = Vec::new();
            for seat in running.iter().filter(|(_, name, _)| !workers[&**name].hung) {
                let saved = saved_at(seat).is_some_and(|saved| saved <= now);
                if all_told {
                    if saved && (all_saved || run.safe || now >= late_at) {
                        leave.push((seat, Cause::Stopped, Some(true)));
                    }
                } else if now >= late_at {
                    let cause =
                        if told(seat).is_some() { Cause::Stopped } else { Cause::PeersGone };
                    leave.push((seat, cause, told(seat).map(|_| false)));
                }
            }
            if !all_told && now >= late_at {
                run.broken_at = Some(now);
                job.lost_s += run.progress_s - job.kept_s;
            } else if !leave.is_empty() && !run.safe {
                run.safe = true;
                job.saves += 1;
                job.kept_s = run.progress_s;
            }
            for ((_, name, at), cause, saved) in leave {
                exit(workers, name, *at, cause, saved, happened);
            }
            return;
        }
        // Sums of small steps fall short of the whole by rounding.
        if run.progress_s >= spec.estimate_s - 1e-6 {
            job.done = true;
            self.runs.remove(key);
            for (_, name, at) in running {
                exit(workers, name, *at, Cause::Done, None, happened);
            }
        }
    }
}

/// Checkpoints lie at multiples of the job's progress, whichever attempt made it.
fn keep_checkpoints(job: &mut Record, spec: &JobSpec, progress_s: f64) {
    if spec.checkpoint_s > 0.0 {
        let reached = ((progress_s + 1e-6) / spec.checkpoint_s).floor() * spec.checkpoint_s;
        job.kept_s = job.kept_s.max(reached);
    }
}

/// Ends a task on its machine.
fn exit(
    workers: &mut BTreeMap<String, Worker>,
    name: &str,
    at: usize,
    cause: Cause,
    saved: Option<bool>,
    happened: &mut Vec<(String, Happened)>,
) {
    let Some(worker) = workers.get_mut(name) else { return };
    worker.changed = true;
    let task = &mut worker.tasks[at];
    task.state = TaskState::Exited;
    task.until = f64::MAX;
    task.cause = Some(cause);
    task.saved = saved;
    let ended = Happened::Ended(task.task.clone(), cause == Cause::Done);
    happened.push((name.to_owned(), ended));
}
