//! A controller node without I/O.

mod admin_requests;
mod event;
pub mod heartbeats;
mod leadership;
mod metrics;
mod peers;
mod rate_limits;
mod store_calls;
mod store_reads;
mod user_requests;

pub use event::{Action, CallId, Event, RequestId};

use crate::{
    cloud_api::{CloudOutcome, CloudRequest},
    http_api::{Reply, Route},
    keys::{self, LeaderRecord},
    leader::{ClusterState, Leader, WorkerRequest},
    runtime_settings::RuntimeSettings,
    socket_budget::SocketBudget,
    store_view::StoreView,
};
use admin_requests::AdminChange;
use gladekeel_store::{Replica, StoreRequest};
use gladekeel_wire::{
    mesh::{FrameKind, PROTOCOL_LEVEL, PeerHeartbeat},
    settings::{Deployment, Settings},
    store::KeyValue,
};
use heartbeats::HeartbeatRelays;
use leadership::election::Election;
use metrics::{Latencies, ProcessMetrics};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rate_limits::RateLimits;
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};
use store_reads::scheduler::ReadScheduler;
use user_requests::queue::{Continuation, PendingRequest, UserQueue, UserWrite};
use zerocopy::IntoBytes;

/// How long a user's request waits for the store at most; users give up on a poll after 2 s.
const WAIT_S: f64 = 1.5;
/// How long a reading of the store and the like may take.
const STATE_S: f64 = 1.5;
/// How long a change may take: without an answer it is unknown, which costs a user
/// another try and a leader a new token.
const CHANGE_S: f64 = 4.0;
/// Transactions of users under way at once: one whose answer is slow holds up no other.
const MAX_USER_COMMITS: usize = 4;
/// A leader's transaction without an answer for this long is looked for in the store.
const CONFIRM_S: f64 = 0.5;
/// A reading that takes longer than this is overtaken by another one.
const OVERTAKE_S: f64 = 0.3;
/// How long a call to the cloud may take.
const CLOUD_S: f64 = 5.0;
/// Calls to workers that may be under way at once, besides those that hang. A round may
/// place thousands of tasks: sent all at once, users' requests would wait behind them.
const DIRECT_WINDOW: usize = 32;
/// A call to a worker without an answer for this long hangs.
const HANGS_S: f64 = 0.3;
/// How long a direct command to a worker may take.
const DIRECT_S: f64 = 3.0;
/// How long a worker may take to say that it is there.
const PROBE_S: f64 = 1.5;
/// Without contact for this long, the state service counts as out of reach.
const FRESH_S: f64 = 2.5;
/// What is kept of the time until which a cancellation must have ended, for clocks
/// that drift and for answers under way.
const MARGIN_S: f64 = 3.0;
/// A controller counts as reachable this long after its last hello.
const HELLO_S: f64 = 3.0;
/// How long a report that was passed on waits for the leader's answer.
const RELAY_S: f64 = 1.5;
/// A leader that misses so many reports in a row hears nobody and gives up.
const DEAF_REPORTS: f64 = 30.0;
/// It waits for this long at least.
const DEAF_LEAST_S: f64 = 4.0;
/// How long what another controller told of a cancellation is kept: its tasks are gone
/// by then, or the store has told of it.
const CALLED_OFF_S: f64 = 300.0;
/// How often counts are told to the other controllers.
const COUNTS_S: f64 = 1.0;

/// Why the state service was called.
#[derive(Debug)]
enum StoreCallPurpose {
    Sync,
    Load,
    Users(Vec<UserWrite>),
    Admin(RequestId, AdminChange),
    Lead(u64),
    Log(u64),
    /// Whether a transaction that has no answer yet was made.
    Confirm(u64),
    Election,
}

/// A node that leads reads the log before it does anything.
#[derive(Debug)]
struct Takeover {
    /// Its token. Nobody else can change the log while it stands.
    token: u64,
    rows: Vec<KeyValue>,
    in_flight: bool,
    not_before: f64,
    /// What is known from leading under a lower token.
    cluster: Option<ClusterState>,
}

/// A controller node.
pub struct Node {
    pub(crate) settings: Rc<Settings>,
    pub(crate) deployment: Rc<Deployment>,
    record: LeaderRecord,
    node_index: u32,
    epoch: f64,
    pub(crate) peers: Vec<Peer>,
    rng: StdRng,
    pub(crate) runtime_settings: RuntimeSettings,
    pub(crate) replica: Replica,
    pub(crate) store: StoreView,
    store_calls: BTreeMap<CallId, (StoreCallPurpose, StoreRequest, f64)>,
    cloud_calls: BTreeMap<CallId, (u64, CloudRequest)>,
    /// Answers of the cloud that came between two tokens of this node.
    held_answers: Vec<(CloudRequest, CloudOutcome)>,
    worker_calls: BTreeMap<CallId, (WorkerRequest, f64)>,
    next_call: CallId,
    /// When the last answered reading of the store was sent.
    pub(crate) last_store_contact: Option<f64>,
    store_unreachable: bool,
    pub(crate) store_reads: ReadScheduler,
    pub(crate) user_queue: UserQueue,
    election: Election,
    pub(crate) leader: Option<Leader>,
    takeover: Option<Takeover>,
    /// The last token under which this process led. Attempts are numbered by token, so
    /// it never leads under the same one again.
    last_used_token: u64,
    heartbeats: HeartbeatRelays,
    /// Calls to workers that may be under way at once.
    max_worker_calls: usize,
    pub(crate) rate_limits: RateLimits,
    consecutive_resignations: u32,
    hello_at: f64,
    counts_at: f64,
    /// Another controller began anew since counts were told.
    peer_restarted: bool,
    confirm_at: f64,
    /// Requests under way that are timed.
    timed_requests: HashMap<RequestId, (&'static str, f64)>,
    pub(crate) latencies: Latencies,
    pub(crate) process: ProcessMetrics,
    pub(crate) store_requests: u64,
    pub(crate) store_writes: u64,
    actions: Vec<Action>,
    /// Counts the times this process has begun to lead, new tokens in a row not counted.
    pub(crate) leadership: u64,
}

/// What a node knows of another.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peer {
    pub(crate) name: String,
    pub(crate) last_seen: Option<f64>,
    pub(crate) store_contact_age_ms: u32,
    /// The token under which it leads, or 0.
    leader_token: u64,
    /// What it understands: see [`mesh::LEVEL`](gladekeel_wire::mesh::LEVEL).
    protocol_level: u16,
    /// The number that its process drew when it began, or 0 from earlier versions.
    incarnation: u64,
}

impl Node {
    /// A node that has just started. `seed` must differ from start to start: it
    /// names the incarnation. `epoch` is the time of day at the start, in seconds.
    pub fn new(settings: Settings, seed: u64, epoch: f64) -> Node {
        let settings = Rc::new(settings);
        let mut deployment = settings.deployment.clone();
        deployment.store = deployment.store.lowest();
        let deployment = Rc::new(deployment);
        let mut rng = StdRng::seed_from_u64(seed);
        let run = rng.random();
        let mut names: Vec<&str> = settings.peers.iter().map(|peer| peer.node.as_str()).collect();
        names.push(&settings.node);
        names.sort_unstable();
        let place = names.iter().position(|name| *name == settings.node).unwrap_or(0) as u32;
        Node {
            record: LeaderRecord { node: settings.node.clone(), incarnation: run },
            node_index: place,
            epoch,
            peers: settings
                .peers
                .iter()
                .map(|peer| Peer { name: peer.node.clone(), ..Peer::default() })
                .collect(),
            rng,
            runtime_settings: RuntimeSettings::new(&deployment.workers),
            replica: Replica::default(),
            store: StoreView::default(),
            store_calls: BTreeMap::new(),
            cloud_calls: BTreeMap::new(),
            held_answers: Vec::new(),
            worker_calls: BTreeMap::new(),
            next_call: 0,
            last_store_contact: None,
            store_unreachable: false,
            store_reads: ReadScheduler::default(),
            user_queue: UserQueue::new(deployment.store.txn_ops),
            election: Election::default(),
            leader: None,
            takeover: None,
            last_used_token: 0,
            heartbeats: HeartbeatRelays::new(&deployment, settings.peers.len()),
            max_worker_calls: SocketBudget::new(&deployment.limits).worker_calls,
            rate_limits: RateLimits::new(&deployment, &settings.deployment.store),
            consecutive_resignations: 0,
            hello_at: 0.0,
            counts_at: 0.0,
            peer_restarted: false,
            confirm_at: 0.0,
            timed_requests: HashMap::new(),
            latencies: Latencies::default(),
            process: ProcessMetrics::default(),
            store_requests: 0,
            store_writes: 0,
            actions: Vec::new(),
            leadership: 0,
            settings,
            deployment,
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        match event {
            Event::Http { id, method, path, body } => self.on_http(now, id, &method, &path, &body),
            Event::Store { call, outcome } => self.on_state(now, call, outcome),
            Event::Cloud { call, outcome } => self.on_cloud(now, call, outcome),
            Event::Worker { call, outcome } => {
                if let Some((request, _)) = self.worker_calls.remove(&call)
                    && let Some(leader) = &mut self.leader
                {
                    leader.worker_answered(now, &request, &outcome);
                }
            }
            Event::Peer { header, kind, payload } => self.on_mesh(now, &header, kind, &payload),
            Event::Tick => self.on_tick(now),
        }
        self.send_due(now);
        self.send_direct_commands(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether this node leads now.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Whether this node knows the store, and leads or has heard the controller that does.
    pub fn is_settled(&self, now: f64) -> bool {
        let heard = |name: &str| {
            self.peers.iter().any(|peer| peer.name == name && peer.last_seen.is_some())
        };
        self.replica.revision().is_some()
            && (self.leader.is_some() || self.leader_elsewhere(now).is_some_and(heard))
    }

    fn has_fresh_store_contact(&self, now: f64) -> bool {
        self.last_store_contact.is_some_and(|at| now - at < FRESH_S)
    }

    /// Whether leases may be renewed: see `docs/safety.md`, "Keeping leases alive".
    fn may_renew_leases(&self, now: f64) -> bool {
        let workers = &self.deployment.workers;
        let bound = workers.cancellation_deadline_s - workers.lease_s - MARGIN_S;
        self.last_store_contact.is_some_and(|at| now - at < bound)
    }

    pub(crate) fn reply(&mut self, now: f64, id: RequestId, reply: Reply) {
        if let Some((what, since)) = self.timed_requests.remove(&id) {
            self.latencies.note(what, now - since);
        }
        self.actions.push(Action::Reply { id, reply });
    }

    fn on_http(&mut self, now: f64, id: RequestId, method: &str, path: &str, body: &[u8]) {
        let route = Route::parse(method, path);
        if let Some(what) = route.metric_label() {
            self.timed_requests.insert(id, (what, now));
        }
        match route {
            Route::Metrics => {
                let body = self.metrics(now);
                let reply = Reply::text(body);
                self.reply(now, id, reply);
            }
            Route::Admin(route) => self.on_admin(now, id, route, body),
            Route::Submit => self.on_submit(now, id, body),
            Route::Poll(Some(job)) => self.on_poll(now, id, job),
            Route::Cancel(Some(job)) => self.on_cancel(now, id, job),
            Route::Poll(None) | Route::Cancel(None) => {
                self.reply(now, id, Reply::error(404, "no such job"));
            }
            Route::Heartbeat => self.on_checkin(now, id, body),
            Route::Health => {
                let reply = if self.ready(now) {
                    Reply::json(200, &serde_json::json!({"up": true}))
                } else {
                    Reply::retry_later(1, "no contact with the state service")
                };
                self.reply(now, id, reply);
            }
            Route::WrongMethod => self.reply(now, id, Reply::error(405, "method not allowed")),
            Route::Unknown => self.reply(now, id, Reply::error(404, "no such path")),
        }
    }

    fn on_cloud(&mut self, now: f64, call: CallId, outcome: CloudOutcome) {
        let Some((leadership, request)) = self.cloud_calls.remove(&call) else { return };
        if leadership != self.leadership {
            return;
        }
        match &mut self.leader {
            Some(leader) => leader.cloud_answered(now, &request, outcome),
            // Between two tokens: the knowledge that waits for the next one still counts
            // the call as under way, and nothing else would ever end that.
            None if self.takeover.as_ref().is_some_and(|takeover| takeover.cluster.is_some()) => {
                self.held_answers.push((request, outcome));
            }
            None => {}
        }
    }

    fn on_tick(&mut self, now: f64) {
        for request in self.user_queue.take_older(now - WAIT_S) {
            self.later(now, request, "the state service is slow");
        }
        self.answer_overdue_relays(now);
        self.send_passed_on(now);
        if let Some(leader) = &mut self.leader {
            let heard = self
                .peers
                .iter()
                .enumerate()
                .filter(|(_, peer)| peer.last_seen.is_some_and(|at| now - at < HELLO_S));
            let zones: Vec<&str> =
                heard.map(|(at, _)| self.settings.peers[at].zone.as_str()).collect();
            leader.note_store_contact(self.last_store_contact);
            leader.tick(now, &self.runtime_settings, &self.settings.zone, &zones);
            self.resign_if_unreachable(now);
        }
        self.publish_counts(now);
        if now - self.hello_at >= 1.0 {
            self.hello_at = now;
            let contact =
                self.last_store_contact.map_or(u32::MAX, |at| ((now - at) * 1000.0) as u32);
            let leads = self.leader.as_ref().map_or(0, |leader| leader.token);
            let hello =
                PeerHeartbeat { store_contact_age_ms: contact.into(), leader_token: leads.into() };
            for peer in 0..self.peers.len() {
                // Versions without a level get no number either.
                let run =
                    if self.peers[peer].protocol_level > 0 { self.record.incarnation } else { 0 };
                self.send(peer, FrameKind::PeerHeartbeat, PROTOCOL_LEVEL, run, hello.as_bytes());
            }
            // The store tells of them in its own time; one that it never tells of was
            // no job of this deployment.
            self.store.pending_cancellations.retain(|_, at| now - *at < CALLED_OFF_S);
        }
    }

    /// A leader that hears none of its workers cannot do its work; another may.
    fn resign_if_unreachable(&mut self, now: f64) {
        // While the state service is out of reach nobody could follow, and somebody must
        // delete the machines that hold cancelled tasks.
        let fresh = self.has_fresh_store_contact(now);
        let Some(leader) = self.leader.as_ref().filter(|_| fresh) else { return };
        let (all, quiet) = leader.silence(now);
        let workers = &self.deployment.workers;
        // Of many machines some reports are due at any time.
        let deaf_s = (DEAF_REPORTS * workers.heartbeat_interval_s / all.max(1) as f64)
            .clamp(DEAF_LEAST_S, workers.heartbeat_timeout_s() + 2.0);
        if quiet < deaf_s {
            self.consecutive_resignations = 0;
        }
        let patience = deaf_s * f64::from(1 << self.consecutive_resignations.min(4));
        if all == 0 || quiet < patience || now - leader.since() < patience || self.peers.is_empty()
        {
            return;
        }
        if let Some(call) =
            self.election.resign(now, 6.0 * f64::from(1 << self.consecutive_resignations.min(4)))
        {
            tracing::warn!(machines = all, "no worker is heard: resigning");
            self.consecutive_resignations += 1;
            self.leader = None;
            self.call_state(now, StoreCallPurpose::Election, call);
            self.store_reads.wanted = true;
        }
    }

    /// Sends whatever is due.
    fn send_due(&mut self, now: f64) {
        self.send_reading(now);
        self.send_user_writes(now);
        if self.has_fresh_store_contact(now) {
            // After stepping down in vain, too, a new token is needed.
            let idle = self.leader.is_none() && self.takeover.is_none();
            let renew = self.leader.as_ref().filter(|l| l.needs_new_token()).map(|l| l.token);
            let renew = renew.or((idle && self.store.highest_token == self.last_used_token)
                .then_some(self.last_used_token));
            let seen = self.seen();
            if let Some(call) = self.election.next(now, seen, &self.record, renew) {
                self.call_state(now, StoreCallPurpose::Election, call);
            }
        }
        if let Some(takeover) = &mut self.takeover
            && !takeover.in_flight
            && now >= takeover.not_before
        {
            takeover.in_flight = true;
            let (token, after) = (takeover.token, takeover.rows.last().map(|row| row.key.clone()));
            let call = StoreRequest::List { prefix: keys::ASSIGNMENT_LOG_PREFIX.into(), after };
            self.call_state(now, StoreCallPurpose::Log(token), call);
        }
        self.send_confirmation(now);
        if let Some(leader) = &mut self.leader {
            let token = leader.token;
            if let Some(txn) =
                leader.next_commit(now, self.rate_limits.leader_writes.bucket_at(now))
            {
                self.call_state(now, StoreCallPurpose::Lead(token), StoreRequest::Commit(txn));
            }
        }
        while let Some(leader) = &mut self.leader
            && self.rate_limits.cloud.can_take(now, 1.0)
        {
            let Some(request) = leader.next_cloud(now) else { break };
            self.rate_limits.cloud.try_take(now, 1.0);
            let call = self.next_call;
            self.next_call += 1;
            self.cloud_calls.insert(call, (self.leadership, request.clone()));
            self.actions.push(Action::CallCloud { call, request, timeout_s: CLOUD_S });
        }
    }

    /// Sends commands and questions to workers.
    fn send_direct_commands(&mut self, now: f64) {
        let may_start = self.has_fresh_store_contact(now);
        let recent = self.worker_calls.values().rev();
        let mut recent = recent.take_while(|(_, at)| now - at < HANGS_S).count();
        while recent < DIRECT_WINDOW
            && self.worker_calls.len() < self.max_worker_calls
            && let Some(leader) = &mut self.leader
            && let Some(request) = leader.next_worker_request(now, may_start)
        {
            recent += 1;
            let call = self.next_call;
            self.next_call += 1;
            self.worker_calls.insert(call, (request.clone(), now));
            let limit_s = if request.body.is_some() { DIRECT_S } else { PROBE_S };
            self.actions.push(Action::CallWorker { call, request, timeout_s: limit_s });
        }
    }
}
