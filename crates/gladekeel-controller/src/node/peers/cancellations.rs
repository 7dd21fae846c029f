//! Cancellations that a controller has committed, before the store shows them everywhere.
//!
//! While the store refuses the leader, this is how it learns of a cancellation that another
//! node has committed. It ends work and starts nothing: users are answered by the store alone.

use super::PeerMessage;
use crate::node::Node;
use gladekeel_wire::{
    JobId,
    mesh::{self, CANCELLATIONS_LEVEL, FrameKind},
};

/// How long a cancellation that a peer has reported is kept. By then its tasks are gone, or the
/// store has shown it; one that the store never shows was no job of this deployment.
const PENDING_CANCELLATION_TTL_S: f64 = 300.0;

impl Node {
    pub(super) fn on_peer_cancellations(&mut self, payload: &[u8]) {
        // The frame may have been delayed, but the last read did not show the cancellation, so
        // it was committed after that read was sent.
        let not_before = self.store.last_contact_or_never();
        for id in mesh::decode_job_ids(payload).unwrap_or_default() {
            self.apply_pending_cancellation(&id, not_before);
        }
        self.store.request_read();
    }

    /// Notes that a job's cancellation has been committed, no earlier than `not_before`. The
    /// store has not shown it yet, and may not for long.
    pub(in crate::node) fn apply_pending_cancellation(&mut self, id: &JobId, not_before: f64) {
        let view = &mut self.store.view;
        if view.final_states.contains_key(id) {
            return;
        }
        view.pending_cancellations.insert(id.clone(), not_before);
        if let Some(leader) = self.leadership.leader_mut() {
            leader.apply_pending_cancellation(id, not_before);
        }
    }

    /// Forgets cancellations that the store has never shown.
    pub(super) fn expire_pending_cancellations(&mut self, now: f64) {
        let pending = &mut self.store.view.pending_cancellations;
        pending.retain(|_, not_before| now - *not_before < PENDING_CANCELLATION_TTL_S);
    }

    /// Sends the cancellations that were committed here to all peers.
    ///
    /// A leader that the store refuses then stops the jobs' tasks at once, rather than letting
    /// them end with their leases.
    pub(in crate::node) fn publish_cancellations(&mut self, now: f64, ids: &[JobId]) {
        if ids.is_empty() {
            return;
        }
        let payload = mesh::encode_job_ids(ids.iter());
        for index in 0..self.peers.peers.len() {
            // A peer that has not been seen of late may come back as an earlier version, which
            // would end the connection over the unknown frame.
            let peer = self.peers.get(index);
            if peer.is_reachable(now) && peer.has_level(CANCELLATIONS_LEVEL) {
                let message = PeerMessage::one_way(FrameKind::Cancellations, &payload);
                self.send_to_peer(index, message);
            }
        }
    }
}
