//! How snapshots and watch responses are applied to the replica.

use gladekeel_store::{Change, Replica};
use gladekeel_wire::store::{KeyValue, KeyValuePage, WatchEvent, WatchResponse};
use serde_json::Value;

fn entry(key: &str, version: u64) -> KeyValue {
    KeyValue { key: key.into(), value: Value::from(version), version }
}

/// The pages of a snapshot are read at different revisions, so keys that change between two pages
/// are missing or outdated. The replica must stay at the revision of the first page, so that the
/// watch returns these changes again. Events of a watch are applied in the order of their versions.
#[test]
fn a_watch_corrects_a_snapshot_whose_pages_have_different_revisions() {
    let mut replica = Replica::default();
    assert!(
        replica
            .apply_page(KeyValuePage { entries: vec![entry("a", 1)], truncated: true, revision: 5 })
            .is_empty()
    );
    assert_eq!(replica.next_page_after().as_deref(), Some("a"));
    // Between the two pages, `a` was deleted at revision 6 and `c` was put at revision 7.
    let changes = replica.apply_page(KeyValuePage {
        entries: vec![entry("c", 7)],
        truncated: false,
        revision: 7,
    });
    assert_eq!((changes.len(), replica.revision()), (2, Some(5)));
    let put = |key: &str, version| WatchEvent::Put {
        key: key.into(),
        value: Value::from(version),
        version,
    };
    let delete = |key: &str, version| WatchEvent::Delete { key: key.into(), version };
    let events = vec![put("c", 7), delete("a", 6)];
    let changes = replica.apply_watch(WatchResponse { revision: 7, events });
    assert_eq!(changes, vec![Change { key: "a".into(), current: None }]);
    // Events out of order: the put of version 8 is older than the deletion of version 9.
    let events = vec![delete("d", 9), put("d", 8)];
    replica.apply_watch(WatchResponse { revision: 9, events });
    assert_eq!((replica.version("d"), replica.revision()), (0, Some(9)));
}

/// A watch response that arrives after a later one must not be applied: its put would bring back a
/// key that the later response has deleted.
#[test]
fn an_overtaken_watch_response_does_not_restore_a_deleted_key() {
    let mut replica = Replica::default();
    replica.apply_page(KeyValuePage {
        entries: vec![entry("a", 1)],
        truncated: false,
        revision: 1,
    });
    let put = WatchEvent::Put { key: "b".into(), value: Value::from(2), version: 2 };
    let delete = WatchEvent::Delete { key: "b".into(), version: 3 };
    replica.apply_watch(WatchResponse { revision: 3, events: vec![put.clone(), delete] });
    assert!(replica.apply_watch(WatchResponse { revision: 2, events: vec![put] }).is_empty());
    assert_eq!((replica.version("b"), replica.revision()), (0, Some(3)));
}

/// The new snapshot after an invalidation must return the changes that no watch has returned:
/// `a` was deleted and `b` was changed.
#[test]
fn a_snapshot_after_invalidation_returns_the_changes_since_the_old_entries() {
    let mut replica = Replica::default();
    replica.apply_page(KeyValuePage {
        entries: vec![entry("a", 1), entry("b", 2)],
        truncated: false,
        revision: 2,
    });
    replica.invalidate();
    let changes = replica.apply_page(KeyValuePage {
        entries: vec![entry("b", 4)],
        truncated: false,
        revision: 9,
    });
    let keys: Vec<_> =
        changes.iter().map(|change| (change.key.as_str(), change.current.is_some())).collect();
    assert_eq!(keys, [("a", false), ("b", true)]);
}
