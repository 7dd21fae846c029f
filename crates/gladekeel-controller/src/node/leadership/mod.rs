//! Leadership: how this node acquires it, takes over, leads and steps down.
//!
//! Leadership is decided by the store alone: a node leads when a read shows its own incarnation in
//! the leader key, and stops leading when a read no longer shows it there (see `docs/safety.md`,
//! "Who may decide"). The version of the key is the fencing token. The responses to a node's own
//! election requests decide nothing. A peer that reports leading under a higher token makes this
//! node step down early, which is always safe.

mod commits;
mod election;
mod requests;
mod resignation;
mod takeover;

use super::{
    Node,
    outgoing_calls::{CloudCall, StoreCallPurpose},
};
use crate::{
    cloud_api::{CloudOutcome, CloudRequest},
    keys::LeaderRecord,
    leader::Leader,
    store_view::StoreView,
};
use election::{Election, ObservedLeader};
use gladekeel_store::{StoreOutcome, StoreRequest};
use resignation::ResignationBackoff;
use takeover::{PreviousTerm, Takeover};

/// The role of this node under the current version of the leader key.
enum Role {
    /// This node neither leads nor takes over.
    Follower,
    /// The leader key names this incarnation, which is reading the assignment log.
    TakingOver(Box<Takeover>),
    /// This node leads: it makes the scheduling decisions.
    Leading(Box<Leader>),
}

/// This node's role and its state in the election.
pub(super) struct Leadership {
    /// The value that this incarnation writes into the leader key.
    record: LeaderRecord,
    election: Election,
    role: Role,
    /// The last token under which this process led; 0 if it has never led. Attempt numbers are
    /// derived from the token, so the process never leads under the same token twice.
    last_used_token: u64,
    acquisition_count: u64,
    resignations: ResignationBackoff,
    /// When a commit in doubt was last looked up in the store.
    confirmation_sent_at: f64,
    /// The leader key as of the last read, for the log; `None` while there is none.
    observed: Option<(LeaderRecord, u64)>,
}

impl Leadership {
    /// Creates the state of a follower whose incarnation is named by `record`.
    pub fn new(record: LeaderRecord) -> Leadership {
        Leadership {
            record,
            election: Election::default(),
            role: Role::Follower,
            last_used_token: 0,
            acquisition_count: 0,
            resignations: ResignationBackoff::default(),
            confirmation_sent_at: 0.0,
            observed: None,
        }
    }

    /// The leader's state while this node leads; `None` otherwise.
    pub fn leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leading(leader) => Some(leader),
            Role::Follower | Role::TakingOver(_) => None,
        }
    }

    /// The leader's state while this node leads; `None` otherwise.
    pub fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leading(leader) => Some(leader),
            Role::Follower | Role::TakingOver(_) => None,
        }
    }

    /// The leader's state, if this node still leads under this token.
    pub fn leader_under_mut(&mut self, token: u64) -> Option<&mut Leader> {
        self.leader_mut().filter(|leader| leader.token == token)
    }

    /// Whether this node leads.
    pub fn is_leading(&self) -> bool {
        matches!(self.role, Role::Leading(_))
    }

    /// How many times this process has acquired leadership. A new token that this process acquires
    /// while it leads is not counted, since the leader's knowledge of the cluster outlives the
    /// token.
    pub fn acquisition_count(&self) -> u64 {
        self.acquisition_count
    }

    /// The incarnation number that this process drew at random when it started.
    pub fn incarnation(&self) -> u64 {
        self.record.incarnation
    }

    /// Steps down if this node leads and a peer leads under a higher token. Returns whether this
    /// node stepped down.
    ///
    /// In this way, a leader to which the store no longer responds learns of its successor.
    pub fn step_down_if_superseded(&mut self, peer: &str, peer_token: u64) -> bool {
        let Some(leader) = self.leader().filter(|leader| leader.token < peer_token) else {
            return false;
        };
        tracing::warn!(token = leader.token, peer, peer_token, "stepped down: another node leads");
        self.role = Role::Follower;
        true
    }

    /// Applies the leader key that a read has just returned: begins a takeover, steps down, or
    /// changes nothing. A takeover also begins if this node already leads and the leader key has a
    /// new token.
    pub fn follow_leader_key(&mut self, now: f64, stored: Option<&(LeaderRecord, u64)>) {
        self.log_leader_key(stored);
        let Some((_, token)) = stored.filter(|(record, _)| *record == self.record) else {
            if let Role::Leading(leader) = std::mem::replace(&mut self.role, Role::Follower) {
                tracing::warn!(token = leader.token, "stepped down: the leader key has changed");
            }
            return;
        };
        let is_current = match &self.role {
            Role::Follower => false,
            Role::TakingOver(takeover) => takeover.token() == *token,
            Role::Leading(leader) => leader.token == *token,
        };
        if !is_current && *token > self.last_used_token {
            self.begin_takeover(now, *token);
        }
    }

    /// Logs a change of the leader key, which every node sees.
    fn log_leader_key(&mut self, stored: Option<&(LeaderRecord, u64)>) {
        if self.observed.as_ref() == stored {
            return;
        }
        self.observed = stored.cloned();
        match stored {
            Some((LeaderRecord { node, incarnation }, token)) => {
                tracing::info!(leader = node, incarnation, token, "leader key changed");
            }
            None => tracing::info!("leader key removed"),
        }
    }

    /// Begins a takeover under `token`. What this incarnation learned about the cluster while
    /// leading under a lower token remains valid and is carried over.
    fn begin_takeover(&mut self, now: f64, token: u64) {
        let previous = match std::mem::replace(&mut self.role, Role::Follower) {
            Role::Leading(leader) => Some(PreviousTerm::new(leader.into_cluster_state())),
            Role::TakingOver(takeover) => takeover.into_previous_term(),
            Role::Follower => None,
        };
        self.acquisition_count += u64::from(previous.is_none());
        let is_renewal = previous.is_some();
        tracing::info!(token, is_renewal, "takeover began");
        self.role = Role::TakingOver(Box::new(Takeover::new(token, now, previous)));
    }

    fn takeover_under_mut(&mut self, token: u64) -> Option<&mut Takeover> {
        match &mut self.role {
            Role::TakingOver(takeover) if takeover.token() == token => Some(takeover),
            _ => None,
        }
    }

    fn become_leader(&mut self, leader: Leader) {
        self.last_used_token = leader.token;
        self.role = Role::Leading(Box::new(leader));
    }

    /// Returns the next request to the cloud, if one is due.
    fn next_cloud_request(&mut self, now: f64) -> Option<CloudRequest> {
        match &mut self.role {
            Role::Leading(leader) => leader.next_cloud_request(now),
            Role::TakingOver(takeover) => takeover.next_cloud_request(now),
            Role::Follower => None,
        }
    }

    /// Applies the outcome of a call to the cloud, or defers it until a takeover has completed.
    pub fn on_cloud_outcome(&mut self, now: f64, call: CloudCall, outcome: CloudOutcome) {
        if call.acquisition != self.acquisition_count {
            return;
        }
        match &mut self.role {
            Role::Leading(leader) => leader.apply_cloud_outcome(now, &call.request, outcome),
            Role::TakingOver(takeover) => {
                takeover.defer_cloud_outcome(now, call.request, outcome);
            }
            Role::Follower => {}
        }
    }

    /// Returns the election request that is due, if there is one. Must only be called while the
    /// view of the store is fresh.
    fn next_election_request(&mut self, now: f64, view: &StoreView) -> Option<StoreRequest> {
        let observed = ObservedLeader::of(view.leader.as_ref(), &self.record);
        let token_to_renew = self.token_to_renew(view.highest_token);
        self.election.next_request(now, observed, &self.record, token_to_renew)
    }

    /// The token that must be replaced by a higher one before this node can continue to lead:
    /// either the leader has requested a new token, or this node stepped down while the leader
    /// key still names it.
    fn token_to_renew(&self, highest_token: u64) -> Option<u64> {
        match &self.role {
            Role::Leading(leader) => leader.needs_new_token().then_some(leader.token),
            Role::Follower => {
                (highest_token == self.last_used_token).then_some(self.last_used_token)
            }
            Role::TakingOver(_) => None,
        }
    }
}

impl Node {
    /// Sends the election request that is due, if there is one.
    pub(super) fn send_election_request(&mut self, now: f64) {
        if !self.store.has_fresh_contact(now) {
            return;
        }
        if let Some(request) = self.leadership.next_election_request(now, &self.store.view) {
            self.call_store(now, StoreCallPurpose::Election, request);
        }
    }

    /// Applies the outcome of an election request.
    pub(super) fn on_election_outcome(
        &mut self,
        now: f64,
        sent_at: f64,
        request: &StoreRequest,
        outcome: &StoreOutcome,
    ) {
        if self.leadership.election.on_outcome(now, sent_at, request, outcome) {
            self.store.request_read();
        }
    }
}
