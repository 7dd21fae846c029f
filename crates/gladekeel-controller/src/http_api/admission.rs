//! Admission control: whether a well-formed submission could ever run.
//!
//! Called once for each new job, before it is written to the store. A job that was accepted
//! before must not be judged again: a repeated submission is answered with the job's state.

use gladekeel_sched::Resources;
use gladekeel_wire::{
    cloud::{MachineType, MachineTypes},
    job::{JobKind, JobSpec},
    settings::Deployment,
};
use std::collections::BTreeSet;

/// Whether a job can ever run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It can.
    Accepted,
    /// It cannot; the reason is for the user.
    Rejected(String),
    /// The machine types have not been read yet.
    Unknown,
}

/// Decides whether a job fits its team's limit and some machine type.
///
/// The machine types that are currently sold out count as well: capacity that is missing just
/// now is no reason to reject a job.
pub(crate) fn check_admission(
    deployment: &Deployment,
    machine_types: Option<&MachineTypes>,
    spec: &JobSpec,
) -> Admission {
    let Some(team) = deployment.teams.iter().find(|team| team.name == spec.team) else {
        return Admission::Rejected(format!("no team {:?}", spec.team));
    };
    // Tasks of an array can run one after the other; a gang or a service needs all of them.
    let concurrent_tasks = if spec.kind == JobKind::Array { 1 } else { spec.tasks };
    // The scheduler's own units: whatever is accepted here can be placed.
    let task = Resources::requested(spec.cpus, spec.gpus, spec.memory_gb);
    let requested = task * i64::from(concurrent_tasks);
    let limit = Resources::allocatable(team.cpus_max, team.gpus_max, 0.0);
    if requested.cpus > limit.cpus || requested.gpus > limit.gpus {
        return Admission::Rejected("the job needs more than the team's limit".into());
    }
    let Some(machine_types) = machine_types else { return Admission::Unknown };
    let allowed = allowed_types(machine_types, spec, task);
    if allowed.is_empty() {
        return Admission::Rejected("a task fits no allowed machine type".into());
    }
    let has_single_zone = || spec.single_zone || allowed_zones(&allowed, spec).len() == 1;
    if spec.spread && concurrent_tasks > 1 && has_single_zone() {
        return Admission::Rejected(
            "all tasks are in one zone, and at most half of them may be".into(),
        );
    }
    Admission::Accepted
}

/// The machine types that the job allows and whose capacity holds a task.
fn allowed_types<'a>(
    machine_types: &'a MachineTypes,
    spec: &JobSpec,
    task: Resources,
) -> Vec<&'a MachineType> {
    let is_allowed = |machine_type: &&MachineType| {
        spec.machine_types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
            && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
    };
    let fits = |machine_type: &&MachineType| {
        let MachineType { cpus, gpus, memory_gb, .. } = **machine_type;
        task.fits_in(Resources::allocatable(cpus, gpus, memory_gb))
    };
    machine_types.types.iter().filter(is_allowed).filter(fits).collect()
}

/// The zones in which the job's tasks may run.
fn allowed_zones<'a>(machine_types: &[&'a MachineType], spec: &JobSpec) -> BTreeSet<&'a str> {
    let zones = machine_types.iter().flat_map(|machine_type| &machine_type.zones);
    let allowed = zones.filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone));
    allowed.map(String::as_str).collect()
}
