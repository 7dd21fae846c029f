//! A replica of the store's keys under one prefix.
//!
//! # Consistency
//!
//! The replica is filled from a snapshot and kept up to date by a watch:
//!
//! 1. A snapshot is read in pages, and the store reads each page at a revision of its own. Once the
//!    last page has been applied, the replica counts as being at the revision of the *first* page,
//!    although some keys may be newer.
//! 2. A watch from that revision returns all changes since then. After the first watch response the
//!    replica equals the store at the revision of that response. Until then, different keys may be
//!    at different revisions.
//! 3. Each further response advances the replica. A response at a lower revision than the replica's
//!    was overtaken by a later one and is ignored. Events may arrive out of order or repeatedly:
//!    the events of a response are applied in the order of their versions, and an event that is not
//!    newer than the key is ignored, so that a key never returns to an older version.
//!
//! If the store has compacted the replica's revision, the caller calls [`Replica::invalidate`] and
//! reads a new snapshot. The old keys stay readable in the meantime, and the last page of the
//! snapshot then returns the differences.
//!
//! Every change that is applied is returned once, so that the caller can maintain views derived
//! from the keys. The caller is the node of `gladekeel-controller`: the node sends the requests and
//! decides how fresh the replica must be for each purpose.

use gladekeel_wire::store::{KeyValuePage, WatchEvent, WatchResponse};
use serde_json::Value;
use std::collections::BTreeMap;

/// A replica of the store's keys, and the revision up to which all changes have been applied.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// The revision to watch from; `None` until a snapshot is complete.
    revision: Option<u64>,
    /// The incomplete snapshot; `None` while no snapshot is being read.
    snapshot: Option<Snapshot>,
    entries: Entries,
}

/// The value and version of each key.
type Entries = BTreeMap<String, (Value, u64)>;

/// A snapshot of which only some pages have been read.
#[derive(Debug, Clone)]
struct Snapshot {
    /// The revision of the first page.
    first_revision: u64,
    /// The last key that was read; `None` if all pages so far were empty.
    last_key: Option<String>,
    entries: Entries,
}

/// A change of one key: a new value or a deletion.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The key that changed.
    pub key: String,
    /// The new value and version of the key; `None` if the key was deleted.
    pub current: Option<(Value, u64)>,
}

impl Replica {
    /// The revision to watch from; `None` until a snapshot is complete.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Discards the revision and any incomplete snapshot, so that a new snapshot must be read. The
    /// caller calls this when the store has compacted the changes since the revision.
    pub fn invalidate(&mut self) {
        self.revision = None;
        self.snapshot = None;
    }

    /// The key after which the next page of the snapshot starts; `None` for the first page.
    pub fn next_page_after(&self) -> Option<String> {
        self.snapshot.as_ref().and_then(|snapshot| snapshot.last_key.clone())
    }

    /// The value and version of a key; `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<&(Value, u64)> {
        self.entries.get(key)
    }

    /// The version of a key; 0 if the key does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |(_, version)| *version)
    }

    /// Applies the next page of a snapshot. Returns the changes to the replica if this is the last
    /// page, and no changes otherwise.
    pub fn apply_page(&mut self, page: KeyValuePage) -> Vec<Change> {
        let snapshot = self.snapshot.get_or_insert_with(|| Snapshot {
            first_revision: page.revision,
            last_key: None,
            entries: BTreeMap::new(),
        });
        if let Some(last) = page.entries.last() {
            snapshot.last_key = Some(last.key.clone());
        }
        for entry in page.entries {
            snapshot.entries.insert(entry.key, (entry.value, entry.version));
        }
        if page.truncated {
            return Vec::new();
        }
        self.snapshot.take().map(|snapshot| self.install(snapshot)).unwrap_or_default()
    }

    /// Replaces the entries with those of a complete snapshot, and returns the differences.
    fn install(&mut self, snapshot: Snapshot) -> Vec<Change> {
        let old = std::mem::replace(&mut self.entries, snapshot.entries);
        self.revision = Some(snapshot.first_revision);
        let deleted = old.keys().filter(|key| !self.entries.contains_key(*key));
        let mut changes: Vec<Change> =
            deleted.map(|key| Change { key: key.clone(), current: None }).collect();
        for (key, (value, version)) in &self.entries {
            if old.get(key).is_none_or(|(_, old_version)| old_version != version) {
                changes.push(Change { key: key.clone(), current: Some((value.clone(), *version)) });
            }
        }
        changes
    }

    /// Applies the response to a watch, and returns the changes to the replica.
    pub fn apply_watch(&mut self, mut response: WatchResponse) -> Vec<Change> {
        // An overtaken response contains nothing new, and a key that it puts may have been
        // deleted since.
        if self.revision.is_some_and(|revision| response.revision < revision) {
            return Vec::new();
        }
        response.events.sort_by_key(|event| match event {
            WatchEvent::Put { version, .. } | WatchEvent::Delete { version, .. } => *version,
        });
        let changes =
            response.events.into_iter().filter_map(|event| self.apply_event(event)).collect();
        self.revision = self.revision.map(|revision| revision.max(response.revision));
        changes
    }

    /// Applies an event, unless the replica has the same or a newer version of the key. Returns
    /// the change, if there is one.
    fn apply_event(&mut self, event: WatchEvent) -> Option<Change> {
        match event {
            WatchEvent::Put { key, value, version } if version > self.version(&key) => {
                self.entries.insert(key.clone(), (value.clone(), version));
                Some(Change { key, current: Some((value, version)) })
            }
            WatchEvent::Delete { key, version } if version > self.version(&key) => {
                self.entries.remove(&key).map(|_| Change { key, current: None })
            }
            _ => None,
        }
    }
}
