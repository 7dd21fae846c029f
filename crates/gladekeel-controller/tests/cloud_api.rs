//! Requests to the cloud and their outcomes.

use gladekeel_controller::cloud_api::{CloudOutcome, CloudRequest};
use gladekeel_wire::cloud::CreateMachinesRequest;

/// Guards against a pool without capacity being mistaken for an unavailable cloud: both responses
/// have status 503, and only their error texts differ.
#[test]
fn a_pool_without_capacity_is_distinguished_from_an_unavailable_cloud() {
    let rent = CloudRequest::Rent(CreateMachinesRequest {
        request_id: "r-1".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 1,
    });
    assert_eq!(rent.decode(503, br#"{"error":"no capacity"}"#), CloudOutcome::NoCapacity);
    assert_eq!(rent.decode(503, br#"{"error":"trouble"}"#), CloudOutcome::Unavailable);
    assert_eq!(rent.decode(200, b"nonsense"), CloudOutcome::Unknown);
    assert_eq!(
        CloudRequest::ListMachines { after: Some("n-1".into()) }.encode().target,
        "/machines?since=n-1&limit=500"
    );
}
