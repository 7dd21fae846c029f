//! Workers' heartbeats on their way to the leader and back.

use crate::node::{CallId, RequestId};
use gladekeel_wire::worker::HeartbeatResponse;
use std::collections::BTreeMap;

/// Heartbeats that arrive within this time are relayed together: each message that arrives on
/// its own costs the leader more than its contents do.
const BATCH_INTERVAL_S: f64 = 0.05;
/// How long a relayed heartbeat waits for the leader's response.
const RELAY_TIMEOUT_S: f64 = 1.5;

/// A heartbeat that was relayed to the leader, whose worker waits for the response.
#[derive(Debug)]
pub(super) struct Relay {
    /// The worker's request.
    pub request: RequestId,
    received_at: f64,
    /// A response that renews the worker's lease if the leader does not respond.
    pub fallback: Option<HeartbeatResponse>,
}

/// A heartbeat that is to be sent with the next batch.
#[derive(Debug)]
pub(super) struct QueuedRelay {
    /// The index of the peer that leads.
    pub peer: usize,
    pub call: CallId,
    /// The heartbeat as the worker has sent it.
    pub body: Vec<u8>,
}

/// Heartbeats that are being relayed.
#[derive(Debug)]
pub(super) struct HeartbeatRelays {
    awaiting_response: BTreeMap<CallId, Relay>,
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

    /// Takes the next batch, if it is due.
    pub fn take_batch(&mut self, now: f64) -> Vec<QueuedRelay> {
        if self.batch.is_empty() || now - self.last_batch_at < BATCH_INTERVAL_S {
            return Vec::new();
        }
        self.last_batch_at = now;
        std::mem::take(&mut self.batch)
    }

    /// Takes the relay that the leader has responded to; `None` if it has timed out.
    pub fn finish(&mut self, call: CallId) -> Option<Relay> {
        self.awaiting_response.remove(&call)
    }

    /// Takes the oldest relay, if it has timed out.
    pub fn take_overdue(&mut self, now: f64) -> Option<Relay> {
        let oldest = self.awaiting_response.first_entry()?;
        (now - oldest.get().received_at >= RELAY_TIMEOUT_S).then(|| oldest.remove())
    }
}
