//! Parsing of HTTP methods and paths into routes.

use gladekeel_wire::JobId;

/// Longest machine name that the administration API accepts, in bytes.
const MAX_MACHINE_NAME_BYTES: usize = 100;
/// Prefix of the paths of the administration API.
const ADMIN_PREFIX: &str = "/admin/";
/// Prefix of the paths of a single job.
const JOB_PREFIX: &str = "/api/jobs/";

/// The operation that an HTTP request names by its method and path.
#[derive(Debug, Clone, PartialEq)]
pub enum Route {
    /// Submit a job.
    Submit,
    /// Get a job's state. `None` if the path holds no valid job id.
    Poll(Option<JobId>),
    /// Cancel a job. `None` if the path holds no valid job id.
    Cancel(Option<JobId>),
    /// Report a worker's heartbeat.
    Heartbeat,
    /// Check the node's health.
    Health,
    /// Get the metrics in the Prometheus text format.
    Metrics,
    /// Call the administration API.
    Admin(AdminRoute),
    /// A known path with a method that it does not support.
    WrongMethod,
    /// An unknown path.
    Unknown,
}

impl Route {
    /// The request's label in latency metrics; `None` if the latency of such requests is not
    /// measured.
    pub fn metric_label(&self) -> Option<&'static str> {
        match self {
            Route::Submit => Some("submit"),
            Route::Poll(_) => Some("poll"),
            Route::Cancel(_) => Some("cancel"),
            Route::Heartbeat => Some("checkin"),
            _ => None,
        }
    }

    /// Parses a request's method and path.
    pub fn parse(method: &str, path: &str) -> Route {
        if let Some(admin_path) = path.strip_prefix(ADMIN_PREFIX) {
            return match AdminRoute::parse(method, admin_path) {
                Ok(route) => Route::Admin(route),
                Err(AdminRouteError::MethodNotAllowed) => Route::WrongMethod,
                Err(AdminRouteError::UnknownPath) => Route::Unknown,
            };
        }
        let (route, allowed_method) = match path {
            "/api/jobs" => (Route::Submit, "POST"),
            "/checkin" => (Route::Heartbeat, "POST"),
            "/up" => (Route::Health, "GET"),
            "/metrics" => (Route::Metrics, "GET"),
            _ => match path.strip_prefix(JOB_PREFIX).and_then(Route::parse_job_path) {
                Some(job_route) => job_route,
                None => return Route::Unknown,
            },
        };
        if method == allowed_method { route } else { Route::WrongMethod }
    }

    /// Parses `ID` or `ID/cancel`, the part of a path after `/api/jobs/`. Returns the route and the
    /// method that it supports, or `None` for any other path.
    fn parse_job_path(path: &str) -> Option<(Route, &'static str)> {
        match path.split_once('/') {
            None => Some((Route::Poll(path.parse().ok()), "GET")),
            Some((id, "cancel")) => Some((Route::Cancel(id.parse().ok()), "POST")),
            Some(_) => None,
        }
    }
}

/// Why a request to the administration API has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdminRouteError {
    /// There is no such path.
    #[error("no such path")]
    UnknownPath,
    /// The path does not support the method.
    #[error("method not allowed")]
    MethodNotAllowed,
}

/// A request to the administration API.
///
/// The API has no authentication of its own: its address must only be reachable from the
/// operators' network.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminRoute {
    /// Get the runtime settings.
    GetSettings,
    /// Change runtime settings.
    SetSettings,
    /// Get the state of leadership, nodes and teams.
    Status,
    /// List all machines.
    Machines,
    /// Start or stop draining a machine.
    Drain {
        /// The machine's name.
        machine: String,
        /// `true` to drain the machine, `false` to return it to service.
        draining: bool,
    },
}

impl AdminRoute {
    /// Parses a method and the part of the path after `/admin/`.
    ///
    /// # Errors
    ///
    /// If there is no such path, or if the path does not support the method.
    pub fn parse(method: &str, path: &str) -> Result<AdminRoute, AdminRouteError> {
        let (route, allowed_method) = match (path, method) {
            ("settings", "PUT") => (AdminRoute::SetSettings, "PUT"),
            ("settings", _) => (AdminRoute::GetSettings, "GET"),
            ("status", _) => (AdminRoute::Status, "GET"),
            ("machines", _) => (AdminRoute::Machines, "GET"),
            _ => {
                let route = AdminRoute::parse_drain(path).ok_or(AdminRouteError::UnknownPath)?;
                (route, "POST")
            }
        };
        if method == allowed_method { Ok(route) } else { Err(AdminRouteError::MethodNotAllowed) }
    }

    /// Parses `machines/NAME/drain` or `machines/NAME/undrain`; `None` for any other path.
    fn parse_drain(path: &str) -> Option<AdminRoute> {
        let (machine, action) = path.strip_prefix("machines/")?.split_once('/')?;
        let draining = match action {
            "drain" => true,
            "undrain" => false,
            _ => return None,
        };
        is_machine_name(machine)
            .then(|| AdminRoute::Drain { machine: machine.to_owned(), draining })
    }
}

fn is_machine_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_MACHINE_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
