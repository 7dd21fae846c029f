//! Paths of the administration API.

use gladekeel_controller::admin::{AdminRoute, RouteError};

#[test]
fn routes() {
    let drain = |draining| Ok(AdminRoute::Drain { machine: "n-1".into(), draining });
    assert_eq!(AdminRoute::of("POST", "machines/n-1/drain"), drain(true));
    assert_eq!(AdminRoute::of("POST", "machines/n-1/undrain"), drain(false));
    assert_eq!(AdminRoute::of("GET", "machines/n-1/drain"), Err(RouteError::Method));
    assert_eq!(AdminRoute::of("POST", "machines/a b/drain"), Err(RouteError::Path));
    assert_eq!(AdminRoute::of("POST", "machines//drain"), Err(RouteError::Path));
    assert_eq!(AdminRoute::of("GET", "settings"), Ok(AdminRoute::Settings));
    assert_eq!(AdminRoute::of("PUT", "settings"), Ok(AdminRoute::SetSettings));
    assert_eq!(AdminRoute::of("POST", "settings"), Err(RouteError::Method));
    assert_eq!(AdminRoute::of("GET", "else"), Err(RouteError::Path));
}
