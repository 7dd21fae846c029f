//! Steps that inject faults of nodes and of the network.

use super::{Step, fault_for, line::Line};
use crate::{
    scenario::{
        LineError,
        targets::{ZONE, node_indices},
    },
    simulation::{Partition, PartitionScope, Simulation},
};

/// `crash WHO for S`: nodes crash and start again. With `crash leader after_commits=N for S` the
/// leader crashes when its Nth transaction from now on is committed, before it receives the
/// response.
pub(super) fn crash(line: &Line) -> Result<Step, LineError> {
    let duration_s = line.duration_s;
    if let Some(left) = line.options.number("after_commits")? {
        return Ok(Box::new(move |sim| sim.crash_after_commits = Some((left as u32, duration_s))));
    }
    let who = line.token(1, "a node")?.to_owned();
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.restart(node, duration_s);
        }
    }))
}

/// `pause WHO for S`: the processes of nodes are paused while their clocks run on.
pub(super) fn pause(line: &Line) -> Result<Step, LineError> {
    let (who, duration_s) = (line.token(1, "a node")?.to_owned(), line.duration_s);
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.pause(node, duration_s);
        }
    }))
}

/// `partition zone:A from zone:B for S buffered` or `partition WHO from SCOPE for S buffered`.
/// With `buffered`, messages that are sent during the partition arrive when the partition ends,
/// otherwise they are lost.
pub(super) fn partition(line: &Line) -> Result<Step, LineError> {
    let (duration_s, buffered) = (line.duration_s, line.tokens.last() == Some(&"buffered"));
    if line.has_prefix(1, ZONE) {
        let partition = Partition::Zones(
            line.after_prefix(1, ZONE, "zone:NAME")?.into(),
            line.after_prefix(3, ZONE, "zone:NAME")?.into(),
        );
        return Ok(Box::new(move |sim| sim.partition(partition, duration_s, buffered)));
    }
    let who = line.token(1, "a node")?.to_owned();
    let from = match line.token(3, "all, workers, store, cloud, peers or users")? {
        "all" => PartitionScope::All,
        "workers" => PartitionScope::Workers,
        "store" => PartitionScope::Store,
        "cloud" => PartitionScope::Cloud,
        "peers" => PartitionScope::Peers,
        "users" => PartitionScope::Users,
        other => {
            return Err(LineError::unexpected("all, workers, store, cloud, peers or users", other));
        }
    };
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.partition(Partition::Node(node, from), duration_s, buffered);
        }
    }))
}

/// `slow network FACTOR for S`: every message takes longer by this factor.
pub(super) fn slow_network(line: &Line) -> Result<Step, LineError> {
    let (factor, duration_s) = (line.number(2, "a factor")?, line.duration_s);
    let slow_down = move |sim: &mut Simulation| sim.network_slowdown = factor;
    Ok(fault_for(duration_s, slow_down, |sim| sim.network_slowdown = 1.0))
}
