//! Requests to the state service and what comes of them.

use gladekeel_wire::state::{Events, Lease, NewLease, Rows, Txn, TxnAnswer};
use std::fmt::Write;

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Read a page of keys.
    List {
        /// Their prefix.
        prefix: String,
        /// Begin after this key.
        after: Option<String>,
    },
    /// Get all changes since a revision, at once.
    Follow {
        /// Prefix of the keys.
        prefix: String,
        /// The revision.
        since: u64,
    },
    /// Make a transaction.
    Commit(Txn),
    /// Get a lease.
    Grant {
        /// How long it lasts without renewal.
        ttl_ms: u64,
    },
    /// Renew a lease.
    Touch(u64),
    /// End a lease.
    Revoke(u64),
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A page of keys.
    Rows(Rows),
    /// The changes since the revision asked for.
    Events(Events),
    /// The revision is too old to follow from.
    TooOld,
    /// The transaction was made, at this revision.
    Committed(u64),
    /// Conditions failed; nothing was done.
    Conflict(Vec<String>),
    /// A lease was granted.
    Granted(u64),
    /// A renewal or an end of a lease was carried out.
    Done,
    /// There is no such lease.
    NoLease,
    /// Over the budget; nothing was done.
    Busy,
    /// The service refused; nothing was done.
    Refused,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

fn escape(text: &str, out: &mut String) {
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'/') {
            out.push(byte.into());
        } else {
            let _ = write!(out, "%{byte:02X}");
        }
    }
}

impl Call {
    /// Method, target and body of the request.
    pub fn encode(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            Call::List { prefix, after } => {
                let mut target = String::from("/kv?starts=");
                escape(prefix, &mut target);
                if let Some(after) = after {
                    target.push_str("&since=");
                    escape(after, &mut target);
                }
                target.push_str("&limit=1000");
                ("GET", target, Vec::new())
            }
            Call::Follow { prefix, since } => {
                let mut target = String::from("/follow?starts=");
                escape(prefix, &mut target);
                let _ = write!(target, "&since={since}&hold_ms=0");
                ("GET", target, Vec::new())
            }
            Call::Commit(txn) => ("POST", "/commit".into(), to_json(txn)),
            Call::Grant { ttl_ms } => {
                ("POST", "/leases".into(), to_json(&NewLease { ttl_ms: *ttl_ms }))
            }
            Call::Touch(id) => ("POST", format!("/leases/{id}/touch"), b"{}".to_vec()),
            Call::Revoke(id) => ("DELETE", format!("/leases/{id}"), Vec::new()),
        }
    }

    /// Reads the answer.
    pub fn decode(&self, status: u16, body: &[u8]) -> Outcome {
        fn read<'a, T: serde::Deserialize<'a>>(
            body: &'a [u8],
            outcome: impl FnOnce(T) -> Outcome,
        ) -> Outcome {
            // A body that cannot be read says nothing about what was done.
            serde_json::from_slice(body).map_or(Outcome::Unknown, outcome)
        }
        match (status, self) {
            (429, _) => Outcome::Busy,
            (503, _) => Outcome::Refused,
            (200, Call::List { .. }) => read(body, Outcome::Rows),
            (200, Call::Follow { .. }) => read(body, Outcome::Events),
            (410, Call::Follow { .. }) => Outcome::TooOld,
            (200, Call::Commit(_)) => read(body, |a: TxnAnswer| Outcome::Committed(a.revision)),
            (409, Call::Commit(_)) => read(body, |a: TxnAnswer| Outcome::Conflict(a.failed)),
            (400, Call::Commit(_)) => Outcome::NoLease,
            (200 | 201, Call::Grant { .. }) => read(body, |l: Lease| Outcome::Granted(l.id)),
            (200 | 204, Call::Touch(_) | Call::Revoke(_)) => Outcome::Done,
            (404, Call::Touch(_) | Call::Revoke(_)) => Outcome::NoLease,
            _ => Outcome::Unknown,
        }
    }

    /// Puts and deletes that the call counts for in the write budget.
    pub fn writes(&self) -> usize {
        match self {
            Call::Commit(txn) => txn.writes.len(),
            _ => 0,
        }
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("wire types always serialise")
}
