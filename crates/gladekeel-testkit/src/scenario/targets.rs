//! The nodes and machines that a step acts on.

use super::{
    LineError,
    tokens::{job_id, names, number},
};
use crate::{
    simulation::Simulation,
    stand_ins::worker::{FakeTask, FakeWorker},
};
use gladekeel_wire::worker::TaskState;

/// Prefix of a target that is a zone, like `zone:a`.
pub(super) const ZONE: &str = "zone:";

/// Workers that hold tasks first, in the order of their names.
pub(super) fn busiest_workers(sim: &Simulation, count: usize) -> Vec<String> {
    let mut names: Vec<(bool, String)> =
        sim.workers.iter().map(|(name, w)| (w.tasks.is_empty(), name.clone())).collect();
    names.sort();
    names.into_iter().take(count).map(|(_, name)| name).collect()
}

/// Takes all machines of a gang but one as soon as it has completed.
pub(super) fn reclaim_hosts_at_completion(sim: &mut Simulation, job: String) {
    let done = job_id(&job).is_ok_and(|id| sim.gangs.record(&id).done);
    if !done {
        return sim.after(0.01, move |sim| reclaim_hosts_at_completion(sim, job));
    }
    let holds = |w: &&FakeWorker| w.tasks.iter().any(|t| t.task.job.as_str() == job);
    let names: Vec<String> =
        sim.workers.values().filter(holds).map(|worker| worker.machine.name.clone()).collect();
    for name in names.into_iter().skip(1) {
        sim.reclaim_machine(name, 0.0);
    }
}

/// A machine with a task of a job that has not ended, one that waits if there is any.
pub(super) fn host(sim: &Simulation, job: &str) -> Option<String> {
    let holds = |worker: &&FakeWorker| {
        let there = |t: &FakeTask| t.task.job.as_str() == job && t.state != TaskState::Exited;
        worker.tasks.iter().any(there)
    };
    let waits = |worker: &&FakeWorker| {
        let waits = |t: &FakeTask| t.task.job.as_str() == job && t.state == TaskState::Waiting;
        worker.tasks.iter().any(waits)
    };
    let found = sim.workers.values().rfind(waits).or_else(|| sim.workers.values().rfind(holds));
    found.map(|worker| worker.machine.name.clone())
}

/// The machines that `MACHINES` of a step like `slow MACHINES` names.
#[derive(Debug)]
pub(super) enum MachineSelector {
    /// So many, those with tasks first.
    Count(usize),
    /// All of a zone.
    Zone(String),
    /// Those that hold a task of one of the jobs.
    HostsOf(Vec<String>),
}

impl MachineSelector {
    /// Reads `COUNT`, `zone:NAME` or the names of jobs.
    pub fn parse(text: &str) -> Result<MachineSelector, LineError> {
        if let Some(zone) = text.strip_prefix(ZONE) {
            return Ok(MachineSelector::Zone(zone.to_owned()));
        }
        if text.starts_with("job-") {
            return Ok(MachineSelector::HostsOf(names(text)));
        }
        Ok(MachineSelector::Count(number(text)? as usize))
    }

    /// Their names.
    pub fn names(&self, sim: &Simulation) -> Vec<String> {
        let is_selected = |worker: &&FakeWorker| match self {
            MachineSelector::Count(_) => false,
            MachineSelector::Zone(zone) => *zone == worker.machine.zone,
            MachineSelector::HostsOf(jobs) => {
                worker.tasks.iter().any(|t| jobs.iter().any(|job| job == t.task.job.as_str()))
            }
        };
        if let MachineSelector::Count(count) = self {
            return busiest_workers(sim, *count);
        }
        let selected = sim.workers.values().filter(is_selected);
        selected.map(|worker| worker.machine.name.clone()).collect()
    }
}

/// The indices of the nodes that `leader`, `followers`, `all` or a number means now.
pub(super) fn node_indices(sim: &Simulation, who: &str) -> Vec<usize> {
    match who {
        "leader" => sim.leader_node().into_iter().collect(),
        "all" => (0..sim.nodes()).collect(),
        "followers" => (0..sim.nodes()).filter(|node| Some(*node) != sim.leader_node()).collect(),
        number => number.parse().into_iter().filter(|node| *node < sim.nodes()).collect(),
    }
}
