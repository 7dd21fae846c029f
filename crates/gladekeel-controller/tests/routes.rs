//! Parsing of methods and paths of the HTTP API for users, workers and health checks.

use gladekeel_controller::http_api::Route;
use gladekeel_wire::JobId;

/// Guards against requests that reach the wrong operation. A path with an invalid job id still
/// belongs to its route; a known path with another method is not an unknown path.
#[test]
fn methods_and_paths_parse_to_routes() {
    let id = |id: &str| Some(id.parse::<JobId>().unwrap());
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
        assert_eq!(Route::parse(method, path), route, "{method} {path}");
    }
}
