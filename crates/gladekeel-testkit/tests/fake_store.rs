//! The fake store refuses the same requests as the real store.

use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_testkit::stand_ins::store::{FakeStore, StoreLimits};
use gladekeel_wire::store::{Precondition, Transaction, Write};

#[test]
fn lowered_limits_refuse_larger_transactions_and_keep_stored_values() {
    let limits = StoreLimits { rps: 1000.0, write_rps: 1000.0, txn_ops: 8, value: 4096 };
    let mut store = FakeStore::new(limits);
    let put = |key: &str, bytes: usize| Write::Put {
        key: key.into(),
        value: "x".repeat(bytes).into(),
        lease: None,
    };
    let commit = |writes: Vec<Write>| {
        StoreRequest::Commit(Transaction { preconditions: Vec::<Precondition>::new(), writes })
    };
    let large = commit(vec![put("a", 3000)]);
    let many = commit((0..5).map(|n| put(&format!("b{n}"), 1)).collect());
    assert!(matches!(store.call(0.0, 0, &large), StoreOutcome::Committed(_)));
    assert!(matches!(store.call(0.0, 0, &many), StoreOutcome::Committed(_)));
    store.lower_limits(StoreLimits { rps: 1000.0, write_rps: 6.0, txn_ops: 4, value: 2048 });
    // The client of the store maps the HTTP status 400 of a commit to `LeaseNotFound`.
    assert_eq!(store.call(10.0, 0, &large), StoreOutcome::LeaseNotFound);
    assert_eq!(store.call(10.0, 0, &many), StoreOutcome::LeaseNotFound);
    assert_eq!(store.too_large.len(), 2);
    let StoreOutcome::Page(rows) =
        store.call(10.0, 0, &StoreRequest::List { prefix: "a".into(), after: None })
    else {
        panic!("a list request returns a page")
    };
    assert_eq!(rows.entries[0].value.as_str().map(str::len), Some(3000));
    assert!(matches!(
        store.call(10.0, 0, &commit(vec![put("a", 2000)])),
        StoreOutcome::Committed(_)
    ));
    let four = commit((0..4).map(|n| put(&format!("b{n}"), 1)).collect());
    assert!(matches!(store.call(10.0, 0, &four), StoreOutcome::Committed(_)));
    assert_eq!(
        store.call(10.0, 0, &four),
        StoreOutcome::RateLimited,
        "9 writes at one instant exceed the limit of 6 per second"
    );
    assert!(store.protocol_errors.is_empty());
}
