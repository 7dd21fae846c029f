//! Where a heartbeat goes: answered by this node, relayed to the leader, or redirected there.

use crate::{leader::Leader, store_view::StoreView};
use gladekeel_wire::worker::{Command, Heartbeat, HeartbeatResponse, Redirect, TaskState};
use std::collections::{HashMap, VecDeque};

/// A worker that comes back within this time after it was redirected to the leader could not
/// reach it.
const REDIRECT_AGAIN_AFTER_S: f64 = 12.0;
/// The same while heartbeats can be relayed, so that nothing is lost by waiting longer.
const REDIRECT_AGAIN_WITH_RELAY_AFTER_S: f64 = 45.0;
/// How long a redirection is remembered.
const REDIRECTION_TTL_S: f64 = 10.0 * REDIRECT_AGAIN_AFTER_S;

/// What is done with a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum HeartbeatRoute {
    /// 200 with this response.
    Respond(HeartbeatResponse),
    /// Relay the heartbeat to the leader.
    Relay {
        /// The index of the peer that leads.
        peer: usize,
        /// Renews the worker's lease if the leader does not respond; without it this node may
        /// not renew the lease.
        fallback: Option<HeartbeatResponse>,
    },
    /// 421: the worker should send its heartbeats to another node.
    Redirect(Redirect),
    /// 503: this node may neither renew the worker's lease nor say who may.
    NotEntitled,
}

/// The leader as a peer that is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LeaderPeer {
    /// Its index among the peers.
    pub index: usize,
    /// Whether it wants other nodes to keep their workers and relay heartbeats.
    pub expects_relays: bool,
}

/// The state of the node when a heartbeat arrives.
pub(super) struct HeartbeatContext<'a> {
    /// The time.
    pub now: f64,
    /// The view of the store.
    pub store: &'a StoreView,
    /// Another node that leads, and is known to do so now.
    pub other_leader: Option<&'a str>,
    /// Whether leases may be renewed: the last contact with the store is recent enough for a
    /// cancellation that this node has not seen to end in time.
    pub may_renew_leases: bool,
    /// Whether the view of the store is fresh.
    pub has_fresh_store_contact: bool,
    /// The other leader, if heartbeats can be relayed to it.
    pub leader_peer: Option<LeaderPeer>,
}

/// A worker's redirection to the leader.
#[derive(Debug, Clone, Copy)]
struct Redirection {
    redirected_at: f64,
    /// The leader's token.
    token: u64,
}

/// Routes heartbeats, and remembers which workers were redirected to the leader.
#[derive(Debug, Default)]
pub(super) struct HeartbeatRouter {
    /// The last redirection of each machine.
    redirections: HashMap<String, Redirection>,
    /// All redirections by time, to expire the oldest ones.
    by_time: VecDeque<(f64, String)>,
}

impl HeartbeatRouter {
    /// Decides what to do with a heartbeat. `leader` is this node's, if it leads.
    pub fn route(
        &mut self,
        context: &HeartbeatContext<'_>,
        leader: Option<&mut Leader>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatRoute {
        if let Some(leader) = leader {
            return respond_as_leader(context, leader, heartbeat);
        }
        if let Some(LeaderPeer { index, expects_relays: true }) = context.leader_peer {
            let fallback = lease_renewal(context, heartbeat);
            return HeartbeatRoute::Relay { peer: index, fallback };
        }
        if let Some(name) = context.other_leader
            && self.should_redirect(context, &heartbeat.machine)
        {
            return HeartbeatRoute::Redirect(Redirect { report_to: Some(name.to_owned()) });
        }
        // The worker cannot reach the leader.
        match (lease_renewal(context, heartbeat), context.leader_peer) {
            (None, _) => HeartbeatRoute::NotEntitled,
            (Some(response), None) => HeartbeatRoute::Respond(response),
            (fallback, Some(peer)) => HeartbeatRoute::Relay { peer: peer.index, fallback },
        }
    }

    /// Whether a worker should try to reach the leader, and notes that it will.
    fn should_redirect(&mut self, context: &HeartbeatContext<'_>, machine: &str) -> bool {
        let (now, token) = (context.now, context.store.highest_token);
        self.expire(now);
        let again_after_s = if context.leader_peer.is_some() {
            REDIRECT_AGAIN_WITH_RELAY_AFTER_S
        } else {
            REDIRECT_AGAIN_AFTER_S
        };
        let was_tried = self
            .redirections
            .get(machine)
            .is_some_and(|last| now - last.redirected_at < again_after_s && last.token == token);
        if !was_tried {
            let redirection = Redirection { redirected_at: now, token };
            self.redirections.insert(machine.to_owned(), redirection);
            self.by_time.push_back((now, machine.to_owned()));
        }
        !was_tried
    }

    fn expire(&mut self, now: f64) {
        while self.by_time.front().is_some_and(|(time, _)| now - time >= REDIRECTION_TTL_S) {
            let Some((time, machine)) = self.by_time.pop_front() else { return };
            // The machine may have been redirected once more since.
            if self.redirections.get(&machine).is_some_and(|last| last.redirected_at <= time) {
                self.redirections.remove(&machine);
            }
        }
    }
}

fn respond_as_leader(
    context: &HeartbeatContext<'_>,
    leader: &mut Leader,
    heartbeat: &Heartbeat,
) -> HeartbeatRoute {
    // A worker that has seen a higher token would discard the response.
    if !context.may_renew_leases || heartbeat.token > leader.token {
        return HeartbeatRoute::NotEntitled;
    }
    let has_fresh_contact = context.has_fresh_store_contact;
    HeartbeatRoute::Respond(leader.on_heartbeat(context.now, heartbeat, has_fresh_contact))
}

/// The response of a node that does not lead and cannot ask the leader, if it is entitled to
/// one: it keeps the worker's tasks alive, except those that were cancelled.
fn lease_renewal(
    context: &HeartbeatContext<'_>,
    heartbeat: &Heartbeat,
) -> Option<HeartbeatResponse> {
    let token = context.store.highest_token;
    if !context.may_renew_leases || token == 0 || heartbeat.token > token {
        return None;
    }
    let cancelled = heartbeat.tasks.iter().filter(|task| {
        task.state != TaskState::Exited && context.store.is_cancelled(&task.task.job)
    });
    let commands = cancelled
        .map(|task| Command::Stop { task: task.task.clone(), attempt: task.attempt, grace_s: 0.0 })
        .collect();
    Some(HeartbeatResponse { token, commands })
}
