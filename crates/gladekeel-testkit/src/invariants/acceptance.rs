//! What it means that a job is accepted: somebody submitted it, it can run at all, and it
//! stays known, whatever fails afterwards.

use super::{Invariant, InvariantChecker, JobRequest, JobResponse};
use gladekeel_wire::{
    JobId,
    cloud::MachineType,
    job::{JobKind, JobSpec},
    settings::Deployment,
};

impl InvariantChecker {
    /// A job that nobody submitted is unknown: a state of it would be another client's, or garbage.
    pub(super) fn check_not_invented(&self, job: &JobId) -> Option<Invariant> {
        let submitted = self.observed_jobs.get(job).is_some_and(|observed| observed.submitted);
        (!submitted).then_some(Invariant::NoInventedJob)
    }

    /// An accepted job is not refused or unknown later: its client relies on it.
    pub(super) fn check_not_forgotten(
        &self,
        job: &JobId,
        response: &JobResponse,
    ) -> Option<Invariant> {
        let known = self.observed_jobs.get(job).is_some_and(|job| job.accepted_before(response));
        let denied = match response.status {
            404 => true,
            400 | 422 => response.request == JobRequest::Submit,
            _ => false,
        };
        (known && denied).then_some(Invariant::AcceptedJobKept)
    }

    /// A job that can never run is refused at once, rather than left pending for ever.
    pub(super) fn check_can_run(&self, job: &JobId, response: &JobResponse) -> Option<Invariant> {
        let newly_accepted = response.status == 201;
        let impossible = self
            .specs
            .get(job)
            .is_some_and(|spec| !can_run(&self.deployment, &self.machine_types, spec));
        (newly_accepted && impossible).then_some(Invariant::AcceptedJobCanRun)
    }
}

/// Whether a job can run at all: its team exists, and its team's limit and some allowed
/// machine type are large enough.
fn can_run(deployment: &Deployment, machine_types: &[MachineType], spec: &JobSpec) -> bool {
    let at_once = if spec.kind == JobKind::Array { 1.0 } else { f64::from(spec.tasks) };
    let team = deployment.teams.iter().find(|team| team.name == spec.team);
    let within_limit = team.is_some_and(|team| {
        spec.cpus * at_once <= team.cpus_max && spec.gpus * at_once <= team.gpus_max
    });
    let fits = |machine_type: &MachineType| {
        spec.machine_types.as_ref().is_none_or(|types| types.contains(&machine_type.name))
            && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
            && spec.cpus <= machine_type.cpus
            && spec.gpus <= machine_type.gpus
            && spec.memory_gb <= machine_type.memory_gb
    };
    within_limit && (machine_types.is_empty() || machine_types.iter().any(fits))
}
