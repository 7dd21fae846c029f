//! Workers' reports: answered here, passed on to the leader, or sent elsewhere.

pub mod balancing;
mod routing;

use super::{CallId, HELLO_S, Node, RELAY_S, RequestId};
use crate::http_api::Reply;
use balancing::{HeartbeatBalancer, HeartbeatReceiver};
use gladekeel_wire::{
    mesh::{FrameHeader, FrameKind, HEARTBEAT_RELAY_LEVEL},
    settings::Deployment,
    worker::{Heartbeat, HeartbeatResponse, Redirect},
};
use routing::{HeartbeatContext, HeartbeatRoute, HeartbeatRouter};
use std::collections::BTreeMap;

/// HeartbeatRelays that come within this time are passed on together: each message that arrives on
/// its own costs the leader more than what it says.
const BATCH_S: f64 = 0.05;
/// A peer that was in contact with the state service within this time knows who leads.
const CONTACT_MS: u32 = 2500;

/// A report that was passed on to the leader.
#[derive(Debug)]
struct Relay {
    request: RequestId,
    since: f64,
    /// What keeps the worker's lease if the leader does not answer.
    fallback: Option<HeartbeatResponse>,
}

/// HeartbeatRelays on their way between controllers.
#[derive(Debug)]
pub(super) struct HeartbeatRelays {
    router: HeartbeatRouter,
    sharing: HeartbeatBalancer,
    /// Passed on to the leader, not answered yet.
    relays: BTreeMap<CallId, Relay>,
    /// To be passed on with the next batch: the peer, the call and the report.
    batch: Vec<(usize, CallId, Vec<u8>)>,
    batch_at: f64,
}

impl HeartbeatRelays {
    pub fn new(deployment: &Deployment, peers: usize) -> HeartbeatRelays {
        HeartbeatRelays {
            router: HeartbeatRouter::default(),
            sharing: HeartbeatBalancer::new(deployment, peers),
            relays: BTreeMap::new(),
            batch: Vec::new(),
            batch_at: f64::NEG_INFINITY,
        }
    }
}

impl Node {
    /// Answers a worker's report, now or when the leader has.
    pub(super) fn on_checkin(&mut self, now: f64, id: RequestId, body: &[u8]) {
        let report: Heartbeat = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(error) => return self.reply(now, id, Reply::error(400, error.to_string())),
        };
        if let Some(leader) = &mut self.leader {
            leader.record_heartbeat(now, &report);
            if let Some(elsewhere) = self.listener_for(now, &report, HeartbeatReceiver::Leader) {
                return self.reply(now, id, Reply::json(421, &elsewhere));
            }
        }
        let elsewhere = self.leader_elsewhere(now).map(str::to_owned);
        let leader_peer = self.peers.iter().position(|peer| {
            Some(&peer.name) == elsewhere.as_ref()
                && peer.last_seen.is_some_and(|at| now - at < HELLO_S)
        });
        let leader_shares =
            leader_peer.is_some_and(|at| self.peers[at].protocol_level >= HEARTBEAT_RELAY_LEVEL);
        let context = HeartbeatContext {
            now,
            store: &self.store,
            leader_elsewhere: elsewhere.as_deref(),
            may_renew_leases: self.may_renew_leases(now),
            store_contact_fresh: self.has_fresh_store_contact(now),
            may_relay: leader_peer.is_some(),
            leader_expects_relays: leader_shares,
        };
        let reply = match self.heartbeats.router.route(&context, self.leader.as_mut(), &report) {
            HeartbeatRoute::Respond(answer) => Reply::json(200, &answer),
            HeartbeatRoute::RelayWithFallback(answer) => {
                if let Some(peer) = leader_peer {
                    return self.pass_on(now, peer, id, body, Some(answer));
                }
                Reply::json(200, &answer)
            }
            HeartbeatRoute::Relay(fallback) => {
                if let Some(peer) = leader_peer {
                    return self.pass_on(now, peer, id, body, fallback);
                }
                not_entitled()
            }
            HeartbeatRoute::Redirect(redirect) => Reply::json(421, &redirect),
            HeartbeatRoute::NotEntitled => not_entitled(),
        };
        self.reply(now, id, reply);
    }

    /// Where a worker should report instead of where it does, if anywhere. For a leader only.
    fn listener_for(
        &mut self,
        now: f64,
        report: &Heartbeat,
        listener: HeartbeatReceiver,
    ) -> Option<Redirect> {
        if !self.may_renew_leases(now) {
            return None;
        }
        let passes_on = |peer: &super::Peer| {
            peer.protocol_level >= HEARTBEAT_RELAY_LEVEL
                && peer.last_seen.is_some_and(|at| now - at < HELLO_S)
                && peer.store_contact_age_ms < CONTACT_MS
        };
        let usable: Vec<bool> = self.peers.iter().map(passes_on).collect();
        let name =
            match self.heartbeats.sharing.rebalance(now, &report.machine, listener, &usable)? {
                HeartbeatReceiver::Peer(peer) => &self.peers[peer].name,
                HeartbeatReceiver::Leader => &self.settings.node,
            };
        Some(Redirect { report_to: Some(name.clone()) })
    }

    /// Passes a report on to the leader, with others that come within a moment.
    fn pass_on(
        &mut self,
        now: f64,
        peer: usize,
        request: RequestId,
        body: &[u8],
        fallback: Option<HeartbeatResponse>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.heartbeats.relays.insert(call, Relay { request, since: now, fallback });
        self.heartbeats.batch.push((peer, call, body.to_vec()));
        self.send_passed_on(now);
    }

    /// Sends the reports that are to be passed on, if the last ones are long enough ago.
    pub(super) fn send_passed_on(&mut self, now: f64) {
        if self.heartbeats.batch.is_empty() || now - self.heartbeats.batch_at < BATCH_S {
            return;
        }
        self.heartbeats.batch_at = now;
        for (peer, call, body) in std::mem::take(&mut self.heartbeats.batch) {
            self.send(peer, FrameKind::RelayedHeartbeat, 0, call, &body);
        }
    }

    /// Answers workers whose reports the leader has not answered in time.
    pub(super) fn answer_overdue_relays(&mut self, now: f64) {
        while let Some(first) = self.heartbeats.relays.first_entry() {
            if now - first.get().since < RELAY_S {
                return;
            }
            let Relay { request, fallback, .. } = first.remove();
            let reply = match fallback.filter(|_| self.may_renew_leases(now)) {
                Some(answer) => Reply::json(200, &answer),
                None => not_entitled(),
            };
            self.reply(now, request, reply);
        }
    }

    /// Answers a worker's report that another node has passed on. Only a leader with
    /// something to say does; the other node keeps the worker's lease otherwise.
    pub(super) fn on_relay(&mut self, now: f64, peer: usize, header: &FrameHeader, payload: &[u8]) {
        let Ok(report) = serde_json::from_slice::<Heartbeat>(payload) else { return };
        let (may_renew_leases, fresh) =
            (self.may_renew_leases(now), self.has_fresh_store_contact(now));
        let call = header.correlation_id.get();
        let Some(leader) = &mut self.leader else { return };
        if !may_renew_leases || report.token > leader.token {
            return;
        }
        let answer = leader.on_heartbeat(now, &report, fresh);
        // An answer that brings something about must reach the worker: the next report is
        // to show it.
        let is_needed = report.token != answer.token || !answer.commands.is_empty();
        if !is_needed
            && let Some(elsewhere) = self.listener_for(now, &report, HeartbeatReceiver::Peer(peer))
        {
            let body = serde_json::to_vec(&elsewhere).expect("wire types always serialise");
            return self.send(peer, FrameKind::RelayedResponse, 421, call, &body);
        }
        let body = serde_json::to_vec(&answer).expect("wire types always serialise");
        self.send(peer, FrameKind::RelayedResponse, 200, call, &body);
    }

    /// Passes the leader's answer to a worker's report on to the worker.
    pub(super) fn on_relayed(&mut self, now: f64, header: &FrameHeader, payload: &[u8]) {
        let Some(relay) = self.heartbeats.relays.remove(&header.correlation_id.get()) else {
            return;
        };
        let status = header.status.get();
        let reply = Reply::from_json_bytes(status, payload.to_vec());
        self.reply(now, relay.request, reply);
    }
}

fn not_entitled() -> Reply {
    Reply::retry_later(1, "not entitled to act")
}
