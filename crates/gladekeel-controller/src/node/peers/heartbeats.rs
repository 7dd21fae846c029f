//! Heartbeats between controllers: reachability, contact with the store, and who leads.

use super::{NO_STORE_CONTACT_MS, PeerMessage};
use crate::node::Node;
use gladekeel_wire::mesh::{FrameHeader, FrameKind, PROTOCOL_LEVEL, PeerHeartbeat};
use zerocopy::{FromBytes, IntoBytes};

/// Time between heartbeats to each peer.
const HEARTBEAT_INTERVAL_S: f64 = 1.0;

impl Node {
    /// Sends a heartbeat to all peers if one is due.
    pub(in crate::node) fn send_peer_heartbeats(&mut self, now: f64) {
        if now - self.peers.last_heartbeat_at < HEARTBEAT_INTERVAL_S {
            return;
        }
        self.peers.last_heartbeat_at = now;
        let contact_age_ms = self
            .store
            .last_contact()
            .map_or(NO_STORE_CONTACT_MS, |contact| ((now - contact) * 1000.0) as u32);
        let leader_token = self.leadership.leader().map_or(0, |leader| leader.token);
        let heartbeat = PeerHeartbeat {
            store_contact_age_ms: contact_age_ms.into(),
            leader_token: leader_token.into(),
        };
        for peer in 0..self.peers.peers.len() {
            // Peers that have announced no protocol level, such as early versions, receive no
            // incarnation.
            let sends_incarnation = self.peers.get(peer).supports_level(1);
            let message = PeerMessage {
                kind: FrameKind::PeerHeartbeat,
                status: PROTOCOL_LEVEL,
                correlation_id: if sends_incarnation { self.leadership.incarnation() } else { 0 },
                payload: heartbeat.as_bytes(),
            };
            self.send_to_peer(peer, message);
        }
        self.expire_pending_cancellations(now);
    }

    /// Records a peer's heartbeat. This node steps down if the peer leads under a higher token.
    pub(super) fn on_peer_heartbeat(
        &mut self,
        now: f64,
        peer: usize,
        header: &FrameHeader,
        payload: &[u8],
    ) {
        let Ok(heartbeat) = PeerHeartbeat::read_from_bytes(payload) else { return };
        self.peers.record_heartbeat(now, peer, header, &heartbeat);
        let peer = self.peers.get(peer);
        if self.leadership.step_down_if_superseded(&peer.name, peer.leader_token) {
            self.store.request_read();
        }
    }
}
