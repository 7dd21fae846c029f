//! A copy of the store's keys under one prefix.

use gladekeel_wire::store::{KeyValuePage, WatchEvent, WatchResponse};
use serde_json::Value;
use std::collections::BTreeMap;

/// A copy of the store, as of a revision.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    revision: Option<u64>,
    snapshot: Option<Snapshot>,
    rows: BTreeMap<String, (Value, u64)>,
}

#[derive(Debug, Clone)]
struct Snapshot {
    from: u64,
    after: Option<String>,
    rows: BTreeMap<String, (Value, u64)>,
}

/// A key whose value is new, or which is gone.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Its value and version; none if it is gone.
    pub current: Option<(Value, u64)>,
}

impl Replica {
    /// The revision up to which the copy is complete, once it is.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Forgets the revision: the keys must be read again.
    pub fn invalidate(&mut self) {
        self.revision = None;
        self.snapshot = None;
    }

    /// Where the next page of a reading begins: after this key.
    pub fn next_page_after(&self) -> Option<String> {
        self.snapshot.as_ref().and_then(|l| l.after.clone())
    }

    /// The value and version of a key.
    pub fn get(&self, key: &str) -> Option<&(Value, u64)> {
        self.rows.get(key)
    }

    /// The version of a key; 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(_, version)| *version)
    }

    /// Takes a page of a reading; at the last page returns what differs from before.
    ///
    /// Pages are read at different revisions. The copy counts as of the first
    /// one's; following from there repeats whatever changed in between.
    pub fn apply_page(&mut self, page: KeyValuePage) -> Vec<Change> {
        let loading = self.snapshot.get_or_insert_with(|| Snapshot {
            from: page.revision,
            after: None,
            rows: BTreeMap::new(),
        });
        loading.after = page.entries.last().map(|row| row.key.clone()).or(loading.after.take());
        for row in page.entries {
            loading.rows.insert(row.key, (row.value, row.version));
        }
        if page.truncated {
            return Vec::new();
        }
        let Some(done) = self.snapshot.take() else { return Vec::new() };
        let old = std::mem::replace(&mut self.rows, done.rows);
        self.revision = Some(done.from);
        let gone = old.keys().filter(|key| !self.rows.contains_key(*key));
        let mut changes: Vec<Change> =
            gone.map(|key| Change { key: key.clone(), current: None }).collect();
        for (key, (value, version)) in &self.rows {
            if old.get(key).is_none_or(|(_, before)| before != version) {
                changes.push(Change { key: key.clone(), current: Some((value.clone(), *version)) });
            }
        }
        changes
    }

    /// Takes the changes that a follow returned.
    ///
    /// They need not come in order, and ones that are known already may come
    /// again; versions decide.
    pub fn apply_watch(&mut self, mut events: WatchResponse) -> Vec<Change> {
        // An answer that comes late says nothing new, and what it puts may have been
        // removed since.
        if self.revision.is_some_and(|revision| events.revision < revision) {
            return Vec::new();
        }
        events.events.sort_by_key(|event| match event {
            WatchEvent::Put { version, .. } | WatchEvent::Delete { version, .. } => *version,
        });
        let mut changes = Vec::new();
        for event in events.events {
            match event {
                WatchEvent::Put { key, value, version } if version > self.version(&key) => {
                    self.rows.insert(key.clone(), (value.clone(), version));
                    changes.push(Change { key, current: Some((value, version)) });
                }
                WatchEvent::Delete { key, version }
                    if version > self.version(&key) && self.rows.remove(&key).is_some() =>
                {
                    changes.push(Change { key, current: None });
                }
                _ => {}
            }
        }
        self.revision = self.revision.map(|revision| revision.max(events.revision));
        changes
    }
}
