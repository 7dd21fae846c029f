//! What a job's users expect of it, by its deadline and the objectives of its class.

use super::Job;
use gladekeel_wire::{
    job::JobKind,
    settings::{Deployment, Objective, ObjectiveKind},
};

/// Without deadline and objective, a job should be complete within this multiple of its tasks'
/// run time.
const DEFAULT_COMPLETION_RUNS: f64 = 4.0;
/// A fetch that takes more than this part of the time in which a task should start is too long.
const MAX_FETCH_SHARE: f64 = 0.6;
/// A job waits for machines that have its image for this part of the time in which it should start.
const CACHED_IMAGE_WAIT_SHARE: f64 = 0.5;

impl Job {
    /// In how many seconds after its submission the job should be complete: by its deadline, else
    /// by the objective of its class, else by a multiple of `run_s`, the run time of a task. 0 for
    /// gangs and services, all of whose tasks are wanted at once.
    pub fn time_allowed_s(&self, deployment: &Deployment, run_s: f64) -> f64 {
        if self.spec.kind != JobKind::Array {
            return 0.0;
        }
        let objective_s = self.strictest_objective_s(deployment, &ObjectiveKind::Completion);
        self.spec.deadline_s.or(objective_s).unwrap_or(DEFAULT_COMPLETION_RUNS * run_s)
    }

    /// Whether only machines that have the job's image will do for now: by the objective of its
    /// class it should start sooner than the image can be fetched, and it still can.
    pub fn requires_cached_image(&self, deployment: &Deployment, fetch_s: f64, now: f64) -> bool {
        if self.gave_up_on_cached_image {
            return false;
        }
        let objective_s = self.strictest_objective_s(deployment, &ObjectiveKind::Start);
        objective_s.is_some_and(|objective_s| {
            let fetch_too_long = fetch_s > MAX_FETCH_SHARE * objective_s;
            fetch_too_long && now - self.submitted_at < CACHED_IMAGE_WAIT_SHARE * objective_s
        })
    }

    /// Whether the job's class has an objective for the time until the start.
    pub fn has_start_objective(&self, deployment: &Deployment) -> bool {
        self.objectives(deployment, &ObjectiveKind::Start).next().is_some()
    }

    /// The shortest time that the objectives of one kind allow the job's class.
    fn strictest_objective_s(&self, deployment: &Deployment, kind: &ObjectiveKind) -> Option<f64> {
        let objectives = self.objectives(deployment, kind);
        objectives.filter_map(|objective| objective.within_s).min_by(f64::total_cmp)
    }

    fn objectives<'a>(
        &'a self,
        deployment: &'a Deployment,
        kind: &'a ObjectiveKind,
    ) -> impl Iterator<Item = &'a Objective> {
        let objectives = deployment.objectives.iter();
        objectives.filter(move |objective| objective.applies_to(kind, &self.spec.class))
    }
}
