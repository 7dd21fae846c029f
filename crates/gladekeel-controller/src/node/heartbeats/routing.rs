//! Routing of heartbeats: this node responds, relays to the leader, or redirects the worker to
//! the leader.

use super::redirections::Redirections;
use crate::{leader::Leader, store_view::StoreView};
use gladekeel_wire::{
    settings::Deployment,
    worker::{Command, Heartbeat, HeartbeatResponse, Redirect, TaskState},
};

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

/// Routes heartbeats.
#[derive(Debug)]
pub(super) struct HeartbeatRouter {
    redirections: Redirections,
}

impl HeartbeatRouter {
    /// Creates the router of a node with `peers` peers.
    pub fn new(deployment: &Deployment, peers: usize) -> HeartbeatRouter {
        HeartbeatRouter { redirections: Redirections::new(deployment, peers) }
    }

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
        let renewal = lease_renewal(context, heartbeat);
        let expects_relays = context.leader_peer.is_some_and(|peer| peer.expects_relays);
        if let Some(name) = context.other_leader
            && !expects_relays
            && self.redirections.try_redirect(
                context.now,
                &heartbeat.machine,
                context.store.highest_token,
                renewal.is_some(),
            )
        {
            return HeartbeatRoute::Redirect(Redirect { controller: Some(name.to_owned()) });
        }
        if renewal.is_some() {
            self.redirections.record_renewal(context.now, &heartbeat.machine);
        }
        match (renewal, context.leader_peer) {
            (None, None) => HeartbeatRoute::NotEntitled,
            (None, Some(_)) if !expects_relays => HeartbeatRoute::NotEntitled,
            (Some(response), None) => HeartbeatRoute::Respond(response),
            (fallback, Some(peer)) => HeartbeatRoute::Relay { peer: peer.index, fallback },
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
