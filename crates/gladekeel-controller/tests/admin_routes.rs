//! Parsing of methods and paths of the administration API.

use gladekeel_controller::http_api::{AdminRoute, AdminRouteError};

/// Guards against requests of operators that reach the wrong operation: each path supports its
/// own methods only, and a drain needs a valid machine name.
#[test]
fn methods_and_paths_parse_to_admin_routes() {
    let drain = |draining| Ok(AdminRoute::Drain { machine: "n-1".into(), draining });
    assert_eq!(AdminRoute::parse("POST", "machines/n-1/drain"), drain(true));
    assert_eq!(AdminRoute::parse("POST", "machines/n-1/undrain"), drain(false));
    assert_eq!(
        AdminRoute::parse("GET", "machines/n-1/drain"),
        Err(AdminRouteError::MethodNotAllowed)
    );
    assert_eq!(AdminRoute::parse("POST", "machines/a b/drain"), Err(AdminRouteError::UnknownPath));
    assert_eq!(AdminRoute::parse("POST", "machines//drain"), Err(AdminRouteError::UnknownPath));
    assert_eq!(AdminRoute::parse("GET", "settings"), Ok(AdminRoute::GetSettings));
    assert_eq!(AdminRoute::parse("PUT", "settings"), Ok(AdminRoute::SetSettings));
    assert_eq!(AdminRoute::parse("POST", "settings"), Err(AdminRouteError::MethodNotAllowed));
    assert_eq!(AdminRoute::parse("GET", "else"), Err(AdminRouteError::UnknownPath));
}
