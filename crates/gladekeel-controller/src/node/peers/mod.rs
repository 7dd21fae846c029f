//! The other controllers: their state as known to this node, and the frames that nodes exchange.
//!
//! Each controller sends its peers a heartbeat about once a second, and forwards what should not
//! wait for the next read of the store. All frames are hints that make reactions faster; no rule
//! of `docs/safety.md` depends on the delivery of a frame.

mod cancellations;
mod heartbeats;
mod job_progress;

use super::{Action, Node};
use gladekeel_wire::{
    mesh::{FrameHeader, FrameKind, PeerHeartbeat},
    settings::Settings,
};
use zerocopy::IntoBytes;

/// Time after the receipt of a peer's last heartbeat for which the peer counts as reachable.
const REACHABLE_AFTER_HEARTBEAT_S: f64 = 3.0;
/// Value of `store_contact_age_ms` for a peer that has had no contact with the store.
const NO_STORE_CONTACT_MS: u32 = u32::MAX;

/// The state of another controller, as known to this node.
#[derive(Debug, Clone, Default)]
pub(super) struct Peer {
    /// The controller's node name, from the settings.
    pub name: String,
    /// The controller's zone, from the settings.
    pub zone: String,
    /// When the last heartbeat was received; `None` if there was none.
    pub last_seen: Option<f64>,
    /// Age of the peer's last contact with the store when it sent its last heartbeat, in
    /// milliseconds.
    pub store_contact_age_ms: u32,
    /// The token under which the peer leads; 0 if it does not lead.
    leader_token: u64,
    /// The protocol level that the peer's version supports; see [`PROTOCOL_LEVEL`].
    protocol_level: u16,
    /// The incarnation that the peer's process drew at its start; 0 from versions that send none.
    incarnation: u64,
}

impl Peer {
    /// Whether the last heartbeat was received less than `age_s` ago.
    pub fn was_seen_within(&self, now: f64, age_s: f64) -> bool {
        self.last_seen.is_some_and(|last_seen| now - last_seen < age_s)
    }

    /// Whether the peer is reachable, judged by its last heartbeat.
    pub fn is_reachable(&self, now: f64) -> bool {
        self.was_seen_within(now, REACHABLE_AFTER_HEARTBEAT_S)
    }

    /// Whether the peer's version supports the features of a protocol level.
    pub fn supports_level(&self, level: u16) -> bool {
        self.protocol_level >= level
    }

    /// Age of the peer's last contact with the store when it sent its last heartbeat, in seconds;
    /// `None` if there was no contact or no heartbeat.
    pub fn store_contact_age_s(&self) -> Option<f64> {
        let has_contact =
            self.store_contact_age_ms != NO_STORE_CONTACT_MS && self.last_seen.is_some();
        has_contact.then(|| f64::from(self.store_contact_age_ms) / 1000.0)
    }
}

/// All other controllers of the deployment. The index of a peer is its position in the settings.
#[derive(Debug)]
pub(super) struct Peers {
    peers: Vec<Peer>,
    /// The sorted names of all nodes, including this one. A frame identifies its sender by the
    /// sender's index in this list.
    node_names: Vec<String>,
    /// This node's index in `node_names`.
    node_index: u32,
    /// When heartbeats were last sent to the peers.
    last_heartbeat_at: f64,
    /// When job progress was last published.
    last_progress_at: f64,
    /// Whether a peer has restarted since job progress was last published.
    has_restarted_peer: bool,
}

impl Peers {
    /// Creates the peers from the settings. No heartbeat has been received from any of them.
    pub fn new(settings: &Settings) -> Peers {
        let peers = settings.peers.iter().map(|peer| Peer {
            name: peer.node.clone(),
            zone: peer.zone.clone(),
            ..Peer::default()
        });
        let mut node_names: Vec<String> =
            settings.peers.iter().map(|peer| peer.node.clone()).collect();
        node_names.push(settings.node.clone());
        node_names.sort_unstable();
        let node_index = node_names.iter().position(|name| *name == settings.node);
        Peers {
            peers: peers.collect(),
            node_index: node_index.unwrap_or(0) as u32,
            node_names,
            last_heartbeat_at: 0.0,
            last_progress_at: 0.0,
            has_restarted_peer: false,
        }
    }

    /// Whether this node is the only controller.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// All peers in the order of the settings.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// The peer with this index.
    pub fn get(&self, peer: usize) -> &Peer {
        &self.peers[peer]
    }

    /// The index of the peer with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.peers.iter().position(|peer| peer.name == name)
    }

    /// The index of the peer that sent a frame; `None` if the sender is not a peer.
    fn sender_of(&self, header: &FrameHeader) -> Option<usize> {
        self.index_of(self.node_names.get(header.sender.get() as usize)?)
    }

    /// The name of the reachable peer that leads under the highest token; `None` if no reachable
    /// peer leads under a token above `token`.
    fn leader_above(&self, now: f64, token: u64) -> Option<&str> {
        let leaders = self
            .peers
            .iter()
            .filter(|peer| peer.is_reachable(now))
            .filter(|peer| peer.leader_token > token);
        leaders.max_by_key(|peer| peer.leader_token).map(|peer| peer.name.as_str())
    }

    /// The zones of all reachable peers.
    pub fn reachable_zones(&self, now: f64) -> Vec<&str> {
        let reachable = self.peers.iter().filter(|peer| peer.is_reachable(now));
        reachable.map(|peer| peer.zone.as_str()).collect()
    }

    fn record_heartbeat(
        &mut self,
        now: f64,
        peer: usize,
        header: &FrameHeader,
        heartbeat: &PeerHeartbeat,
    ) {
        let peer = &mut self.peers[peer];
        let incarnation = header.correlation_id.get();
        // A new process has no job progress: it would show a running job as queued until the
        // job's progress changes next.
        self.has_restarted_peer |= peer.incarnation != incarnation;
        peer.last_seen = Some(now);
        peer.store_contact_age_ms = heartbeat.store_contact_age_ms.get();
        peer.leader_token = heartbeat.leader_token.get();
        peer.protocol_level = header.status.get();
        peer.incarnation = incarnation;
    }
}

/// A message to a peer, without the frame header.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerMessage<'a> {
    pub kind: FrameKind,
    /// The HTTP status of a relayed response, or the protocol level in a peer's heartbeat; else 0.
    pub status: u16,
    /// The id that pairs a relayed response with its heartbeat, or the sender's incarnation in a
    /// peer's heartbeat; else 0.
    pub correlation_id: u64,
    pub payload: &'a [u8],
}

impl<'a> PeerMessage<'a> {
    /// Creates a message that expects no response.
    pub fn one_way(kind: FrameKind, payload: &'a [u8]) -> PeerMessage<'a> {
        PeerMessage { kind, status: 0, correlation_id: 0, payload }
    }
}

impl Node {
    /// The name of the other node that leads, if one is known: a reachable peer that reports
    /// leading under a token above the highest in the view of the store, else the node that the
    /// leader key names, provided that the view is fresh.
    pub(super) fn other_leader(&self, now: f64) -> Option<&str> {
        let view = &self.store.view;
        let reported = self.peers.leader_above(now, view.highest_token);
        let stored = view.leader.as_ref().map(|(record, _)| record.node.as_str());
        reported
            .or(stored
                .filter(|name| self.store.has_fresh_contact(now) && *name != self.settings.node))
    }

    /// Sends a message to a peer.
    pub(super) fn send_to_peer(&mut self, peer: usize, message: PeerMessage<'_>) {
        let PeerMessage { kind, status, correlation_id, payload } = message;
        let sender = self.peers.node_index;
        let header = FrameHeader::new(kind, status, correlation_id, sender, payload.len());
        let mut frame = header.as_bytes().to_vec();
        frame.extend_from_slice(payload);
        self.actions.push(Action::SendToPeer { peer, frame });
    }

    fn send_to_all_peers(&mut self, message: PeerMessage<'_>) {
        for peer in 0..self.peers.peers.len() {
            self.send_to_peer(peer, message);
        }
    }

    /// Notifies the leader, if another node leads, that the store has changed and should be read
    /// soon.
    pub(super) fn notify_leader_of_store_change(&mut self) {
        let leader = self.store.view.leader.as_ref();
        if let Some(peer) = leader.and_then(|(record, _)| self.peers.index_of(&record.node)) {
            self.send_to_peer(peer, PeerMessage::one_way(FrameKind::StoreChanged, &[]));
        }
    }

    /// Handles a frame received from another controller. A frame from an unknown sender is dropped.
    pub(super) fn on_peer_frame(
        &mut self,
        now: f64,
        header: &FrameHeader,
        kind: FrameKind,
        payload: &[u8],
    ) {
        let Some(peer) = self.peers.sender_of(header) else { return };
        match kind {
            FrameKind::StoreChanged => self.store.request_read(),
            FrameKind::PeerHeartbeat => self.on_peer_heartbeat(now, peer, header, payload),
            FrameKind::RelayedHeartbeat => self.on_relayed_heartbeat(now, peer, header, payload),
            FrameKind::RelayedResponse => self.on_relayed_response(now, header, payload),
            FrameKind::JobProgress => self.on_job_progress(peer, payload),
            FrameKind::Cancellations => self.on_peer_cancellations(payload),
        }
    }
}
