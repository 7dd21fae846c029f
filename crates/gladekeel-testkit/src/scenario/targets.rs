//! Targets of steps: selects the nodes and machines that a step acts on.

use super::{
    LineError,
    tokens::{expand_names, job_id, number},
};
use crate::{
    simulation::Simulation,
    stand_ins::worker::{FakeTask, FakeWorker},
};
use gladekeel_wire::worker::TaskState;

/// Prefix of a target that names a zone, like `zone:a`.
pub(super) const ZONE: &str = "zone:";

/// Returns the names of at most `count` workers: first the workers with tasks, then the workers
/// without tasks, each group sorted by name.
pub(super) fn busiest_workers(sim: &Simulation, count: usize) -> Vec<String> {
    let mut names: Vec<(bool, String)> =
        sim.workers.iter().map(|(name, w)| (w.tasks.is_empty(), name.clone())).collect();
    names.sort();
    names.into_iter().take(count).map(|(_, name)| name).collect()
}

/// Reclaims all machines of a gang but one as soon as the gang has completed.
pub(super) fn reclaim_hosts_at_completion(sim: &mut Simulation, job: String) {
    let completed = job_id(&job).is_ok_and(|id| sim.gangs.record(&id).done);
    if !completed {
        return sim.after(0.01, move |sim| reclaim_hosts_at_completion(sim, job));
    }
    let is_host = |w: &&FakeWorker| w.tasks.iter().any(|t| t.task.job.as_str() == job);
    let names: Vec<String> =
        sim.workers.values().filter(is_host).map(|worker| worker.machine.name.clone()).collect();
    for name in names.into_iter().skip(1) {
        sim.reclaim_machine(name, 0.0);
    }
}

/// Returns the name of a machine that hosts a task of a job, or `None` if no machine does. Ignores
/// tasks that have exited. Prefers a machine whose task waits for its gang.
pub(super) fn host(sim: &Simulation, job: &str) -> Option<String> {
    let is_host = |worker: &&FakeWorker| {
        let is_on_machine =
            |t: &FakeTask| t.task.job.as_str() == job && t.state != TaskState::Exited;
        worker.tasks.iter().any(is_on_machine)
    };
    let has_waiting_task = |worker: &&FakeWorker| {
        let is_waiting = |t: &FakeTask| t.task.job.as_str() == job && t.state == TaskState::Waiting;
        worker.tasks.iter().any(is_waiting)
    };
    let found = sim
        .workers
        .values()
        .rfind(has_waiting_task)
        .or_else(|| sim.workers.values().rfind(is_host));
    found.map(|worker| worker.machine.name.clone())
}

/// The target `MACHINES` of steps like `slow MACHINES for S`.
#[derive(Debug)]
pub(super) enum MachineSelector {
    /// A number of machines, those with tasks first.
    Count(usize),
    /// All machines of a zone.
    Zone(String),
    /// All machines that host a task of one of these jobs.
    HostsOf(Vec<String>),
}

impl MachineSelector {
    /// Parses a number, `zone:NAME`, or the names of jobs.
    pub fn parse(text: &str) -> Result<MachineSelector, LineError> {
        if let Some(zone) = text.strip_prefix(ZONE) {
            return Ok(MachineSelector::Zone(zone.to_owned()));
        }
        if text.starts_with("job-") {
            return Ok(MachineSelector::HostsOf(expand_names(text)));
        }
        Ok(MachineSelector::Count(number(text)? as usize))
    }

    /// Returns the names of the machines that are selected at this moment.
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

/// Returns the indices of the nodes that `leader`, `followers`, `all` or an index refers to at this
/// moment. The result is empty if there is no such node.
pub(super) fn node_indices(sim: &Simulation, who: &str) -> Vec<usize> {
    match who {
        "leader" => sim.leader_node().into_iter().collect(),
        "all" => (0..sim.node_count()).collect(),
        "followers" => {
            (0..sim.node_count()).filter(|node| Some(*node) != sim.leader_node()).collect()
        }
        number => number.parse().into_iter().filter(|node| *node < sim.node_count()).collect(),
    }
}
