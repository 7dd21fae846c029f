//! Admission control: rejects well-formed jobs that could never run.
//!
//! The node checks each new job once, before the job is written to the store. A job that has
//! already been accepted must not be checked again: the response to a repeated submission is the
//! job's state.

use gladekeel_sched::Resources;
use gladekeel_wire::{
    cloud::{MachineType, MachineTypes},
    job::{JobKind, JobSpec},
    settings::Deployment,
};
use std::collections::BTreeSet;

/// The result of [`check_admission`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The job can run.
    Accepted,
    /// The job can never run, for a reason that is sent to the user.
    Rejected(String),
    /// The machine types have not been read yet, so that the job cannot be checked.
    Unknown,
}

/// Checks that a job fits its team's limit and at least one machine type.
///
/// Machine types that are currently sold out are considered too: a temporary lack of capacity is no
/// reason to reject a job.
pub(crate) fn check_admission(
    deployment: &Deployment,
    machine_types: Option<&MachineTypes>,
    spec: &JobSpec,
) -> Admission {
    let Some(team) = deployment.teams.iter().find(|team| team.name == spec.team) else {
        return Admission::Rejected(format!("no team {:?}", spec.team));
    };
    // Tasks of an array can run one at a time; a gang or a service needs all its tasks at the same
    // time.
    let concurrent_tasks = if spec.kind == JobKind::Array { 1 } else { spec.tasks };
    // The resources are computed in the scheduler's units, so that the scheduler can place every
    // accepted job.
    let task = Resources::requested(spec.cpus, spec.gpus, spec.memory_gb);
    let requested = task * i64::from(concurrent_tasks);
    let limit = Resources::allocatable(team.cpus_max, team.gpus_max, 0.0);
    if requested.cpus > limit.cpus || requested.gpus > limit.gpus {
        return Admission::Rejected("the job needs more than the team's limit".into());
    }
    let Some(machine_types) = machine_types else { return Admission::Unknown };
    let suitable_types = suitable_types(machine_types, spec, task);
    if suitable_types.is_empty() {
        return Admission::Rejected("a task fits no allowed machine type".into());
    }
    let has_single_zone = || spec.single_zone || allowed_zones(&suitable_types, spec).len() == 1;
    if spec.spread && concurrent_tasks > 1 && has_single_zone() {
        return Admission::Rejected(
            "all tasks are in one zone, and at most half of them may be".into(),
        );
    }
    Admission::Accepted
}

/// The machine types that the job allows and that have the capacity for one of its tasks.
fn suitable_types<'a>(
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

/// The zones of the given machine types in which the job's tasks may run.
fn allowed_zones<'a>(machine_types: &[&'a MachineType], spec: &JobSpec) -> BTreeSet<&'a str> {
    let zones = machine_types.iter().flat_map(|machine_type| &machine_type.zones);
    let allowed = zones.filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone));
    allowed.map(String::as_str).collect()
}
