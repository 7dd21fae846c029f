//! A fake store: keys with versions and leases, transactions with preconditions, watches,
//! rate limits and outages.

use gladekeel_store::{StoreOutcome, StoreRequest, TokenBucket};
use gladekeel_wire::store::{
    KeyValue, KeyValuePage, Transaction, WatchEvent, WatchResponse, Write,
};
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of changes that are kept for watches.
const MAX_HISTORY: usize = 10_000;
/// Maximum number of entries in a page.
const PAGE_ENTRIES: usize = 1000;
/// Maximum size of the body of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Maximum number of preconditions of a transaction, as a multiple of the number of writes that the
/// limits allow.
const PRECONDITIONS_PER_WRITE: usize = 4;

/// Limits of the store, as in the settings.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Writes per transaction.
    pub txn_ops: usize,
    /// Bytes per value.
    pub value: usize,
}

/// A stored value with its version and lease.
#[derive(Debug)]
struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// A lease. When the lease ends, the store deletes the keys that are bound to the lease.
#[derive(Debug)]
struct Lease {
    ttl_s: f64,
    expires_at: f64,
}

/// A change of a key, as watches return it.
#[derive(Debug)]
struct Change {
    revision: u64,
    event: WatchEvent,
}

/// A fake store.
#[derive(Debug)]
pub struct FakeStore {
    limits: StoreLimits,
    entries: BTreeMap<String, Entry>,
    revision: u64,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    request_bucket: TokenBucket,
    write_bucket: TokenBucket,
    /// Whether there is an outage, during which the store refuses every request.
    pub down: bool,
    /// Indices of the nodes whose requests the store refuses, while it serves all other nodes.
    pub refused_nodes: Vec<usize>,
    /// Descriptions of requests that violate the protocol.
    pub protocol_errors: Vec<String>,
    /// Descriptions of transactions that were refused as too large after the limits had been
    /// lowered.
    pub too_large: Vec<String>,
    limits_lowered: bool,
    /// Number of requests that were refused because they exceeded a rate limit.
    pub rate_limited: u64,
    /// Number of writes in committed transactions.
    pub committed_writes: u64,
    /// Number of bytes in committed transactions.
    pub committed_bytes: u64,
}

impl FakeStore {
    /// Creates an empty store.
    pub fn new(limits: StoreLimits) -> FakeStore {
        FakeStore {
            limits,
            entries: BTreeMap::new(),
            revision: 1,
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            request_bucket: TokenBucket::new(limits.rps, limits.rps),
            write_bucket: TokenBucket::new(limits.write_rps, limits.write_rps),
            down: false,
            refused_nodes: Vec::new(),
            protocol_errors: Vec::new(),
            too_large: Vec::new(),
            limits_lowered: false,
            rate_limited: 0,
            committed_writes: 0,
            committed_bytes: 0,
        }
    }

    /// Lowers the limits. The setting `state.next` announces lower limits, but not when they
    /// apply. From now on larger requests are refused, while stored values stay readable.
    pub fn lower_limits(&mut self, limits: StoreLimits) {
        if limits.write_rps != self.limits.write_rps {
            self.write_bucket = TokenBucket::new(limits.write_rps, limits.write_rps);
        }
        if limits.rps != self.limits.rps {
            self.request_bucket = TokenBucket::new(limits.rps, limits.rps);
        }
        self.limits = limits;
        self.limits_lowered = true;
    }

    /// The current limits.
    pub fn limits(&self) -> StoreLimits {
        self.limits
    }

    /// Begins or ends an outage. When an outage ends, every lease has its full time to live again.
    pub fn set_outage(&mut self, now: f64, down: bool) {
        self.expire_leases(now);
        self.down = down;
        if !down {
            for lease in self.leases.values_mut() {
                lease.expires_at = now + lease.ttl_s;
            }
        }
    }

    /// Executes a request of a node.
    pub fn call(&mut self, now: f64, node: usize, request: &StoreRequest) -> StoreOutcome {
        self.expire_leases(now);
        if self.down || self.refused_nodes.contains(&node) {
            return StoreOutcome::Unavailable;
        }
        if !self.request_bucket.try_take(now, 1.0) {
            self.rate_limited += 1;
            return StoreOutcome::RateLimited;
        }
        match request {
            StoreRequest::List { prefix, after } => {
                StoreOutcome::Page(self.list(prefix, after.as_deref()))
            }
            StoreRequest::Watch { prefix, since } => self.watch(prefix, *since),
            StoreRequest::Commit(transaction) => self.commit(now, transaction),
            StoreRequest::GrantLease { ttl_ms } => self.grant_lease(now, *ttl_ms as f64 / 1000.0),
            StoreRequest::RenewLease(id) => self.renew_lease(now, *id),
            StoreRequest::RevokeLease(id) => self.revoke_lease(*id),
        }
    }

    fn list(&self, prefix: &str, after: Option<&str>) -> KeyValuePage {
        let after = after.unwrap_or_default();
        let entries = self.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut entries: Vec<KeyValue> = entries
            .filter(|(key, _)| key.as_str() > after)
            .take(PAGE_ENTRIES + 1)
            .map(|(key, entry)| KeyValue {
                key: key.clone(),
                value: entry.value.clone(),
                version: entry.version,
            })
            .collect();
        let truncated = entries.len() > PAGE_ENTRIES;
        entries.truncate(PAGE_ENTRIES);
        KeyValuePage { entries, truncated, revision: self.revision }
    }

    fn watch(&self, prefix: &str, since: u64) -> StoreOutcome {
        if self.history.first().is_some_and(|first| since + 1 < first.revision) {
            return StoreOutcome::Compacted;
        }
        let matches = |change: &&Change| {
            let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = &change.event;
            change.revision > since && key.starts_with(prefix)
        };
        let changes = self.history.iter().filter(matches);
        let events = changes.map(|change| change.event.clone()).collect();
        StoreOutcome::Changes(WatchResponse { revision: self.revision, events })
    }

    fn grant_lease(&mut self, now: f64, ttl_s: f64) -> StoreOutcome {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, Lease { ttl_s, expires_at: now + ttl_s });
        StoreOutcome::LeaseGranted(id)
    }

    fn renew_lease(&mut self, now: f64, id: u64) -> StoreOutcome {
        let Some(lease) = self.leases.get_mut(&id) else { return StoreOutcome::LeaseNotFound };
        lease.expires_at = now + lease.ttl_s;
        StoreOutcome::Acknowledged
    }

    fn revoke_lease(&mut self, id: u64) -> StoreOutcome {
        if !self.leases.contains_key(&id) {
            return StoreOutcome::LeaseNotFound;
        }
        self.end_lease(id);
        StoreOutcome::Acknowledged
    }

    fn expire_leases(&mut self, now: f64) {
        if self.down {
            return;
        }
        let expired = self.leases.iter().filter(|(_, lease)| now > lease.expires_at);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Ends a lease and deletes the keys that are bound to it.
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let bound = self.entries.iter().filter(|(_, entry)| entry.lease == Some(id));
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        let revision = self.revision;
        for key in keys {
            self.entries.remove(&key);
            let event = WatchEvent::Delete { key, version: revision };
            self.history.push(Change { revision, event });
        }
    }

    fn commit(&mut self, now: f64, transaction: &Transaction) -> StoreOutcome {
        if self.limits_lowered
            && let Some(excess) = self.excess(transaction)
        {
            self.too_large.push(format!("{now:.2}: {excess}"));
            // The client of the store maps the HTTP status 400 of a commit to `LeaseNotFound`.
            return StoreOutcome::LeaseNotFound;
        }
        let bytes = serde_json::to_vec(transaction).map_or(0, |body| body.len());
        self.check_transaction_size(transaction, bytes);
        if !self.write_bucket.try_take(now, transaction.writes.len() as f64) {
            self.rate_limited += 1;
            return StoreOutcome::RateLimited;
        }
        if !self.check_writes(transaction) {
            return StoreOutcome::LeaseNotFound;
        }
        let failed = self.failed_preconditions(transaction);
        if !failed.is_empty() {
            return StoreOutcome::Conflict(failed);
        }
        self.committed_writes += transaction.writes.len() as u64;
        self.committed_bytes += bytes as u64;
        StoreOutcome::Committed(self.apply(transaction))
    }

    /// Describes the part of a transaction that exceeds the limits; `None` if no part does.
    fn excess(&self, transaction: &Transaction) -> Option<String> {
        let large_value = transaction.writes.iter().find_map(|write| match write {
            Write::Put { key, value, .. } if value.to_string().len() > self.limits.value => {
                Some(format!("value of {key}"))
            }
            _ => None,
        });
        let (writes, preconditions) = (transaction.writes.len(), transaction.preconditions.len());
        let counts = format!("{writes} writes, {preconditions} preconditions");
        large_value.or(self.has_too_many_operations(transaction).then_some(counts))
    }

    fn has_too_many_operations(&self, transaction: &Transaction) -> bool {
        let max_writes = self.limits.txn_ops;
        transaction.writes.len() > max_writes
            || transaction.preconditions.len() > PRECONDITIONS_PER_WRITE * max_writes
    }

    /// Records a protocol error if a transaction is larger than the protocol allows.
    fn check_transaction_size(&mut self, transaction: &Transaction, bytes: usize) {
        if bytes > MAX_TRANSACTION_BYTES || self.has_too_many_operations(transaction) {
            let writes = transaction.writes.len();
            self.protocol_errors.push(format!("transaction of {bytes} bytes, {writes} writes"));
        }
    }

    /// Records a protocol error for each value that is too large. Returns whether the leases of
    /// all writes exist.
    fn check_writes(&mut self, transaction: &Transaction) -> bool {
        for write in &transaction.writes {
            let Write::Put { key, value, lease } = write else { continue };
            if value.to_string().len() > self.limits.value {
                self.protocol_errors.push(format!("value of {key} is too large"));
            }
            if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                return false;
            }
        }
        true
    }

    /// Keys that do not have the version that the transaction expects. Version 0 means that the
    /// key does not exist.
    fn failed_preconditions(&self, transaction: &Transaction) -> Vec<String> {
        let version = |key: &str| self.entries.get(key).map_or(0, |entry| entry.version);
        let preconditions = transaction.preconditions.iter();
        let failed = preconditions.filter(|expected| version(&expected.key) != expected.version);
        failed.map(|expected| expected.key.clone()).collect()
    }

    /// Applies the writes of a transaction; returns the revision of the store after the writes.
    fn apply(&mut self, transaction: &Transaction) -> u64 {
        if !transaction.writes.is_empty() {
            self.revision += 1;
        }
        let revision = self.revision;
        for write in &transaction.writes {
            let event = match write.clone() {
                Write::Put { key, value, lease } => {
                    let entry = Entry { value: value.clone(), version: revision, lease };
                    self.entries.insert(key.clone(), entry);
                    WatchEvent::Put { key, value, version: revision }
                }
                Write::Delete { key } => {
                    self.entries.remove(&key);
                    WatchEvent::Delete { key, version: revision }
                }
            };
            self.history.push(Change { revision, event });
        }
        if self.history.len() > MAX_HISTORY {
            self.history.drain(..self.history.len() - MAX_HISTORY);
        }
        revision
    }

    /// Makes every segment of the assignment log unreadable, or readable again if `corrupt` is
    /// false.
    pub fn corrupt_assignment_log(&mut self, corrupt: bool) {
        for (key, entry) in &mut self.entries {
            let text = entry.value.as_str().filter(|_| key.starts_with("gl/"));
            let Some(text) = text else { continue };
            entry.value = match text.strip_prefix('!') {
                Some(text) if !corrupt => text.into(),
                None if corrupt => format!("!{text}").into(),
                _ => continue,
            };
        }
    }

    /// Removes all changes up to now from the history, as if many changes had followed them.
    pub fn compact_history(&mut self) {
        self.revision += 1;
        let event = WatchEvent::Delete { key: "elsewhere".into(), version: self.revision };
        self.history = vec![Change { revision: self.revision, event }];
    }
}
