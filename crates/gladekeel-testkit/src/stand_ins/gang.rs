//! GangRuntime, seen across machines: what the tasks of a job and attempt do together.
//!
//! A worker alone brings a task of a gang up to `waiting` and takes its commands. What
//! depends on the other tasks is worked out here, step by step, from the tasks as they
//! are on the machines; nothing is kept that a machine would have to report first.

use crate::stand_ins::worker::{FAILS_AFTER_S, FakeTask, FakeWorker, WorkerEvent};
use gladekeel_wire::{
    JobId,
    job::{JobKind, JobSpec},
    worker::{ExitCause, TaskState},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// What the attempts of a gang have achieved so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GangRecord {
    /// Numbers of the attempts that were on machines.
    pub attempts: BTreeSet<u64>,
    /// How often all its tasks began to run.
    pub runs: u32,
    /// How often an orderly stop saved its progress.
    pub stop_checkpoints: u32,
    /// Saved progress, from which the next attempt continues, in seconds.
    pub checkpointed_s: f64,
    /// Progress that was lost, in seconds.
    pub lost_progress_s: f64,
    /// Whether it has completed.
    pub done: bool,
}

/// An attempt whose tasks have begun to run.
#[derive(Debug, Clone)]
struct GangRun {
    /// Up to when its progress is counted.
    counted_until: f64,
    /// Progress of the job.
    progress_s: f64,
    /// When the first task was told to stop.
    stop_requested_at: Option<f64>,
    /// A task has exited with the progress saved.
    saved: bool,
    /// When it lost a task.
    failed_at: Option<f64>,
}

/// All gangs of a simulation.
#[derive(Debug)]
pub struct GangRuntime {
    /// Within this time the tasks of a gang notice what befell another one.
    pub peer_s: f64,
    /// Seeded fault: tasks run without waiting for the others.
    pub run_partial_gangs: bool,
    runs: BTreeMap<(JobId, u64), GangRun>,
    jobs: BTreeMap<JobId, GangRecord>,
}

/// When the first task notices a failure, as a share of the time that it may take.
const EARLIEST_NOTICE: f64 = 0.25;
/// By which share of that time the last task notices it later.
const NOTICE_SPREAD: f64 = 0.7;

/// Progress that sums of small steps may fall short of the whole by.
const ROUNDING_S: f64 = 1e-6;

/// Where a task of a gang is.
#[derive(Debug, Clone)]
struct GangMember {
    /// The task's index in its job.
    index: u32,
    /// Its machine.
    machine: Rc<str>,
    /// Its position in the machine's list.
    position: usize,
}

impl GangMember {
    fn worker<'a>(&self, workers: &'a BTreeMap<String, FakeWorker>) -> &'a FakeWorker {
        &workers[&*self.machine]
    }

    fn task<'a>(&self, workers: &'a BTreeMap<String, FakeWorker>) -> &'a FakeTask {
        &self.worker(workers).tasks[self.position]
    }
}

/// Whether a task waits for its gang or runs with it.
fn takes_part(task: &FakeTask) -> bool {
    matches!(task.state, TaskState::Waiting | TaskState::Running)
}

fn is_same_attempt(a: &FakeTask, b: &FakeTask) -> bool {
    a.attempt == b.attempt && a.task.job == b.task.job
}

impl GangRuntime {
    /// No gangs yet.
    pub fn new(peer_s: f64) -> GangRuntime {
        GangRuntime {
            peer_s,
            run_partial_gangs: false,
            runs: BTreeMap::new(),
            jobs: BTreeMap::new(),
        }
    }

    /// What a job has achieved so far.
    pub fn record(&self, job: &JobId) -> GangRecord {
        self.jobs.get(job).cloned().unwrap_or_default()
    }

    /// Advances all gangs to the present. Returns the events by the name of their machine.
    pub fn step(
        &mut self,
        now: f64,
        workers: &mut BTreeMap<String, FakeWorker>,
    ) -> Vec<(String, WorkerEvent)> {
        let mut members = self.find_members(workers);
        let mut events = Vec::new();
        let keys: BTreeSet<_> = members.keys().chain(self.runs.keys()).cloned().collect();
        for key in keys {
            let here = members.remove(&key).unwrap_or_default();
            let (waiting, running): (Vec<GangMember>, Vec<GangMember>) =
                here.into_iter().partition(|m| m.task(workers).state == TaskState::Waiting);
            if self.runs.contains_key(&key) {
                self.advance(now, &key, &running, workers, &mut events);
            }
            if !self.runs.contains_key(&key) || self.run_partial_gangs {
                self.start_if_complete(now, &key, &waiting, workers, &mut events);
            }
        }
        events
    }

    /// The tasks on the machines that wait for their gang or run with it, by attempt.
    fn find_members(
        &mut self,
        workers: &BTreeMap<String, FakeWorker>,
    ) -> BTreeMap<(JobId, u64), Vec<GangMember>> {
        let mut members: BTreeMap<(JobId, u64), Vec<GangMember>> = BTreeMap::new();
        for (name, worker) in workers {
            let name: Rc<str> = name.as_str().into();
            let tasks = worker.tasks.iter().enumerate();
            let tasks: Vec<_> = tasks.filter(|(_, task)| task.spec.kind == JobKind::Gang).collect();
            // Tasks of an attempt mostly follow one another: a run of them is added at once.
            for attempt in tasks.chunk_by(|(_, a), (_, b)| is_same_attempt(a, b)) {
                let Some((_, first)) = attempt.first() else { continue };
                let job = self.jobs.entry(first.task.job.clone()).or_default();
                job.attempts.insert(first.attempt);
                let found = attempt.iter().filter(|(_, task)| takes_part(task));
                let mut found = found
                    .map(|(position, task)| GangMember {
                        index: task.task.index,
                        machine: name.clone(),
                        position: *position,
                    })
                    .peekable();
                if found.peek().is_some() {
                    let key = (first.task.job.clone(), first.attempt);
                    members.entry(key).or_default().extend(found);
                }
            }
        }
        members
    }

    /// Starts an attempt once all of its tasks wait.
    fn start_if_complete(
        &mut self,
        now: f64,
        key: &(JobId, u64),
        waiting: &[GangMember],
        workers: &mut BTreeMap<String, FakeWorker>,
        events: &mut Vec<(String, WorkerEvent)>,
    ) {
        let responsive: Vec<&GangMember> =
            waiting.iter().filter(|member| !member.worker(workers).hung).collect();
        let Some(first) = responsive.first() else { return };
        let spec = first.task(workers).spec.clone();
        let job = self.jobs.entry(key.0.clone()).or_default();
        if job.done {
            // The result is kept: whoever comes later has nothing left to do.
            for member in responsive {
                exit(workers, member, ExitCause::Done, None, events);
            }
            return;
        }
        let indices: BTreeSet<u32> = responsive.iter().map(|member| member.index).collect();
        if indices.len() < spec.tasks as usize && !self.run_partial_gangs {
            return;
        }
        job.runs += 1;
        let progress_s = job.checkpointed_s;
        for member in responsive {
            let Some(worker) = workers.get_mut(&*member.machine) else { continue };
            let fails = worker.fails_tasks || spec.class == "faulty";
            worker.changed = true;
            let task = &mut worker.tasks[member.position];
            task.state = TaskState::Running;
            task.state_ends_at = if fails { now + FAILS_AFTER_S } else { f64::MAX };
            task.cause = fails.then_some(ExitCause::Error);
            let what =
                WorkerEvent::GangTaskRunning { task: task.task.clone(), attempt: task.attempt };
            events.push((member.machine.to_string(), what));
        }
        let run = GangRun {
            counted_until: now,
            progress_s,
            stop_requested_at: None,
            saved: false,
            failed_at: None,
        };
        self.runs.insert(key.clone(), run);
    }

    /// Advances an attempt that runs: it makes progress, stops, completes or fails.
    fn advance(
        &mut self,
        now: f64,
        key: &(JobId, u64),
        running: &[GangMember],
        workers: &mut BTreeMap<String, FakeWorker>,
        events: &mut Vec<(String, WorkerEvent)>,
    ) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let job = self.jobs.entry(key.0.clone()).or_default();
        let Some(first) = running.first() else {
            // Its last task is gone; what it had not kept is lost.
            if let Some(run) = self.runs.remove(key)
                && !run.saved
                && run.failed_at.is_none()
            {
                job.lost_progress_s += run.progress_s - job.checkpointed_s;
            }
            return;
        };
        let spec = first.task(workers).spec.clone();
        let stop_requests =
            running.iter().filter_map(|member| member.task(workers).stop_requested_at);
        let first_stop_request = stop_requests.min_by(f64::total_cmp);
        run.stop_requested_at = run.stop_requested_at.or(first_stop_request);
        if run.failed_at.is_none() && !run.saved {
            run.make_progress(now, job, &spec, running, workers);
        }
        if let Some(failed_at) = run.failed_at {
            exit_after_failure(now, failed_at, self.peer_s, running, workers, events);
        } else if let Some(stop_requested_at) = run.stop_requested_at {
            let save_deadline = stop_requested_at + self.peer_s;
            run.stop_in_order(now, save_deadline, job, running, workers, events);
        } else if run.progress_s >= spec.estimate_s - ROUNDING_S {
            job.done = true;
            self.runs.remove(key);
            for member in running {
                exit(workers, member, ExitCause::Done, None, events);
            }
        }
    }
}

impl GangRun {
    /// Adds the progress since the last step. It ends with the first halt; what was made
    /// until a task went is counted up to the last step that saw all of them.
    fn make_progress(
        &mut self,
        now: f64,
        job: &mut GangRecord,
        spec: &JobSpec,
        running: &[GangMember],
        workers: &BTreeMap<String, FakeWorker>,
    ) {
        let hung = running.iter().any(|member| member.worker(workers).hung);
        let whole = running.len() == spec.tasks as usize && !hung;
        let until = self.stop_requested_at.map_or(now, |stopped_at| stopped_at.min(now));
        if whole && until > self.counted_until {
            let slowest = running.iter().map(|member| member.worker(workers).slowdown);
            self.progress_s += (until - self.counted_until) / slowest.fold(1.0, f64::max);
        }
        self.counted_until = now;
        keep_checkpoints(job, spec, self.progress_s);
        if !whole {
            self.fail(now, job);
        }
    }

    /// The gang falls back to its last checkpoint.
    fn fail(&mut self, now: f64, job: &mut GangRecord) {
        self.failed_at = Some(now);
        job.lost_progress_s += self.progress_s - job.checkpointed_s;
    }

    /// Lets an attempt whose first task was told to stop save and exit; the save fails if a task
    /// is not told by `save_deadline`.
    fn stop_in_order(
        &mut self,
        now: f64,
        save_deadline: f64,
        job: &mut GangRecord,
        running: &[GangMember],
        workers: &mut BTreeMap<String, FakeWorker>,
        events: &mut Vec<(String, WorkerEvent)>,
    ) {
        let stop_requested = |member: &GangMember| member.task(workers).stop_requested_at.is_some();
        let has_saved = |member: &GangMember| {
            let task = member.task(workers);
            task.stop_requested_at.is_some_and(|stop_requested_at| {
                stop_requested_at + task.spec.checkpoint_write_s <= now
            })
        };
        let all_requested = self.saved || running.iter().all(stop_requested);
        let all_saved = all_requested && running.iter().all(has_saved);
        let mut leave = Vec::new();
        for member in running.iter().filter(|member| !member.worker(workers).hung) {
            if all_requested {
                if has_saved(member) && (all_saved || self.saved || now >= save_deadline) {
                    leave.push((member, ExitCause::Stopped, Some(true)));
                }
            } else if now >= save_deadline && stop_requested(member) {
                leave.push((member, ExitCause::Stopped, Some(false)));
            } else if now >= save_deadline {
                leave.push((member, ExitCause::GangMemberLost, None));
            }
        }
        if !all_requested && now >= save_deadline {
            self.fail(now, job);
        } else if !leave.is_empty() && !self.saved {
            self.saved = true;
            job.stop_checkpoints += 1;
            job.checkpointed_s = self.progress_s;
        }
        for (member, cause, saved) in leave {
            exit(workers, member, cause, saved, events);
        }
    }
}

/// Ends the tasks of an attempt that has lost one: some notice early, some as late as they may.
fn exit_after_failure(
    now: f64,
    failed_at: f64,
    peer_s: f64,
    running: &[GangMember],
    workers: &mut BTreeMap<String, FakeWorker>,
    events: &mut Vec<(String, WorkerEvent)>,
) {
    for member in running {
        let tasks = member.task(workers).spec.tasks;
        let rank = f64::from(member.index + 1) / f64::from(tasks);
        let notices_at = failed_at + peer_s * (EARLIEST_NOTICE + NOTICE_SPREAD * rank);
        if now >= notices_at && !member.worker(workers).hung {
            exit(workers, member, ExitCause::GangMemberLost, None, events);
        }
    }
}

/// Checkpoints lie at multiples of the job's progress, whichever attempt made it.
fn keep_checkpoints(job: &mut GangRecord, spec: &JobSpec, progress_s: f64) {
    if spec.checkpoint_interval_s > 0.0 {
        let reached = ((progress_s + ROUNDING_S) / spec.checkpoint_interval_s).floor()
            * spec.checkpoint_interval_s;
        job.checkpointed_s = job.checkpointed_s.max(reached);
    }
}

/// Ends a task on its machine.
fn exit(
    workers: &mut BTreeMap<String, FakeWorker>,
    member: &GangMember,
    cause: ExitCause,
    saved: Option<bool>,
    events: &mut Vec<(String, WorkerEvent)>,
) {
    let Some(worker) = workers.get_mut(&*member.machine) else { return };
    worker.changed = true;
    let task = &mut worker.tasks[member.position];
    task.state_ends_at = f64::MAX;
    let ended = task.exit(cause, saved);
    events.push((member.machine.to_string(), ended));
}
