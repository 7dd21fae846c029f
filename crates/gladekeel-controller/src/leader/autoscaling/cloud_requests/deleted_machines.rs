//! Tombstones: the names of machines that the cloud has deleted.

use std::collections::{HashMap, VecDeque};

/// How long a tombstone is kept, in seconds: longer than any heartbeat or list can be delayed.
const TOMBSTONE_S: f64 = 600.0;

/// Machines whose deletion is confirmed. Late heartbeats of such machines and their rows in late
/// lists are ignored.
#[derive(Debug, Default)]
pub(super) struct DeletedMachines {
    deleted_at: HashMap<String, f64>,
    /// The names in `deleted_at`, oldest deletion first.
    oldest_first: VecDeque<String>,
}

impl DeletedMachines {
    /// Whether the machine's deletion is confirmed and its tombstone has not expired.
    pub fn contains(&self, name: &str) -> bool {
        self.deleted_at.contains_key(name)
    }

    /// Adds a tombstone for a machine.
    pub fn add(&mut self, name: &str, now: f64) {
        self.deleted_at.insert(name.to_owned(), now);
        self.oldest_first.push_back(name.to_owned());
    }

    /// Removes the tombstones that have expired.
    pub fn expire(&mut self, now: f64) {
        while let Some(name) = self.oldest_first.front()
            && self.deleted_at.get(name).is_none_or(|at| now - *at >= TOMBSTONE_S)
        {
            self.deleted_at.remove(name);
            self.oldest_first.pop_front();
        }
    }
}
