//! What happens to machines.

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

/// What a step does to a machine with this name.
type MachineStep = Box<dyn FnOnce(&mut Simulation, String)>;

/// Prefix of a target that is the zone of a job's tasks, like `zone_of:job-1`.
pub(super) const ZONE_OF: &str = "zone_of:";
/// Prefix of a target that is one machine with a task of a job, like `host_of:job-1`.
pub(super) const HOST_OF: &str = "host_of:";

/// By which factor tasks run longer on a slow machine.
const SLOWDOWN: f64 = 20.0;

/// `reclaim_at_completion JOB`: all machines of a gang but one are gone the moment it has
/// completed, before any of them can report it.
pub(super) fn reclaim_at_completion(line: &Line) -> Result<Step, LineError> {
    let job = line.token(1, "the name of a job")?.to_owned();
    Ok(Box::new(move |sim| reclaim_hosts_at_completion(sim, job)))
}

/// `reclaim COUNT notice_s=S`.
pub(super) fn reclaim(line: &Line) -> Result<Step, LineError> {
    let count = line.number(1, "how many machines")? as usize;
    let notice_s = line.options.number_or("notice_s", 0.0)?;
    Ok(Box::new(move |sim| {
        for name in busiest_workers(sim, count) {
            sim.reclaim_machine(name, notice_s);
        }
    }))
}

/// `reboot COUNT`.
pub(super) fn reboot(line: &Line) -> Result<Step, LineError> {
    let count = line.number(1, "how many machines")? as usize;
    Ok(Box::new(move |sim| {
        for name in busiest_workers(sim, count) {
            sim.reboot(&name);
        }
    }))
}

/// `reclaim zone_of:JOB` or `hang zone_of:JOB for S`: all machines of the zone of a job's tasks.
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
        let there = sim.workers.values().filter(|worker| worker.machine.zone == zone);
        let names: Vec<String> = there.map(|worker| worker.machine.name.clone()).collect();
        sim.mark_fault_active(duration_s);
        for name in names {
            if reclaims {
                sim.reclaim_machine(name, 0.0);
            } else {
                hang_for(sim, name, duration_s);
            }
        }
        // What was taken must not be free capacity again.
        sim.after(0.01, move |sim| {
            let gone = sim.cloud.capacity.iter_mut().filter(|(key, _)| key.0 == zone);
            gone.for_each(|(_, count)| *count = 0);
        });
    }))
}

/// `reclaim|drain|hang|reboot host_of:JOB notice_s=S for S`: one machine that hosts a task of a
/// job.
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
            hang_for(sim, name, duration_s);
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

/// Drains a machine by way of the leader's admin API.
fn drain(sim: &mut Simulation, name: &str) {
    let node = sim.leader_node().unwrap_or(0);
    let path = format!("/admin/machines/{name}/drain");
    sim.expect_status(node, "POST", path, Vec::new(), 200);
}

/// Hangs a machine without a heartbeat that it was about to send.
fn hang_for(sim: &mut Simulation, name: String, duration_s: f64) {
    let set_hung = move |sim: &mut Simulation, hung: bool| {
        if let Some(worker) = sim.workers.get_mut(&name) {
            worker.hung = hung;
        }
    };
    set_hung(sim, true);
    sim.after(duration_s, move |sim| set_hung(sim, false));
}

/// What `hang`, `fail_tasks`, `slow`, `partition_inbound` and `partition_outbound` do to a machine.
#[derive(Debug, Clone, Copy)]
enum MachineFault {
    Hung,
    FailsTasks,
    Slow,
    InboundPartition,
    OutboundPartition,
}

impl MachineFault {
    fn parse(verb: &str) -> Result<MachineFault, LineError> {
        match verb {
            "hang" => Ok(MachineFault::Hung),
            "fail_tasks" => Ok(MachineFault::FailsTasks),
            "slow" => Ok(MachineFault::Slow),
            "partition_inbound" => Ok(MachineFault::InboundPartition),
            "partition_outbound" => Ok(MachineFault::OutboundPartition),
            other => Err(LineError::unexpected("a fault of a machine", other)),
        }
    }

    fn set(self, worker: &mut FakeWorker, now: f64, active: bool) {
        match self {
            MachineFault::Hung => worker.hang(now, active),
            MachineFault::FailsTasks => worker.fails_tasks = active,
            MachineFault::Slow => worker.slowdown = if active { SLOWDOWN } else { 1.0 },
            MachineFault::InboundPartition => worker.inbound_partitioned = active,
            MachineFault::OutboundPartition => worker.outbound_partitioned = active,
        }
    }
}

/// `hang|fail_tasks|slow|partition_inbound|partition_outbound WHO for S`: so many machines,
/// those that hold tasks of jobs, or those of `zone:NAME`.
pub(super) fn degrade(line: &Line) -> Result<Step, LineError> {
    let fault = MachineFault::parse(line.token(0, "a verb")?)?;
    let select = MachineSelector::parse(line.token(1, "which machines")?)?;
    let duration_s = line.duration_s;
    Ok(Box::new(move |sim| {
        let names = select.names(sim);
        let set = move |sim: &mut Simulation, active: bool| {
            let now = sim.now;
            for name in &names {
                if let Some(worker) = sim.workers.get_mut(name) {
                    fault.set(worker, now, active);
                }
            }
        };
        set(sim, true);
        sim.mark_fault_active(duration_s);
        sim.after(duration_s, move |sim| set(sim, false));
    }))
}
