//! Answers to users: how a request is read and what each outcome looks like.

use crate::{
    admin::{AdminRoute, RouteError},
    store_view::{JobProgress, StoreView},
};
use gladekeel_sched::Resources;
use gladekeel_wire::{
    JobId,
    cloud::{MachineType, MachineTypes},
    job::{ErrorBody, JobKind, JobSpec, JobState, JobStatus},
    settings::Deployment,
};
use serde::Serialize;
use std::collections::BTreeSet;

/// A response, without its transport.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
    /// The body: JSON, but for metrics.
    pub body: Vec<u8>,
    /// Whether the body is plain text.
    pub plain: bool,
}

impl Reply {
    /// A JSON body.
    pub fn json<T: Serialize>(status: u16, body: &T) -> Reply {
        let body = serde_json::to_vec(body).expect("wire types always serialise");
        Reply { status, retry_after: None, body, plain: false }
    }

    /// An error in words.
    pub fn error(status: u16, what: impl Into<String>) -> Reply {
        Reply::json(status, &ErrorBody { error: what.into() })
    }

    /// Come back later.
    pub fn later(status: u16, seconds: u32, what: &str) -> Reply {
        Reply { retry_after: Some(seconds), ..Reply::error(status, what) }
    }
}

/// What a path asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Route {
    /// Submit a job.
    Submit,
    /// Ask for a job's state; none if the id cannot be one.
    Poll(Option<JobId>),
    /// Cancel a job.
    Cancel(Option<JobId>),
    /// A worker's report.
    Heartbeat,
    /// Health.
    Health,
    /// Metrics.
    Metrics,
    /// The administration API.
    Admin(AdminRoute),
    /// Known path, wrong method.
    WrongMethod,
    /// Nothing.
    Unknown,
}

impl Route {
    /// Its name in metrics, for the routes that count.
    pub fn name(&self) -> Option<&'static str> {
        match self {
            Route::Submit => Some("submit"),
            Route::Poll(_) => Some("poll"),
            Route::Cancel(_) => Some("cancel"),
            Route::Heartbeat => Some("checkin"),
            _ => None,
        }
    }

    /// Reads method and path.
    pub fn of(method: &str, path: &str) -> Route {
        let (route, wanted) = match path {
            "/api/jobs" => (Route::Submit, "POST"),
            "/checkin" => (Route::Heartbeat, "POST"),
            "/up" => (Route::Health, "GET"),
            "/metrics" => (Route::Metrics, "GET"),
            _ if path.starts_with("/admin/") => {
                return match AdminRoute::of(method, &path["/admin/".len()..]) {
                    Ok(route) => Route::Admin(route),
                    Err(RouteError::Method) => Route::WrongMethod,
                    Err(RouteError::Path) => Route::Unknown,
                };
            }
            _ => match path.strip_prefix("/api/jobs/").map(|rest| rest.split_once('/')) {
                None => return Route::Unknown,
                Some(Some((id, "cancel"))) => (Route::Cancel(id.parse().ok()), "POST"),
                Some(Some(_)) => return Route::Unknown,
                Some(None) => (Route::Poll(path["/api/jobs/".len()..].parse().ok()), "GET"),
            },
        };
        if method == wanted { route } else { Route::WrongMethod }
    }
}

/// The state of a job as the store has it; none if there is no such job.
pub fn status(store: &StoreView, id: &JobId) -> Option<JobStatus> {
    if let Some(state) = store.final_states.get(id) {
        return Some(JobStatus { id: id.clone(), state: *state, done: None, running: None });
    }
    store.jobs.get(id)?;
    let JobProgress { done, running } = store.job_progress.get(id).copied().unwrap_or_default();
    let state = if running > 0 { JobState::Running } else { JobState::Queued };
    Some(JobStatus { id: id.clone(), state, done: Some(done), running: Some(running) })
}

/// Whether a job can never run, and why.
pub enum Admission {
    /// It can.
    Accepted,
    /// It cannot.
    Rejected(String),
    /// That cannot be told yet: machine types are not known.
    Unknown,
}

/// Judges a well-formed submission.
pub fn check_admission(deployment: &Deployment, store: &StoreView, spec: &JobSpec) -> Admission {
    let Some(team) = deployment.teams.iter().find(|team| team.name == spec.team) else {
        return Admission::Rejected(format!("no team {:?}", spec.team));
    };
    // Tasks of an array can run one after the other; a gang or a service needs all.
    let at_once = if spec.kind == JobKind::Array { 1 } else { spec.tasks };
    let task = Resources::requested(spec.cpus, spec.gpus, spec.memory_gb);
    // In the amounts that placing counts in: whatever is accepted here can be placed.
    let needed = task * i64::from(at_once);
    let limit = Resources::allocatable(team.cpus_max, team.gpus_max, 0.0);
    if needed.cpus > limit.cpus || needed.gpus > limit.gpus {
        return Admission::Rejected("the job needs more than the team's limit".into());
    }
    let Some(types) = store.machine_types.all() else { return Admission::Unknown };
    let allowed = allowed_types(types, spec, task);
    if allowed.is_empty() {
        return Admission::Rejected("a task fits no allowed machine type".into());
    }
    if spec.spread && at_once > 1 && (spec.single_zone || zones_of(&allowed, spec).len() == 1) {
        return Admission::Rejected(
            "all tasks are in one zone, and at most half of them may be".into(),
        );
    }
    Admission::Accepted
}

/// The machine types that a task may run on and fits, whatever the cloud has of them now.
fn allowed_types<'a>(
    types: &'a MachineTypes,
    spec: &JobSpec,
    task: Resources,
) -> Vec<&'a MachineType> {
    let allowed = types.types.iter().filter(|t| {
        spec.machine_types.as_ref().is_none_or(|names| names.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
    });
    allowed.filter(|t| task.fits_in(Resources::allocatable(t.cpus, t.gpus, t.memory_gb))).collect()
}

/// The zones in which a job's tasks may be.
fn zones_of<'a>(types: &[&'a MachineType], spec: &JobSpec) -> BTreeSet<&'a str> {
    let zones = types.iter().flat_map(|machine_type| &machine_type.zones);
    let allowed = zones.filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone));
    allowed.map(String::as_str).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn routes() {
        let id = |text: &str| Some(text.parse::<JobId>().unwrap());
        for (method, path, route) in [
            ("POST", "/api/jobs", Route::Submit),
            ("GET", "/api/jobs/job-1", Route::Poll(id("job-1"))),
            ("GET", "/api/jobs/%00", Route::Poll(None)),
            ("GET", "/api/jobs/", Route::Poll(None)),
            ("POST", "/api/jobs/job-1/cancel", Route::Cancel(id("job-1"))),
            ("GET", "/api/jobs/job-1/cancel", Route::WrongMethod),
            ("POST", "/api/jobs/job-1/other", Route::Unknown),
            ("POST", "/checkin", Route::Heartbeat),
            ("GET", "/up", Route::Health),
            ("DELETE", "/api/jobs", Route::WrongMethod),
            ("GET", "/", Route::Unknown),
        ] {
            assert_eq!(Route::of(method, path), route, "{method} {path}");
        }
    }
}
