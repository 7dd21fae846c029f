//! The invariants of the protocol, checked from outside the controllers.
//!
//! [`InvariantChecker`] receives everything that clients and machines observe. It keeps
//! the history that the checks need, and records a [`Violation`] for each invariant that
//! does not hold. Each module contains the checks of one or a few related invariants and the
//! reason for them. `docs/safety.md` explains why the controllers uphold the invariants.

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

/// Tolerance for rounding errors when a sum of CPUs or GPUs is compared with a limit.
const LIMIT_TOLERANCE: f64 = 1e-6;

/// Observes a simulation and records every violated invariant.
#[derive(Debug)]
pub struct InvariantChecker {
    deployment: Deployment,
    /// Machine types that the cloud offers. Without any machine type, the checker assumes that
    /// every job within its team's limit can run.
    pub machine_types: Vec<MachineType>,
    /// How much longer each task of a job runs than the task before it, in seconds.
    pub run_step_s: BTreeMap<JobId, f64>,
    /// When the last injected fault ends. Liveness is only checked after that time.
    pub faults_cleared_at: f64,
    /// Number of task starts so far.
    pub starts: u64,
    /// Number of starts that a machine refused for lack of free resources.
    pub starts_refused: u64,
    /// Violations in the order in which they were detected.
    pub violations: Vec<Violation>,
    specs: BTreeMap<JobId, JobSpec>,
    observed_jobs: BTreeMap<JobId, ObservedJob>,
    running: RunningTasks,
    completed: BTreeSet<TaskId>,
    completed_per_job: BTreeMap<JobId, usize>,
    /// When each job started: when its first task started or, for a gang, when all its tasks began
    /// to run.
    started_at: BTreeMap<JobId, f64>,
    gang_starts: GangStarts,
    /// Jobs whose cancellation a client has observed.
    cancelled: BTreeSet<JobId>,
    /// Tasks that were reported for running after the cancellation deadline.
    reported_after_cancellation: BTreeSet<TaskId>,
    /// When the start command of each task was sent as a direct command, outside heartbeat
    /// responses. A task is removed when a heartbeat response repeats the start command.
    direct_starts: BTreeMap<TaskId, f64>,
    /// Since when each job has been pending although free machines could run it.
    pending_since: BTreeMap<JobId, f64>,
    /// When the leadership under each fencing token began, by the clock of the node that leads.
    leadership_started_at: BTreeMap<u64, f64>,
}

impl InvariantChecker {
    /// Creates a checker without any observations.
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
            leadership_started_at: BTreeMap::new(),
        }
    }

    /// Records a violation.
    pub fn report(&mut self, invariant: Invariant, details: String) {
        self.violations.push(Violation { invariant, details });
    }

    /// Records that a client submits a job.
    pub fn on_submission(&mut self, spec: &JobSpec) {
        self.observed_jobs.entry(spec.id.clone()).or_default().submitted = true;
        self.specs.insert(spec.id.clone(), spec.clone());
    }

    /// Records that a client requests the cancellation of a job.
    pub fn on_cancel_request(&mut self, job: &JobId) {
        self.observed_jobs.entry(job.clone()).or_default().cancel_requested = true;
    }

    /// Records a response about a job, or the timeout of a request about the job, and checks the
    /// status and the job state against what clients have observed before.
    pub fn on_response(&mut self, job: &JobId, response: &JobResponse) {
        let mut violated = Vec::new();
        violated.extend(self.check_availability(job, response));
        if response.is_success() {
            violated.extend(self.check_no_invented_job(job));
            self.observed_jobs.entry(job.clone()).or_default().accept(response.received_at);
            violated.extend(self.check_accepted_job_can_run(job, response));
            violated.extend(self.check_state_order(job, response));
            violated.extend(self.check_done_is_completed(job, response));
        } else {
            violated.extend(self.check_accepted_job_kept(job, response));
        }
        for invariant in violated {
            let JobResponse { received_at, status, state, .. } = response;
            let details = format!("{received_at:.2}: {job}: status {status}, state {state:?}");
            self.report(invariant, details);
        }
    }

    /// Records that a task is on a machine from now on, and checks the invariants that concern task
    /// starts.
    pub fn on_task_started(&mut self, now: f64, task: &TaskId, machine: &MachineIdentity) {
        self.starts += 1;
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        self.check_single_execution(now, task, machine);
        self.check_start_after_cancellation(now, task, &spec, machine);
        // A gang has started when all its tasks run, not when a task waits for the other tasks.
        if spec.kind != JobKind::Gang {
            self.started_at.entry(task.job.clone()).or_insert(now);
        }
        self.check_placement(now, task, &spec, machine);
        self.running.add(task, &spec, machine);
        self.check_team_quota(now, &spec.team);
        self.check_cancellation_deadlines(now);
    }

    /// Records that a task is no longer on a machine, and whether it completed.
    pub fn on_task_ended(&mut self, task: &TaskId, machine: &str, completed: bool) {
        self.running.remove(task, machine, self.specs.get(&task.job));
        if completed && self.completed.insert(task.clone()) {
            *self.completed_per_job.entry(task.job.clone()).or_default() += 1;
        }
    }

    /// The specification of a job; `None` if no client has submitted the job.
    pub fn spec(&self, job: &JobId) -> Option<JobSpec> {
        self.specs.get(job).cloned()
    }

    /// The specification of a task's job, with the run time of this task; `None` if the job has
    /// no such task.
    pub fn task_spec(&self, task: &TaskId) -> Option<JobSpec> {
        let mut spec = self.spec(&task.job).filter(|spec| task.index < spec.tasks)?;
        let step_s = self.run_step_s.get(&task.job).copied().unwrap_or_default();
        spec.estimate_s += step_s * f64::from(task.index);
        Some(spec)
    }

    /// The latest state of a job that a client observed; `None` if no client observed a state.
    pub fn last_state(&self, job: &JobId) -> Option<JobState> {
        self.observed_jobs.get(job).and_then(|observed| observed.last_state)
    }

    /// Number of a job's tasks on machines. A task that is on two machines is counted twice.
    pub fn tasks_on_machines(&self, job: &JobId) -> usize {
        self.running.of_job(job).map(|(_, placements)| placements.len()).sum()
    }

    /// When a job started: when its first task started or, for a gang, when all its tasks began to
    /// run.
    pub fn started_at(&self, job: &JobId) -> Option<f64> {
        self.started_at.get(job).copied()
    }

    /// CPUs that a team's tasks on machines use.
    pub fn cpus_of_team(&self, team: &str) -> f64 {
        self.running.used_by_team(team).cpus
    }

    /// Number of jobs that clients have observed as cancelled.
    pub fn cancelled_jobs(&self) -> usize {
        self.cancelled.len()
    }

    /// Number of tasks on machines whose jobs clients have observed as cancelled.
    pub fn cancelled_tasks_on_machines(&self) -> usize {
        self.cancelled.iter().flat_map(|job| self.running.of_job(job)).count()
    }

    /// Whether a task has completed.
    pub fn is_completed(&self, task: &TaskId) -> bool {
        self.completed.contains(task)
    }

    /// Whether all tasks of a job have completed.
    pub fn all_tasks_completed(&self, job: &JobId) -> bool {
        let tasks = self.specs.get(job).map_or(u32::MAX, |spec| spec.tasks) as usize;
        self.completed_per_job.get(job).copied().unwrap_or(0) >= tasks
    }
}
