//! Faults of the store and of the cloud.

use super::{Step, fault_for, line::Line};
use crate::{
    scenario::{LineError, targets::node_indices},
    simulation::Simulation,
    stand_ins::store::StoreLimits,
};

/// `state down|slow FACTOR|mute|refuses WHO|spoils|forgets|limits KEY=N for S`.
pub(super) fn state(line: &Line) -> Result<Step, LineError> {
    let duration_s = line.duration_s;
    Ok(match line.token(1, "a fault of the store")? {
        "down" => fault_for(duration_s, |sim| set_outage(sim, true), |sim| set_outage(sim, false)),
        "slow" => {
            let factor = line.number(2, "a factor")?;
            let slow_down = move |sim: &mut Simulation| sim.store_slowdown = factor;
            fault_for(duration_s, slow_down, |sim| sim.store_slowdown = 1.0)
        }
        "mute" => fault_for(
            duration_s,
            |sim| sim.store_responses_lost = true,
            |sim| sim.store_responses_lost = false,
        ),
        "refuses" => {
            let who = line.token(2, "a node")?.to_owned();
            let refuse = move |sim: &mut Simulation| {
                sim.store.refused_nodes = node_indices(sim, &who);
            };
            fault_for(duration_s, refuse, |sim| sim.store.refused_nodes.clear())
        }
        "spoils" => fault_for(
            duration_s,
            |sim| sim.store.corrupt_assignment_log(true),
            |sim| sim.store.corrupt_assignment_log(false),
        ),
        "forgets" => Box::new(|sim| sim.store.compact_history()),
        "limits" => return limits(line),
        other => return Err(LineError::unexpected("a fault of the store", other)),
    })
}

fn set_outage(sim: &mut Simulation, down: bool) {
    let now = sim.now;
    sim.store.set_outage(now, down);
}

/// `state limits value_kb=N txn_ops=N write_rps=N rps=N`; what is not named stays.
fn limits(line: &Line) -> Result<Step, LineError> {
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

/// `cloud down|machines_not_booting COUNT|empty for S`.
pub(super) fn cloud(line: &Line) -> Result<Step, LineError> {
    let duration_s = line.duration_s;
    Ok(match line.token(1, "a target")? {
        "down" => Box::new(move |sim| {
            sim.cloud.down = true;
            sim.after(duration_s, |sim| sim.cloud.down = false);
        }),
        "duds" => {
            let count = line.number(2, "a number")? as u32;
            Box::new(move |sim| sim.cloud.machines_not_booting = count)
        }
        "empty" => Box::new(|sim| sim.cloud.capacity.values_mut().for_each(|n| *n = 0)),
        other => return Err(LineError::unexpected("a fault of the cloud", other)),
    })
}
