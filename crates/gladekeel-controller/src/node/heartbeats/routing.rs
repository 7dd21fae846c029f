//! Routing of heartbeats: this node responds, relays to the leader, or redirects the worker to
//! the leader.

use crate::{leader::Leader, store_view::StoreView};
use gladekeel_wire::worker::{Command, Heartbeat, HeartbeatResponse, Redirect, TaskState};
use std::collections::{HashMap, VecDeque};

/// Time after a redirection to the leader within which a worker is not redirected again: a worker
/// that returns to this node so soon could not reach the leader.
const REDIRECT_AGAIN_AFTER_S: f64 = 12.0;
/// Replaces [`REDIRECT_AGAIN_AFTER_S`] while heartbeats can be relayed to the leader. The time is
/// longer because the leader receives relayed heartbeats even if the worker is not redirected.
const REDIRECT_AGAIN_WITH_RELAY_AFTER_S: f64 = 45.0;
/// How long a redirection is remembered.
const REDIRECTION_TTL_S: f64 = 10.0 * REDIRECT_AGAIN_AFTER_S;

/// How a node handles a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum HeartbeatRoute {
    /// Reply with status 200 and this response.
    Respond(HeartbeatResponse),
    /// Relay the heartbeat to the leader.
    Relay {
        /// The index of the peer that leads.
        peer: usize,
        /// The response that renews the worker's lease if the leader does not respond; `None` if
        /// this node may not renew the lease.
        fallback: Option<HeartbeatResponse>,
    },
    /// Reply with status 421: the worker should send its heartbeats to another node.
    Redirect(Redirect),
    /// Reply with status 503: this node may not renew the worker's lease and does not know a node
    /// that may.
    NotEntitled,
}

/// The peer that leads, while it is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LeaderPeer {
    /// The leader's index among the peers.
    pub index: usize,
    /// Whether the leader expects other nodes to relay their workers' heartbeats instead of
    /// redirecting the workers.
    pub expects_relays: bool,
}

/// The state of the node when it receives a heartbeat.
pub(super) struct HeartbeatContext<'a> {
    /// The current time.
    pub now: f64,
    /// The view of the store.
    pub store: &'a StoreView,
    /// The node that leads, if it is known and is not this node.
    pub other_leader: Option<&'a str>,
    /// Whether this node may renew leases: its last contact with the store is so recent that a
    /// cancellation it has not seen still takes effect in time.
    pub may_renew_leases: bool,
    /// Whether the last contact with the store is recent enough to act on the view of the store.
    pub has_fresh_store_contact: bool,
    /// The peer that leads, if heartbeats can be relayed to it.
    pub leader_peer: Option<LeaderPeer>,
}

/// A redirection of a worker to the leader.
#[derive(Debug, Clone, Copy)]
struct Redirection {
    redirected_at: f64,
    /// The highest fencing token that this node knew at the time of the redirection.
    token: u64,
}

/// Routes heartbeats and remembers which workers were redirected to the leader.
#[derive(Debug, Default)]
pub(super) struct HeartbeatRouter {
    /// The last redirection of each machine.
    redirections: HashMap<String, Redirection>,
    /// The times and machines of all redirections, oldest first, for expiry.
    by_time: VecDeque<(f64, String)>,
}

impl HeartbeatRouter {
    /// Decides how to handle a heartbeat. `leader` is the leader's state if this node leads.
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
            return HeartbeatRoute::Redirect(Redirect { controller: Some(name.to_owned()) });
        }
        // Either no leader is known, or the worker could not reach the leader.
        match (lease_renewal(context, heartbeat), context.leader_peer) {
            (None, _) => HeartbeatRoute::NotEntitled,
            (Some(response), None) => HeartbeatRoute::Respond(response),
            (fallback, Some(peer)) => HeartbeatRoute::Relay { peer: peer.index, fallback },
        }
    }

    /// Returns whether a worker should be redirected to the leader, and if so records the
    /// redirection.
    fn should_redirect(&mut self, context: &HeartbeatContext<'_>, machine: &str) -> bool {
        let (now, token) = (context.now, context.store.highest_token);
        self.expire(now);
        let again_after_s = if context.leader_peer.is_some() {
            REDIRECT_AGAIN_WITH_RELAY_AFTER_S
        } else {
            REDIRECT_AGAIN_AFTER_S
        };
        let was_redirected = self
            .redirections
            .get(machine)
            .is_some_and(|last| now - last.redirected_at < again_after_s && last.token == token);
        if !was_redirected {
            let redirection = Redirection { redirected_at: now, token };
            self.redirections.insert(machine.to_owned(), redirection);
            self.by_time.push_back((now, machine.to_owned()));
        }
        !was_redirected
    }

    fn expire(&mut self, now: f64) {
        while self.by_time.front().is_some_and(|(time, _)| now - time >= REDIRECTION_TTL_S) {
            let Some((time, machine)) = self.by_time.pop_front() else { return };
            // A later redirection of the machine must be kept.
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

/// The response that renews a worker's lease without the leader; `None` if this node may not
/// renew the lease. The response keeps the worker's tasks running, except those of cancelled
/// jobs.
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
