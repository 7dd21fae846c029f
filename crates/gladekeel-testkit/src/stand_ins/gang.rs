//! The behaviour of the tasks of a gang, which start, make progress, stop and fail together on
//! several machines.
//!
//! A [`FakeWorker`] alone brings a task of a gang up to the state `waiting` and executes
//! commands for it. [`GangRuntime`] computes, step by step, everything that depends on the other
//! tasks of the attempt. It reads the tasks directly from the workers in every step, so that it
//! does not depend on any message from a machine.

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

/// What all attempts of a gang have achieved so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GangRecord {
    /// Numbers of the attempts that had a task on a machine.
    pub attempts: BTreeSet<u64>,
    /// How often all tasks of the gang began to run.
    pub runs: u32,
    /// How often the gang wrote a checkpoint when it was stopped.
    pub stop_checkpoints: u32,
    /// Progress at the latest checkpoint, from which the next attempt continues, in seconds.
    pub checkpointed_s: f64,
    /// Progress that the gang lost, in seconds.
    pub lost_progress_s: f64,
    /// Whether the gang has completed.
    pub done: bool,
}

/// An attempt whose tasks have begun to run.
#[derive(Debug, Clone)]
struct GangRun {
    /// Time up to which the progress is counted.
    counted_until: f64,
    /// Progress of the job, in seconds.
    progress_s: f64,
    /// When the first task received a stop command; `None` if none has.
    stop_requested_at: Option<f64>,
    /// Whether the attempt wrote a checkpoint on a stop command and a task has exited since.
    saved: bool,
    /// When the attempt lost a task or failed to write its checkpoint on a stop command; `None` if
    /// neither has happened.
    failed_at: Option<f64>,
}

/// All gangs of a simulation.
#[derive(Debug)]
pub struct GangRuntime {
    /// Longest time until a task detects that another task of its gang failed or stopped, in
    /// seconds.
    pub exit_detection_s: f64,
    /// Seeded fault: tasks run without waiting for the other tasks of their gang.
    pub run_partial_gangs: bool,
    /// The attempts whose tasks have begun to run.
    runs: BTreeMap<(JobId, u64), GangRun>,
    jobs: BTreeMap<JobId, GangRecord>,
}

/// Share of `exit_detection_s` that passes after a failure before the first task of the gang
/// detects the failure.
const EARLIEST_DETECTION: f64 = 0.25;
/// Share of `exit_detection_s` over which the tasks of a gang detect a failure, one after another.
const DETECTION_SPREAD: f64 = 0.7;

/// Tolerance for rounding errors of progress, which is a sum of small steps, in seconds.
const ROUNDING_S: f64 = 1e-6;

/// A task of a gang, with its machine and its position in the worker's list of tasks.
#[derive(Debug, Clone)]
struct GangMember {
    /// Index of the task in its job.
    index: u32,
    /// Name of the machine.
    machine: Rc<str>,
    /// Position of the task in the worker's list of tasks.
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
fn is_waiting_or_running(task: &FakeTask) -> bool {
    matches!(task.state, TaskState::Waiting | TaskState::Running)
}

fn is_same_attempt(a: &FakeTask, b: &FakeTask) -> bool {
    a.attempt == b.attempt && a.task.job == b.task.job
}

impl GangRuntime {
    /// Creates a runtime without gangs.
    pub fn new(exit_detection_s: f64) -> GangRuntime {
        GangRuntime {
            exit_detection_s,
            run_partial_gangs: false,
            runs: BTreeMap::new(),
            jobs: BTreeMap::new(),
        }
    }

    /// What all attempts of a gang have achieved so far.
    pub fn record(&self, job: &JobId) -> GangRecord {
        self.jobs.get(job).cloned().unwrap_or_default()
    }

    /// Advances all gangs to the time `now`. Returns the events, each with the name of its
    /// machine.
    pub fn step(
        &mut self,
        now: f64,
        workers: &mut BTreeMap<String, FakeWorker>,
    ) -> Vec<(String, WorkerEvent)> {
        let mut members = self.find_members(workers);
        let mut events = Vec::new();
        let keys: BTreeSet<_> = members.keys().chain(self.runs.keys()).cloned().collect();
        for key in keys {
            let present = members.remove(&key).unwrap_or_default();
            let (waiting, running): (Vec<GangMember>, Vec<GangMember>) =
                present.into_iter().partition(|m| m.task(workers).state == TaskState::Waiting);
            if self.runs.contains_key(&key) {
                self.advance(now, &key, &running, workers, &mut events);
            }
            if !self.runs.contains_key(&key) || self.run_partial_gangs {
                self.start_if_complete(now, &key, &waiting, workers, &mut events);
            }
        }
        events
    }

    /// Finds the tasks that wait for their gang or run with their gang, grouped by attempt. Records
    /// every attempt that has a task on a machine.
    fn find_members(
        &mut self,
        workers: &BTreeMap<String, FakeWorker>,
    ) -> BTreeMap<(JobId, u64), Vec<GangMember>> {
        let mut members: BTreeMap<(JobId, u64), Vec<GangMember>> = BTreeMap::new();
        for (name, worker) in workers {
            let name: Rc<str> = name.as_str().into();
            let tasks = worker.tasks.iter().enumerate();
            let tasks: Vec<_> = tasks.filter(|(_, task)| task.spec.kind == JobKind::Gang).collect();
            // Tasks of one attempt are mostly adjacent in the list. Adjacent tasks of an attempt
            // are added in one step.
            for attempt in tasks.chunk_by(|(_, a), (_, b)| is_same_attempt(a, b)) {
                let Some((_, first)) = attempt.first() else { continue };
                let job = self.jobs.entry(first.task.job.clone()).or_default();
                job.attempts.insert(first.attempt);
                let found = attempt.iter().filter(|(_, task)| is_waiting_or_running(task));
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

    /// Starts an attempt once all its tasks are in the state `waiting`. If the gang is already
    /// done, its waiting tasks exit as done.
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
            // The gang's result is stored, so a task that starts after the gang's completion has
            // nothing left to do.
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
            let event =
                WorkerEvent::GangTaskRunning { task: task.task.clone(), attempt: task.attempt };
            events.push((member.machine.to_string(), event));
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

    /// Advances an attempt that runs: the attempt makes progress, stops, completes or fails.
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
            // The last task of the attempt has ended. Progress since the last checkpoint is lost,
            // unless the attempt wrote a checkpoint when it was stopped or has already recorded the
            // loss.
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
            exit_after_failure(now, failed_at, self.exit_detection_s, running, workers, events);
        } else if let Some(stop_requested_at) = run.stop_requested_at {
            let save_deadline = stop_requested_at + self.exit_detection_s;
            run.stop_orderly(now, save_deadline, job, running, workers, events);
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
    /// Adds the progress that the attempt has made since the previous step. The attempt makes no
    /// progress after the first stop command. If a task is lost, the attempt keeps its progress up
    /// to the last step at which all tasks were present.
    fn make_progress(
        &mut self,
        now: f64,
        job: &mut GangRecord,
        spec: &JobSpec,
        running: &[GangMember],
        workers: &BTreeMap<String, FakeWorker>,
    ) {
        let hung = running.iter().any(|member| member.worker(workers).hung);
        let complete = running.len() == spec.tasks as usize && !hung;
        let until = self.stop_requested_at.map_or(now, |stopped_at| stopped_at.min(now));
        if complete && until > self.counted_until {
            let slowdowns = running.iter().map(|member| member.worker(workers).slowdown);
            self.progress_s += (until - self.counted_until) / slowdowns.fold(1.0, f64::max);
        }
        self.counted_until = now;
        record_checkpoint(job, spec, self.progress_s);
        if !complete {
            self.fail(now, job);
        }
    }

    /// Fails the attempt: the gang loses its progress since the last checkpoint.
    fn fail(&mut self, now: f64, job: &mut GangRecord) {
        self.failed_at = Some(now);
        job.lost_progress_s += self.progress_s - job.checkpointed_s;
    }

    /// Lets an attempt write a checkpoint and exit after one of its tasks has received a stop
    /// command. The checkpoint fails if a task has not received a stop command by `save_deadline`.
    fn stop_orderly(
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
        let mut exits = Vec::new();
        for member in running.iter().filter(|member| !member.worker(workers).hung) {
            if all_requested {
                if has_saved(member) && (all_saved || self.saved || now >= save_deadline) {
                    exits.push((member, ExitCause::Stopped, Some(true)));
                }
            } else if now >= save_deadline && stop_requested(member) {
                exits.push((member, ExitCause::Stopped, Some(false)));
            } else if now >= save_deadline {
                exits.push((member, ExitCause::GangMemberLost, None));
            }
        }
        if !all_requested && now >= save_deadline {
            self.fail(now, job);
        } else if !exits.is_empty() && !self.saved {
            self.saved = true;
            job.stop_checkpoints += 1;
            job.checkpointed_s = self.progress_s;
        }
        for (member, cause, saved) in exits {
            exit(workers, member, cause, saved, events);
        }
    }
}

/// Ends the tasks of an attempt that has failed, each task at the time at which it detects the
/// failure. The times differ; the last task ends shortly before `exit_detection_s` has passed.
fn exit_after_failure(
    now: f64,
    failed_at: f64,
    exit_detection_s: f64,
    running: &[GangMember],
    workers: &mut BTreeMap<String, FakeWorker>,
    events: &mut Vec<(String, WorkerEvent)>,
) {
    for member in running {
        let tasks = member.task(workers).spec.tasks;
        let rank = f64::from(member.index + 1) / f64::from(tasks);
        let detects_at =
            failed_at + exit_detection_s * (EARLIEST_DETECTION + DETECTION_SPREAD * rank);
        if now >= detects_at && !member.worker(workers).hung {
            exit(workers, member, ExitCause::GangMemberLost, None, events);
        }
    }
}

/// Records the progress at the latest checkpoint. A gang writes a checkpoint whenever the job's
/// progress reaches a multiple of `checkpoint_interval_s`, whichever attempt makes the progress.
fn record_checkpoint(job: &mut GangRecord, spec: &JobSpec, progress_s: f64) {
    if spec.checkpoint_interval_s > 0.0 {
        let reached = ((progress_s + ROUNDING_S) / spec.checkpoint_interval_s).floor()
            * spec.checkpoint_interval_s;
        job.checkpointed_s = job.checkpointed_s.max(reached);
    }
}

/// Ends a task on its machine and adds the resulting event to `events`.
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
