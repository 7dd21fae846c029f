//! Workers' heartbeats that this node relays to the leader.

use crate::node::{CallId, RequestId};
use gladekeel_wire::worker::HeartbeatResponse;
use std::collections::BTreeMap;

/// Minimum time between batches. Heartbeats received in the meantime are relayed together, because
/// receiving a separate message costs the leader more than processing the heartbeat in it.
const BATCH_INTERVAL_S: f64 = 0.05;
/// How long this node waits for the leader's response to a relayed heartbeat.
const RELAY_TIMEOUT_S: f64 = 1.5;

/// A relayed heartbeat whose worker waits for a response.
#[derive(Debug)]
pub(super) struct Relay {
    /// The worker's request.
    pub request: RequestId,
    received_at: f64,
    /// The response that renews the worker's lease if the leader does not respond; `None` if this
    /// node may not renew the lease.
    pub fallback: Option<HeartbeatResponse>,
}

/// A heartbeat that is queued for the next batch.
#[derive(Debug)]
pub(super) struct QueuedRelay {
    /// The index of the peer that leads.
    pub peer: usize,
    /// Identifies the heartbeat in the leader's response.
    pub call: CallId,
    /// The heartbeat as received from the worker.
    pub body: Vec<u8>,
}

/// Heartbeats that are queued to be relayed or have been relayed, until the leader responds or
/// they time out.
#[derive(Debug)]
pub(super) struct HeartbeatRelays {
    awaiting_response: BTreeMap<CallId, Relay>,
    /// The heartbeats of the next batch.
    batch: Vec<QueuedRelay>,
    last_batch_at: f64,
}

impl Default for HeartbeatRelays {
    fn default() -> HeartbeatRelays {
        HeartbeatRelays {
            awaiting_response: BTreeMap::new(),
            batch: Vec::new(),
            last_batch_at: f64::NEG_INFINITY,
        }
    }
}

impl HeartbeatRelays {
    /// Adds a heartbeat to the next batch.
    pub fn push(
        &mut self,
        now: f64,
        queued: QueuedRelay,
        request: RequestId,
        fallback: Option<HeartbeatResponse>,
    ) {
        self.awaiting_response.insert(queued.call, Relay { request, received_at: now, fallback });
        self.batch.push(queued);
    }

    /// Removes and returns the next batch; empty if no batch is due.
    pub fn take_batch(&mut self, now: f64) -> Vec<QueuedRelay> {
        if self.batch.is_empty() || now - self.last_batch_at < BATCH_INTERVAL_S {
            return Vec::new();
        }
        self.last_batch_at = now;
        std::mem::take(&mut self.batch)
    }

    /// Removes and returns the relay to which the leader has responded; `None` if it has timed out.
    pub fn finish(&mut self, call: CallId) -> Option<Relay> {
        self.awaiting_response.remove(&call)
    }

    /// Removes and returns the oldest relay if it has timed out.
    pub fn take_overdue(&mut self, now: f64) -> Option<Relay> {
        let oldest = self.awaiting_response.first_entry()?;
        (now - oldest.get().received_at >= RELAY_TIMEOUT_S).then(|| oldest.remove())
    }
}
