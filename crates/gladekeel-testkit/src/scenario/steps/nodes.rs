//! Faults of nodes and of the network.

use super::{Step, fault_for, line::Line};
use crate::{
    scenario::{LineError, targets::node_indices},
    simulation::{Cut, CutScope, Simulation},
};

/// `crash WHO for S`, or `crash leader commits=N for S` between two transactions.
pub(super) fn crash(line: &Line) -> Result<Step, LineError> {
    let duration_s = line.duration_s;
    if let Some(left) = line.options.number("commits")? {
        return Ok(Box::new(move |sim| sim.crash_after_commits = Some((left as u32, duration_s))));
    }
    let who = line.token(1, "a target")?.to_owned();
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.restart(node, duration_s);
        }
    }))
}

/// `freeze WHO for S`.
pub(super) fn freeze(line: &Line) -> Result<Step, LineError> {
    let (who, duration_s) = (line.token(1, "a target")?.to_owned(), line.duration_s);
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.pause(node, duration_s);
        }
    }))
}

/// `cut zone A from B for S hold` or `cut WHO from WHAT for S hold`; with `hold` what was
/// sent meanwhile arrives after it.
pub(super) fn cut(line: &Line) -> Result<Step, LineError> {
    let (duration_s, hold) = (line.duration_s, line.tokens.last() == Some(&"hold"));
    if line.has(1, "zone") {
        let cut = Cut::Zones(line.token(2, "a target")?.into(), line.token(4, "a zone")?.into());
        return Ok(Box::new(move |sim| sim.cut(cut, duration_s, hold)));
    }
    let who = line.token(1, "a target")?.to_owned();
    let from = match line.token(3, "a target")? {
        "all" => CutScope::All,
        "workers" => CutScope::Workers,
        "state" => CutScope::Store,
        "cloud" => CutScope::Cloud,
        "mesh" => CutScope::Mesh,
        "users" => CutScope::Users,
        other => return Err(LineError::unexpected("what to cut from", other)),
    };
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.cut(Cut::Node(node, from), duration_s, hold);
        }
    }))
}

/// `links slow FACTOR for S`.
pub(super) fn links(line: &Line) -> Result<Step, LineError> {
    let (factor, duration_s) = (line.number(2, "a factor")?, line.duration_s);
    let slow_down = move |sim: &mut Simulation| sim.network_slowdown = factor;
    Ok(fault_for(duration_s, slow_down, |sim| sim.network_slowdown = 1.0))
}
