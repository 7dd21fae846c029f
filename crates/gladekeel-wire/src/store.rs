//! The key-value store's API: reads, compare-and-swap transactions, leases and watches.
//!
//! The store is linearizable. Its *revision* counts committed transactions; the *version*
//! of a key is the revision at which it was last written.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A precondition of a compare-and-swap transaction: the key has exactly this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Precondition {
    /// Key whose version is compared.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have; 0 if the key must not exist.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Create or overwrite a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        value: Value,
        /// Lease that the key is attached to: the key is deleted when the lease expires. `None` if
        /// the key is attached to no lease.
        #[serde(rename = "mooring", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// Returns the key that is written or deleted.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// A compare-and-swap transaction: all writes are applied if every precondition holds, and none
/// otherwise.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Writes, applied atomically.
    pub writes: Vec<Write>,
}

/// The response to a transaction. Page and watch responses have the same revision field.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the commit; if nothing was committed, the store's revision when it responded.
    #[serde(rename = "logline", default)]
    pub revision: u64,
    /// Keys whose preconditions failed; empty if the transaction was committed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A key with its value and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    pub value: Value,
    /// Revision at which the key was last written.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// A page of the response to a range read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValuePage {
    /// The entries, sorted by key.
    #[serde(rename = "rows")]
    pub entries: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(rename = "truncated", default)]
    pub truncated: bool,
    /// Revision at which the page was read.
    #[serde(rename = "logline")]
    pub revision: u64,
}

/// A change to a key, as delivered by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was created or overwritten.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        value: Value,
        /// Revision of the write.
        #[serde(rename = "entry")]
        version: u64,
    },
    /// A key was deleted, by a transaction or because its lease expired.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
        /// Revision of the deletion.
        #[serde(rename = "entry")]
        version: u64,
    },
}

/// The response to a watch: the changes since the revision that the request names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision of the store after the events; the next watch starts after this revision.
    #[serde(rename = "logline")]
    pub revision: u64,
    /// Changes, in the order of their revisions.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

/// A request to grant a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live in milliseconds: the lease expires if it is not renewed for this long.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedLease {
    /// Id of the lease, used in renewals and in [`Write::Put`].
    #[serde(rename = "mooring")]
    pub id: u64,
}
