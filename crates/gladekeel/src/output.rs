//! Formatting of the service's responses as human-readable text.

use gladekeel_wire::{
    admin::{MachineList, MachineStatus, NodeStatus, Status, TeamStatus},
    job::JobStatus,
};
use std::collections::BTreeMap;

pub fn job(status: JobStatus) -> String {
    let state = serde_json::to_value(status.state).unwrap_or_default();
    let tasks = match (status.done, status.running) {
        (Some(done), Some(running)) => format!(", {done} tasks done, {running} running"),
        _ => String::new(),
    };
    format!("{}: {}{tasks}", status.id, state.as_str().unwrap_or("unknown"))
}

/// The part of a response that contains the values of the runtime settings.
#[derive(serde::Deserialize)]
pub struct SettingValues {
    settings: BTreeMap<String, f64>,
}

pub fn settings(values: SettingValues) -> String {
    values.settings.iter().map(|(name, value)| format!("{name} = {value}\n")).collect()
}

pub fn status(status: Status) -> String {
    let mut text = format!(
        "node {}, store read {}\nleader {}, token {}\n",
        status.node,
        age(status.store_contact_age_s),
        status.leader.as_deref().unwrap_or("none"),
        status.token
    );
    text.extend(status.nodes.iter().map(node_line));
    text.extend(status.teams.iter().map(team_line));
    text += &machine_counts_line(status.machines.as_ref());
    text
}

fn node_line(node: &NodeStatus) -> String {
    format!("node {}, last heartbeat {}\n", node.node, age(node.last_heartbeat_age_s))
}

fn team_line(team: &TeamStatus) -> String {
    format!(
        "team {}: {} CPUs of {} guaranteed and {} at most; {} jobs, {} tasks waiting\n",
        team.team, team.cpus, team.guaranteed_cpus, team.limit_cpus, team.jobs, team.waiting
    )
}

fn machine_counts_line(machines: Option<&BTreeMap<String, u32>>) -> String {
    let Some(machines) = machines else { return "machines: ask the leader\n".to_owned() };
    if machines.is_empty() {
        return "machines: none\n".to_owned();
    }
    let counts = machines.iter().map(|(state, count)| format!("{count} {state}"));
    format!("machines: {}\n", counts.collect::<Vec<String>>().join(", "))
}

fn age(seconds: Option<f64>) -> String {
    seconds.map_or_else(|| "never".to_owned(), |seconds| format!("{seconds:.1} s ago"))
}

pub fn machines(list: MachineList) -> String {
    list.machines.iter().map(machine_line).collect()
}

fn machine_line(machine: &MachineStatus) -> String {
    format!(
        "{} {} {} {}{}, {} tasks\n",
        machine.machine,
        machine.state,
        machine.machine_type.as_deref().unwrap_or("?"),
        machine.zone.as_deref().unwrap_or("?"),
        if machine.spot { " spot" } else { "" },
        machine.tasks
    )
}
