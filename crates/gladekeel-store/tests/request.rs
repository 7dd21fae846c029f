//! Encoding of requests to the store, and decoding of their outcomes.

use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::store::Transaction;

/// Response bodies that cannot be read, and unexpected status codes, leave the outcome unknown.
#[test]
fn requests_are_encoded_and_responses_decoded_as_the_store_protocol_requires() {
    let watch = StoreRequest::Watch { prefix: "a b/".into(), since: 7 };
    assert_eq!(watch.encode().target, "/follow?starts=a%20b/&since=7&hold_ms=0");
    assert_eq!(watch.decode(410, b""), StoreOutcome::Compacted);
    assert_eq!(watch.decode(200, b"<html>"), StoreOutcome::Unknown);
    let commit = StoreRequest::Commit(Transaction::default());
    assert_eq!(commit.decode(200, br#"{"logline":432}"#), StoreOutcome::Committed(432));
    assert_eq!(
        commit.decode(409, br#"{"failed":["a/b"],"logline":431}"#),
        StoreOutcome::Conflict(vec!["a/b".into()])
    );
    assert_eq!(commit.decode(500, b""), StoreOutcome::Unknown);
    assert_eq!(StoreRequest::RenewLease(3).decode(404, b""), StoreOutcome::LeaseNotFound);
}
