//! Steps that reclaim, drain, reboot, hang or otherwise degrade machines.

use super::{Step, line::Line};
use crate::{
    invariants::Invariant,
    scenario::{
        LineError,
        targets::{MachineSelector, busiest_workers, host, reclaim_hosts_at_completion},
    },
    simulation::Simulation,
    stand_ins::worker::FakeWorker,
};

/// The action of a step on one machine; called with the name of the machine.
type MachineStep = Box<dyn FnOnce(&mut Simulation, String)>;

/// Prefix of a target like `zone_of:job-1`: all machines in the zone of a machine that hosts a task
/// of the job.
pub(super) const ZONE_OF: &str = "zone_of:";
/// Prefix of a target like `host_of:job-1`: one machine that hosts a task of the job.
pub(super) const HOST_OF: &str = "host_of:";

/// Factor by which tasks take longer on a slow machine.
const SLOWDOWN: f64 = 20.0;

/// `reclaim_at_completion JOB`: the cloud reclaims all machines of a gang but one at the moment the
/// gang completes, before any of these machines can report the completion.
pub(super) fn reclaim_at_completion(line: &Line) -> Result<Step, LineError> {
    let job = line.token(1, "the name of a job")?.to_owned();
    Ok(Box::new(move |sim| reclaim_hosts_at_completion(sim, job)))
}

/// `reclaim COUNT notice_s=S`: the cloud reclaims COUNT machines, those with tasks first.
pub(super) fn reclaim(line: &Line) -> Result<Step, LineError> {
    let count = line.number(1, "a number of machines")? as usize;
    let notice_s = line.options.number_or("notice_s", 0.0)?;
    Ok(Box::new(move |sim| {
        for name in busiest_workers(sim, count) {
            sim.reclaim_machine(name, notice_s);
        }
    }))
}

/// `reboot COUNT`: COUNT machines reboot, those with tasks first.
pub(super) fn reboot(line: &Line) -> Result<Step, LineError> {
    let count = line.number(1, "a number of machines")? as usize;
    Ok(Box::new(move |sim| {
        for name in busiest_workers(sim, count) {
            sim.reboot(&name);
        }
    }))
}

/// `reclaim zone_of:JOB` or `hang zone_of:JOB for S`: all machines in the zone of a machine that
/// hosts a task of the job are reclaimed or hang. The zone has no free machine afterwards.
pub(super) fn zone_of_job(line: &Line) -> Result<Step, LineError> {
    let reclaims = line.has(0, "reclaim");
    let job = line.after_prefix(1, ZONE_OF, "zone_of:JOB")?.to_owned();
    let duration_s = line.duration_s;
    Ok(Box::new(move |sim| {
        let zone = host(sim, &job).map(|name| sim.workers[&name].machine.zone.clone());
        let Some(zone) = zone else {
            return sim
                .invariants
                .report(Invariant::ScenarioTarget, format!("no machine hosts a task of {job}"));
        };
        let in_zone = sim.workers.values().filter(|worker| worker.machine.zone == zone);
        let names: Vec<String> = in_zone.map(|worker| worker.machine.name.clone()).collect();
        sim.mark_fault_active(duration_s);
        for name in names {
            if reclaims {
                sim.reclaim_machine(name, 0.0);
            } else {
                hang_without_heartbeat(sim, name, duration_s);
            }
        }
        // Reclaimed machines must not become free capacity of the zone.
        sim.after(0.01, move |sim| {
            let capacity = sim.cloud.capacity.iter_mut().filter(|(key, _)| key.0 == zone);
            capacity.for_each(|(_, count)| *count = 0);
        });
    }))
}

/// `reclaim|drain|hang|reboot host_of:JOB notice_s=S for S`: acts on one machine that hosts a task
/// of the job.
pub(super) fn host_of_job(line: &Line) -> Result<Step, LineError> {
    let job = line.after_prefix(1, HOST_OF, "host_of:JOB")?.to_owned();
    let notice_s = line.options.number_or("notice_s", 0.0)?;
    let duration_s = line.duration_s;
    let act: MachineStep = match line.token(0, "a verb")? {
        "reclaim" => Box::new(move |sim, name| sim.reclaim_machine(name, notice_s)),
        "drain" => Box::new(|sim, name| drain(sim, &name)),
        "reboot" => Box::new(|sim, name| sim.reboot(&name)),
        "hang" => Box::new(move |sim, name| {
            sim.mark_fault_active(duration_s);
            hang_without_heartbeat(sim, name, duration_s);
        }),
        other => return Err(LineError::unexpected("reclaim, drain, hang or reboot", other)),
    };
    Ok(Box::new(move |sim| match host(sim, &job) {
        Some(name) => act(sim, name),
        None => {
            let details = format!("no machine hosts a task of {job}");
            sim.invariants.report(Invariant::ScenarioTarget, details);
        }
    }))
}

/// Drains a machine through the leader's admin API.
fn drain(sim: &mut Simulation, name: &str) {
    let node = sim.leader_node().unwrap_or(0);
    let path = format!("/admin/machines/{name}/drain");
    sim.expect_status(node, "POST", path, Vec::new(), 200);
}

/// Hangs a machine. Unlike with `hang MACHINES`, the heartbeat that was due when the machine hung
/// is not sent when the machine resumes.
fn hang_without_heartbeat(sim: &mut Simulation, name: String, duration_s: f64) {
    let set_hung = move |sim: &mut Simulation, hung: bool| {
        if let Some(worker) = sim.workers.get_mut(&name) {
            worker.hung = hung;
        }
    };
    set_hung(sim, true);
    sim.after(duration_s, move |sim| set_hung(sim, false));
}

/// The fault that `hang`, `fail_tasks`, `refuse_starts`, `slow`, `partition_inbound` or
/// `partition_outbound` injects.
#[derive(Debug, Clone, Copy)]
enum MachineFault {
    Hung,
    FailsTasks,
    RefusesStarts,
    Slow,
    InboundPartition,
    OutboundPartition,
}

impl MachineFault {
    /// Returns the fault that the first token of a step names, such as `hang`.
    fn parse(verb: &str) -> Result<MachineFault, LineError> {
        match verb {
            "hang" => Ok(MachineFault::Hung),
            "fail_tasks" => Ok(MachineFault::FailsTasks),
            "refuse_starts" => Ok(MachineFault::RefusesStarts),
            "slow" => Ok(MachineFault::Slow),
            "partition_inbound" => Ok(MachineFault::InboundPartition),
            "partition_outbound" => Ok(MachineFault::OutboundPartition),
            other => Err(LineError::unexpected("a fault of a machine", other)),
        }
    }

    /// Injects the fault into a machine, or clears it.
    fn set(self, worker: &mut FakeWorker, now: f64, active: bool) {
        match self {
            MachineFault::Hung => worker.hang(now, active),
            MachineFault::FailsTasks => worker.fails_tasks = active,
            MachineFault::RefusesStarts => worker.refuses_starts = active,
            MachineFault::Slow => worker.slowdown = if active { SLOWDOWN } else { 1.0 },
            MachineFault::InboundPartition => worker.inbound_partitioned = active,
            MachineFault::OutboundPartition => worker.outbound_partitioned = active,
        }
    }
}

/// `hang|fail_tasks|refuse_starts|slow|partition_inbound|partition_outbound MACHINES for S`: the
/// machines that the selector names when the step is executed have the fault until the duration has passed.
pub(super) fn degrade(line: &Line) -> Result<Step, LineError> {
    let fault = MachineFault::parse(line.token(0, "a verb")?)?;
    let selector =
        MachineSelector::parse(line.token(1, "a number, zone:NAME or the names of jobs")?)?;
    let duration_s = line.duration_s;
    Ok(Box::new(move |sim| {
        let names = selector.names(sim);
        let set_fault = move |sim: &mut Simulation, active: bool| {
            let now = sim.now;
            for name in &names {
                if let Some(worker) = sim.workers.get_mut(name) {
                    fault.set(worker, now, active);
                }
            }
        };
        set_fault(sim, true);
        sim.mark_fault_active(duration_s);
        sim.after(duration_s, move |sim| set_fault(sim, false));
    }))
}
