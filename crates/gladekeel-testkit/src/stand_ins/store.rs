//! A stand-in for the state service.

use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::store::{
    KeyValue, KeyValuePage, Transaction, WatchEvent, WatchResponse, Write,
};
use serde_json::Value;
use std::collections::BTreeMap;

/// Changes that are kept for followers.
const KEPT: usize = 10_000;

/// StoreLimits, as in the settings.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Writes of a transaction.
    pub txn_ops: usize,
    /// Bytes of a value.
    pub value: usize,
}

/// The service.
#[derive(Debug)]
pub struct FakeStore {
    limits: StoreLimits,
    rows: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    history: Vec<(u64, WatchEvent)>,
    leases: BTreeMap<u64, (f64, f64)>,
    next_lease: u64,
    requests: gladekeel_store::TokenBucket,
    writes: gladekeel_store::TokenBucket,
    /// During an outage every request is refused.
    pub down: bool,
    /// Nodes that are refused although the others are served.
    pub refused: Vec<usize>,
    /// What was asked of it that no client may ask.
    pub abuses: Vec<String>,
    /// Transactions that were refused as too large, once the limits have been lowered.
    pub too_large: Vec<String>,
    lowered: bool,
    /// Requests over the budget.
    pub busy: u64,
    /// Puts and deletes that were made.
    pub written: u64,
    /// Bytes of the transactions that were made.
    pub bytes: u64,
}

impl FakeStore {
    /// An empty service.
    pub fn new(limits: StoreLimits) -> FakeStore {
        FakeStore {
            limits,
            rows: BTreeMap::new(),
            revision: 1,
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            requests: gladekeel_store::TokenBucket::new(limits.rps, limits.rps),
            writes: gladekeel_store::TokenBucket::new(limits.write_rps, limits.write_rps),
            down: false,
            refused: Vec::new(),
            abuses: Vec::new(),
            too_large: Vec::new(),
            lowered: false,
            busy: 0,
            written: 0,
            bytes: 0,
        }
    }

    /// Lowers the limits, as `state.next` announces without a time. From now on what is
    /// too large is refused; what is stored stays readable.
    pub fn lower_limits(&mut self, limits: StoreLimits) {
        if limits.write_rps != self.limits.write_rps {
            self.writes = gladekeel_store::TokenBucket::new(limits.write_rps, limits.write_rps);
        }
        if limits.rps != self.limits.rps {
            self.requests = gladekeel_store::TokenBucket::new(limits.rps, limits.rps);
        }
        self.limits = limits;
        self.lowered = true;
    }

    /// The limits as they are now.
    pub fn limits(&self) -> StoreLimits {
        self.limits
    }

    /// What is too large of a transaction, if anything.
    fn excess(&self, txn: &Transaction) -> Option<String> {
        let large = txn.writes.iter().find_map(|write| match write {
            Write::Put { key, value, .. } if value.to_string().len() > self.limits.value => {
                Some(format!("value of {key}"))
            }
            _ => None,
        });
        let many = txn.writes.len() > self.limits.txn_ops
            || txn.preconditions.len() > 4 * self.limits.txn_ops;
        let ops = format!("{} writes, {} guards", txn.writes.len(), txn.preconditions.len());
        large.or(many.then_some(ops))
    }

    /// Begins or ends an outage; after it every lease has its full time again.
    pub fn set_outage(&mut self, now: f64, down: bool) {
        self.expire(now);
        self.down = down;
        if !down {
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
        }
    }

    fn expire(&mut self, now: f64) {
        if self.down {
            return;
        }
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| now > *until).map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .rows
            .iter()
            .filter(|(_, (_, _, lease))| *lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.rows.remove(&key);
            self.history.push((self.revision, WatchEvent::Delete { key, version: self.revision }));
        }
    }

    /// Carries out a call of a node.
    pub fn call(&mut self, now: f64, node: usize, call: &StoreRequest) -> StoreOutcome {
        self.expire(now);
        if self.down || self.refused.contains(&node) {
            return StoreOutcome::Unavailable;
        }
        if !self.requests.try_take(now, 1.0) {
            self.busy += 1;
            return StoreOutcome::RateLimited;
        }
        match call {
            StoreRequest::List { prefix, after } => {
                let from = after.clone().unwrap_or_default();
                let rows = self.rows.iter().filter(|(key, _)| key.starts_with(prefix.as_str()));
                let mut items: Vec<KeyValue> = rows
                    .filter(|(key, _)| key.as_str() > from.as_str())
                    .take(1001)
                    .map(|(key, (value, version, _))| KeyValue {
                        key: key.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect();
                let more = items.len() > 1000;
                items.truncate(1000);
                StoreOutcome::Page(KeyValuePage {
                    entries: items,
                    truncated: more,
                    revision: self.revision,
                })
            }
            StoreRequest::Watch { prefix, since } => {
                if self.history.first().is_some_and(|(first, _)| *since + 1 < *first) {
                    return StoreOutcome::Compacted;
                }
                let events = self
                    .history
                    .iter()
                    .filter(|(revision, event)| {
                        let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = event;
                        revision > since && key.starts_with(prefix.as_str())
                    })
                    .map(|(_, event)| event.clone())
                    .collect();
                StoreOutcome::Watched(WatchResponse { revision: self.revision, events })
            }
            StoreRequest::Commit(txn) => self.commit(now, txn),
            StoreRequest::GrantLease { ttl_ms } => {
                let id = self.next_lease;
                self.next_lease += 1;
                let ttl = *ttl_ms as f64 / 1000.0;
                self.leases.insert(id, (ttl, now + ttl));
                StoreOutcome::LeaseGranted(id)
            }
            StoreRequest::RenewLease(id) => match self.leases.get_mut(id) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    StoreOutcome::Acknowledged
                }
                None => StoreOutcome::LeaseNotFound,
            },
            StoreRequest::RevokeLease(id) if self.leases.contains_key(id) => {
                self.end_lease(*id);
                StoreOutcome::Acknowledged
            }
            StoreRequest::RevokeLease(_) => StoreOutcome::LeaseNotFound,
        }
    }

    fn commit(&mut self, now: f64, txn: &Transaction) -> StoreOutcome {
        if self.lowered
            && let Some(what) = self.excess(txn)
        {
            // The client tells a 400 to a commit from no other.
            self.too_large.push(format!("{now:.2}: {what}"));
            return StoreOutcome::LeaseNotFound;
        }
        let bytes = serde_json::to_vec(txn).map_or(0, |body| body.len());
        if bytes > 64 * 1024
            || txn.writes.len() > self.limits.txn_ops
            || txn.preconditions.len() > 4 * self.limits.txn_ops
        {
            self.abuses.push(format!("transaction of {bytes} bytes, {} writes", txn.writes.len()));
        }
        if !self.writes.try_take(now, txn.writes.len() as f64) {
            self.busy += 1;
            return StoreOutcome::RateLimited;
        }
        for write in &txn.writes {
            if let Write::Put { key, value, lease } = write {
                if value.to_string().len() > self.limits.value {
                    self.abuses.push(format!("value of {key} is too large"));
                }
                if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                    return StoreOutcome::LeaseNotFound;
                }
            }
        }
        let failed: Vec<String> = txn
            .preconditions
            .iter()
            .filter(|guard| {
                self.rows.get(&guard.key).map_or(0, |(_, version, _)| *version) != guard.version
            })
            .map(|guard| guard.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreOutcome::Conflict(failed);
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        self.written += txn.writes.len() as u64;
        self.bytes += bytes as u64;
        let version = self.revision;
        for write in &txn.writes {
            let event = match write.clone() {
                Write::Put { key, value, lease } => {
                    self.rows.insert(key.clone(), (value.clone(), version, lease));
                    WatchEvent::Put { key, value, version }
                }
                Write::Delete { key } => {
                    self.rows.remove(&key);
                    WatchEvent::Delete { key, version }
                }
            };
            self.history.push((version, event));
        }
        if self.history.len() > KEPT {
            self.history.drain(..self.history.len() - KEPT);
        }
        StoreOutcome::Committed(version)
    }

    /// Spoils every segment of the leader's log, or mends them again.
    pub fn corrupt_assignment_log(&mut self, spoilt: bool) {
        for (key, (value, ..)) in &mut self.rows {
            let Some(text) = value.as_str().filter(|_| key.starts_with("gl/")) else { continue };
            *value = match text.strip_prefix('!') {
                Some(text) if !spoilt => text.into(),
                None if spoilt => format!("!{text}").into(),
                _ => continue,
            };
        }
    }

    /// Puts the start of the kept changes up to now, as if many had passed.
    pub fn compact_history(&mut self) {
        self.revision += 1;
        self.history = vec![(
            self.revision,
            WatchEvent::Delete { key: "elsewhere".into(), version: self.revision },
        )];
    }
}
