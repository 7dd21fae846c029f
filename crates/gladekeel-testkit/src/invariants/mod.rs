//! The invariants of the protocol, checked from outside the controllers.
//!
//! [`InvariantChecker`] receives everything that clients and machines observe. It keeps
//! the history that the checks need, and records a [`Violation`] for each invariant that
//! does not hold. Each invariant has a module of its own with the check and its reason.
//! `docs/safety.md` says why the controllers keep them.

mod acceptance;
mod availability;
mod cancellation;
mod gang_start;
mod invariant;
mod observed_job;
mod placement;
mod response_status;
mod running_tasks;
mod single_execution;
mod starvation;
mod state_order;
mod team_quota;
mod unique_token;

pub use invariant::{Invariant, Violation};
pub use observed_job::{JobRequest, JobResponse};
pub use starvation::FreeCapacity;

use crate::stand_ins::worker::MachineIdentity;
use gang_start::GangStarts;
use gladekeel_wire::{
    JobId, TaskId,
    cloud::MachineType,
    job::{JobKind, JobSpec, JobState},
    settings::Deployment,
};
use observed_job::ObservedJob;
use running_tasks::RunningTasks;
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for sums of CPUs and GPUs against a limit.
const ROUNDING: f64 = 1e-6;

/// Observes a simulation and records every violated invariant.
#[derive(Debug)]
pub struct InvariantChecker {
    deployment: Deployment,
    /// Machine types of the cloud; while there are none, no job counts as impossible to run.
    pub machine_types: Vec<MachineType>,
    /// How much longer than the one before it each task of a job runs, in seconds.
    pub run_step_s: BTreeMap<JobId, f64>,
    /// When the last injected fault is over. Liveness is only checked after that.
    pub faults_cleared_at: f64,
    /// Starts so far.
    pub starts: u64,
    /// Starts that a machine refused for lack of free resources.
    pub starts_refused: u64,
    /// Violations in the order in which they were found.
    pub violations: Vec<Violation>,
    specs: BTreeMap<JobId, JobSpec>,
    observed_jobs: BTreeMap<JobId, ObservedJob>,
    running: RunningTasks,
    completed: BTreeSet<TaskId>,
    completed_per_job: BTreeMap<JobId, usize>,
    /// When each job's first task began.
    started_at: BTreeMap<JobId, f64>,
    gang_starts: GangStarts,
    /// Jobs whose cancellation a client has observed.
    cancelled: BTreeSet<JobId>,
    /// Tasks that were reported as running after the deadline of a cancellation.
    reported_after_cancellation: BTreeSet<TaskId>,
    /// When each start was sent directly that no heartbeat response has repeated since.
    direct_starts: BTreeMap<TaskId, f64>,
    /// Since when each job has been pending although a machine could take it.
    pending_since: BTreeMap<JobId, f64>,
    /// When the leadership under each fencing token began, by its node's clock.
    leadership_terms: BTreeMap<u64, f64>,
}

impl InvariantChecker {
    /// A checker for a deployment.
    pub fn new(deployment: Deployment) -> InvariantChecker {
        InvariantChecker {
            deployment,
            machine_types: Vec::new(),
            run_step_s: BTreeMap::new(),
            faults_cleared_at: 0.0,
            starts: 0,
            starts_refused: 0,
            violations: Vec::new(),
            specs: BTreeMap::new(),
            observed_jobs: BTreeMap::new(),
            running: RunningTasks::default(),
            completed: BTreeSet::new(),
            completed_per_job: BTreeMap::new(),
            started_at: BTreeMap::new(),
            gang_starts: GangStarts::default(),
            cancelled: BTreeSet::new(),
            reported_after_cancellation: BTreeSet::new(),
            direct_starts: BTreeMap::new(),
            pending_since: BTreeMap::new(),
            leadership_terms: BTreeMap::new(),
        }
    }

    /// Records a violation.
    pub fn report(&mut self, invariant: Invariant, details: String) {
        self.violations.push(Violation { invariant, details });
    }

    /// A client sends a submission.
    pub fn on_submission(&mut self, spec: &JobSpec) {
        self.observed_jobs.entry(spec.id.clone()).or_default().submitted = true;
        self.specs.insert(spec.id.clone(), spec.clone());
    }

    /// A client sends a cancellation.
    pub fn on_cancel_request(&mut self, job: &JobId) {
        self.observed_jobs.entry(job.clone()).or_default().cancel_requested = true;
    }

    /// A client receives a response about a job, or gives up waiting for it.
    pub fn on_response(&mut self, job: &JobId, response: &JobResponse) {
        let mut violated = Vec::new();
        violated.extend(self.check_availability(job, response));
        if response.is_success() {
            violated.extend(self.check_not_invented(job));
            self.observed_jobs.entry(job.clone()).or_default().accept(response.received_at);
            violated.extend(self.check_can_run(job, response));
            violated.extend(self.check_state_order(job, response));
            violated.extend(self.check_done(job, response));
        } else {
            violated.extend(self.check_not_forgotten(job, response));
        }
        for invariant in violated {
            let JobResponse { received_at, status, state, .. } = response;
            self.report(invariant, format!("{received_at:.2}: {job} told {status} {state:?}"));
        }
    }

    /// A task occupies a machine from now on.
    pub fn on_task_started(&mut self, now: f64, task: &TaskId, machine: &MachineIdentity) {
        self.starts += 1;
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        self.check_single_execution(now, task, machine);
        self.check_start_after_cancellation(now, task, &spec, machine);
        // A gang has begun when all its tasks run, not when one waits for the others.
        if spec.kind != JobKind::Gang {
            self.started_at.entry(task.job.clone()).or_insert(now);
        }
        self.check_placement(now, task, &spec, machine);
        self.running.add(task, &spec, machine);
        self.check_quota(now, &spec.team);
        self.check_cancellation_deadlines(now);
    }

    /// A task no longer occupies a machine.
    pub fn on_task_ended(&mut self, task: &TaskId, machine: &str, completed: bool) {
        self.running.remove(task, machine, self.specs.get(&task.job));
        if completed && self.completed.insert(task.clone()) {
            *self.completed_per_job.entry(task.job.clone()).or_default() += 1;
        }
    }

    /// The description of a job.
    pub fn spec(&self, job: &JobId) -> Option<JobSpec> {
        self.specs.get(job).cloned()
    }

    /// The description of a task's job, with the task's own run time; none if the job has no
    /// such task.
    pub fn task_spec(&self, task: &TaskId) -> Option<JobSpec> {
        let mut spec = self.spec(&task.job).filter(|spec| task.index < spec.tasks)?;
        let step_s = self.run_step_s.get(&task.job).copied().unwrap_or_default();
        spec.estimate_s += step_s * f64::from(task.index);
        Some(spec)
    }

    /// The latest state of a job that its client observed.
    pub fn last_state(&self, job: &JobId) -> Option<JobState> {
        self.observed_jobs.get(job).and_then(|observed| observed.last_state)
    }

    /// How many tasks of a job are on machines.
    pub fn tasks_on_machines(&self, job: &JobId) -> usize {
        self.running.of_job(job).map(|(_, placements)| placements.len()).sum()
    }

    /// When a job's first task began, or all tasks of a gang.
    pub fn started_at(&self, job: &JobId) -> Option<f64> {
        self.started_at.get(job).copied()
    }

    /// CPUs that a team's tasks on machines use.
    pub fn cpus_of_team(&self, team: &str) -> f64 {
        self.running.used_by_team(team).cpus
    }

    /// How many jobs are cancelled, as observed by clients.
    pub fn cancelled_jobs(&self) -> usize {
        self.cancelled.len()
    }

    /// How many of their tasks are still on machines.
    pub fn cancelled_tasks_on_machines(&self) -> usize {
        self.cancelled.iter().flat_map(|job| self.running.of_job(job)).count()
    }

    /// Whether all tasks of a job have completed.
    pub fn all_tasks_completed(&self, job: &JobId) -> bool {
        let tasks = self.specs.get(job).map_or(u32::MAX, |spec| spec.tasks) as usize;
        self.completed_per_job.get(job).copied().unwrap_or(0) >= tasks
    }
}
