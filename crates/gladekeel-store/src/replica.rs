//! A copy of the store's keys under one prefix.

use gladekeel_wire::state::{Event, Events, Rows};
use serde_json::Value;
use std::collections::BTreeMap;

/// A copy of the store, as of a revision.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    revision: Option<u64>,
    loading: Option<Loading>,
    rows: BTreeMap<String, (Value, u64)>,
}

#[derive(Debug, Clone)]
struct Loading {
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
    pub now: Option<(Value, u64)>,
}

impl Replica {
    /// The revision up to which the copy is complete, once it is.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Forgets the revision: the keys must be read again.
    pub fn reload(&mut self) {
        self.revision = None;
        self.loading = None;
    }

    /// Where the next page of a reading begins: after this key.
    pub fn next_page(&self) -> Option<String> {
        self.loading.as_ref().and_then(|l| l.after.clone())
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
    pub fn page(&mut self, page: Rows) -> Vec<Change> {
        let loading = self.loading.get_or_insert_with(|| Loading {
            from: page.revision,
            after: None,
            rows: BTreeMap::new(),
        });
        loading.after = page.items.last().map(|row| row.key.clone()).or(loading.after.take());
        for row in page.items {
            loading.rows.insert(row.key, (row.value, row.version));
        }
        if page.more {
            return Vec::new();
        }
        let Some(done) = self.loading.take() else { return Vec::new() };
        let old = std::mem::replace(&mut self.rows, done.rows);
        self.revision = Some(done.from);
        let gone = old.keys().filter(|key| !self.rows.contains_key(*key));
        let mut changes: Vec<Change> =
            gone.map(|key| Change { key: key.clone(), now: None }).collect();
        for (key, (value, version)) in &self.rows {
            if old.get(key).is_none_or(|(_, before)| before != version) {
                changes.push(Change { key: key.clone(), now: Some((value.clone(), *version)) });
            }
        }
        changes
    }

    /// Takes the changes that a follow returned.
    ///
    /// They need not come in order, and ones that are known already may come
    /// again; versions decide.
    pub fn follow(&mut self, mut events: Events) -> Vec<Change> {
        // An answer that comes late says nothing new, and what it puts may have been
        // removed since.
        if self.revision.is_some_and(|revision| events.revision < revision) {
            return Vec::new();
        }
        events.events.sort_by_key(|event| match event {
            Event::Put { version, .. } | Event::Delete { version, .. } => *version,
        });
        let mut changes = Vec::new();
        for event in events.events {
            match event {
                Event::Put { key, value, version } if version > self.version(&key) => {
                    self.rows.insert(key.clone(), (value.clone(), version));
                    changes.push(Change { key, now: Some((value, version)) });
                }
                Event::Delete { key, version }
                    if version > self.version(&key) && self.rows.remove(&key).is_some() =>
                {
                    changes.push(Change { key, now: None });
                }
                _ => {}
            }
        }
        self.revision = self.revision.map(|revision| revision.max(events.revision));
        changes
    }
}
