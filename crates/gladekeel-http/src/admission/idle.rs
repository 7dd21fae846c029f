//! Connections without a request in progress, in the order in which they are evicted.

use crate::limits::FIRST_REQUEST_GRACE;
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{sync::Notify, time::Instant};

/// Idle connections: one list for connections that have not sent a request yet, and one list for
/// each class.
pub(super) struct IdleConnections {
    /// The lists of connections, indexed by [`list_index`]. Each list maps sequence numbers to
    /// connections, the longest idle first.
    lists: Vec<BTreeMap<u64, IdleConnection>>,
    next_sequence: u64,
}

struct IdleConnection {
    idle_since: Instant,
    /// Notified when the connection is evicted.
    evicted: Rc<Notify>,
}

/// Identifies an idle connection until the connection is removed.
#[derive(Debug, Clone, Copy)]
pub(super) struct IdleKey {
    list: usize,
    sequence: u64,
}

/// The set of connections from which the longest idle one is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EvictFrom {
    /// All connections, including those that have not sent a request yet.
    AnyClass,
    /// The connections of one class.
    Class(usize),
}

/// Index of the list of connections that have not sent a request yet.
const UNCLASSIFIED_LIST: usize = 0;

fn list_index(class: Option<usize>) -> usize {
    class.map_or(UNCLASSIFIED_LIST, |class| class + 1)
}

impl IdleConnections {
    pub(super) fn new(classes: usize) -> IdleConnections {
        let lists = (0..=classes).map(|_| BTreeMap::new()).collect();
        IdleConnections { lists, next_sequence: 0 }
    }

    pub(super) fn insert(&mut self, class: Option<usize>, evicted: Rc<Notify>) -> IdleKey {
        let key = IdleKey { list: list_index(class), sequence: self.next_sequence };
        self.next_sequence += 1;
        let connection = IdleConnection { idle_since: Instant::now(), evicted };
        self.lists[key.list].insert(key.sequence, connection);
        key
    }

    pub(super) fn remove(&mut self, key: IdleKey) {
        self.lists[key.list].remove(&key.sequence);
    }

    /// Evicts the connection that has been idle for longest, by notifying it to close; connections
    /// that have not sent a request yet are evicted first. Returns `false` if no connection may be
    /// evicted.
    pub(super) fn evict_longest_idle(
        &mut self,
        from: EvictFrom,
        evictable_after: Duration,
    ) -> bool {
        let lists = 0..self.lists.len();
        let candidates = lists
            .filter(|list| match from {
                EvictFrom::AnyClass => true,
                EvictFrom::Class(class) => *list == list_index(Some(class)),
            })
            .filter_map(|list| self.first_evictable(list, evictable_after));
        let is_classified = |key: &IdleKey| key.list != UNCLASSIFIED_LIST;
        let Some(key) = candidates.min_by_key(|key| (is_classified(key), key.sequence)) else {
            return false;
        };
        if let Some(connection) = self.lists[key.list].remove(&key.sequence) {
            connection.evicted.notify_one();
        }
        true
    }

    /// The longest idle connection of a list, if it has been idle for long enough to be evicted.
    fn first_evictable(&self, list: usize, evictable_after: Duration) -> Option<IdleKey> {
        let (sequence, connection) = self.lists[list].first_key_value()?;
        let min_idle =
            if list == UNCLASSIFIED_LIST { FIRST_REQUEST_GRACE } else { evictable_after };
        (connection.idle_since.elapsed() >= min_idle)
            .then_some(IdleKey { list, sequence: *sequence })
    }
}
