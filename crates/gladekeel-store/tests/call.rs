//! Calls to the state service and their answers.

use gladekeel_store::{Call, Outcome};
use gladekeel_wire::state::Txn;

#[test]
fn calls_have_the_protocols_form() {
    let follow = Call::Follow { prefix: "a b/".into(), since: 7 };
    assert_eq!(follow.encode().1, "/follow?starts=a%20b/&since=7&hold_ms=0");
    assert_eq!(follow.decode(410, b""), Outcome::TooOld);
    assert_eq!(follow.decode(200, b"<html>"), Outcome::Unknown);
    let commit = Call::Commit(Txn::default());
    assert_eq!(commit.decode(200, br#"{"logline":432}"#), Outcome::Committed(432));
    assert_eq!(
        commit.decode(409, br#"{"failed":["a/b"],"logline":431}"#),
        Outcome::Conflict(vec!["a/b".into()])
    );
    assert_eq!(commit.decode(500, b""), Outcome::Unknown);
    assert_eq!(Call::Touch(3).decode(404, b""), Outcome::NoLease);
}
