//! Cancellations that one controller has committed and the other controllers may not have read yet.
//!
//! A node that commits a cancellation sends it to its peers, so that a leader whose requests the
//! store refuses learns of the cancellation. Until a read returns the cancellation, it is pending:
//! a pending cancellation stops tasks but starts none, and replies to users depend on the store
//! alone.

use super::PeerMessage;
use crate::node::Node;
use gladekeel_wire::{
    JobId,
    mesh::{self, CANCELLATIONS_LEVEL, FrameKind},
};

/// How long a pending cancellation is kept. By the end of this time the job's tasks have stopped,
/// or a read has returned the cancellation; if no read ever returns the cancellation, the job does
/// not belong to this deployment.
const PENDING_CANCELLATION_TTL_S: f64 = 300.0;

impl Node {
    /// Applies cancellations that a peer has committed.
    pub(super) fn on_peer_cancellations(&mut self, payload: &[u8]) {
        // The frame may have been delayed, but the last read did not return the cancellation, so
        // the cancellation was committed after that read was sent.
        let not_before = self.store.last_contact_or_never();
        for id in mesh::decode_job_ids(payload).unwrap_or_default() {
            self.apply_pending_cancellation(&id, not_before);
        }
        self.store.request_read();
    }

    /// Records a job's cancellation that this node or a peer has committed. The cancellation
    /// deadline counts from `not_before`. This function does not wait until a read returns the
    /// cancellation, which may take a long time.
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

    /// Removes pending cancellations that have expired.
    pub(super) fn expire_pending_cancellations(&mut self, now: f64) {
        let pending = &mut self.store.view.pending_cancellations;
        pending.retain(|_, not_before| now - *not_before < PENDING_CANCELLATION_TTL_S);
    }

    /// Sends the cancellations that this node has committed to all reachable peers.
    ///
    /// A leader whose requests the store refuses then stops the jobs' tasks immediately, rather
    /// than only when the workers' leases expire.
    pub(in crate::node) fn publish_cancellations(&mut self, now: f64, ids: &[JobId]) {
        if ids.is_empty() {
            return;
        }
        let payload = mesh::encode_job_ids(ids.iter());
        for index in 0..self.peers.peers.len() {
            // A peer without a recent heartbeat may restart with an earlier version, which would
            // close the connection on receiving the unknown frame.
            let peer = self.peers.get(index);
            if peer.is_reachable(now) && peer.supports_level(CANCELLATIONS_LEVEL) {
                let message = PeerMessage::one_way(FrameKind::Cancellations, &payload);
                self.send_to_peer(index, message);
            }
        }
    }
}
