//! A controller node without I/O.

use crate::{
    admin::Latencies,
    api::{self, Route, Verdict},
    checkin::{Answer, Desk, Standing},
    cloud::{CloudCall, CloudOutcome},
    election::{Election, Seen},
    keys::{self, LeaderRecord},
    leader::{DirectCall, DirectOutcome, Knowledge, Leader, LogRow, Start},
    options::Options,
    sockets::Sockets,
    world::{Counts, Topic, World},
};
use gladekeel_store::{Bucket, Call, Change, Outcome, Replica};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState, JobStatus},
    mesh::{self, Header, Hello, Kind},
    settings::{Params, Settings},
    state::{Guard, Row, Txn, Write},
    worker::{Report, ReportAnswer},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
};
use zerocopy::{FromBytes, IntoBytes};

pub use crate::api::Reply;

/// Names a request of a user or worker until it is answered.
pub type RequestId = u64;
/// Names a call of this node until its answer is there.
pub type CallId = u64;

/// Users' requests that may wait at once; beyond it they are told to come back.
const MAX_WAITING: usize = 400;
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
/// Readings without an answer in a row, after which the service counts as out of reach.
const DOWN: u32 = 2;
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
/// How often counts are told to the other controllers.
const COUNTS_S: f64 = 1.0;

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// A request arrived.
    Http {
        /// To be named in the reply.
        id: RequestId,
        /// Its method.
        method: String,
        /// Its path.
        path: String,
        /// Its body.
        body: Vec<u8>,
    },
    /// A call to the state service ended.
    State {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: Outcome,
    },
    /// A call to the cloud ended.
    Cloud {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: CloudOutcome,
    },
    /// A direct command to a worker ended.
    Direct {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: DirectOutcome,
    },
    /// A frame from another controller.
    Mesh {
        /// Its head.
        header: Header,
        /// What it is for.
        kind: Kind,
        /// Its payload.
        payload: Vec<u8>,
    },
    /// Time has passed.
    Tick,
}

/// Something to be done.
#[derive(Debug)]
pub enum Action {
    /// Answer a request.
    Reply {
        /// The request.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Call the state service.
    State {
        /// To be named in the event.
        call: CallId,
        /// The call.
        request: Call,
        /// How long to wait.
        limit_s: f64,
    },
    /// Call the cloud.
    Cloud {
        /// To be named in the event.
        call: CallId,
        /// The call.
        request: CloudCall,
        /// How long to wait.
        limit_s: f64,
    },
    /// Send commands to a worker.
    Direct {
        /// To be named in the event.
        call: CallId,
        /// Where to and what.
        request: DirectCall,
        /// How long to wait.
        limit_s: f64,
    },
    /// Send a frame to another controller: its place among the settings' peers.
    Mesh {
        /// The peer.
        peer: usize,
        /// The frame.
        frame: Vec<u8>,
    },
}

/// Why the state service was called.
#[derive(Debug)]
enum Purpose {
    Sync,
    Load,
    Users(Vec<UserWrite>),
    Admin(RequestId, Reply),
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
    rows: Vec<Row>,
    flying: bool,
    not_before: f64,
    /// What is known from leading under a lower token.
    know: Option<Knowledge>,
}

/// A change that a user asked for.
#[derive(Debug)]
pub(crate) struct UserWrite {
    request: RequestId,
    id: JobId,
    /// The job to create, or none to cancel.
    spec: Option<Rc<JobSpec>>,
    since: f64,
    tries: u32,
}

/// A request that waits for the store to be read.
#[derive(Debug)]
pub(crate) struct Waiter {
    request: RequestId,
    id: Option<JobId>,
    since: f64,
    /// A reading that was sent at this time or later will do.
    from: f64,
    then: Then,
}

/// What follows the reading.
#[derive(Debug)]
pub(crate) enum Then {
    /// Answer an operator with the settings.
    Settings,
    /// Answer with the job's state, or 404.
    Poll,
    /// Answer with the job's state, or create it.
    Create { spec: Rc<JobSpec>, tries: u32 },
    /// Answer with the job's state, or that it can never run.
    Refuse(String),
    /// Cancel it.
    Cancel { tries: u32 },
    /// Answer with the job's state, or 503: the change had no answer.
    Unknown,
}

/// A controller node.
pub struct Node {
    pub(crate) settings: Rc<Settings>,
    pub(crate) params: Rc<Params>,
    record: LeaderRecord,
    place: u32,
    epoch: f64,
    pub(crate) peers: Vec<PeerView>,
    rng: StdRng,
    pub(crate) options: Options,
    pub(crate) replica: Replica,
    pub(crate) world: World,
    calls: BTreeMap<CallId, (Purpose, Call, f64)>,
    cloud_calls: BTreeMap<CallId, (u64, CloudCall)>,
    /// Answers of the cloud that came between two tokens of this node.
    held_answers: Vec<(CloudCall, CloudOutcome)>,
    direct_calls: BTreeMap<CallId, (DirectCall, f64)>,
    next_call: CallId,
    /// When the last answered reading of the store was sent.
    pub(crate) contact: Option<f64>,
    state_down: bool,
    /// Readings under way, and those that had no answer since the last that had.
    syncs: u32,
    lost_syncs: u32,
    pub(crate) sync_wanted: bool,
    sync_sent: f64,
    sync_not_before: f64,
    pub(crate) waiting: Vec<Waiter>,
    pub(crate) writes: VecDeque<UserWrite>,
    /// Transactions of users under way.
    writes_flying: usize,
    writes_not_before: f64,
    election: Election,
    pub(crate) leader: Option<Leader>,
    takeover: Option<Takeover>,
    /// The last token under which this process led. Attempts are numbered by token, so
    /// it never leads under the same one again.
    spent: u64,
    desk: Desk,
    /// Reports passed on to the leader, with what to answer if it does not.
    relays: BTreeMap<CallId, (RequestId, f64, ReportAnswer)>,
    /// Calls to workers that may be under way at once.
    max_direct: usize,
    requests: Bucket,
    own_writes: Bucket,
    leader_writes: Bucket,
    cloud: Bucket,
    resigned: u32,
    hello_at: f64,
    counts_at: f64,
    confirm_at: f64,
    /// Requests under way that are timed.
    open: HashMap<RequestId, (&'static str, f64)>,
    pub(crate) latencies: Latencies,
    pub(crate) state_requests: u64,
    pub(crate) state_writes: u64,
    actions: Vec<Action>,
    pub(crate) reign: u64,
}

/// What a node knows of another.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerView {
    pub(crate) name: String,
    pub(crate) heard_at: Option<f64>,
    pub(crate) contact_ms: u32,
    /// The token under which it leads, or 0.
    leads: u64,
}

impl Node {
    /// A node that has just started. `seed` must differ from start to start: it
    /// names the incarnation. `epoch` is the time of day at the start, in seconds.
    pub fn new(settings: Settings, seed: u64, epoch: f64) -> Node {
        let settings = Rc::new(settings);
        let params = Rc::new(settings.params.clone());
        let mut rng = StdRng::seed_from_u64(seed);
        let run = rng.random();
        let mut names: Vec<&str> = settings.peers.iter().map(|peer| peer.node.as_str()).collect();
        names.push(&settings.node);
        names.sort_unstable();
        let place = names.iter().position(|name| *name == settings.node).unwrap_or(0) as u32;
        let nodes = f64::from(params.count.max(1));
        let share = params.state.rps / nodes;
        Node {
            record: LeaderRecord { node: settings.node.clone(), run },
            place,
            epoch,
            peers: settings
                .peers
                .iter()
                .map(|peer| PeerView { name: peer.node.clone(), ..PeerView::default() })
                .collect(),
            rng,
            options: Options::new(&params.workers),
            replica: Replica::default(),
            world: World::default(),
            calls: BTreeMap::new(),
            cloud_calls: BTreeMap::new(),
            held_answers: Vec::new(),
            direct_calls: BTreeMap::new(),
            next_call: 0,
            contact: None,
            state_down: false,
            syncs: 0,
            lost_syncs: 0,
            sync_wanted: true,
            sync_sent: -1.0,
            sync_not_before: 0.0,
            waiting: Vec::new(),
            writes: VecDeque::new(),
            writes_flying: 0,
            writes_not_before: 0.0,
            election: Election::default(),
            leader: None,
            takeover: None,
            spent: 0,
            desk: Desk::default(),
            relays: BTreeMap::new(),
            max_direct: Sockets::of(&params.limits).calls,
            requests: Bucket::new(share * 0.6, share * 0.4),
            // The leader writes what has changed in few wide commits. What users ask for
            // comes in clusters, and after a crash all of it at the first node that is
            // back: no node keeps to an equal part. If several write at once, the
            // service says so, and each waits.
            own_writes: Bucket::new(
                (params.state.write_rps * 0.3).max(0.5),
                (params.state.write_rps * 0.3).max(1.0),
            ),
            leader_writes: Bucket::new(params.state.write_rps * 0.5, params.state.write_rps * 0.5),
            cloud: Bucket::new(params.cloud.rps * 0.8, (params.cloud.rps * 0.8).max(1.0)),
            resigned: 0,
            hello_at: 0.0,
            counts_at: 0.0,
            confirm_at: 0.0,
            open: HashMap::new(),
            latencies: Latencies::default(),
            state_requests: 0,
            state_writes: 0,
            actions: Vec::new(),
            reign: 0,
            settings,
            params,
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        match event {
            Event::Http { id, method, path, body } => self.on_http(now, id, &method, &path, &body),
            Event::State { call, outcome } => self.on_state(now, call, outcome),
            Event::Cloud { call, outcome } => self.on_cloud(now, call, outcome),
            Event::Direct { call, outcome } => {
                if let Some((request, _)) = self.direct_calls.remove(&call)
                    && let Some(leader) = &mut self.leader
                {
                    leader.direct_answered(now, &request, &outcome);
                }
            }
            Event::Mesh { header, kind, payload } => self.on_mesh(now, &header, kind, &payload),
            Event::Tick => self.on_tick(now),
        }
        self.pump(now);
        self.pump_direct(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether this node leads now.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    fn fresh(&self, now: f64) -> bool {
        self.contact.is_some_and(|at| now - at < FRESH_S)
    }

    /// Whether leases may be renewed: see `docs/safety.md`, "Keeping leases alive".
    fn may_keep(&self, now: f64) -> bool {
        let workers = &self.params.workers;
        let bound = workers.cancel_s - workers.lease_s - MARGIN_S;
        self.contact.is_some_and(|at| now - at < bound)
    }

    // ---- requests -------------------------------------------------------

    pub(crate) fn reply(&mut self, now: f64, id: RequestId, reply: Reply) {
        if let Some((what, since)) = self.open.remove(&id) {
            self.latencies.note(what, now - since);
        }
        self.actions.push(Action::Reply { id, reply });
    }

    fn on_http(&mut self, now: f64, id: RequestId, method: &str, path: &str, body: &[u8]) {
        let route = Route::of(method, path);
        if let Some(what) = route.name() {
            self.open.insert(id, (what, now));
        }
        match route {
            Route::Metrics => {
                let body = self.metrics(now).into_bytes();
                let reply = Reply { status: 200, retry_after: None, body, plain: true };
                self.reply(now, id, reply);
            }
            Route::Admin(route) => self.on_admin(now, id, route, body),
            Route::Submit => self.on_submit(now, id, body),
            Route::Poll(Some(job)) => self.on_poll(now, id, job),
            Route::Cancel(Some(job)) => self.on_cancel(now, id, job),
            Route::Poll(None) | Route::Cancel(None) => {
                self.reply(now, id, Reply::error(404, "no such job"));
            }
            Route::Checkin => self.on_checkin(now, id, body),
            Route::Up => {
                let reply = if self.ready(now) {
                    Reply::json(200, &serde_json::json!({"up": true}))
                } else {
                    Reply::later(503, 1, "no contact with the state service")
                };
                self.reply(now, id, reply);
            }
            Route::WrongMethod => self.reply(now, id, Reply::error(405, "method not allowed")),
            Route::Unknown => self.reply(now, id, Reply::error(404, "no such path")),
        }
    }

    /// Whether users should be sent here. Without contact to the state service this
    /// node is of use only if the others are known to be no better off; one that hears
    /// none of them cannot know.
    fn ready(&self, now: f64) -> bool {
        if self.replica.revision().is_none() {
            return false;
        }
        if self.contact.is_some_and(|at| now - at < 3.0) || self.peers.is_empty() {
            return true;
        }
        let mut heard =
            self.peers.iter().filter(|p| p.heard_at.is_some_and(|at| now - at < 2.5)).peekable();
        heard.peek().is_some() && heard.all(|peer| peer.contact_ms >= 2500)
    }

    /// Makes a change for an operator, who is answered once it is made or not.
    pub(crate) fn admin_write(&mut self, now: f64, id: RequestId, txn: Txn, reply: Reply) {
        if self.overloaded(now, id) {
            return;
        }
        self.own_writes.take(now, 1.0);
        self.call_state(now, Purpose::Admin(id, reply), Call::Commit(txn));
    }

    fn later(&mut self, now: f64, id: RequestId, what: &str) {
        tracing::debug!(id, what, "told to come back");
        self.reply(now, id, Reply::later(503, 1, what));
    }

    pub(crate) fn overloaded(&mut self, now: f64, id: RequestId) -> bool {
        let over = self.waiting.len() + self.writes.len() >= MAX_WAITING;
        if over {
            tracing::debug!(id, "told to come back: too many requests are waiting");
            self.reply(now, id, Reply::later(503, 2, "too many requests are waiting"));
        } else if self.state_down || self.replica.revision().is_none() {
            // Known to be out of reach: said at once, rather than after a wait.
            self.later(now, id, "the state service cannot be reached");
            return true;
        }
        over
    }

    pub(crate) fn wait(&mut self, now: f64, request: RequestId, id: Option<JobId>, then: Then) {
        self.waiting.push(Waiter { request, id, since: now, from: now, then });
        self.sync_wanted = true;
    }

    fn on_poll(&mut self, now: f64, request: RequestId, id: JobId) {
        if let Some(status) = self.final_status(&id) {
            self.reply(now, request, Reply::json(200, &status));
        } else if !self.overloaded(now, request) {
            self.wait(now, request, Some(id), Then::Poll);
        }
    }

    /// A final state never changes, so it can be told without asking the store.
    fn final_status(&self, id: &JobId) -> Option<JobStatus> {
        self.world.fates.get(id)?;
        api::status(&self.world, id)
    }

    fn on_submit(&mut self, now: f64, request: RequestId, body: &[u8]) {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => return self.reply(now, request, Reply::error(400, error.to_string())),
        };
        let value = serde_json::to_vec(&spec).expect("wire types always serialise");
        if value.len() + 100 > (self.params.state.value_kb * 1024.0) as usize {
            // Such a write would be refused together with everything in its batch.
            return self.reply(now, request, Reply::error(400, "the description is too long"));
        }
        let id = spec.id.clone();
        if let Some(status) = self.final_status(&id) {
            return self.reply(now, request, Reply::json(200, &status));
        }
        if self.overloaded(now, request) {
            return;
        }
        if self.world.jobs.contains_key(&id) {
            return self.wait(now, request, Some(id), Then::Poll);
        }
        match api::judge(&self.params, &self.world, &spec) {
            // A job that was accepted once is never refused later, so look first.
            Verdict::Never(why) => self.wait(now, request, Some(id), Then::Refuse(why)),
            Verdict::Unknown => self.later(now, request, "machine types are not known yet"),
            Verdict::Fine => {
                let spec = Some(Rc::new(spec));
                self.writes.push_back(UserWrite { request, id, spec, since: now, tries: 0 });
            }
        }
    }

    fn on_cancel(&mut self, now: f64, request: RequestId, id: JobId) {
        if let Some(status) = self.final_status(&id) {
            return self.reply(now, request, Reply::json(200, &status));
        }
        if self.overloaded(now, request) {
            return;
        }
        if self.world.jobs.contains_key(&id) {
            self.writes.push_back(UserWrite { request, id, spec: None, since: now, tries: 0 });
        } else {
            self.wait(now, request, Some(id), Then::Cancel { tries: 0 });
        }
    }

    /// The store was read after these requests came in.
    fn serve(&mut self, now: f64, waiters: Vec<Waiter>) {
        for Waiter { request, id, since, then, .. } in waiters {
            let Some(id) = id else {
                self.answer_settings(now, request);
                continue;
            };
            let status = api::status(&self.world, &id);
            let open = status.as_ref().is_some_and(|status| !status.state.is_final());
            match (then, status) {
                (Then::Cancel { tries }, _) if open && tries < 3 => {
                    self.writes.push_back(UserWrite { request, id, spec: None, since, tries });
                }
                (Then::Cancel { .. }, Some(_)) if open => {
                    self.later(now, request, "not cancelled yet")
                }
                (_, Some(status)) => self.reply(now, request, Reply::json(200, &status)),
                (Then::Create { spec, tries }, None) if tries < 3 && now - since < WAIT_S => {
                    let spec = Some(spec);
                    self.writes.push_back(UserWrite { request, id, spec, since, tries });
                }
                (Then::Create { .. } | Then::Unknown, None) => {
                    self.later(now, request, "not accepted yet");
                }
                (Then::Refuse(why), None) => self.reply(now, request, Reply::error(422, why)),
                (Then::Poll | Then::Cancel { .. } | Then::Settings, None) => {
                    self.reply(now, request, Reply::error(404, "no such job"));
                }
            }
        }
    }

    fn users_written(&mut self, now: f64, writes: Vec<UserWrite>, outcome: Outcome) {
        self.writes_flying -= 1;
        match outcome {
            Outcome::Committed(_) => {
                for write in writes {
                    let (status, state) = match write.spec {
                        Some(_) => (201, JobState::Queued),
                        None => (200, JobState::Cancelled),
                    };
                    let answer = JobStatus { id: write.id, state, done: None, running: None };
                    self.reply(now, write.request, Reply::json(status, &answer));
                }
                self.sync_wanted |= self.leader.is_some();
                self.nudge();
            }
            Outcome::Conflict(failed) => {
                for mut write in writes {
                    write.tries += 1;
                    let own = [keys::job(&write.id), keys::fate(&write.id)];
                    if !failed.is_empty() && !own.iter().any(|key| failed.contains(key)) {
                        self.writes.push_front(write);
                        continue;
                    }
                    let then = match write.spec {
                        Some(spec) => Then::Create { spec, tries: write.tries },
                        None => Then::Cancel { tries: write.tries },
                    };
                    self.waiting.push(Waiter {
                        request: write.request,
                        id: Some(write.id),
                        since: write.since,
                        from: now,
                        then,
                    });
                }
                self.sync_wanted = true;
            }
            Outcome::Busy => {
                self.own_writes.drain(now);
                self.writes_not_before = now + 0.1 + self.rng.random::<f64>() * 0.1;
                for write in writes.into_iter().rev() {
                    self.writes.push_front(write);
                }
            }
            Outcome::Refused | Outcome::NoLease => {
                for write in writes {
                    self.later(now, write.request, "the state service refuses");
                }
            }
            _ => {
                for write in writes {
                    let then = match write.spec {
                        // It may have been made; if it shows, it is accepted.
                        Some(_) => Then::Unknown,
                        None => Then::Cancel { tries: 3 },
                    };
                    self.waiting.push(Waiter {
                        request: write.request,
                        id: Some(write.id),
                        since: now,
                        from: now,
                        then,
                    });
                }
                self.sync_wanted = true;
            }
        }
    }

    fn on_checkin(&mut self, now: f64, id: RequestId, body: &[u8]) {
        let report: Report = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(error) => return self.reply(now, id, Reply::error(400, error.to_string())),
        };
        let elsewhere = self.leader_elsewhere(now).map(str::to_owned);
        let relay = self.peers.iter().position(|peer| {
            Some(&peer.name) == elsewhere.as_ref()
                && peer.heard_at.is_some_and(|at| now - at < HELLO_S)
        });
        let standing = Standing {
            now,
            world: &self.world,
            leader_elsewhere: elsewhere.as_deref(),
            may_keep: self.may_keep(now),
            fresh: self.fresh(now),
            may_relay: relay.is_some(),
        };
        let reply = match self.desk.answer(&standing, self.leader.as_mut(), &report) {
            Answer::Commands(answer) => Reply::json(200, &answer),
            Answer::Keep(answer) => {
                if let Some(peer) = relay {
                    let call = self.next_call;
                    self.next_call += 1;
                    self.relays.insert(call, (id, now, answer));
                    return self.send(peer, Kind::Relay, 0, call, body);
                }
                Reply::json(200, &answer)
            }
            Answer::Elsewhere(redirect) => Reply::json(421, &redirect),
            Answer::NotEntitled => Reply::later(503, 1, "not entitled to act"),
        };
        self.reply(now, id, reply);
    }

    /// Another node that leads: as the store says, or, when it cannot be asked, as the
    /// other controllers do.
    fn leader_elsewhere(&self, now: f64) -> Option<&str> {
        let heard = |peer: &&PeerView| peer.heard_at.is_some_and(|at| now - at < HELLO_S);
        let told = self.peers.iter().filter(heard).filter(|peer| peer.leads > self.world.token);
        let told = told.max_by_key(|peer| peer.leads).map(|peer| peer.name.as_str());
        let stored = self.world.leader.as_ref().map(|(record, _)| record.node.as_str());
        told.or(stored.filter(|node| self.fresh(now) && *node != self.settings.node))
    }

    // ---- the state service ----------------------------------------------

    fn call_state(&mut self, now: f64, purpose: Purpose, request: Call) {
        let call = self.next_call;
        self.next_call += 1;
        self.state_requests += 1;
        self.state_writes += request.writes() as u64;
        let changes = matches!(purpose, Purpose::Users(_) | Purpose::Lead(_) | Purpose::Log(_));
        let limit_s = if changes { CHANGE_S } else { STATE_S };
        self.calls.insert(call, (purpose, request.clone(), now));
        self.actions.push(Action::State { call, request, limit_s });
    }

    fn on_state(&mut self, now: f64, call: CallId, outcome: Outcome) {
        let Some((purpose, request, sent_at)) = self.calls.remove(&call) else { return };
        match purpose {
            Purpose::Sync | Purpose::Load => self.on_read(now, sent_at, outcome),
            Purpose::Admin(id, reply) => self.admin_written(now, id, reply, &outcome),
            Purpose::Users(writes) => self.users_written(now, writes, outcome),
            Purpose::Lead(token) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) {
                    if outcome == Outcome::Busy {
                        self.leader_writes.drain(now);
                    }
                    self.sync_wanted |= leader.commit_answered(now, &outcome);
                }
            }
            Purpose::Log(token) => self.on_log(now, token, outcome),
            Purpose::Confirm(token) => self.on_confirm(now, token, outcome),
            Purpose::Election => {
                self.sync_wanted |= self.election.answered(now, sent_at, &request, &outcome);
            }
        }
    }

    fn on_read(&mut self, now: f64, sent_at: f64, outcome: Outcome) {
        self.syncs -= 1;
        match outcome {
            Outcome::Rows(rows) => {
                let changes = self.replica.page(rows);
                self.apply(now, &changes);
                self.sync_wanted = true;
            }
            Outcome::Events(events) => {
                let changes = self.replica.follow(events);
                self.contact = Some(self.contact.map_or(sent_at, |at| at.max(sent_at)));
                self.state_down = false;
                self.lost_syncs = 0;
                self.apply(now, &changes);
                self.lead_or_follow(now);
                // Everyone who came before this reading was sent is served by it.
                let (served, waiting) = std::mem::take(&mut self.waiting)
                    .into_iter()
                    .partition(|waiter: &Waiter| waiter.from <= sent_at);
                self.waiting = waiting;
                self.serve(now, served);
                self.answer_written(now);
            }
            Outcome::TooOld => {
                // Once: the reading anew may be under way already.
                if self.replica.revision().is_some() {
                    self.replica.reload();
                }
                self.sync_wanted = true;
            }
            Outcome::Busy => {
                self.sync_not_before = now + 0.1 + self.rng.random::<f64>() * 0.1;
                self.sync_wanted = true;
            }
            outcome => {
                // A slow answer is not an outage; a refusal, or several in a row, is.
                self.lost_syncs += 1;
                self.sync_wanted = true;
                if outcome == Outcome::Unknown && self.lost_syncs < DOWN {
                    return;
                }
                self.state_down = true;
                self.sync_not_before = now + 0.25;
                for waiter in std::mem::take(&mut self.waiting) {
                    self.later(now, waiter.request, "the state service cannot be reached");
                }
                for write in std::mem::take(&mut self.writes) {
                    self.later(now, write.request, "the state service cannot be reached");
                }
            }
        }
    }

    fn apply(&mut self, now: f64, changes: &[Change]) {
        for change in changes {
            match self.world.apply(change) {
                Topic::Job(id) => {
                    if let Some(leader) = &mut self.leader {
                        if change.now.is_some() {
                            leader.learn_job(&self.world, &id, now);
                        } else {
                            leader.forget_job(&id);
                        }
                    }
                }
                Topic::Fate(id) => {
                    if let Some(leader) = &mut self.leader {
                        leader.learn_fate(&self.world, &id);
                    }
                }
                Topic::Options => {
                    // What a later version stored and this one does not know is left out.
                    let usual = Options::new(&self.params.workers);
                    let known = usual.values();
                    let stored = self.world.options.iter();
                    let stored = stored
                        .filter(|(name, _)| known.contains_key(*name))
                        .map(|(name, value)| (name.clone(), *value))
                        .collect();
                    self.options = usual.with(&stored).unwrap_or(usual);
                }
                Topic::Drain(machine) => {
                    if let Some(leader) = &mut self.leader {
                        leader.learn_drain(&self.world, &machine);
                    }
                }
                Topic::Other => {}
            }
        }
    }

    fn seen(&self) -> Seen {
        match &self.world.leader {
            None => Seen::Nobody,
            Some((record, _)) if *record == self.record => Seen::Me,
            Some((record, version)) if record.node == self.record.node => Seen::Ghost(*version),
            Some(_) => Seen::Other,
        }
    }

    /// The store was read: begin to lead, go on under a new token, or stop.
    fn lead_or_follow(&mut self, now: f64) {
        let token = match &self.world.leader {
            Some((record, token)) if *record == self.record => *token,
            _ => {
                self.takeover = None;
                self.held_answers.clear();
                if let Some(leader) = self.leader.take() {
                    tracing::warn!(token = leader.token, "no longer leading");
                }
                return;
            }
        };
        if self.leader.as_ref().is_some_and(|leader| leader.token == token)
            || self.takeover.as_ref().is_some_and(|takeover| takeover.token == token)
            || token <= self.spent
        {
            return;
        }
        // The same incarnation under a higher token: what it knows of machines holds.
        let know = match (self.leader.take(), self.takeover.take()) {
            (Some(leader), _) => Some(leader.into_knowledge()),
            (None, takeover) => takeover.and_then(|takeover| takeover.know),
        };
        // Answers of the cloud are of use to the same knowledge that asked.
        self.reign += u64::from(know.is_none());
        let rows = Vec::new();
        self.takeover = Some(Takeover { token, rows, flying: false, not_before: now, know });
    }

    /// The leader's call that changes the store, if one is under way: when it was sent.
    fn lead_call(&self, token: u64) -> Option<(CallId, f64)> {
        let mut calls = self.calls.iter();
        let found = calls.find(|(_, (p, ..))| matches!(p, Purpose::Lead(of) if *of == token));
        found.map(|(call, (.., sent_at))| (*call, *sent_at))
    }

    /// Looks in the store for a transaction whose answer is slow to come.
    fn pump_confirm(&mut self, now: f64) {
        let Some(leader) = &self.leader else { return };
        let (token, mark) = (leader.token, leader.commit_mark());
        let slow = self.lead_call(token).is_some_and(|(_, at)| now - at >= CONFIRM_S);
        if let Some((key, _)) = mark
            && slow
            && now - self.confirm_at >= CONFIRM_S
        {
            self.confirm_at = now;
            let call = Call::List { prefix: key.clone(), after: None };
            self.call_state(now, Purpose::Confirm(token), call);
        }
    }

    fn on_confirm(&mut self, now: f64, token: u64, outcome: Outcome) {
        let (Outcome::Rows(rows), Some((call, _))) = (outcome, self.lead_call(token)) else {
            return;
        };
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.token == token) else {
            return;
        };
        let Some((key, text)) = leader.commit_mark() else { return };
        // Nobody else writes there under this token, and all of it was made at once.
        let made = rows.items.iter().find(|row| row.key == *key && row.value == text.as_str());
        if let Some(version) = made.map(|row| row.version) {
            self.calls.remove(&call);
            self.sync_wanted |= leader.commit_answered(now, &Outcome::Committed(version));
        }
    }

    /// Answers users whose change shows in the store although its own answer is slow.
    fn answer_written(&mut self, now: f64) {
        let mut shown = Vec::new();
        for (call, (purpose, _, sent_at)) in &mut self.calls {
            let Purpose::Users(writes) = purpose else { continue };
            if now - *sent_at < OVERTAKE_S {
                continue;
            }
            let world = &self.world;
            shown.extend(
                writes
                    .extract_if(.., |write| match write.spec {
                        Some(_) => world.jobs.contains_key(&write.id),
                        None => world.fates.contains_key(&write.id),
                    })
                    .map(|write| (*call, write)),
            );
        }
        for (call, write) in shown {
            if let Some(status) = api::status(&self.world, &write.id) {
                let code = if write.spec.is_some() { 201 } else { 200 };
                self.reply(now, write.request, Reply::json(code, &status));
            }
            if self
                .calls
                .get(&call)
                .is_some_and(|(p, ..)| matches!(p, Purpose::Users(w) if w.is_empty()))
            {
                self.calls.remove(&call);
                self.writes_flying -= 1;
            }
        }
    }

    fn on_log(&mut self, now: f64, token: u64, outcome: Outcome) {
        let Some(takeover) = self.takeover.as_mut().filter(|t| t.token == token) else { return };
        takeover.flying = false;
        let Outcome::Rows(rows) = outcome else {
            takeover.not_before = now + 0.2;
            return;
        };
        takeover.rows.extend(rows.items);
        if rows.more {
            return;
        }
        let read = |row: Row| {
            let slot = row.key.strip_prefix(keys::LOG)?.parse().ok()?;
            Some(LogRow { slot, version: row.version, text: row.value.as_str()?.to_owned() })
        };
        let rows: Option<Vec<LogRow>> =
            std::mem::take(&mut takeover.rows).into_iter().map(read).collect();
        let (know, salt) = (takeover.know.take(), self.rng.random());
        let leader = match rows {
            Some(rows) if !self.world.old_layout => {
                let (epoch, params) = (self.epoch, self.params.clone());
                Leader::new(&self.world, rows, Start { token, now, epoch, params, salt }, know).ok()
            }
            _ => None,
        };
        let answers = std::mem::take(&mut self.held_answers);
        if let Some(mut leader) = leader {
            self.spent = token;
            self.takeover = None;
            for (request, outcome) in answers {
                leader.cloud_answered(now, &request, outcome);
            }
            self.leader = Some(leader);
        } else if let Some(takeover) = &mut self.takeover {
            // Placing without it would start tasks twice. Operators must look.
            tracing::error!("the log in the state service cannot be read: placing nothing");
            takeover.not_before = now + 5.0;
        }
    }

    // ---- the cloud ------------------------------------------------------

    fn on_cloud(&mut self, now: f64, call: CallId, outcome: CloudOutcome) {
        let Some((reign, request)) = self.cloud_calls.remove(&call) else { return };
        if reign != self.reign {
            return;
        }
        match &mut self.leader {
            Some(leader) => leader.cloud_answered(now, &request, outcome),
            // Between two tokens: the knowledge that waits for the next one still counts
            // the call as under way, and nothing else would ever end that.
            None if self.takeover.as_ref().is_some_and(|takeover| takeover.know.is_some()) => {
                self.held_answers.push((request, outcome));
            }
            None => {}
        }
    }

    // ---- other controllers ----------------------------------------------

    fn send(&mut self, peer: usize, kind: Kind, status: u16, call: u64, payload: &[u8]) {
        let header = Header::new(kind, status, call, self.place, payload.len());
        let mut frame = header.as_bytes().to_vec();
        frame.extend_from_slice(payload);
        self.actions.push(Action::Mesh { peer, frame });
    }

    fn nudge(&mut self) {
        let leader = self.world.leader.as_ref().map(|(record, _)| record.node.clone());
        let peer = leader.and_then(|name| self.peers.iter().position(|peer| peer.name == name));
        if let Some(peer) = peer {
            self.send(peer, Kind::Nudge, 0, 0, &[]);
        }
    }

    fn on_mesh(&mut self, now: f64, header: &Header, kind: Kind, payload: &[u8]) {
        let mut names: Vec<&str> = self.settings.peers.iter().map(|p| p.node.as_str()).collect();
        names.push(&self.settings.node);
        names.sort_unstable();
        let Some(name) = names.get(header.from.get() as usize).map(|name| (*name).to_owned())
        else {
            return;
        };
        match kind {
            Kind::Nudge => self.sync_wanted = true,
            Kind::Hello => {
                let Ok(hello) = Hello::read_from_bytes(payload) else { return };
                if let Some(peer) = self.peers.iter_mut().find(|peer| peer.name == name) {
                    peer.heard_at = Some(now);
                    peer.contact_ms = hello.contact_ms.get();
                    peer.leads = hello.leads.get();
                }
                // A leader that the state service no longer answers learns here that
                // another one leads; to stop early is always safe.
                if self.leader.as_ref().is_some_and(|l| l.token < hello.leads.get()) {
                    tracing::warn!(by = name, "another node leads: no longer leading");
                    self.leader = None;
                    self.sync_wanted = true;
                }
            }
            Kind::Relay => {
                let Some(peer) = self.peers.iter().position(|peer| peer.name == name) else {
                    return;
                };
                let report = serde_json::from_slice::<Report>(payload);
                let (may_keep, fresh) = (self.may_keep(now), self.fresh(now));
                // Only a leader with something to say answers; the other node keeps
                // the worker's lease otherwise.
                if let (Some(leader), Ok(report)) = (&mut self.leader, report)
                    && may_keep
                    && report.token <= leader.token
                {
                    let answer = leader.on_report(now, &report, fresh);
                    let body = serde_json::to_vec(&answer).expect("wire types always serialise");
                    self.send(peer, Kind::Relayed, 200, header.call.get(), &body);
                }
            }
            Kind::Counts => {
                let from_leader =
                    self.world.leader.as_ref().is_some_and(|(record, _)| record.node == name);
                for (id, done, running) in mesh::read_counts(payload).unwrap_or_default() {
                    // Jobs that this node has not heard of yet are told again.
                    if from_leader && self.world.jobs.contains_key(&id) {
                        self.world.counts.insert(id, Counts { done, running });
                    }
                }
            }
            Kind::Relayed => {
                if let Some((id, ..)) = self.relays.remove(&header.call.get()) {
                    let status = header.status.get();
                    self.reply(
                        now,
                        id,
                        Reply { status, retry_after: None, body: payload.to_vec(), plain: false },
                    );
                }
            }
        }
    }

    // ---- time -----------------------------------------------------------

    fn on_tick(&mut self, now: f64) {
        let late = |waiter: &Waiter| now - waiter.since >= WAIT_S;
        let (gone, waiting): (Vec<Waiter>, Vec<Waiter>) =
            std::mem::take(&mut self.waiting).into_iter().partition(late);
        self.waiting = waiting;
        for waiter in gone {
            self.later(now, waiter.request, "the state service is slow");
        }
        while self.writes.front().is_some_and(|write| now - write.since >= WAIT_S) {
            if let Some(write) = self.writes.pop_front() {
                self.later(now, write.request, "the state service is slow");
            }
        }
        while let Some((call, (id, since, answer))) = self.relays.pop_first() {
            if now - since < RELAY_S {
                self.relays.insert(call, (id, since, answer));
                break;
            }
            let reply = if self.may_keep(now) {
                Reply::json(200, &answer)
            } else {
                Reply::later(503, 1, "not entitled to act")
            };
            self.reply(now, id, reply);
        }
        if let Some(leader) = &mut self.leader {
            let heard = self
                .peers
                .iter()
                .enumerate()
                .filter(|(_, peer)| peer.heard_at.is_some_and(|at| now - at < HELLO_S));
            let zones: Vec<&str> =
                heard.map(|(at, _)| self.settings.peers[at].zone.as_str()).collect();
            leader.tick(now, &self.options, &self.settings.zone, &zones);
            self.resign_if_deaf(now);
        }
        self.tell_counts(now);
        if now - self.hello_at >= 1.0 {
            self.hello_at = now;
            let contact = self.contact.map_or(u32::MAX, |at| ((now - at) * 1000.0) as u32);
            let leads = self.leader.as_ref().map_or(0, |leader| leader.token);
            let hello = Hello { contact_ms: contact.into(), leads: leads.into() };
            for peer in 0..self.peers.len() {
                self.send(peer, Kind::Hello, 0, 0, hello.as_bytes());
            }
        }
    }

    /// Tells the other controllers how far jobs are, for display.
    fn tell_counts(&mut self, now: f64) {
        if now - self.counts_at < COUNTS_S {
            return;
        }
        self.counts_at = now;
        let Some(leader) = &mut self.leader else { return };
        let counts = leader.take_counts();
        for (id, counts) in &counts {
            self.world.counts.insert(id.clone(), *counts);
        }
        let rows = counts.iter().map(|(id, counts)| (id, counts.done, counts.running));
        for payload in mesh::write_counts(rows) {
            for peer in 0..self.peers.len() {
                self.send(peer, Kind::Counts, 0, 0, &payload);
            }
        }
    }

    /// A leader that hears none of its workers cannot do its work; another may.
    fn resign_if_deaf(&mut self, now: f64) {
        let Some(leader) = &self.leader else { return };
        let (all, quiet) = leader.silence(now);
        let workers = &self.params.workers;
        // Of many machines some reports are due at any time.
        let deaf_s = (DEAF_REPORTS * workers.report_s / all.max(1) as f64)
            .clamp(DEAF_LEAST_S, workers.late_s() + 2.0);
        if quiet < deaf_s {
            self.resigned = 0;
        }
        let patience = deaf_s * f64::from(1 << self.resigned.min(4));
        if all == 0 || quiet < patience || now - leader.since() < patience || self.peers.is_empty()
        {
            return;
        }
        if let Some(call) = self.election.resign(now, 6.0 * f64::from(1 << self.resigned.min(4))) {
            tracing::warn!(machines = all, "no worker is heard: resigning");
            self.resigned += 1;
            self.leader = None;
            self.call_state(now, Purpose::Election, call);
            self.sync_wanted = true;
        }
    }

    /// Sends whatever is due.
    fn pump(&mut self, now: f64) {
        self.pump_sync(now);
        self.pump_writes(now);
        if self.fresh(now) {
            // After stepping down in vain, too, a new token is needed.
            let idle = self.leader.is_none() && self.takeover.is_none();
            let renew = self.leader.as_ref().filter(|l| l.wants_fence()).map(|l| l.token);
            let renew = renew.or((idle && self.world.token == self.spent).then_some(self.spent));
            let seen = self.seen();
            if let Some(call) = self.election.next(now, seen, &self.record, renew) {
                self.call_state(now, Purpose::Election, call);
            }
        }
        if let Some(takeover) = &mut self.takeover
            && !takeover.flying
            && now >= takeover.not_before
        {
            takeover.flying = true;
            let (token, after) = (takeover.token, takeover.rows.last().map(|row| row.key.clone()));
            let call = Call::List { prefix: keys::LOG.into(), after };
            self.call_state(now, Purpose::Log(token), call);
        }
        self.pump_confirm(now);
        if let Some(leader) = &mut self.leader {
            let token = leader.token;
            if let Some(txn) = leader.next_commit(now, &mut self.leader_writes) {
                self.call_state(now, Purpose::Lead(token), Call::Commit(txn));
            }
        }
        while let Some(leader) = &mut self.leader
            && self.cloud.has(now, 1.0)
        {
            let Some(request) = leader.next_cloud(now) else { break };
            self.cloud.take(now, 1.0);
            let call = self.next_call;
            self.next_call += 1;
            self.cloud_calls.insert(call, (self.reign, request.clone()));
            self.actions.push(Action::Cloud { call, request, limit_s: CLOUD_S });
        }
    }

    /// Sends commands and questions to workers.
    fn pump_direct(&mut self, now: f64) {
        let may_start = self.fresh(now);
        let recent = self.direct_calls.values().rev();
        let mut recent = recent.take_while(|(_, at)| now - at < HANGS_S).count();
        while recent < DIRECT_WINDOW
            && self.direct_calls.len() < self.max_direct
            && let Some(leader) = &mut self.leader
            && let Some(request) = leader.next_direct(now, may_start)
        {
            recent += 1;
            let call = self.next_call;
            self.next_call += 1;
            self.direct_calls.insert(call, (request.clone(), now));
            let limit_s = if request.body.is_some() { DIRECT_S } else { PROBE_S };
            self.actions.push(Action::Direct { call, request, limit_s });
        }
    }

    fn pump_sync(&mut self, now: f64) {
        if now < self.sync_not_before {
            return;
        }
        let since = now - self.sync_sent;
        let due = match self.syncs {
            0 => {
                let idle_s = if self.leader.is_some() { 0.25 } else { 0.4 };
                self.sync_wanted || !self.waiting.is_empty() || since >= idle_s
            }
            // Pages of a whole reading come one after the other.
            1 => self.replica.revision().is_some() && since >= OVERTAKE_S,
            _ => false,
        };
        if !due || !self.requests.take(now, 1.0) {
            return;
        }
        self.syncs += 1;
        self.sync_wanted = false;
        self.sync_sent = now;
        let prefix = keys::ALL.to_owned();
        match self.replica.revision() {
            Some(since) => self.call_state(now, Purpose::Sync, Call::Follow { prefix, since }),
            None => {
                let after = self.replica.next_page();
                self.call_state(now, Purpose::Load, Call::List { prefix, after });
            }
        }
    }

    fn pump_writes(&mut self, now: f64) {
        if self.writes_flying >= MAX_USER_COMMITS
            || self.writes.is_empty()
            || now < self.writes_not_before
        {
            return;
        }
        if !self.own_writes.has(now, 1.0) {
            return;
        }
        let most = self.params.state.txn_ops.min(self.own_writes.level(now).max(1.0) as usize);
        let (mut txn, mut batch, mut bytes) = (Txn::default(), Vec::new(), 0);
        let mut kept = VecDeque::new();
        while let Some(write) = self.writes.pop_front() {
            // One change of a job at a time: two in one transaction would clash.
            let clash = batch.iter().any(|other: &UserWrite| other.id == write.id);
            if clash || batch.len() >= most || bytes > 48 * 1024 {
                kept.push_back(write);
                continue;
            }
            let (job, fate) = (keys::job(&write.id), keys::fate(&write.id));
            txn.guards.push(Guard { key: fate.clone(), version: 0 });
            match &write.spec {
                Some(spec) => {
                    let mut value =
                        serde_json::to_value(&**spec).expect("wire types always serialise");
                    // A later leader must know how old the job is, not since when
                    // it has known the job.
                    value[keys::ACCEPTED_AT] = (self.epoch + write.since).into();
                    bytes += value.to_string().len() + 400;
                    txn.guards.push(Guard { key: job.clone(), version: 0 });
                    txn.writes.push(Write::Put { key: job, value, lease: None });
                }
                None => {
                    let version = self.world.jobs.get(&write.id).map_or(0, |job| job.version);
                    let value = serde_json::to_value(JobState::Cancelled)
                        .expect("wire types always serialise");
                    bytes += 400;
                    txn.guards.push(Guard { key: job, version });
                    txn.writes.push(Write::Put { key: fate, value, lease: None });
                }
            }
            batch.push(write);
        }
        self.writes = kept;
        if batch.is_empty() {
            return;
        }
        self.own_writes.take(now, batch.len() as f64);
        self.writes_flying += 1;
        self.call_state(now, Purpose::Users(batch), Call::Commit(txn));
    }
}
