//! What controllers and the state service say to each other.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a transaction: the key has this version (0: it does not exist).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its expected version.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Store a value.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        value: Value,
        /// The lease that the key hangs on, if any.
        #[serde(rename = "mooring", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// The key that the change is about.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// A transaction.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes, made together if every condition holds.
    pub writes: Vec<Write>,
}

/// The answer to a transaction, and the head of other answers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// The revision.
    #[serde(rename = "logline", default)]
    pub revision: u64,
    /// The keys whose condition failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A stored row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// A page of rows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValuePage {
    /// The rows.
    #[serde(rename = "rows")]
    pub entries: Vec<KeyValue>,
    /// Whether there are more.
    #[serde(rename = "truncated", default)]
    pub truncated: bool,
    /// The revision at which they were read.
    #[serde(rename = "logline")]
    pub revision: u64,
}

/// A change seen by a follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was stored.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        value: Value,
        /// The revision.
        #[serde(rename = "entry")]
        version: u64,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
        /// The revision.
        #[serde(rename = "entry")]
        version: u64,
    },
}

/// The answer to a follow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The revision that the events lead to.
    #[serde(rename = "logline")]
    pub revision: u64,
    /// The changes.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long it lasts without renewal.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedLease {
    /// Its id.
    #[serde(rename = "mooring")]
    pub id: u64,
}
