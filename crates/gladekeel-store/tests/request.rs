//! Requests to the store and what comes of them.

use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::store::Transaction;

#[test]
fn requests_and_responses_have_the_form_of_the_protocol() {
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
