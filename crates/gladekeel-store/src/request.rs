//! Requests to the store and their outcomes.
//!
//! [`StoreRequest::encode`] and [`StoreRequest::decode`] implement the whole HTTP protocol of the
//! store. The outcomes distinguish what the caller must know to be safe: whether the request
//! certainly had no effect ([`StoreOutcome::RateLimited`], [`StoreOutcome::Unavailable`],
//! [`StoreOutcome::Conflict`]), or may have been executed ([`StoreOutcome::Unknown`]).

use gladekeel_wire::{
    http::HttpRequest,
    store::{
        GrantedLease, KeyValuePage, LeaseRequest, Transaction, TransactionResponse, WatchResponse,
    },
};
use std::fmt::Write;

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read a page of keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The page starts after this key; `None` for the first page.
        after: Option<String>,
    },
    /// Read all changes since a revision, without waiting for further changes.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// The revision since which changes are returned.
        since: u64,
    },
    /// Commit a transaction.
    Commit(Transaction),
    /// Grant a lease.
    GrantLease {
        /// Time in milliseconds after which the lease expires if it is not renewed.
        ttl_ms: u64,
    },
    /// Renew the lease with this identifier.
    RenewLease(u64),
    /// Revoke the lease with this identifier; the store deletes the keys attached to the lease.
    RevokeLease(u64),
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOutcome {
    /// A page of keys.
    Page(KeyValuePage),
    /// The changes since the requested revision.
    Changes(WatchResponse),
    /// The store has compacted the changes since the requested revision: a new snapshot is needed.
    Compacted,
    /// The transaction was committed, at this revision.
    Committed(u64),
    /// The preconditions on these keys failed; nothing was written.
    Conflict(Vec<String>),
    /// A lease with this identifier was granted.
    LeaseGranted(u64),
    /// The lease was renewed or revoked.
    Acknowledged,
    /// The lease to renew or revoke, or a lease named in a transaction, does not exist; or the
    /// store refused the transaction as invalid, for example as too large, with the same status.
    LeaseNotFound,
    /// The store's rate limit was exceeded; the request was not executed.
    RateLimited,
    /// The store was unavailable, or the request was never sent; the request was not executed.
    Unavailable,
    /// No readable response was received: the request may have been executed, or may be executed
    /// later.
    Unknown,
}

/// Maximum number of keys in a page.
const MAX_KEYS_PER_PAGE: usize = 1000;

/// The body of requests without parameters that must nevertheless have a JSON body.
#[derive(serde::Serialize)]
struct EmptyBody {}

fn list_target(prefix: &str, after: &Option<String>) -> String {
    let mut target = String::from("/kv?starts=");
    percent_encode(prefix, &mut target);
    if let Some(after) = after {
        target.push_str("&since=");
        percent_encode(after, &mut target);
    }
    let _ = write!(target, "&limit={MAX_KEYS_PER_PAGE}");
    target
}

fn watch_target(prefix: &str, since: u64) -> String {
    let mut target = String::from("/follow?starts=");
    percent_encode(prefix, &mut target);
    let _ = write!(target, "&since={since}&hold_ms=0");
    target
}

/// Appends `text` to `target` and escapes all bytes except those that are safe in a query.
fn percent_encode(text: &str, target: &mut String) {
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'/') {
            target.push(byte.into());
        } else {
            let _ = write!(target, "%{byte:02X}");
        }
    }
}

impl StoreRequest {
    /// Encodes the request in the store's protocol.
    pub fn encode(&self) -> HttpRequest {
        match self {
            StoreRequest::List { prefix, after } => HttpRequest::get(list_target(prefix, after)),
            StoreRequest::Watch { prefix, since } => HttpRequest::get(watch_target(prefix, *since)),
            StoreRequest::Commit(transaction) => HttpRequest::post("/commit", transaction),
            StoreRequest::GrantLease { ttl_ms } => {
                HttpRequest::post("/leases", &LeaseRequest { ttl_ms: *ttl_ms })
            }
            StoreRequest::RenewLease(id) => {
                HttpRequest::post(format!("/leases/{id}/touch"), &EmptyBody {})
            }
            StoreRequest::RevokeLease(id) => HttpRequest::delete(format!("/leases/{id}")),
        }
    }

    /// Decodes the outcome of the request from the status and body of its response.
    pub fn decode(&self, status: u16, body: &[u8]) -> StoreOutcome {
        fn parse<'a, T: serde::Deserialize<'a>>(
            body: &'a [u8],
            outcome: impl FnOnce(T) -> StoreOutcome,
        ) -> StoreOutcome {
            // An unreadable body does not tell whether the request was executed.
            serde_json::from_slice(body).map_or(StoreOutcome::Unknown, outcome)
        }
        match (status, self) {
            (429, _) => StoreOutcome::RateLimited,
            (503, _) => StoreOutcome::Unavailable,
            (200, StoreRequest::List { .. }) => parse(body, StoreOutcome::Page),
            (200, StoreRequest::Watch { .. }) => parse(body, StoreOutcome::Changes),
            (410, StoreRequest::Watch { .. }) => StoreOutcome::Compacted,
            (200, StoreRequest::Commit(_)) => parse(body, |response: TransactionResponse| {
                StoreOutcome::Committed(response.revision)
            }),
            (409, StoreRequest::Commit(_)) => {
                parse(body, |response: TransactionResponse| StoreOutcome::Conflict(response.failed))
            }
            (400, StoreRequest::Commit(_)) => StoreOutcome::LeaseNotFound,
            (200 | 201, StoreRequest::GrantLease { .. }) => {
                parse(body, |lease: GrantedLease| StoreOutcome::LeaseGranted(lease.id))
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

    /// Number of puts and deletes in the request, which count against the write limit.
    pub fn write_count(&self) -> usize {
        match self {
            StoreRequest::Commit(transaction) => transaction.writes.len(),
            _ => 0,
        }
    }
}
