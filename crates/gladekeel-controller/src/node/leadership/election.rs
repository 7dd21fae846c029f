//! Election of the leader by the leader key in the store; the version of this key is the fencing
//! token.
//!
//! [`Election`] decides which request to the store is due; it never decides that this node
//! leads. The key is attached to a lease and is deleted with it, so a leader that crashes is
//! replaced after the lease's time to live.

use crate::keys::{self, LeaderRecord};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::store::{Precondition, Transaction, Write};

/// Time to live of the leader's lease: the store deletes the leader key this long after the last
/// renewal.
const LEASE_TTL_MS: u64 = 3000;
/// Time between renewals of the leader's lease.
const RENEWAL_INTERVAL_S: f64 = 0.8;
/// Pause after an election request that changed the leader key or was refused.
const RETRY_S: f64 = 0.2;
/// Pause after an election request whose outcome is unknown, and after a request for a new token.
const RETRY_IN_DOUBT_S: f64 = 0.3;

/// The state of this node in the election.
#[derive(Debug, Default)]
pub(super) struct Election {
    /// The lease that this process holds, whether or not the leader key is attached to it.
    lease: Option<LeadershipLease>,
    /// Whether an election request is in flight.
    in_flight: bool,
    /// No election request is sent before this time.
    not_before: f64,
    /// After a resignation, this node is not a candidate before this time.
    candidate_after: f64,
}

#[derive(Debug, Clone, Copy)]
struct LeadershipLease {
    id: u64,
    /// When the last successful renewal was sent, or the request for the lease if there was none.
    renewed_at: f64,
}

/// The holder of the leader key as of the last read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ObservedLeader {
    /// There is no leader key.
    Vacant,
    /// The leader key names this incarnation: this process of this node.
    ThisIncarnation,
    /// The leader key names an earlier incarnation of this node: a process that no longer runs.
    StaleIncarnation {
        /// The version of the leader key.
        version: u64,
    },
    /// The leader key names another node.
    OtherNode,
}

impl ObservedLeader {
    /// Compares the stored leader key, if there is one, with `own`, the record of this incarnation.
    pub fn of(stored: Option<&(LeaderRecord, u64)>, own: &LeaderRecord) -> ObservedLeader {
        match stored {
            None => ObservedLeader::Vacant,
            Some((record, _)) if record == own => ObservedLeader::ThisIncarnation,
            Some((record, version)) if record.node == own.node => {
                ObservedLeader::StaleIncarnation { version: *version }
            }
            Some(_) => ObservedLeader::OtherNode,
        }
    }
}

impl Election {
    /// Returns the next election request, if one is due, and marks it as in flight.
    /// `token_to_renew` is the current token if it must be replaced by a higher one.
    pub fn next_request(
        &mut self,
        now: f64,
        observed: ObservedLeader,
        record: &LeaderRecord,
        token_to_renew: Option<u64>,
    ) -> Option<StoreRequest> {
        if self.in_flight || now < self.not_before {
            return None;
        }
        let request = match (observed, self.lease) {
            (ObservedLeader::ThisIncarnation, Some(lease)) => match token_to_renew {
                // Rewriting the leader key gives the same leader a higher token.
                Some(token) => {
                    self.not_before = now + RETRY_IN_DOUBT_S;
                    put_leader_key(record, token, lease.id)
                }
                None if now - lease.renewed_at >= RENEWAL_INTERVAL_S => {
                    StoreRequest::RenewLease(lease.id)
                }
                None => return None,
            },
            // The leader key is attached to a lease that this process does not hold, and is deleted
            // when that lease expires.
            (ObservedLeader::ThisIncarnation | ObservedLeader::OtherNode, None) => return None,
            (ObservedLeader::OtherNode, Some(lease)) => StoreRequest::RevokeLease(lease.id),
            (ObservedLeader::Vacant | ObservedLeader::StaleIncarnation { .. }, _)
                if now < self.candidate_after =>
            {
                return None;
            }
            (ObservedLeader::Vacant | ObservedLeader::StaleIncarnation { .. }, None) => {
                StoreRequest::GrantLease { ttl_ms: LEASE_TTL_MS }
            }
            (ObservedLeader::Vacant, Some(lease)) => put_leader_key(record, 0, lease.id),
            (ObservedLeader::StaleIncarnation { version }, Some(lease)) => {
                put_leader_key(record, version, lease.id)
            }
        };
        self.in_flight = true;
        Some(request)
    }

    /// Applies the outcome of an election request that was sent at `sent_at`. Returns whether the
    /// store should be read immediately.
    pub fn on_outcome(
        &mut self,
        now: f64,
        sent_at: f64,
        request: &StoreRequest,
        outcome: &StoreOutcome,
    ) -> bool {
        self.in_flight = false;
        match (request, outcome) {
            (StoreRequest::GrantLease { .. }, StoreOutcome::LeaseGranted(id)) => {
                self.lease = Some(LeadershipLease { id: *id, renewed_at: sent_at });
                false
            }
            (StoreRequest::RenewLease(_), StoreOutcome::Acknowledged) => {
                if let Some(lease) = &mut self.lease {
                    lease.renewed_at = sent_at;
                }
                false
            }
            (StoreRequest::Commit(_), StoreOutcome::Committed(_)) => {
                // Whether this node leads is decided by a read of the store, not by this response.
                self.not_before = now + RETRY_S;
                true
            }
            (StoreRequest::RevokeLease(_), _) | (_, StoreOutcome::LeaseNotFound) => {
                self.lease = None;
                true
            }
            (_, StoreOutcome::RateLimited | StoreOutcome::Unavailable) => {
                self.not_before = now + RETRY_S;
                false
            }
            _ => {
                self.not_before = now + RETRY_IN_DOUBT_S;
                true
            }
        }
    }

    /// Releases the lease and stops this node from being a candidate for `pause_s` seconds.
    /// Returns the request that revokes the lease, or `None` if this process holds no lease. The
    /// key is deleted with the lease, so another node can acquire it immediately.
    pub fn resign(&mut self, now: f64, pause_s: f64) -> Option<StoreRequest> {
        self.candidate_after = now + pause_s;
        let lease = self.lease.take()?;
        Some(StoreRequest::RevokeLease(lease.id))
    }
}

/// Builds the transaction that writes the leader key if the key still has `version`; 0 means that
/// the key must not exist.
fn put_leader_key(record: &LeaderRecord, version: u64, lease: u64) -> StoreRequest {
    let value = serde_json::to_value(record).expect("stored types always serialise");
    StoreRequest::Commit(Transaction {
        preconditions: vec![Precondition { key: keys::LEADER.into(), version }],
        writes: vec![Write::Put { key: keys::LEADER.into(), value, lease: Some(lease) }],
    })
}
