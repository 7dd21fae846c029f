//! The invariant checker reports a violation of each invariant for observations that violate the
//! invariant, and reports none for observations that only come close to a violation.

mod acceptance;
mod availability;
mod cancellation;
mod gang_start;
mod placement;
mod response_status;
mod seeded_faults;
mod single_execution;
mod starvation;
mod state_order;
mod team_quota;
mod unique_token;

use gladekeel_testkit::{
    invariants::{InvariantChecker, JobRequest, JobResponse},
    scenario::{example_job, example_settings},
    stand_ins::worker::MachineIdentity,
};
use gladekeel_wire::{
    JobId, TaskId,
    job::{JobSpec, JobState},
};

fn checker() -> InvariantChecker {
    InvariantChecker::new(example_settings(0, 1).deployment)
}

/// A checker that has observed the submission of a job.
fn checker_with(spec: &JobSpec) -> InvariantChecker {
    let mut checker = checker();
    checker.on_submission(spec);
    checker
}

/// An array of four tasks with four CPUs each.
fn array_of_four() -> JobSpec {
    JobSpec { tasks: 4, cpus: 4.0, ..example_job("job-1") }
}

fn job_id() -> JobId {
    "job-1".parse().unwrap()
}

fn task(index: u32) -> TaskId {
    TaskId { job: job_id(), index }
}

fn machine(name: &str, zone: &str, spot: bool) -> MachineIdentity {
    MachineIdentity { name: name.into(), machine_type: "m32".into(), zone: zone.into(), spot }
}

fn cancellation_deadline_s() -> f64 {
    example_settings(0, 1).deployment.workers.cancellation_deadline_s
}

/// Lets the checker observe a response that arrives at the instant of its request.
fn respond(
    checker: &mut InvariantChecker,
    now: f64,
    request: JobRequest,
    status: u16,
    state: Option<JobState>,
) {
    respond_to(checker, (now, now), request, status, state);
}

/// Lets the checker observe a response, with the times at which the request was sent and the
/// response arrived.
fn respond_to(
    checker: &mut InvariantChecker,
    (sent_at, received_at): (f64, f64),
    request: JobRequest,
    status: u16,
    state: Option<JobState>,
) {
    let response = JobResponse { sent_at, received_at, request, status, state };
    checker.on_response(&job_id(), &response);
}

/// The names of the violated invariants, in the order of the violations.
fn violated(checker: &InvariantChecker) -> Vec<&str> {
    checker.violations.iter().map(|violation| violation.invariant.name()).collect()
}
