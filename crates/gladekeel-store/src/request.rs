//! Requests to the state service and what comes of them.

use gladekeel_wire::store::{
    GrantedLease, KeyValuePage, LeaseRequest, Transaction, TransactionResponse, WatchResponse,
};
use std::fmt::Write;

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read a page of keys.
    List {
        /// Their prefix.
        prefix: String,
        /// Begin after this key.
        after: Option<String>,
    },
    /// Get all changes since a revision, at once.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// The revision.
        since: u64,
    },
    /// Make a transaction.
    Commit(Transaction),
    /// Get a lease.
    GrantLease {
        /// How long it lasts without renewal.
        ttl_ms: u64,
    },
    /// Renew a lease.
    RenewLease(u64),
    /// End a lease.
    RevokeLease(u64),
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOutcome {
    /// A page of keys.
    Page(KeyValuePage),
    /// The changes since the revision asked for.
    Watched(WatchResponse),
    /// The revision is too old to follow from.
    Compacted,
    /// The transaction was made, at this revision.
    Committed(u64),
    /// Conditions failed; nothing was done.
    Conflict(Vec<String>),
    /// A lease was granted.
    LeaseGranted(u64),
    /// A renewal or an end of a lease was carried out.
    Acknowledged,
    /// There is no such lease.
    LeaseNotFound,
    /// Over the budget; nothing was done.
    RateLimited,
    /// The service refused; nothing was done.
    Unavailable,
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

impl StoreRequest {
    /// Method, target and body of the request.
    pub fn encode(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            StoreRequest::List { prefix, after } => {
                let mut target = String::from("/kv?starts=");
                escape(prefix, &mut target);
                if let Some(after) = after {
                    target.push_str("&since=");
                    escape(after, &mut target);
                }
                target.push_str("&limit=1000");
                ("GET", target, Vec::new())
            }
            StoreRequest::Watch { prefix, since } => {
                let mut target = String::from("/follow?starts=");
                escape(prefix, &mut target);
                let _ = write!(target, "&since={since}&hold_ms=0");
                ("GET", target, Vec::new())
            }
            StoreRequest::Commit(txn) => ("POST", "/commit".into(), to_json(txn)),
            StoreRequest::GrantLease { ttl_ms } => {
                ("POST", "/leases".into(), to_json(&LeaseRequest { ttl_ms: *ttl_ms }))
            }
            StoreRequest::RenewLease(id) => ("POST", format!("/leases/{id}/touch"), b"{}".to_vec()),
            StoreRequest::RevokeLease(id) => ("DELETE", format!("/leases/{id}"), Vec::new()),
        }
    }

    /// Reads the answer.
    pub fn decode(&self, status: u16, body: &[u8]) -> StoreOutcome {
        fn read<'a, T: serde::Deserialize<'a>>(
            body: &'a [u8],
            outcome: impl FnOnce(T) -> StoreOutcome,
        ) -> StoreOutcome {
            // A body that cannot be read says nothing about what was done.
            serde_json::from_slice(body).map_or(StoreOutcome::Unknown, outcome)
        }
        match (status, self) {
            (429, _) => StoreOutcome::RateLimited,
            (503, _) => StoreOutcome::Unavailable,
            (200, StoreRequest::List { .. }) => read(body, StoreOutcome::Page),
            (200, StoreRequest::Watch { .. }) => read(body, StoreOutcome::Watched),
            (410, StoreRequest::Watch { .. }) => StoreOutcome::Compacted,
            (200, StoreRequest::Commit(_)) => {
                read(body, |a: TransactionResponse| StoreOutcome::Committed(a.revision))
            }
            (409, StoreRequest::Commit(_)) => {
                read(body, |a: TransactionResponse| StoreOutcome::Conflict(a.failed))
            }
            (400, StoreRequest::Commit(_)) => StoreOutcome::LeaseNotFound,
            (200 | 201, StoreRequest::GrantLease { .. }) => {
                read(body, |l: GrantedLease| StoreOutcome::LeaseGranted(l.id))
            }
            (200 | 204, StoreRequest::RenewLease(_) | StoreRequest::RevokeLease(_)) => {
                StoreOutcome::Acknowledged
            }
            (404, StoreRequest::RenewLease(_) | StoreRequest::RevokeLease(_)) => {
                StoreOutcome::LeaseNotFound
            }
            _ => StoreOutcome::Unknown,
        }
    }

    /// Puts and deletes that the call counts for in the write budget.
    pub fn write_count(&self) -> usize {
        match self {
            StoreRequest::Commit(txn) => txn.writes.len(),
            _ => 0,
        }
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("wire types always serialise")
}
