//! What must come of a scenario.

use super::tokens::{id, names, number};
use crate::simulation::Simulation;
use gladekeel_wire::job::JobState;

/// Compares a number with `>= N`, `<= N` or `= N`.
fn compare(what: &str, value: f64, words: &[&str]) -> Result<Option<String>, String> {
    let [op, bound] = words else { return Err("expected an operator and a number".into()) };
    let bound = number(bound)?;
    let holds = match *op {
        ">=" => value >= bound,
        "<=" => value <= bound,
        "=" => value == bound,
        other => return Err(format!("no operator {other}")),
    };
    Ok((!holds).then(|| format!("{what} is {value}, expected {op} {bound}")))
}

/// Checks one expectation; returns what is wrong.
pub(super) fn expect(sim: &Simulation, text: &str) -> Result<Option<String>, String> {
    let (words, _) = split_plain(text);
    let wrong = |name: &str, state: JobState| -> Result<Option<String>, String> {
        for name in names(name) {
            let last = sim.invariants.last(&id(&name)?);
            if last != Some(state) {
                return Ok(Some(format!("{name} is {last:?}, expected {state:?}")));
            }
        }
        Ok(None)
    };
    match words.as_slice() {
        ["broken", rule] => Ok((!sim.invariants.broken.iter().any(|(broken, _)| broken == rule))
            .then(|| format!("{rule} is not broken"))),
        ["starts", rest @ ..] => compare("starts", sim.invariants.starts as f64, rest),
        ["starts_without_room", rest @ ..] => {
            compare("starts_without_room", sim.invariants.starts_without_room as f64, rest)
        }
        ["cpus", team, rest @ ..] => compare("cpus", sim.invariants.cpus_of(team), rest),
        // How often a message met its fault.
        ["answers_lost", rest @ ..] => {
            compare("answers_lost", sim.message_faults.responses_lost as f64, rest)
        }
        ["commands_late", rest @ ..] => {
            compare("commands_late", sim.message_faults.commands_delayed as f64, rest)
        }
        ["commands_refused", rest @ ..] => {
            compare("commands_refused", sim.message_faults.commands_refused as f64, rest)
        }
        ["reports_released", rest @ ..] => {
            compare("reports_released", sim.message_faults.heartbeats_released as f64, rest)
        }
        ["close_looks", rest @ ..] => {
            compare("close_looks", sim.read_your_writes.taken as f64, rest)
        }
        // Jobs that a user was told are cancelled, and their tasks that are still there.
        ["confirmed", rest @ ..] => compare("confirmed", sim.invariants.confirmed() as f64, rest),
        ["cancelled_running", rest @ ..] => {
            compare("cancelled_running", sim.invariants.cancelled_running() as f64, rest)
        }
        // Workers that report to the leader itself, not through another controller.
        ["heard_by_leader", rest @ ..] => {
            compare("heard_by_leader", sim.workers_at_leader() as f64, rest)
        }
        ["leaders", rest @ ..] => compare("leaders", sim.leaders.len() as f64, rest),
        ["machines", rest @ ..] => compare("machines", sim.cloud.present().len() as f64, rest),
        ["rented", rest @ ..] => compare("rented", sim.cloud.machines.len() as f64, rest),
        // Work that must not grow faster than what changes.
        ["written", rest @ ..] => compare("written", sim.store.written as f64, rest),
        ["bytes", rest @ ..] => compare("bytes", sim.store.bytes as f64, rest),
        ["looked", rest @ ..] => {
            compare("looked", sim.leader_counts().map_or(0, |c| c.machines_examined) as f64, rest)
        }
        ["attempt_lookups", rest @ ..] => {
            let lookups = sim.leader_counts().map_or(0, |c| c.attempt_lookups);
            compare("attempt_lookups", lookups as f64, rest)
        }
        // Requests refused as beyond a rate.
        ["busy", rest @ ..] => compare("busy", sim.store.busy as f64, rest),
        ["segments", rest @ ..] => compare("segments", sim.log_segments() as f64, rest),
        [name, "began", rest @ ..] => {
            compare("began", sim.invariants.began(&id(name)?).unwrap_or(f64::MAX), rest)
        }
        ["given_up", rest @ ..] => compare("given_up", sim.abandoned_submissions as f64, rest),
        // The oldest open job, as the leader counts its age.
        ["age", rest @ ..] => compare("age", sim.oldest_job_s().unwrap_or(0.0), rest),
        ["restarts", rest @ ..] => {
            compare("restarts", sim.leader_counts().map_or(0, |c| c.restarts) as f64, rest)
        }
        ["preemptions", rest @ ..] => {
            compare("preemptions", sim.leader_counts().map_or(0, |c| c.preemptions) as f64, rest)
        }
        // What became of a gang: how often it ran, how often a stop kept its progress,
        // and how many seconds of progress were lost.
        [name, "runs", rest @ ..] => {
            compare("runs", f64::from(sim.gangs.record(&id(name)?).runs), rest)
        }
        [name, "saves", rest @ ..] => {
            compare("saves", f64::from(sim.gangs.record(&id(name)?).saves), rest)
        }
        [name, "lost", rest @ ..] => compare("lost", sim.gangs.record(&id(name)?).lost_s, rest),
        [name, "attempts", rest @ ..] => {
            compare("attempts", sim.gangs.record(&id(name)?).attempts.len() as f64, rest)
        }
        [name, "on", rest @ ..] => {
            compare("on", sim.invariants.on_machines(&id(name)?) as f64, rest)
        }
        // Transactions refused as too large after the limits were lowered.
        ["too_large", rest @ ..] => {
            let wrong = compare("too_large", sim.store.too_large.len() as f64, rest)?;
            let first = sim.store.too_large.first().cloned().unwrap_or_default();
            Ok(wrong.map(|wrong| format!("{wrong}: {first}")))
        }
        [name, "done"] => wrong(name, JobState::Done),
        [name, "cancelled"] => wrong(name, JobState::Cancelled),
        [name, "refused"] => {
            let last = sim.invariants.last(&id(name)?);
            Ok(last.map(|state| format!("{name} is {state:?}, expected to be refused")))
        }
        [name, "open"] => {
            let last = sim.invariants.last(&id(name)?);
            let open = last.is_some_and(|state| !state.is_final());
            Ok((!open).then(|| format!("{name} is {last:?}, expected to be open")))
        }
        _ => Err("an expectation that cannot be read".into()),
    }
}

/// Plain words, with operators kept.
fn split_plain(text: &str) -> (Vec<&str>, ()) {
    (text.split_whitespace().collect(), ())
}
