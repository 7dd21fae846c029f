//! Builds a simulation with its settings, store and cloud from a `world` line.

use super::{
    LineError,
    examples::{GangTimes, example_type, settings_with},
    tokens::KeyValues,
};
use crate::{
    simulation::Simulation,
    stand_ins::{
        cloud::FakeCloud,
        store::{FakeStore, StoreLimits},
    },
};
use gladekeel_wire::{
    cloud::MachineType,
    settings::{Deployment, Settings},
};
use std::collections::BTreeMap;

const DEFAULT_NODES: f64 = 3.0;
const DEFAULT_ZONES: &str = "a,b";
const DEFAULT_ON_DEMAND_MACHINES: f64 = 4.0;
const DEFAULT_BOOT_S: f64 = 20.0;
const DEFAULT_LIST_LAG_S: f64 = 4.0;

/// Returns the simulation that the `key=value` tokens of a `world` line describe. Unknown keys are
/// ignored.
pub(super) fn build_simulation(options: &KeyValues<'_>) -> Result<Simulation, LineError> {
    let gang_times = GangTimes {
        wait_s: options.number_or("gang_wait_s", GangTimes::default().wait_s)?,
        exit_detection_s: options
            .number_or("gang_peer_s", GangTimes::default().exit_detection_s)?,
    };
    let settings = node_settings(options, gang_times)?;
    let store = FakeStore::new(store_limits(&settings[0].deployment));
    let cloud = build_cloud(options)?;
    let seed = options.number_or("seed", 1.0)? as u64;
    let mut sim = Simulation::new(settings, store, cloud, seed);
    sim.duplicated_request_share = options.number_or("duplicated_request_share", 0.0)?;
    sim.duplicated_heartbeat_share = options.number_or("duplicated_heartbeat_share", 0.0)?;
    sim.set_clock_error(options.number_or("clock_error_ms", 0.0)? / 1000.0);
    sim.worker_step_s = options.number_or("worker_step_s", sim.worker_step_s)?;
    sim.start_tasks_twice = options.contains("start_tasks_twice");
    sim.gang_wait_s = gang_times.wait_s;
    sim.gangs.exit_detection_s = gang_times.exit_detection_s;
    sim.gangs.run_partial_gangs = options.contains("run_partial_gangs");
    Ok(sim)
}

/// Returns the settings of all nodes, in the order of their indices.
fn node_settings(
    options: &KeyValues<'_>,
    gang_times: GangTimes,
) -> Result<Vec<Settings>, LineError> {
    let nodes = options.number_or("nodes", DEFAULT_NODES)? as usize;
    let announced_limits = announced_limits_table(options);
    let node_settings = |node| {
        let mut settings = settings_with(node, nodes, gang_times, &announced_limits)?;
        override_deployment(&mut settings.deployment, options)?;
        Ok(settings)
    };
    (0..nodes).map(node_settings).collect()
}

/// Returns the lines of the settings' table `state.next` for a key like
/// `announced_limits=value_kb:2,txn_ops:4`.
fn announced_limits_table(options: &KeyValues<'_>) -> String {
    let pairs =
        options.text("announced_limits").map_or(Vec::new(), |text| text.split(',').collect());
    pairs.iter().map(|pair| pair.replace(':', " = ") + "\n").collect()
}

/// Replaces the parameters of the deployment that the `world` line sets.
fn override_deployment(
    deployment: &mut Deployment,
    options: &KeyValues<'_>,
) -> Result<(), LineError> {
    let workers = &mut deployment.workers;
    workers.heartbeat_interval_s =
        options.number_or("heartbeat_interval_s", workers.heartbeat_interval_s)?;
    workers.lease_s = options.number_or("lease_s", workers.lease_s)?;
    workers.cancellation_deadline_s =
        options.number_or("cancel_s", workers.cancellation_deadline_s)?;
    deployment.clock_error_bound_ms =
        options.number_or("clock_error_ms", deployment.clock_error_bound_ms)?;
    let store = &mut deployment.store;
    store.value_kb = options.number_or("value_kb", store.value_kb)?;
    store.write_rps = options.number_or("write_rps", store.write_rps)?;
    store.txn_ops = options.number_or("txn_ops", store.txn_ops as f64)? as usize;
    let team_factor = options.number_or("team_quota_factor", 1.0)?;
    for team in &mut deployment.teams {
        team.cpus *= team_factor;
        team.cpus_max *= team_factor;
    }
    Ok(())
}

fn store_limits(deployment: &Deployment) -> StoreLimits {
    StoreLimits {
        rps: deployment.store.rps,
        write_rps: deployment.store.write_rps,
        txn_ops: deployment.store.txn_ops,
        value: (deployment.store.value_kb * 1024.0) as usize,
    }
}

fn build_cloud(options: &KeyValues<'_>) -> Result<FakeCloud, LineError> {
    let zones = options.text("zones").unwrap_or(DEFAULT_ZONES);
    let zones: Vec<String> = zones.split(',').map(str::to_owned).collect();
    let on_demand = options.number_or("on_demand", DEFAULT_ON_DEMAND_MACHINES)? as u32;
    let spot = options.number_or("spot", 0.0)? as u32;
    let mut capacity = BTreeMap::new();
    for zone in &zones {
        capacity.insert((zone.clone(), false), on_demand);
        capacity.insert((zone.clone(), true), spot);
    }
    let machine_types = machine_types(options, zones)?;
    Ok(FakeCloud::new(
        machine_types,
        capacity,
        options.number_or("list_lag_s", DEFAULT_LIST_LAG_S)?,
    ))
}

/// Returns all machine types: `m32-2`, `m32-3` and so on, and `m32` as the last one. Only `m32` has
/// the boot time of the `world` line. All types share the free machines of a zone.
fn machine_types(
    options: &KeyValues<'_>,
    zones: Vec<String>,
) -> Result<Vec<MachineType>, LineError> {
    let count = options.number_or("machine_types", 1.0)? as u32;
    let other_types = (2..=count)
        .map(|number| MachineType { name: format!("m32-{number}"), ..example_type(zones.clone()) });
    let mut machine_types: Vec<MachineType> = other_types.collect();
    let boot_s = options.number_or("boot_s", DEFAULT_BOOT_S)?;
    machine_types.push(MachineType { boot_s, ..example_type(zones) });
    Ok(machine_types)
}
