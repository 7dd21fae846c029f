//! Checks of `expect` lines against the state of the simulation.

use super::{
    LineError, Mismatch,
    tokens::{expand_names, job_id, number},
};
use crate::simulation::Simulation;
use gladekeel_controller::leader::LeaderCounters;
use gladekeel_wire::{JobId, job::JobState};

/// Checks an expectation. Returns the mismatch, or `None` if the expectation holds.
pub(super) fn check(sim: &Simulation, text: &str) -> Result<Option<Mismatch>, LineError> {
    let tokens: Vec<&str> = text.split_whitespace().collect();
    match *tokens.as_slice() {
        ["violated", invariant] => Ok(check_violated(sim, invariant)),
        [jobs, state] => check_state(sim, jobs, state),
        [quantity, operator, bound] => {
            let value = measure(sim, quantity)?;
            let mismatch = compare(quantity, value, operator, bound)?;
            Ok(mismatch.map(|mismatch| with_first_too_large(sim, quantity, mismatch)))
        }
        ["team_cpus", team, operator, bound] => {
            compare("team_cpus", sim.invariants.cpus_of_team(team), operator, bound)
        }
        [job, quantity, operator, bound] => {
            let value = measure_job(sim, &job_id(job)?, quantity)?;
            compare(quantity, value, operator, bound)
        }
        _ => Err(LineError::unexpected("an expectation", text)),
    }
}

/// Checks a value against `>= N`, `<= N` or `= N`. Returns the mismatch, or `None` if the
/// comparison holds.
fn compare(
    quantity: &str,
    value: f64,
    operator: &str,
    bound: &str,
) -> Result<Option<Mismatch>, LineError> {
    let bound = number(bound)?;
    let holds = match operator {
        ">=" => value >= bound,
        "<=" => value <= bound,
        "=" => value == bound,
        other => return Err(LineError::unexpected("one of >=, <= and =", other)),
    };
    Ok((!holds).then(|| Mismatch {
        subject: quantity.to_owned(),
        found: value.to_string(),
        expected: format!("{operator} {bound}"),
    }))
}

/// Checks `violated INVARIANT`: the invariant was violated at least once.
fn check_violated(sim: &Simulation, invariant: &str) -> Option<Mismatch> {
    let mut violations = sim.invariants.violations.iter();
    let violated = violations.any(|violation| violation.invariant.name() == invariant);
    (!violated).then(|| Mismatch {
        subject: invariant.to_owned(),
        found: "not violated".to_owned(),
        expected: "violated".to_owned(),
    })
}

/// Checks `JOBS done|cancelled|unfinished|not_accepted` against the states that users last
/// observed. Returns the first job in another state.
fn check_state(
    sim: &Simulation,
    jobs: &str,
    expected: &str,
) -> Result<Option<Mismatch>, LineError> {
    let is_expected: fn(Option<JobState>) -> bool = match expected {
        "done" => |state| state == Some(JobState::Done),
        "cancelled" => |state| state == Some(JobState::Cancelled),
        "not_accepted" => |state| state.is_none(),
        "unfinished" => |state| state.is_some_and(|state| !state.is_final()),
        other => return Err(LineError::unexpected("the state of a job", other)),
    };
    for name in expand_names(jobs) {
        let state = sim.invariants.last_state(&job_id(&name)?);
        if !is_expected(state) {
            let found = format!("{state:?}");
            return Ok(Some(Mismatch { subject: name, found, expected: expected.to_owned() }));
        }
    }
    Ok(None)
}

/// Returns the value of a quantity of the whole simulation.
fn measure(sim: &Simulation, quantity: &str) -> Result<f64, LineError> {
    let counter = |count: fn(LeaderCounters) -> u64| sim.leader_counters().map_or(0, count) as f64;
    Ok(match quantity {
        "task_starts" => sim.invariants.starts as f64,
        "starts_refused" => sim.invariants.starts_refused as f64,
        "cancellations_confirmed" => sim.invariants.cancelled_jobs() as f64,
        "cancelled_tasks_on_machines" => sim.invariants.cancelled_tasks_on_machines() as f64,
        "commit_responses_dropped" => sim.message_faults.commit_responses_dropped as f64,
        "commands_delayed" => sim.message_faults.commands_delayed as f64,
        "commands_refused" => sim.message_faults.commands_refused as f64,
        "command_copies_executed" => sim.message_faults.command_copies_executed as f64,
        "command_copies_refused" => sim.message_faults.command_copies_refused as f64,
        "heartbeats_replayed" => sim.message_faults.heartbeats_replayed as f64,
        "read_your_writes_queries" => sim.read_your_writes.queries as f64,
        "submissions_abandoned" => sim.abandoned_submissions as f64,
        "largest_heartbeat_bytes" => sim.largest_heartbeat_bytes as f64,
        "workers_at_leader" => sim.workers_at_leader() as f64,
        "leaders" => sim.leaders.len() as f64,
        "machines" => sim.cloud.present().len() as f64,
        "machines_rented" => sim.cloud.machines.len() as f64,
        "writes_committed" => sim.store.committed_writes as f64,
        "bytes_committed" => sim.store.committed_bytes as f64,
        "requests_rate_limited" => sim.store.rate_limited as f64,
        "transactions_too_large" => sim.store.too_large.len() as f64,
        "log_segments" => sim.log_segments() as f64,
        "oldest_job_s" => sim.oldest_job_s().unwrap_or(0.0),
        "machines_examined" => counter(|counters| counters.machines_examined),
        "attempt_lookups" => counter(|counters| counters.attempt_lookups),
        "restarts" => counter(|counters| counters.straggler_restarts),
        "preemptions" => counter(|counters| counters.preemptions),
        other => return Err(LineError::unexpected("a quantity", other)),
    })
}

/// Returns the value of a quantity of one job. `started_at` exceeds every bound if the job has not
/// started.
fn measure_job(sim: &Simulation, job: &JobId, quantity: &str) -> Result<f64, LineError> {
    Ok(match quantity {
        "started_at" => sim.invariants.started_at(job).unwrap_or(f64::MAX),
        "tasks_on_machines" => sim.invariants.tasks_on_machines(job) as f64,
        "runs" => f64::from(sim.gangs.record(job).runs),
        "stop_checkpoints" => f64::from(sim.gangs.record(job).stop_checkpoints),
        "lost_progress_s" => sim.gangs.record(job).lost_progress_s,
        "attempts" => sim.gangs.record(job).attempts.len() as f64,
        other => return Err(LineError::unexpected("a quantity of a job", other)),
    })
}

/// If the quantity is `transactions_too_large`, adds the first transaction that the store refused
/// as too large to the text of the mismatch.
fn with_first_too_large(sim: &Simulation, quantity: &str, mismatch: Mismatch) -> Mismatch {
    match sim.store.too_large.first() {
        Some(first) if quantity == "transactions_too_large" => {
            Mismatch { found: format!("{} (first: {first})", mismatch.found), ..mismatch }
        }
        _ => mismatch,
    }
}
