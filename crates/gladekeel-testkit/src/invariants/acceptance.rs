//! Checks of accepted jobs: a client has submitted the job, the job can run at all, and all later
//! responses report the job as known, whatever fails after its acceptance.

use super::{Invariant, InvariantChecker, JobRequest, JobResponse};
use gladekeel_wire::{
    JobId,
    cloud::MachineType,
    job::{JobKind, JobSpec},
    settings::Deployment,
};

impl InvariantChecker {
    /// Checks that a client has submitted the job that a controller reports as known. A state that
    /// is reported for a job that nobody submitted belongs to another client's job, or is garbage.
    pub(super) fn check_no_invented_job(&self, job: &JobId) -> Option<Invariant> {
        let submitted = self.observed_jobs.get(job).is_some_and(|observed| observed.submitted);
        (!submitted).then_some(Invariant::NoInventedJob)
    }

    /// Checks that no later response refuses an accepted job or reports the job as unknown, because
    /// the client relies on the acceptance.
    pub(super) fn check_accepted_job_kept(
        &self,
        job: &JobId,
        response: &JobResponse,
    ) -> Option<Invariant> {
        let known = self.observed_jobs.get(job).is_some_and(|job| job.accepted_before(response));
        let refused_or_unknown = match response.status {
            404 => true,
            400 | 422 => response.request == JobRequest::Submit,
            _ => false,
        };
        (known && refused_or_unknown).then_some(Invariant::AcceptedJobKept)
    }

    /// Checks that a job that can never run is refused at once, rather than accepted and left
    /// pending for ever.
    pub(super) fn check_accepted_job_can_run(
        &self,
        job: &JobId,
        response: &JobResponse,
    ) -> Option<Invariant> {
        let newly_accepted = response.status == 201;
        let impossible = self
            .specs
            .get(job)
            .is_some_and(|spec| !can_run(&self.deployment, &self.machine_types, spec));
        (newly_accepted && impossible).then_some(Invariant::AcceptedJobCanRun)
    }
}

/// Whether a job can run at all: its team exists, the tasks that must run at once are within the
/// team's limit, and a task fits on at least one machine type that the job allows.
fn can_run(deployment: &Deployment, machine_types: &[MachineType], spec: &JobSpec) -> bool {
    let tasks_at_once = if spec.kind == JobKind::Array { 1.0 } else { f64::from(spec.tasks) };
    let team = deployment.teams.iter().find(|team| team.name == spec.team);
    let within_limit = team.is_some_and(|team| {
        spec.cpus * tasks_at_once <= team.cpus_max && spec.gpus * tasks_at_once <= team.gpus_max
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
