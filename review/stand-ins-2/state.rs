//! The state service.

use crate::http::{Answer, Request};
use crate::json::J;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;

#[derive(Clone)]
struct Entry {
    value: J,
    version: u64,
    lease: Option<u64>,
}

struct Change {
    key: String,
    value: Option<J>,
    version: u64,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    changes: VecDeque<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

#[derive(Default)]
struct Bucket {
    tokens: f64,
    at: Option<Instant>,
}

impl Bucket {
    /// Takes tokens of a bucket with a burst of one second.
    fn take(&mut self, rate: f64, n: f64) -> bool {
        let now = Instant::now();
        let passed = self.at.map_or(1.0, |at| (now - at).as_secs_f64());
        self.tokens = (self.tokens + passed * rate).min(rate);
        self.at = Some(now);
        let ok = self.tokens >= n;
        if ok {
            self.tokens -= n;
        }
        ok
    }
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

pub struct State {
    limits: Limits,
    inner: Mutex<Inner>,
}

fn error(status: u16, text: &str) -> Answer {
    Some((status, J::obj(vec![("error", J::str(text))]).write()))
}

impl Inner {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, e)| e.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: String) {
        if self.entries.remove(&key).is_some() {
            self.push(Change { key, value: None, version: self.revision });
        }
    }

    fn push(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }
}

impl State {
    pub fn new(limits: Limits) -> State {
        let inner = Inner { revision: 100, ..Inner::default() };
        State { limits, inner: Mutex::new(inner) }
    }

    /// The value of a key, for the script.
    pub fn value(&self, key: &str) -> Option<J> {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        inner.entries.get(key).map(|e| e.value.clone())
    }

    /// The version of a key, for the script.
    pub fn version(&self, key: &str) -> u64 {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        inner.entries.get(key).map_or(0, |e| e.version)
    }

    pub fn handle(&self, request: &Request) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        if !inner.requests.take(self.limits.rps, 1.0) {
            return error(429, "rate");
        }
        let parts: Vec<&str> = request.path.split('/').skip(1).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["kv"]) => list(&inner, request),
            ("GET", ["kv", ..]) => get(&inner, &request.path[4..]),
            ("GET", ["follow"]) => {
                let since = request.param("since")?.parse().ok()?;
                let prefix = request.param("starts").unwrap_or_default();
                let hold = request.param("hold_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                drop(inner);
                self.follow(&prefix, since, Duration::from_millis(hold))
            }
            ("POST", ["commit"]) => self.commit(&mut inner, &request.body),
            ("POST", ["leases"]) => {
                let ttl = J::parse(&request.body).and_then(|b| b.get("ttl_ms").u64());
                let Some(ttl) = ttl.filter(|t| (100..=600_000).contains(t)) else {
                    return error(400, "malformed");
                };
                inner.next_lease += 1;
                let (id, ttl) = (inner.next_lease, Duration::from_millis(ttl));
                inner.leases.insert(id, (ttl, Instant::now() + ttl));
                Some((200, J::obj(vec![("mooring", J::int(id))]).write()))
            }
            ("POST", ["leases", id, "touch"]) => {
                let lease = id.parse::<u64>().ok().and_then(|id| inner.leases.get_mut(&id));
                let Some((ttl, end)) = lease else { return error(404, "no such lease") };
                *end = Instant::now() + *ttl;
                Some((200, "{}".into()))
            }
            ("DELETE", ["leases", id]) => {
                let id = id.parse::<u64>().ok().filter(|id| inner.leases.contains_key(id));
                let Some(id) = id else { return error(404, "no such lease") };
                inner.end_lease(id);
                Some((200, "{}".into()))
            }
            _ => error(400, "malformed"),
        }
    }

    fn follow(&self, prefix: &str, since: u64, hold: Duration) -> Answer {
        let end = Instant::now() + hold;
        loop {
            let mut inner = self.inner.lock().unwrap();
            inner.expire();
            let oldest = inner.changes.front().map_or(0, |c| c.version);
            if inner.changes.len() == KEPT_CHANGES && since + 1 < oldest {
                return error(410, "compacted");
            }
            let is_new = |c: &&Change| c.version > since && c.key.starts_with(prefix);
            let news: Vec<J> = inner.changes.iter().filter(is_new).map(event).collect();
            if !news.is_empty() || Instant::now() >= end {
                let body =
                    J::obj(vec![("logline", J::int(inner.revision)), ("news", J::Arr(news))]);
                return Some((200, body.write()));
            }
            drop(inner);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn commit(&self, inner: &mut Inner, body: &str) -> Answer {
        let Some(body) = J::parse(body).filter(|_| body.len() <= 64 * 1024) else {
            return error(400, "malformed");
        };
        let (guards, writes) = (body.get("guards").list(), body.get("writes").list());
        let too_large = writes.len() > self.limits.txn_ops
            || guards.len() > 4 * self.limits.txn_ops
            || writes.iter().any(|w| w.get("value").write().len() > self.limits.value_bytes);
        if too_large {
            return error(400, "too large");
        }
        if !inner.writes.take(self.limits.write_rps, writes.len() as f64) {
            return error(429, "rate");
        }
        let failed: Vec<J> = guards
            .iter()
            .filter(|g| {
                let key = g.get("path").text().unwrap_or("");
                inner.entries.get(key).map_or(0, |e| e.version) != g.get("entry").u64().unwrap_or(0)
            })
            .map(|g| g.get("path").clone())
            .collect();
        if !failed.is_empty() {
            let body =
                J::obj(vec![("failed", J::Arr(failed)), ("logline", J::int(inner.revision))]);
            return Some((409, body.write()));
        }
        let lease_of = |w: &J| w.get("mooring").u64();
        if writes.iter().filter_map(lease_of).any(|id| !inner.leases.contains_key(&id)) {
            return error(400, "no such lease");
        }
        if !writes.is_empty() {
            inner.revision += 1;
        }
        let version = inner.revision;
        for w in writes {
            if let Some(key) = w.get("write").text() {
                let (key, value) = (key.to_owned(), w.get("value").clone());
                let entry = Entry { value: value.clone(), version, lease: lease_of(w) };
                inner.entries.insert(key.clone(), entry);
                inner.push(Change { key, value: Some(value), version });
            } else if let Some(key) = w.get("remove").text() {
                inner.remove(key.to_owned());
            }
        }
        Some((200, J::obj(vec![("logline", J::int(version))]).write()))
    }
}

fn event(c: &Change) -> J {
    let version = ("entry", J::int(c.version));
    match &c.value {
        Some(v) => J::obj(vec![("write", J::str(&c.key)), ("value", v.clone()), version]),
        None => J::obj(vec![("remove", J::str(&c.key)), version]),
    }
}

fn get(inner: &Inner, key: &str) -> Answer {
    let Some(e) = inner.entries.get(key) else {
        return Some((404, J::obj(vec![("logline", J::int(inner.revision))]).write()));
    };
    let mut fields =
        vec![("path", J::str(key)), ("value", e.value.clone()), ("entry", J::int(e.version))];
    fields.extend(e.lease.map(|id| ("mooring", J::int(id))));
    Some((200, J::obj(fields).write()))
}

fn list(inner: &Inner, request: &Request) -> Answer {
    let prefix = request.param("starts").unwrap_or_default();
    let after = request.param("since").unwrap_or_default();
    let limit = request.param("limit").and_then(|v| v.parse().ok()).unwrap_or(1000).min(1000);
    let matching = inner.entries.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
    let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
    for (key, e) in matching {
        let row = J::obj(vec![
            ("path", J::str(key)),
            ("value", e.value.clone()),
            ("entry", J::int(e.version)),
        ]);
        bytes += row.write().len();
        if rows.len() == limit || bytes > 500 * 1024 {
            more = true;
            break;
        }
        rows.push(row);
    }
    let body = J::obj(vec![
        ("rows", J::Arr(rows)),
        ("truncated", J::Bool(more)),
        ("logline", J::int(inner.revision)),
    ]);
    Some((200, body.write()))
}
