//! Who leads: a key under a lease, whose version is the fencing token.

use crate::keys::{self, LeaderRecord};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::store::{Precondition, Transaction, Write};

/// How long the leader's key outlives its last renewal.
const TTL_MS: u64 = 3000;
/// How often the lease is renewed.
const RENEWAL_INTERVAL_S: f64 = 0.8;

/// A node's part in the election.
#[derive(Debug, Default)]
pub struct Election {
    lease: Option<LeadershipLease>,
    in_flight: bool,
    not_before: f64,
    /// Not a candidate before this time: it resigned.
    pub candidate_after: f64,
}

#[derive(Debug, Clone, Copy)]
struct LeadershipLease {
    id: u64,
    renewed_at: f64,
}

/// What the node sees of the leader's key, as of a recent contact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedLeader {
    /// Nobody leads.
    Vacant,
    /// This incarnation leads.
    ThisIncarnation,
    /// An earlier incarnation of this node, which is dead, under this version.
    StaleIncarnation(u64),
    /// Another node leads.
    OtherNode,
}

impl Election {
    /// The next request, if one is due.
    pub fn next(
        &mut self,
        now: f64,
        seen: ObservedLeader,
        record: &LeaderRecord,
        renew_token: Option<u64>,
    ) -> Option<StoreRequest> {
        if self.in_flight || now < self.not_before {
            return None;
        }
        let call = match (seen, self.lease) {
            (ObservedLeader::ThisIncarnation, Some(lease)) => match renew_token {
                // The same leader under a higher token.
                Some(token) => {
                    self.not_before = now + 0.3;
                    commit(record, token, lease.id)
                }
                None if now - lease.renewed_at >= RENEWAL_INTERVAL_S => {
                    StoreRequest::RenewLease(lease.id)
                }
                None => return None,
            },
            // The key hangs on a lease that this incarnation does not know: it runs out.
            (ObservedLeader::ThisIncarnation | ObservedLeader::OtherNode, None) => return None,
            (ObservedLeader::OtherNode, Some(lease)) => StoreRequest::RevokeLease(lease.id),
            (ObservedLeader::Vacant | ObservedLeader::StaleIncarnation(_), _)
                if now < self.candidate_after =>
            {
                return None;
            }
            (ObservedLeader::Vacant | ObservedLeader::StaleIncarnation(_), None) => {
                StoreRequest::GrantLease { ttl_ms: TTL_MS }
            }
            (ObservedLeader::Vacant, Some(lease)) => commit(record, 0, lease.id),
            (ObservedLeader::StaleIncarnation(version), Some(lease)) => {
                commit(record, version, lease.id)
            }
        };
        self.in_flight = true;
        Some(call)
    }

    /// Takes in what came of a request that was sent at `sent_at`. Tells whether
    /// the store should be looked at at once.
    pub fn answered(
        &mut self,
        now: f64,
        sent_at: f64,
        call: &StoreRequest,
        outcome: &StoreOutcome,
    ) -> bool {
        self.in_flight = false;
        match (call, outcome) {
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
                // Whether this node leads is read from the store, not from this answer.
                self.not_before = now + 0.2;
                true
            }
            (StoreRequest::RevokeLease(_), _) | (_, StoreOutcome::LeaseNotFound) => {
                self.lease = None;
                true
            }
            (_, StoreOutcome::RateLimited | StoreOutcome::Unavailable) => {
                self.not_before = now + 0.2;
                false
            }
            _ => {
                self.not_before = now + 0.3;
                true
            }
        }
    }

    /// Gives up the lease: the key goes with it, and another node can lead at once.
    pub fn resign(&mut self, now: f64, pause_s: f64) -> Option<StoreRequest> {
        self.candidate_after = now + pause_s;
        let lease = self.lease.take()?;
        Some(StoreRequest::RevokeLease(lease.id))
    }
}

fn commit(record: &LeaderRecord, version: u64, lease: u64) -> StoreRequest {
    let value = serde_json::to_value(record).expect("stored types always serialise");
    StoreRequest::Commit(Transaction {
        preconditions: vec![Precondition { key: keys::LEADER.into(), version }],
        writes: vec![Write::Put { key: keys::LEADER.into(), value, lease: Some(lease) }],
    })
}
