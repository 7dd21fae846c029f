//! Workers' heartbeats: this node responds to a heartbeat, relays it to the leader or redirects the
//! worker.
//!
//! A response to a heartbeat renews the worker's lease. `docs/safety.md`, "Keeping leases alive",
//! therefore states which node may respond: the leader or another node, each only while its last
//! contact with the store is so recent that a cancellation it has not seen still takes effect in
//! time.

pub mod balancing;
mod redirections;
mod relays;
mod routing;

use super::{
    Node, RequestId,
    peers::{Peer, PeerMessage},
};
use crate::http_api::Reply;
use balancing::{HeartbeatBalancer, HeartbeatReceiver};
use gladekeel_wire::{
    mesh::{FrameHeader, FrameKind, HEARTBEAT_RELAY_LEVEL},
    settings::Deployment,
    worker::{Heartbeat, HeartbeatResponse, Redirect},
};
use relays::{HeartbeatRelays, QueuedRelay};
use routing::{HeartbeatContext, HeartbeatRoute, HeartbeatRouter, LeaderPeer};

/// Age of a peer's last contact with the store below which the peer knows who leads, so that
/// workers may be redirected to it.
const MAX_RELAY_CONTACT_AGE_MS: u32 = 2500;
/// HTTP status of a response to a heartbeat.
const STATUS_OK: u16 = 200;
/// HTTP status that redirects a worker to another node.
const STATUS_MISDIRECTED: u16 = 421;

/// How many heartbeats this node has answered in each way.
#[derive(Debug, Default)]
struct AnswerCounts {
    /// With this node's own response: it leads, or renews the lease without the leader.
    responded: u64,
    /// With the leader's response, which a peer has sent.
    relayed: u64,
    /// With a lease renewal of this node, because the leader did not respond in time.
    relay_timed_out: u64,
    /// With a redirection to another node.
    redirected: u64,
    /// With an error, because this node was not entitled to answer.
    refused: u64,
}

/// The state that a node keeps about workers' heartbeats.
#[derive(Debug)]
pub(super) struct WorkerHeartbeats {
    router: HeartbeatRouter,
    balancer: HeartbeatBalancer,
    relays: HeartbeatRelays,
    answers: AnswerCounts,
}

impl WorkerHeartbeats {
    /// Creates the state of a node before the first heartbeat. `peers` is the number of other
    /// controllers.
    pub fn new(deployment: &Deployment, peers: usize) -> WorkerHeartbeats {
        WorkerHeartbeats {
            router: HeartbeatRouter::new(deployment, peers),
            balancer: HeartbeatBalancer::new(deployment, peers),
            relays: HeartbeatRelays::default(),
            answers: AnswerCounts::default(),
        }
    }

    /// How many heartbeats this node has answered, by the metric label of the answer.
    pub fn answer_counts(&self) -> [(&'static str, f64); 5] {
        let AnswerCounts { responded, relayed, relay_timed_out, redirected, refused } =
            self.answers;
        [
            ("responded", responded),
            ("relayed", relayed),
            ("relay timed out", relay_timed_out),
            ("redirected", redirected),
            ("refused", refused),
        ]
        .map(|(answer, count)| (answer, count as f64))
    }
}

impl Node {
    /// Handles a worker's heartbeat. If the heartbeat is relayed, the reply waits for the leader's
    /// response.
    pub(super) fn on_heartbeat(&mut self, now: f64, request: RequestId, body: &[u8]) {
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.reply(now, request, Reply::error(400, error.to_string())),
        };
        if let Some(leader) = self.leadership.leader_mut() {
            let previous_age_s = leader.heartbeat_age_s(now, &heartbeat.machine);
            leader.record_heartbeat(now, &heartbeat);
            let receiver = HeartbeatReceiver::Leader;
            if let Some(redirect) = self.rebalance(now, &heartbeat, receiver, previous_age_s) {
                self.heartbeats.answers.redirected += 1;
                return self.reply(now, request, Reply::json(STATUS_MISDIRECTED, &redirect));
            }
        }
        match self.route_heartbeat(now, &heartbeat) {
            HeartbeatRoute::Respond(response) => {
                self.heartbeats.answers.responded += 1;
                self.reply(now, request, Reply::json(STATUS_OK, &response));
            }
            HeartbeatRoute::Relay { peer, fallback } => {
                self.relay_heartbeat(now, peer, request, body, fallback);
            }
            HeartbeatRoute::Redirect(redirect) => {
                self.heartbeats.answers.redirected += 1;
                self.reply(now, request, Reply::json(STATUS_MISDIRECTED, &redirect));
            }
            HeartbeatRoute::NotEntitled => {
                self.heartbeats.answers.refused += 1;
                self.reply(now, request, not_entitled());
            }
        }
    }

    fn route_heartbeat(&mut self, now: f64, heartbeat: &Heartbeat) -> HeartbeatRoute {
        let other_leader = self.other_leader(now).map(str::to_owned);
        let leader_peer = other_leader.as_ref().and_then(|name| self.reachable_peer(now, name));
        let context = HeartbeatContext {
            now,
            store: &self.store.view,
            other_leader: other_leader.as_deref(),
            may_renew_leases: self.may_renew_leases(now),
            has_fresh_store_contact: self.store.has_fresh_contact(now),
            leader_peer,
        };
        self.heartbeats.router.route(&context, self.leadership.leader_mut(), heartbeat)
    }

    /// Returns the leader as a peer if it is reachable; `name` is the leader's node name.
    fn reachable_peer(&self, now: f64, name: &str) -> Option<LeaderPeer> {
        let index = self.peers.index_of(name)?;
        let peer = self.peers.get(index);
        let expects_relays = peer.supports_level(HEARTBEAT_RELAY_LEVEL);
        peer.is_reachable(now).then_some(LeaderPeer { index, expects_relays })
    }

    /// Records a heartbeat that `receiver` has received, and returns a redirection if the worker
    /// should send its heartbeats to another controller. `previous_age_s` is the time since the
    /// worker's previous heartbeat. Must only be called while this node leads.
    fn rebalance(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        receiver: HeartbeatReceiver,
        previous_age_s: f64,
    ) -> Option<Redirect> {
        if !self.may_renew_leases(now) {
            return None;
        }
        let peer_can_relay = |peer: &Peer| {
            peer.supports_level(HEARTBEAT_RELAY_LEVEL)
                && peer.is_reachable(now)
                && peer.store_contact_age_ms < MAX_RELAY_CONTACT_AGE_MS
        };
        let mut can_relay: Vec<bool> = self.peers.iter().map(peer_can_relay).collect();
        if previous_age_s > self.deployment.workers.heartbeat_timeout_s() {
            // The worker may come from controllers that it could not reach, with little of its
            // lease left for a redirection in vain.
            can_relay.fill(false);
        }
        let balancer = &mut self.heartbeats.balancer;
        let name = match balancer.rebalance(now, &heartbeat.machine, receiver, &can_relay)? {
            HeartbeatReceiver::Peer(peer) => &self.peers.get(peer).name,
            HeartbeatReceiver::Leader => &self.settings.node,
        };
        Some(Redirect { controller: Some(name.clone()) })
    }

    /// Queues a heartbeat to be relayed to the leader with the next batch, and sends the batch if
    /// it is due.
    fn relay_heartbeat(
        &mut self,
        now: f64,
        peer: usize,
        request: RequestId,
        body: &[u8],
        fallback: Option<HeartbeatResponse>,
    ) {
        let call = self.calls.allocate_id();
        let queued = QueuedRelay { peer, call, body: body.to_vec() };
        self.heartbeats.relays.push(now, queued, request, fallback);
        self.send_heartbeat_relays(now);
    }

    /// Sends the next batch of relayed heartbeats, if it is due.
    pub(super) fn send_heartbeat_relays(&mut self, now: f64) {
        for QueuedRelay { peer, call, body } in self.heartbeats.relays.take_batch(now) {
            let message = PeerMessage {
                kind: FrameKind::RelayedHeartbeat,
                status: 0,
                correlation_id: call,
                payload: &body,
            };
            self.send_to_peer(peer, message);
        }
    }

    /// Replies to the workers whose relayed heartbeats have timed out: with the fallback response
    /// if this node may still renew leases, else with an error.
    pub(super) fn expire_heartbeat_relays(&mut self, now: f64) {
        while let Some(relay) = self.heartbeats.relays.take_overdue(now) {
            let reply = match relay.fallback.filter(|_| self.may_renew_leases(now)) {
                Some(response) => {
                    self.heartbeats.answers.relay_timed_out += 1;
                    Reply::json(STATUS_OK, &response)
                }
                None => {
                    self.heartbeats.answers.refused += 1;
                    not_entitled()
                }
            };
            self.reply(now, relay.request, reply);
        }
    }

    /// Handles a heartbeat that a peer has relayed. This node responds only if it leads: a peer
    /// that receives no response renews the worker's lease itself, provided that the peer may renew
    /// leases.
    pub(super) fn on_relayed_heartbeat(
        &mut self,
        now: f64,
        peer: usize,
        header: &FrameHeader,
        payload: &[u8],
    ) {
        let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(payload) else { return };
        let may_renew_leases = self.may_renew_leases(now);
        let has_fresh_contact = self.store.has_fresh_contact(now);
        let Some(leader) = self.leadership.leader_mut() else { return };
        if !may_renew_leases || heartbeat.token > leader.token {
            return;
        }
        let previous_age_s = leader.heartbeat_age_s(now, &heartbeat.machine);
        let response = leader.on_heartbeat(now, &heartbeat, has_fresh_contact);
        // A redirection must not replace a response with a new token or commands: the worker's next
        // heartbeat is expected to show the effect of the response.
        let has_effect = heartbeat.token != response.token || !response.commands.is_empty();
        let redirect = if has_effect {
            None
        } else {
            self.rebalance(now, &heartbeat, HeartbeatReceiver::Peer(peer), previous_age_s)
        };
        let (status, body) = match redirect {
            Some(redirect) => (STATUS_MISDIRECTED, serde_json::to_vec(&redirect)),
            None => (STATUS_OK, serde_json::to_vec(&response)),
        };
        let message = PeerMessage {
            kind: FrameKind::RelayedResponse,
            status,
            correlation_id: header.correlation_id.get(),
            payload: &body.expect("wire types always serialise"),
        };
        self.send_to_peer(peer, message);
    }

    /// Forwards the leader's response to a relayed heartbeat to the worker.
    pub(super) fn on_relayed_response(&mut self, now: f64, header: &FrameHeader, payload: &[u8]) {
        let call = header.correlation_id.get();
        let Some(relay) = self.heartbeats.relays.finish(call) else { return };
        self.heartbeats.answers.relayed += 1;
        let reply = Reply::from_json_bytes(header.status.get(), payload.to_vec());
        self.reply(now, relay.request, reply);
    }
}

fn not_entitled() -> Reply {
    Reply::retry_later(1, "not entitled to act")
}
