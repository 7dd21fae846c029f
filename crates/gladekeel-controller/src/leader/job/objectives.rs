//! Time limits of a job that follow from its deadline and the objectives of its class.

use super::Job;
use gladekeel_wire::{
    job::JobKind,
    settings::{Deployment, Objective, ObjectiveKind},
};

/// A job with neither a deadline nor a completion objective should be complete within this multiple
/// of its tasks' run time.
const DEFAULT_COMPLETION_MULTIPLE: f64 = 4.0;
/// An image fetch is too long if it takes more than this fraction of the start objective.
const MAX_FETCH_FRACTION: f64 = 0.6;
/// The fraction of the start objective for which a job waits for a machine that has its image.
const CACHED_IMAGE_WAIT_FRACTION: f64 = 0.5;

impl Job {
    /// Returns the time from submission within which the job should be complete, in seconds: its
    /// deadline; without one, the objective of its class; without either, a multiple of `run_s`,
    /// the run time of a task. 0 for gangs and services, whose tasks should all run at once.
    pub fn time_allowed_s(&self, deployment: &Deployment, run_s: f64) -> f64 {
        if self.spec.kind != JobKind::Array {
            return 0.0;
        }
        let objective_s = self.strictest_objective_s(deployment, &ObjectiveKind::Completion);
        self.spec.deadline_s.or(objective_s).unwrap_or(DEFAULT_COMPLETION_MULTIPLE * run_s)
    }

    /// Whether the job may for now use only machines that have its image: fetching the image, which
    /// takes `fetch_s` seconds, is too long for the start objective of the job's class, and the job
    /// has not yet waited too long for such a machine.
    pub fn requires_cached_image(&self, deployment: &Deployment, fetch_s: f64, now: f64) -> bool {
        if self.gave_up_on_cached_image {
            return false;
        }
        let objective_s = self.strictest_objective_s(deployment, &ObjectiveKind::Start);
        objective_s.is_some_and(|objective_s| {
            let is_fetch_too_long = fetch_s > MAX_FETCH_FRACTION * objective_s;
            is_fetch_too_long && now - self.submitted_at < CACHED_IMAGE_WAIT_FRACTION * objective_s
        })
    }

    /// Whether the job's class has an objective for the time until tasks start.
    pub fn has_start_objective(&self, deployment: &Deployment) -> bool {
        self.objectives(deployment, &ObjectiveKind::Start).next().is_some()
    }

    /// Returns the shortest time, in seconds, that objectives of this kind set for the job's class;
    /// `None` if no objective sets one.
    fn strictest_objective_s(&self, deployment: &Deployment, kind: &ObjectiveKind) -> Option<f64> {
        let objectives = self.objectives(deployment, kind);
        objectives.filter_map(|objective| objective.within_s).min_by(f64::total_cmp)
    }

    /// Returns the objectives of this kind that apply to the job's class.
    fn objectives<'a>(
        &'a self,
        deployment: &'a Deployment,
        kind: &'a ObjectiveKind,
    ) -> impl Iterator<Item = &'a Objective> {
        let objectives = deployment.objectives.iter();
        objectives.filter(move |objective| objective.applies_to(kind, &self.spec.class))
    }
}
