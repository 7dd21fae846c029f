//! The line of a world, and the jobs in it.

use super::{
    examples::{example_job, example_type, settings_with},
    tokens::{KeyValues, id, number},
};
use crate::{
    simulation::Simulation,
    stand_ins::cloud::FakeCloud,
    stand_ins::store::{FakeStore, StoreLimits},
};
use gladekeel_wire::{
    cloud::MachineType,
    job::{JobKind, JobSpec, Priority},
    settings::Settings,
};
use std::collections::BTreeMap;

/// Builds a world from its line.
pub(super) fn world(words: &KeyValues<'_>) -> Result<Simulation, String> {
    let get = |key: &str, default: f64| words.get(key).map_or(Ok(default), |text| number(text));
    let nodes = get("nodes", 3.0)? as usize;
    let gang = (get("gang_wait", 30.0)?, get("gang_peer", 4.0)?);
    // `next=value_kb:2,txn_ops:4` is the table `state.next`.
    let next: String = words
        .get("next")
        .map_or(Vec::new(), |text| text.split(',').collect())
        .iter()
        .map(|pair| pair.replace(':', " = ") + "\n")
        .collect();
    let mut settings: Vec<Settings> =
        (0..nodes).map(|node| settings_with(node, nodes, gang, &next)).collect::<Result<_, _>>()?;
    for settings in &mut settings {
        let params = &mut settings.deployment;
        params.workers.heartbeat_interval_s = get("report", params.workers.heartbeat_interval_s)?;
        params.store.value_kb = get("value_kb", params.store.value_kb)?;
        params.store.write_rps = get("write_rps", params.store.write_rps)?;
        params.store.txn_ops = get("txn_ops", params.store.txn_ops as f64)? as usize;
        for team in &mut params.teams {
            team.cpus *= get("teams", 1.0)?;
            team.cpus_max *= get("teams", 1.0)?;
        }
    }
    let params = settings[0].deployment.clone();
    let mut capacity = BTreeMap::new();
    let zones: Vec<String> =
        words.get("zones").unwrap_or(&"a,b").split(',').map(str::to_owned).collect();
    for zone in &zones {
        capacity.insert((zone.clone(), false), get("ordinary", 4.0)? as u32);
        capacity.insert((zone.clone(), true), get("spot", 0.0)? as u32);
    }
    // Further types, of which the cloud has no machine.
    let further = (2..=get("types", 1.0)? as u32)
        .map(|number| MachineType { name: format!("m32-{number}"), ..example_type(zones.clone()) });
    let mut types: Vec<MachineType> = further.collect();
    types.push(MachineType { boot_s: get("boot", 20.0)?, ..example_type(zones) });
    let state = FakeStore::new(StoreLimits {
        rps: params.store.rps,
        write_rps: params.store.write_rps,
        txn_ops: params.store.txn_ops,
        value: (params.store.value_kb * 1024.0) as usize,
    });
    let cloud = FakeCloud::new(types, capacity, get("lag", 4.0)?);
    let mut sim = Simulation::new(settings, state, cloud, get("seed", 1.0)? as u64);
    sim.duplicated_request_share = get("late_copies", 0.0)?;
    sim.duplicated_heartbeat_share = get("late_reports", 0.0)?;
    sim.step_s = get("step", sim.step_s)?;
    sim.start_tasks_twice = words.contains_key("start_twice");
    (sim.gang_wait_s, sim.gangs.peer_s) = gang;
    sim.gangs.alone = words.contains_key("gang_alone");
    Ok(sim)
}

pub(super) fn job(name: &str, words: &KeyValues<'_>) -> Result<JobSpec, String> {
    id(name)?;
    let mut spec = example_job(name);
    for (key, value) in words {
        match *key {
            "tasks" => spec.tasks = number(value)? as u32,
            "cpus" => spec.cpus = number(value)?,
            "memory" => spec.memory_gb = number(value)?,
            "run" => spec.estimate_s = number(value)?,
            "image_gb" => spec.image_gb = number(value)?,
            "image" => spec.image = (*value).into(),
            "team" => spec.team = (*value).into(),
            "class" => spec.class = (*value).into(),
            "saves" => {
                (spec.checkpoint_interval_s, spec.checkpoint_write_s) = (number(value)?, 2.0);
            }
            "zone" => spec.zone = Some((*value).into()),
            "type" => spec.machine_types = Some(vec![(*value).into()]),
            "one_zone" => spec.single_zone = *value == "yes",
            "scatter" => spec.spread = *value == "yes",
            "kind" => {
                spec.kind = match *value {
                    "gang" => JobKind::Gang,
                    "service" => JobKind::Service,
                    other => return Err(format!("no kind {other}")),
                }
            }
            // Not the job's: each task runs so much longer than the one before it; jobs come
            // so far from one another; that part of them is cancelled.
            "apart" | "every" | "cancelled" => {}
            "spot" => spec.spot = *value == "yes",
            "priority" => {
                spec.priority = match *value {
                    "low" => Priority::Low,
                    "normal" => Priority::Normal,
                    "high" => Priority::High,
                    "production" => Priority::Production,
                    other => return Err(format!("no priority {other}")),
                }
            }
            other => return Err(format!("a job has no {other}")),
        }
    }
    Ok(spec)
}
