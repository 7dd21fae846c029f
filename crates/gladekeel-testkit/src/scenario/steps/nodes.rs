//! What happens to controllers and to the network.

use super::{Step, line::Line};
use crate::{
    scenario::targets::node_indices,
    simulation::{Cut, CutScope},
};

/// `crash WHO for S`, or `crash leader commits=N for S` between two transactions.
pub(super) fn crash(line: &Line) -> Result<Step, String> {
    let for_s = line.for_s;
    if let Some(left) = line.given("commits")? {
        return Ok(Box::new(move |sim| sim.crash_after_commits = Some((left as u32, for_s))));
    }
    let who = line.at(1)?.to_owned();
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.restart(node, for_s);
        }
    }))
}

/// `freeze WHO for S`.
pub(super) fn freeze(line: &Line) -> Result<Step, String> {
    let (who, for_s) = (line.at(1)?.to_owned(), line.for_s);
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.pause(node, for_s);
        }
    }))
}

/// `cut zone A from B for S hold` or `cut WHO from WHAT for S hold`; with `hold` what was
/// sent meanwhile arrives after it.
pub(super) fn cut(line: &Line) -> Result<Step, String> {
    let (for_s, hold) = (line.for_s, line.plain.last() == Some(&"hold"));
    if line.is(1, "zone") {
        let cut = Cut::Zones(line.at(2)?.into(), line.at(4)?.into());
        return Ok(Box::new(move |sim| sim.cut(cut, for_s, hold)));
    }
    let who = line.at(1)?.to_owned();
    let from = match line.at(3)? {
        "all" => CutScope::All,
        "workers" => CutScope::Workers,
        "state" => CutScope::Store,
        "cloud" => CutScope::Cloud,
        "mesh" => CutScope::Mesh,
        "users" => CutScope::Users,
        other => return Err(format!("cannot cut from {other}")),
    };
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.cut(Cut::Node(node, from), for_s, hold);
        }
    }))
}

/// `links slow FACTOR for S`.
pub(super) fn links(line: &Line) -> Result<Step, String> {
    let (factor, for_s) = (line.number_at(2)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.network_slowdown = factor;
        sim.fault_lasts(for_s);
        sim.after(for_s, |sim| sim.network_slowdown = 1.0);
    }))
}
