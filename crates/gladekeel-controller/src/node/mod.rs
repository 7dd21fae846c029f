//! A controller node without I/O.
//!
//! [`Node::handle`] takes an event and the time and returns the actions that follow; the same
//! events give the same actions. The [`shell`](crate::shell) executes the actions with sockets
//! and a clock, the testkit executes them in a simulation. Times are seconds on the node's own
//! monotonic clock, which begins at 0 when the process starts.
//!
//! Each concern has a type that owns its state and a module with the code that uses it:
//!
//! | concern | module |
//! | --- | --- |
//! | the election, takeovers and resignation; the [`Leader`] itself | `leadership` |
//! | linearizable reads and the view of the store | `store_reads` |
//! | submissions, polls and cancellations | `user_requests` |
//! | workers' heartbeats: responding, relaying and redirecting | `heartbeats` |
//! | messages between controllers | `peers` |
//! | calls in flight to the store, the cloud and workers | `outgoing_calls` |
//! | requests from operators and load balancers | `admin_requests`, `metrics`, `health` |

mod admin_requests;
mod event;
mod health;
pub mod heartbeats;
mod leadership;
mod metrics;
mod outgoing_calls;
mod peers;
mod rate_limits;
mod revision_marks;
mod store_reads;
mod user_requests;

pub use event::{Action, Event, RequestId};
pub use outgoing_calls::CallId;

use crate::{
    http_api::{Reply, Route},
    keys::LeaderRecord,
    leader::Leader,
    runtime_settings::RuntimeSettings,
    socket_budget::SocketBudget,
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::settings::{Deployment, Settings};
use heartbeats::WorkerHeartbeats;
use leadership::Leadership;
use metrics::{ProcessMetrics, RequestTimers};
use outgoing_calls::{OutgoingCalls, StoreCall, StoreCallPurpose};
use peers::Peers;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rate_limits::RateLimits;
use revision_marks::RevisionMarks;
use std::rc::Rc;
use store_reads::StoreReads;
use user_requests::UserRequests;

/// Minimum backoff after a service has refused a request because of its rate limit.
const RATE_LIMIT_BACKOFF_S: f64 = 0.1;
/// Upper bound of the random time that is added to [`RATE_LIMIT_BACKOFF_S`].
const RATE_LIMIT_JITTER_S: f64 = 0.1;

/// A controller node.
pub struct Node {
    settings: Rc<Settings>,
    /// The deployment's settings. Each limit of the store is the lower of its current value and the
    /// value that the store has announced.
    deployment: Rc<Deployment>,
    /// The Unix time at which the node's clock was 0, in seconds, as of the last tick with a time of
    /// day: the two clocks drift apart.
    epoch: f64,
    rng: StdRng,
    runtime_settings: RuntimeSettings,
    rate_limits: RateLimits,
    leadership: Leadership,
    store: StoreReads,
    revision_marks: RevisionMarks,
    user_requests: UserRequests,
    heartbeats: WorkerHeartbeats,
    peers: Peers,
    calls: OutgoingCalls,
    request_timers: RequestTimers,
    process_metrics: ProcessMetrics,
    /// Actions collected while the current event is handled.
    actions: Vec<Action>,
}

impl Node {
    /// Creates a node that has just started. `seed` must differ between starts, since the
    /// incarnation is drawn from it. `epoch` is the Unix time at the start, in seconds.
    pub fn new(settings: Settings, seed: u64, epoch: f64) -> Node {
        let mut deployment = settings.deployment.clone();
        deployment.store = deployment.store.lowest();
        let mut rng = StdRng::seed_from_u64(seed);
        let incarnation = rng.random();
        let record = LeaderRecord { node: settings.node.clone(), incarnation };
        let max_worker_calls = SocketBudget::new(&deployment.limits).worker_calls;
        Node {
            epoch,
            rng,
            runtime_settings: RuntimeSettings::defaults(&deployment.workers),
            rate_limits: RateLimits::new(&deployment, &settings.deployment.store),
            leadership: Leadership::new(record),
            store: StoreReads::default(),
            revision_marks: RevisionMarks::default(),
            user_requests: UserRequests::new(deployment.store.txn_ops),
            heartbeats: WorkerHeartbeats::new(&deployment, settings.peers.len()),
            peers: Peers::new(&settings),
            calls: OutgoingCalls::new(max_worker_calls, incarnation),
            request_timers: RequestTimers::default(),
            process_metrics: ProcessMetrics::default(),
            actions: Vec::new(),
            settings: Rc::new(settings),
            deployment: Rc::new(deployment),
        }
    }

    /// Handles an event that happened at `now` and returns the actions that follow. `now` must
    /// not decrease from one call to the next.
    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        match event {
            Event::Http { id, method, path, body } => {
                self.on_http_request(now, id, Route::parse(&method, &path), &body);
            }
            Event::Store { call, outcome } => self.on_store_outcome(now, call, outcome),
            Event::Cloud { call, outcome } => {
                if let Some(call) = self.calls.finish_cloud_call(call) {
                    self.leadership.on_cloud_outcome(now, call, outcome);
                }
            }
            Event::Worker { call, outcome } => {
                if let Some(request) = self.calls.finish_worker_call(call)
                    && let Some(leader) = self.leadership.leader_mut()
                {
                    leader.on_worker_outcome(now, &request, &outcome);
                }
            }
            Event::Peer { header, kind, payload } => {
                self.on_peer_frame(now, &header, kind, &payload);
            }
            Event::Tick => self.on_tick(now),
        }
        self.send_due(now);
        std::mem::take(&mut self.actions)
    }

    /// Sets the time of day, in seconds of Unix time. The time on the node's clock is `now`.
    pub fn set_wall_clock(&mut self, now: f64, unix_time: f64) {
        self.epoch = unix_time - now;
    }

    /// The leader's state while this node leads; `None` otherwise.
    pub fn leader(&self) -> Option<&Leader> {
        self.leadership.leader()
    }

    /// Whether this node has loaded the store and either leads or has received a heartbeat from
    /// the leader. Until then the node should not serve requests.
    pub fn is_ready_to_serve(&self, now: f64) -> bool {
        let was_seen = |name: &str| {
            let peer = self.peers.index_of(name).map(|index| self.peers.get(index));
            peer.is_some_and(|peer| peer.last_seen.is_some())
        };
        self.store.is_loaded()
            && (self.leadership.is_leading() || self.other_leader(now).is_some_and(was_seen))
    }

    /// Whether this node may renew workers' leases: see `docs/safety.md`, "Keeping leases alive".
    fn may_renew_leases(&self, now: f64) -> bool {
        self.store.may_renew_leases(now, &self.deployment.workers)
    }

    fn on_http_request(&mut self, now: f64, id: RequestId, route: Route, body: &[u8]) {
        self.request_timers.start(now, id, &route);
        match route {
            Route::Submit => self.on_submit(now, id, body),
            Route::Poll(Some(job)) => self.on_poll(now, id, job),
            Route::Cancel(Some(job)) => self.on_cancel(now, id, job),
            Route::Poll(None) | Route::Cancel(None) => {
                self.reply(now, id, Reply::error(404, "no such job"));
            }
            Route::Heartbeat => self.on_heartbeat(now, id, body),
            Route::Health => self.on_health_check(now, id),
            Route::Metrics => {
                let text = self.render_metrics(now);
                self.reply(now, id, Reply::text(text));
            }
            Route::Admin(route) => self.on_admin_request(now, id, route, body),
            Route::WrongMethod => self.reply(now, id, Reply::error(405, "method not allowed")),
            Route::Unknown => self.reply(now, id, Reply::error(404, "no such path")),
        }
    }

    fn on_store_outcome(&mut self, now: f64, call: CallId, outcome: StoreOutcome) {
        let Some(call) = self.calls.finish_store_call(call) else { return };
        let StoreCall { purpose, request, sent_at } = call;
        match purpose {
            StoreCallPurpose::Read => self.on_read_outcome(now, sent_at, outcome),
            StoreCallPurpose::UserWrites(writes) => {
                self.on_user_writes_outcome(now, writes, outcome);
            }
            StoreCallPurpose::AdminWrite { request, change } => {
                self.on_admin_write_outcome(now, request, change, &outcome);
            }
            StoreCallPurpose::LeaderCommit { token } => {
                self.on_leader_commit_outcome(now, token, &outcome);
            }
            StoreCallPurpose::ReadAssignmentLog { token } => self.on_log_page(now, token, outcome),
            StoreCallPurpose::ConfirmCommit { token } => {
                self.on_commit_confirmation(now, token, outcome);
            }
            StoreCallPurpose::Election => {
                self.on_election_outcome(now, sent_at, &request, &outcome);
            }
            StoreCallPurpose::RevisionMark => self.on_revision_mark_outcome(now),
        }
    }

    fn on_tick(&mut self, now: f64) {
        self.expire_user_requests(now);
        self.expire_heartbeat_relays(now);
        self.send_heartbeat_relays(now);
        self.tick_leader(now);
        self.resign_if_isolated(now);
        self.publish_job_progress(now);
        self.send_peer_heartbeats(now);
        self.send_revision_mark(now);
    }

    fn tick_leader(&mut self, now: f64) {
        let Some(leader) = self.leadership.leader_mut() else { return };
        let reachable_zones = self.peers.reachable_zones(now);
        leader.record_store_contact(self.store.last_contact());
        leader.tick(now, &self.runtime_settings, &self.settings.zone, &reachable_zones);
    }

    /// Sends all requests that are due after an event.
    fn send_due(&mut self, now: f64) {
        self.send_store_read(now);
        self.send_user_writes(now);
        self.send_election_request(now);
        self.send_log_read(now);
        self.send_commit_confirmation(now);
        self.send_leader_commit(now);
        self.send_cloud_requests(now);
        self.send_worker_requests(now);
    }

    fn call_store(&mut self, now: f64, purpose: StoreCallPurpose, request: StoreRequest) {
        self.actions.push(self.calls.call_store(now, purpose, request));
    }

    fn reply(&mut self, now: f64, id: RequestId, reply: Reply) {
        self.request_timers.finish(now, id);
        self.actions.push(Action::Reply { id, reply });
    }
}

/// The earliest time to retry a request that a service refused because of its rate limit. The
/// random part keeps nodes that were refused at the same time from retrying at the same time.
fn jittered_backoff_until(now: f64, rng: &mut StdRng) -> f64 {
    now + RATE_LIMIT_BACKOFF_S + rng.random::<f64>() * RATE_LIMIT_JITTER_S
}
