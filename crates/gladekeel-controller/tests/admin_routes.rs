//! Paths of the administration API.

use gladekeel_controller::http_api::{AdminRoute, AdminRouteError};

#[test]
fn routes() {
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
