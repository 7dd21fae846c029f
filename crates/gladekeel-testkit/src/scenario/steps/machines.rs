//! What happens to machines.

use super::{Step, line::Line};
use crate::{
    scenario::{
        targets::{busiest_workers, holder, terminate_holders_once_done},
        tokens::{names, number},
    },
    simulation::Simulation,
    stand_ins::worker::FakeWorker,
};

/// How many times as long a slow machine takes.
const SLOW: f64 = 20.0;

/// `take done JOB`: whoever holds a gang goes the moment it has completed, but for one
/// machine: before any of these can report it.
pub(super) fn take_done(line: &Line) -> Result<Step, String> {
    let job = line.at(2)?.to_owned();
    Ok(Box::new(move |sim| terminate_holders_once_done(sim, job)))
}

/// `take COUNT notice=S`.
pub(super) fn take(line: &Line) -> Result<Step, String> {
    let count = line.number_at(1)? as usize;
    let notice_s = line.given_or_zero("notice")?;
    Ok(Box::new(move |sim| {
        for name in busiest_workers(sim, count) {
            sim.terminate_machine(name, notice_s);
        }
    }))
}

/// `reboot COUNT`.
pub(super) fn reboot(line: &Line) -> Result<Step, String> {
    let count = line.number_at(1)? as usize;
    Ok(Box::new(move |sim| {
        for name in busiest_workers(sim, count) {
            sim.reboot(&name);
        }
    }))
}

/// `take zone JOB` or `hang zone JOB for S`: the zone of a job's tasks, with all its machines.
pub(super) fn zone_of_job(line: &Line) -> Result<Step, String> {
    let takes = line.is(0, "take");
    let (job, for_s) = (line.at(2)?.to_owned(), line.for_s);
    Ok(Box::new(move |sim| {
        let zone = holder(sim, &job).map(|name| sim.workers[&name].zone.clone());
        let Some(zone) = zone else {
            return sim.invariants.broke("nobody", format!("no machine holds {job}"));
        };
        let there = sim.workers.values().filter(|worker| worker.zone == zone);
        let names: Vec<String> = there.map(|worker| worker.name.clone()).collect();
        sim.fault_lasts(for_s);
        for name in names {
            if takes {
                sim.terminate_machine(name, 0.0);
            } else {
                hang_for(sim, name, for_s);
            }
        }
        // What was taken must not count as free room again.
        sim.after(0.01, move |sim| {
            let gone = sim.cloud.capacity.iter_mut().filter(|(key, _)| key.0 == zone);
            gone.for_each(|(_, count)| *count = 0);
        });
    }))
}

/// `take|drain|hang|reboot holder JOB notice=S for S`: one machine that holds a task of a job.
pub(super) fn holder_of_job(line: &Line) -> Result<Step, String> {
    let (what, job) = (line.at(0)?.to_owned(), line.at(2)?.to_owned());
    let (notice_s, for_s) = (line.given_or_zero("notice")?, line.for_s);
    Ok(Box::new(move |sim| {
        let Some(name) = holder(sim, &job) else {
            return sim.invariants.broke("nobody", format!("no machine holds {job}"));
        };
        match what.as_str() {
            "take" => sim.terminate_machine(name, notice_s),
            "drain" => {
                let node = sim.leading().unwrap_or(0);
                let path = format!("/admin/machines/{name}/drain");
                sim.expect_status(node, "POST", path, Vec::new(), 200);
            }
            "reboot" => sim.reboot(&name),
            _ => {
                sim.fault_lasts(for_s);
                hang_for(sim, name, for_s);
            }
        }
    }))
}

fn hang_for(sim: &mut Simulation, name: String, for_s: f64) {
    let hang = move |sim: &mut Simulation, on: bool| {
        if let Some(worker) = sim.workers.get_mut(&name) {
            worker.hung = on;
        }
    };
    hang(sim, true);
    sim.after(for_s, move |sim| hang(sim, false));
}

/// `hang|sick|slow|deaf|mute WHO for S`: so many machines, those that hold tasks of jobs, or
/// those of `zone:NAME`.
pub(super) fn degrade(line: &Line) -> Result<Step, String> {
    let (what, who) = (line.at(0)?.to_owned(), line.at(1)?.to_owned());
    let for_s = line.for_s;
    let zone = who.strip_prefix("zone:").map(str::to_owned);
    let jobs = if who.starts_with("job-") { names(&who) } else { Vec::new() };
    let named = zone.is_some() || !jobs.is_empty();
    let count = if named { 0 } else { number(&who)? as usize };
    Ok(Box::new(move |sim| {
        let holds = |worker: &FakeWorker| {
            zone.as_ref().is_some_and(|zone| *zone == worker.zone)
                || worker.tasks.iter().any(|t| jobs.iter().any(|job| job == t.task.job.as_str()))
        };
        let mut names = busiest_workers(sim, count);
        names.extend(sim.workers.values().filter(|w| holds(w)).map(|w| w.name.clone()));
        if what == "hang" {
            return sim.hang(names, for_s);
        }
        let set = move |sim: &mut Simulation, on: bool| {
            for name in &names {
                if let Some(worker) = sim.workers.get_mut(name) {
                    set_degraded(worker, &what, on);
                }
            }
        };
        set(sim, true);
        sim.fault_lasts(for_s);
        sim.after(for_s, move |sim| set(sim, false));
    }))
}

fn set_degraded(worker: &mut FakeWorker, what: &str, on: bool) {
    match what {
        "deaf" => worker.inbound_partitioned = on,
        "mute" => worker.outbound_partitioned = on,
        "sick" => worker.fails_tasks = on,
        _ => worker.slowdown = if on { SLOW } else { 1.0 },
    }
}
