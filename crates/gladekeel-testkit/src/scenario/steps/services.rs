//! Steps that inject faults of the store and of the cloud.

use super::{Step, fault_for, line::Line};
use crate::{
    scenario::{LineError, targets::node_indices},
    simulation::Simulation,
    stand_ins::store::StoreLimits,
};
use gladekeel_store::StoreRequest;
use gladekeel_wire::store::{Transaction, Write};

/// `outage store|cloud for S`: the store or the cloud refuses all requests.
pub(super) fn outage(line: &Line) -> Result<Step, LineError> {
    let duration_s = line.duration_s;
    Ok(match line.token(1, "store or cloud")? {
        "store" => fault_for(duration_s, |sim| set_outage(sim, true), |sim| set_outage(sim, false)),
        "cloud" => Box::new(move |sim| {
            sim.cloud.down = true;
            sim.after(duration_s, |sim| sim.cloud.down = false);
        }),
        other => return Err(LineError::unexpected("store or cloud", other)),
    })
}

/// Begins or ends an outage of the store.
fn set_outage(sim: &mut Simulation, down: bool) {
    let now = sim.now;
    sim.store.set_outage(now, down);
}

/// `slow store FACTOR for S`: requests to the store take longer by this factor.
pub(super) fn slow_store(line: &Line) -> Result<Step, LineError> {
    let (factor, duration_s) = (line.number(2, "a factor")?, line.duration_s);
    let slow_down = move |sim: &mut Simulation| sim.store_slowdown = factor;
    Ok(fault_for(duration_s, slow_down, |sim| sim.store_slowdown = 1.0))
}

/// `drop_responses store for S`: the store executes requests, but its responses are lost.
pub(super) fn drop_responses(line: &Line) -> Result<Step, LineError> {
    expect_target(line, "store")?;
    Ok(fault_for(
        line.duration_s,
        |sim| sim.store_responses_dropped = true,
        |sim| sim.store_responses_dropped = false,
    ))
}

/// `deny_store WHO for S`: the store refuses the requests of the nodes WHO for S seconds.
pub(super) fn deny_store(line: &Line) -> Result<Step, LineError> {
    let who = line.token(1, "a node")?.to_owned();
    let refuse = move |sim: &mut Simulation| {
        sim.store.refused_nodes = node_indices(sim, &who);
    };
    Ok(fault_for(line.duration_s, refuse, |sim| sim.store.refused_nodes.clear()))
}

/// Key of a job that no user has submitted, whose value `corrupt job` makes unreadable.
const UNREADABLE_JOB_KEY: &str = "gk/job/job-999999";

/// `corrupt assignment_log|job for S`: the assignment log, or one stored job that no user has
/// submitted, cannot be read.
pub(super) fn corrupt(line: &Line) -> Result<Step, LineError> {
    let duration_s = line.duration_s;
    match line.token(1, "assignment_log or job")? {
        "assignment_log" => Ok(fault_for(
            duration_s,
            |sim| sim.store.corrupt_assignment_log(true),
            |sim| sim.store.corrupt_assignment_log(false),
        )),
        "job" => Ok(fault_for(duration_s, put_unreadable_job, remove_unreadable_job)),
        other => Err(LineError::unexpected("assignment_log or job", other)),
    }
}

fn put_unreadable_job(sim: &mut Simulation) {
    let (key, value) = (UNREADABLE_JOB_KEY.to_owned(), "unreadable".into());
    write_to_store(sim, Write::Put { key, value, lease: None });
}

fn remove_unreadable_job(sim: &mut Simulation) {
    write_to_store(sim, Write::Delete { key: UNREADABLE_JOB_KEY.to_owned() });
}

/// Writes to the store as another version of a node would.
fn write_to_store(sim: &mut Simulation, write: Write) {
    let transaction = Transaction { preconditions: Vec::new(), writes: vec![write] };
    let other_node = sim.node_count();
    sim.store.call(sim.now, other_node, &StoreRequest::Commit(transaction));
}

/// `compact store`: the store compacts its history.
pub(super) fn compact(line: &Line) -> Result<Step, LineError> {
    expect_target(line, "store")?;
    Ok(Box::new(|sim| sim.store.compact_history()))
}

/// `lower_limits store value_kb=N txn_ops=N write_rps=N rps=N`: the store lowers the limits that
/// the step names. All other limits stay as they are.
pub(super) fn lower_limits(line: &Line) -> Result<Step, LineError> {
    expect_target(line, "store")?;
    let (value, ops) = (line.options.number("value_kb")?, line.options.number("txn_ops")?);
    let (writes, rps) = (line.options.number("write_rps")?, line.options.number("rps")?);
    Ok(Box::new(move |sim| {
        let now = sim.store.limits();
        sim.store.lower_limits(StoreLimits {
            rps: rps.unwrap_or(now.rps),
            write_rps: writes.unwrap_or(now.write_rps),
            txn_ops: ops.map_or(now.txn_ops, |n| n as usize),
            value: value.map_or(now.value, |kb| (kb * 1024.0) as usize),
        });
    }))
}

/// `exhaust cloud`: the cloud has no free machine until machines are deleted or reclaimed.
pub(super) fn exhaust(line: &Line) -> Result<Step, LineError> {
    expect_target(line, "cloud")?;
    Ok(Box::new(|sim| sim.cloud.capacity.values_mut().for_each(|n| *n = 0)))
}

/// `fail_next_boots COUNT`: the next COUNT machines that are rented never boot.
pub(super) fn fail_next_boots(line: &Line) -> Result<Step, LineError> {
    let count = line.number(1, "a number of machines")? as u32;
    Ok(Box::new(move |sim| sim.cloud.next_boots_to_fail = count))
}

/// Returns an error unless the target of the step is `target`.
fn expect_target(line: &Line, target: &'static str) -> Result<(), LineError> {
    match line.token(1, target)? {
        token if token == target => Ok(()),
        other => Err(LineError::unexpected(target, other)),
    }
}
