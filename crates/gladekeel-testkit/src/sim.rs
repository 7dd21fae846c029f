//! The simulated world: events in virtual time between nodes and stand-ins.

mod close_looks;
mod message_faults;

pub use close_looks::CloseLooks;
pub use message_faults::MessageFaults;

use crate::{
    cloud::Cloud,
    gang::Gangs,
    rules::{RoomOn, Rules},
    state::State,
    worker::{Happened, Worker},
};
use gladekeel_controller::{
    cloud::{CloudCall, CloudOutcome},
    leader::{DirectCall, DirectOutcome},
    node::{Action, CallId, Event, Node, Reply, RequestId},
};
use gladekeel_store::{Call, Outcome};
use gladekeel_wire::{
    JobId, TaskId,
    job::{JobSpec, JobState, JobStatus, Kind},
    mesh::Header,
    settings::Settings,
    worker::{Command, Direct, Redirect, ReportAnswer, TaskState},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};

type Job = Box<dyn FnOnce(&mut Sim)>;
type Then = Box<dyn FnOnce(&mut Sim, Option<Reply>)>;

/// Time between ticks of a node and steps of a worker.
const STEP_S: f64 = 0.1;
/// Time that a worker waits for an answer.
const ANSWER_S: f64 = 4.0;

/// How long after its submission a job of a stream is cancelled.
const CANCELLED_WITHIN_S: std::ops::Range<f64> = 0.0..12.0;

/// Time between looks for jobs that wait beside free machines.
const LOOK_S: f64 = 5.0;

/// One end of a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A controller.
    Node(usize),
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// A worker in this zone.
    Worker(String),
    /// Users and their load balancer.
    Users,
}

/// What a cut separates.
#[derive(Debug, Clone, PartialEq)]
pub enum Cut {
    /// A node from one kind of other end, or from all.
    Node(usize, From),
    /// Two zones from one another.
    Zones(String, String),
}

/// The other side of a node's cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum From {
    /// Everything.
    All,
    /// Workers.
    Workers,
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// Other controllers.
    Mesh,
    /// Users.
    Users,
}

#[derive(Debug, Clone)]
struct ActiveCut {
    cut: Cut,
    until: f64,
    hold: bool,
}

enum Path {
    Open,
    Lost,
    Held(f64),
}

struct Slot {
    node: Option<Node>,
    settings: Settings,
    incarnation: u64,
    started: f64,
    /// It stands still until then, while its clock runs on.
    frozen_until: f64,
    replies: HashMap<RequestId, Then>,
    next_request: RequestId,
}

/// The world.
pub struct Sim {
    /// Seconds since the beginning.
    pub now: f64,
    queue: BTreeMap<(u64, u64), Job>,
    count: u64,
    rng: StdRng,
    nodes: Vec<Slot>,
    /// The state service.
    pub state: State,
    /// While set, the state service carries requests out and does not answer.
    pub state_mute: bool,
    /// The leader ends once so many more of its transactions have been made, before it
    /// learns of the last one, and comes back after so many seconds.
    pub crash_after_commits: Option<(u32, f64)>,
    /// Part of the transactions that get no answer and are carried out 2 to 12 s later.
    pub late_writes: f64,
    /// How many times longer requests to the state service and answers take.
    pub state_slow: f64,
    /// How many times longer every message takes.
    pub links_slow: f64,
    /// Part of the jobs that are called off at the moment at which their last task ends.
    pub cancel_at_end: f64,
    /// Faults of single messages.
    pub message_faults: MessageFaults,
    /// Jobs that users look at closely.
    pub close_looks: CloseLooks,
    /// The cloud.
    pub cloud: Cloud,
    /// Workers that are up.
    pub workers: BTreeMap<String, Worker>,
    /// What the tasks of gangs do together.
    pub gangs: Gangs,
    /// How long a task waits for the others of its gang.
    pub gang_wait_s: f64,
    gangs_go_on: bool,
    /// The checker.
    pub rules: Rules,
    cuts: Vec<ActiveCut>,
    /// Part of the requests to services that arrive a second time, later.
    pub late_copies: f64,
    /// Part of the reports that arrive again, at any node, up to three leases later.
    pub late_reports: f64,
    /// Time between steps of a worker.
    pub step_s: f64,
    /// Start every task on a second machine as well: a fault for the checker to find.
    pub start_twice: bool,
    /// Token and node of every leader seen.
    pub leaders: Vec<(u64, usize)>,
    /// When each token's reign began, by its node's clock.
    reigns: BTreeMap<u64, f64>,
    /// Users' requests that got no final answer within their time.
    pub given_up: u64,
    /// Jobs that users follow.
    pub followed: Vec<JobId>,
    /// Odd requests sent so far: each is another one.
    odd_requests: u64,
    lease_s: f64,
    report_s: f64,
}

impl Sim {
    /// A world whose nodes have these settings.
    pub fn new(settings: Vec<Settings>, state: State, cloud: Cloud, seed: u64) -> Sim {
        let params = settings[0].params.clone();
        let mut sim = Sim {
            now: 0.0,
            queue: BTreeMap::new(),
            count: 0,
            rng: StdRng::seed_from_u64(seed),
            nodes: settings
                .into_iter()
                .map(|settings| Slot {
                    node: None,
                    settings,
                    incarnation: 0,
                    started: 0.0,
                    frozen_until: 0.0,
                    replies: HashMap::new(),
                    next_request: 0,
                })
                .collect(),
            state,
            state_mute: false,
            crash_after_commits: None,
            late_writes: 0.0,
            state_slow: 1.0,
            links_slow: 1.0,
            cancel_at_end: 0.0,
            message_faults: MessageFaults::default(),
            close_looks: CloseLooks::default(),
            cloud,
            workers: BTreeMap::new(),
            gangs: Gangs::new(4.0),
            gang_wait_s: 30.0,
            gangs_go_on: false,
            lease_s: params.workers.lease_s,
            report_s: params.workers.report_s,
            rules: Rules::new(params),
            odd_requests: 0,
            cuts: Vec::new(),
            late_copies: 0.0,
            late_reports: 0.0,
            step_s: STEP_S,
            start_twice: false,
            leaders: Vec::new(),
            reigns: BTreeMap::new(),
            given_up: 0,
            followed: Vec::new(),
        };
        sim.rules.types.clone_from(&sim.cloud.types);
        for node in 0..sim.nodes.len() {
            sim.start(node);
        }
        sim.look_for_waiting();
        sim
    }

    /// Does something after a while.
    pub fn after(&mut self, seconds: f64, job: impl FnOnce(&mut Sim) + 'static) {
        let at = ((self.now + seconds.max(0.0)) * 1e6) as u64;
        self.count += 1;
        self.queue.insert((at, self.count), Box::new(job));
    }

    /// Runs until a time.
    pub fn run(&mut self, until: f64) {
        while let Some(((at, count), job)) = self.queue.pop_first() {
            let at_s = at as f64 / 1e6;
            if at_s > until {
                self.queue.insert((at, count), job);
                break;
            }
            self.now = self.now.max(at_s);
            job(self);
            self.rules.check_cancelled(self.now);
            self.rules.check_together(self.now);
        }
        self.now = until;
    }

    // ---- network --------------------------------------------------------

    fn zone_of(&self, end: &End) -> Option<String> {
        match end {
            End::Node(node) => Some(self.nodes[*node].settings.zone.clone()),
            End::Worker(zone) => Some(zone.clone()),
            _ => None,
        }
    }

    fn path(&self, a: &End, b: &End) -> Path {
        for active in self.cuts.iter().filter(|active| self.now < active.until) {
            let hit = match &active.cut {
                Cut::Node(node, from) => {
                    let other = match (a, b) {
                        (End::Node(n), other) | (other, End::Node(n)) if n == node => other,
                        _ => continue,
                    };
                    match from {
                        From::All => true,
                        From::Workers => matches!(other, End::Worker(_)),
                        From::State => *other == End::State,
                        From::Cloud => *other == End::Cloud,
                        From::Mesh => matches!(other, End::Node(_)),
                        From::Users => *other == End::Users,
                    }
                }
                Cut::Zones(x, y) => {
                    let (a, b) = (self.zone_of(a), self.zone_of(b));
                    let is = |p: &Option<String>, q: &str| p.as_deref() == Some(q);
                    (is(&a, x) && is(&b, y)) || (is(&a, y) && is(&b, x))
                }
            };
            if hit {
                return if active.hold { Path::Held(active.until) } else { Path::Lost };
            }
        }
        Path::Open
    }

    /// Cuts something off for a while; with `hold` packets arrive afterwards.
    pub fn cut(&mut self, cut: Cut, for_s: f64, hold: bool) {
        self.trouble(for_s);
        self.cuts.push(ActiveCut { cut, until: self.now + for_s, hold });
    }

    /// A trouble lasts for so long.
    pub fn trouble(&mut self, for_s: f64) {
        self.rules.calm_from = self.rules.calm_from.max(self.now + for_s);
    }

    fn delay(&mut self) -> f64 {
        let slow = self.rng.random::<f64>() < 0.01;
        self.links_slow * (self.rng.random_range(0.001..0.01) + if slow { 0.3 } else { 0.0 })
    }

    fn deliver(&mut self, from: &End, to: &End, job: impl FnOnce(&mut Sim) + 'static) {
        let delay = self.delay();
        match self.path(from, to) {
            Path::Open => self.after(delay, job),
            Path::Held(until) => self.after(until - self.now + delay, job),
            Path::Lost => {}
        }
    }

    // ---- nodes ----------------------------------------------------------

    /// Starts a node.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.random();
        let slot = &mut self.nodes[node];
        slot.incarnation += 1;
        slot.started = self.now;
        slot.frozen_until = self.now;
        slot.replies.clear();
        slot.node = Some(Node::new(slot.settings.clone(), seed, slot.started));
        let incarnation = slot.incarnation;
        self.tick(node, incarnation);
    }

    /// Lets a node stand still; what reaches it meanwhile waits.
    pub fn freeze(&mut self, node: usize, for_s: f64) {
        self.trouble(for_s);
        self.nodes[node].frozen_until = self.now + for_s;
    }

    /// Ends a node without notice.
    pub fn crash(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        slot.node = None;
        let lost: Vec<Then> = slot.replies.drain().map(|(_, then)| then).collect();
        for then in lost {
            then(self, None);
        }
    }

    /// Ends a node and starts it again after a while.
    pub fn restart(&mut self, node: usize, after_s: f64) {
        self.crash(node);
        self.trouble(after_s);
        self.after(after_s, move |sim| {
            if sim.nodes[node].node.is_none() {
                sim.start(node);
            }
        });
    }

    /// The node that leads, as far as any of them thinks so.
    pub fn leading(&self) -> Option<usize> {
        let leads = |slot: &Slot| slot.node.as_ref().and_then(|n| n.leader()).map(|l| l.token);
        (0..self.nodes.len())
            .filter_map(|node| Some((leads(&self.nodes[node])?, node)))
            .max()
            .map(|(_, node)| node)
    }

    /// The leader's counters.
    pub fn leader_counts(&self) -> Option<gladekeel_controller::leader::Counts> {
        let node = self.leading()?;
        Some(self.nodes[node].node.as_ref()?.leader()?.counts().clone())
    }

    /// Segments of the leader's log in use.
    pub fn log_segments(&self) -> usize {
        let node = self.leading().and_then(|node| self.nodes[node].node.as_ref());
        node.and_then(|node| node.leader()).map_or(0, |leader| leader.log_segments())
    }

    /// Age of the oldest open job, by the leader's count.
    pub fn oldest_job_s(&self) -> Option<f64> {
        let slot = &self.nodes[self.leading()?];
        slot.node.as_ref()?.leader()?.oldest_job_s(self.now - slot.started)
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].node.is_none() {
            return;
        }
        let frozen_s = self.nodes[node].frozen_until - self.now;
        if frozen_s > 0.0 {
            return self.after(frozen_s, move |sim| sim.tick(node, incarnation));
        }
        self.event(node, incarnation, Event::Tick);
        if let Some(leader) = self.nodes[node].node.as_ref().and_then(|n| n.leader()) {
            let seen = (leader.token, node);
            // Attempts are numbered by token: nobody may lead twice under one.
            let since = leader.since();
            if *self.reigns.entry(seen.0).or_insert(since) != since {
                self.rules.broke("token_reused", format!("{:.2}: {}", self.now, seen.0));
            }
            if !self.leaders.contains(&seen) {
                self.leaders.push(seen);
                self.release_kept_reports();
            }
        }
        self.after(STEP_S, move |sim| sim.tick(node, incarnation));
    }

    fn event(&mut self, node: usize, incarnation: u64, event: Event) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.incarnation != incarnation {
            return;
        }
        let frozen_s = slot.frozen_until - now;
        if frozen_s > 0.0 {
            return self.after(frozen_s, move |sim| sim.event(node, incarnation, event));
        }
        let started = slot.started;
        let Some(running) = &mut slot.node else { return };
        for action in running.handle(now - started, event) {
            self.act(node, incarnation, action);
        }
    }

    fn act(&mut self, node: usize, incarnation: u64, action: Action) {
        match action {
            Action::Reply { id, reply } => {
                if let Some(then) = self.nodes[node].replies.remove(&id) {
                    then(self, Some(reply));
                }
            }
            Action::State { call, request, limit_s } => {
                self.call_state(node, incarnation, call, request, limit_s);
            }
            Action::Cloud { call, request, limit_s } => {
                self.call_cloud(node, incarnation, call, request, limit_s);
            }
            Action::Direct { call, request, limit_s } => {
                self.call_worker(node, incarnation, call, request, limit_s);
            }
            Action::Mesh { peer, frame } => {
                let name = self.nodes[node].settings.peers[peer].node.clone();
                let to = self.nodes.iter().position(|slot| slot.settings.node == name);
                let Some(to) = to else { return };
                self.deliver(&End::Node(node), &End::Node(to), move |sim| {
                    let (head, payload) = frame.split_at(Header::SIZE);
                    let read = head.try_into().ok().and_then(|head| Header::read(&head));
                    let Some((header, kind)) = read else { return };
                    let incarnation = sim.nodes[to].incarnation;
                    sim.event(
                        to,
                        incarnation,
                        Event::Mesh { header, kind, payload: payload.to_vec() },
                    );
                });
            }
        }
    }

    fn call_state(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: Call,
        limit_s: f64,
    ) {
        self.after(limit_s, move |sim| {
            sim.event(node, incarnation, Event::State { call, outcome: Outcome::Unknown });
        });
        let late = self.late_writes > 0.0
            && matches!(request, Call::Commit(_))
            && self.rng.random::<f64>() < self.late_writes
            && !self.state.down
            && !self.state.refused.contains(&node);
        if late {
            let after_s = self.rng.random_range(2.0..12.0);
            return self.deliver(&End::Node(node), &End::State, move |sim| {
                sim.after(after_s, move |sim| sim.carry_out_late(request));
            });
        }
        let answer_lost =
            matches!(request, Call::Commit(_)) && self.strikes(self.message_faults.lost_answers);
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.late_copies);
        for copy in 0..copies {
            let request = request.clone();
            let extra = if copy == 0 { 0.0 } else { self.rng.random_range(0.5..20.0) };
            let extra = extra + self.state_delay();
            self.after(extra, move |sim| {
                sim.deliver(&End::Node(node), &End::State, move |sim| {
                    let outcome = sim.state.call(sim.now, node, &request);
                    if copy == 0 && matches!(outcome, Outcome::Committed(_)) {
                        sim.message_faults.answers_lost += u64::from(answer_lost);
                        sim.committed(node);
                    }
                    if sim.state_mute || answer_lost || copy > 0 {
                        return;
                    }
                    let slow_s = sim.state_delay();
                    sim.after(slow_s, move |sim| {
                        sim.deliver(&End::State, &End::Node(node), move |sim| {
                            sim.event(node, incarnation, Event::State { call, outcome });
                        });
                    });
                });
            });
        }
    }

    /// A transaction of a node has been made.
    fn committed(&mut self, node: usize) {
        let Some((left, for_s)) = self.crash_after_commits else { return };
        if self.leading() != Some(node) {
            return;
        }
        self.crash_after_commits = (left > 1).then_some((left - 1, for_s));
        if left <= 1 {
            self.restart(node, for_s);
        }
    }

    /// What a slow state service adds to the delay of a message.
    fn state_delay(&mut self) -> f64 {
        if self.state_slow > 1.0 { (self.state_slow - 1.0) * self.delay() } else { 0.0 }
    }

    /// Carries out a transaction that the state service has taken long ago: its node may
    /// be refused by now, and an outage only puts it off.
    fn carry_out_late(&mut self, request: Call) {
        if self.state.down {
            return self.after(1.0, move |sim| sim.carry_out_late(request));
        }
        // Nobody waits for the answer.
        self.state.call(self.now, usize::MAX, &request);
    }

    fn call_cloud(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: CloudCall,
        limit_s: f64,
    ) {
        self.after(limit_s, move |sim| {
            sim.event(node, incarnation, Event::Cloud { call, outcome: CloudOutcome::Unknown });
        });
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.late_copies);
        for copy in 0..copies {
            let request = request.clone();
            let extra = if copy == 0 { 0.1 } else { self.rng.random_range(0.5..20.0) };
            self.after(extra, move |sim| {
                sim.deliver(&End::Node(node), &End::Cloud, move |sim| {
                    let (outcome, came, went) = sim.cloud.call(sim.now, &request);
                    for name in came {
                        sim.boot(name);
                    }
                    for name in went {
                        sim.remove_worker(&name);
                    }
                    if copy == 0 {
                        sim.deliver(&End::Cloud, &End::Node(node), move |sim| {
                            sim.event(node, incarnation, Event::Cloud { call, outcome });
                        });
                    }
                });
            });
        }
    }

    fn call_worker(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: DirectCall,
        limit_s: f64,
    ) {
        self.after(limit_s, move |sim| {
            sim.event(node, incarnation, Event::Direct { call, outcome: DirectOutcome::Unknown });
        });
        for command in request.body.iter().flat_map(|body| &body.commands) {
            if let Command::Start { task, .. } = command {
                self.rules.sent_directly(self.now, task);
            }
        }
        if request.body.is_some() && self.strikes(self.message_faults.late_commands) {
            return self.delay_command(request);
        }
        // Addresses of workers are their machines' names here.
        let Some(worker) = self.workers.get(&request.addr) else { return };
        let zone = worker.zone.clone();
        self.deliver(&End::Node(node), &End::Worker(zone.clone()), move |sim| {
            let Some(worker) = sim.workers.get_mut(&request.addr) else { return };
            if worker.hung {
                return worker.held.extend(request.body);
            }
            if worker.deaf {
                return;
            }
            let outcome = match &request.body {
                Some(body) => sim.direct(&request.addr, body),
                None => DirectOutcome::Done(worker.report(sim.now)),
            };
            sim.deliver(&End::Worker(zone), &End::Node(node), move |sim| {
                sim.event(node, incarnation, Event::Direct { call, outcome });
            });
        });
    }

    fn direct(&mut self, name: &str, body: &Direct) -> DirectOutcome {
        let Some(worker) = self.workers.get_mut(name) else { return DirectOutcome::NotExecuted };
        let rules = &self.rules;
        let find = |task: &TaskId| rules.task_spec(task);
        let (executed, happened) = worker.direct(self.now, body, &find);
        let report = worker.report(self.now);
        let (kind, zone, spot) = (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
        self.note(name, &kind, &zone, spot, happened);
        if self.start_twice {
            let answer = ReportAnswer { token: body.token, commands: body.commands.clone() };
            self.sabotage(name, &answer);
        }
        if executed { DirectOutcome::Done(report) } else { DirectOutcome::NotExecuted }
    }

    // ---- requests to nodes ----------------------------------------------

    fn request(
        &mut self,
        from: End,
        node: usize,
        request: (&'static str, String, Vec<u8>),
        limit_s: f64,
        then: impl FnOnce(&mut Sim, Option<Reply>) + 'static,
    ) {
        // Whichever comes first, the answer or the end of patience.
        let then: Rc<RefCell<Option<Then>>> = Rc::new(RefCell::new(Some(Box::new(then))));
        let settle = |then: &Rc<RefCell<Option<Then>>>, sim: &mut Sim, reply: Option<Reply>| {
            let then = then.borrow_mut().take();
            if let Some(then) = then {
                then(sim, reply);
            }
        };
        let patience = then.clone();
        self.after(limit_s, move |sim| settle(&patience, sim, None));
        let back = from.clone();
        self.deliver(&from, &End::Node(node), move |sim| {
            let incarnation = sim.nodes[node].incarnation;
            let slot = &mut sim.nodes[node];
            if slot.node.is_none() {
                return settle(&then, sim, None);
            }
            let id = slot.next_request;
            slot.next_request += 1;
            slot.replies.insert(
                id,
                Box::new(move |sim, reply| {
                    sim.deliver(&End::Node(node), &back, move |sim| settle(&then, sim, reply));
                }),
            );
            let (method, path, body) = request;
            let event = Event::Http { id, method: method.into(), path, body };
            sim.event(node, incarnation, event);
        });
    }

    // ---- machines -------------------------------------------------------

    fn boot(&mut self, name: String) {
        let Some(machine) = self.cloud.machines.get(&name).cloned() else { return };
        let Some(up_at) = machine.up_at else { return };
        self.after(up_at - self.now, move |sim| {
            let there = sim.cloud.machines.get(&name).is_some_and(|m| m.gone_at.is_none());
            let Some(kind) = sim.cloud.types.iter().find(|t| t.name == machine.machine_type) else {
                return;
            };
            if !there {
                return;
            }
            let room = (kind.cpus, kind.gpus, kind.memory_gb);
            let node = sim.rng.random_range(0..sim.nodes.len());
            let mut worker = Worker::new(
                name.clone(),
                machine.machine_type,
                machine.zone,
                machine.spot,
                room,
                sim.lease_s,
                sim.now,
                node,
            );
            worker.gang_wait_s = sim.gang_wait_s;
            sim.workers.insert(name.clone(), worker);
            sim.step_worker(name, 0.0);
        });
    }

    /// A machine is gone with everything on it.
    pub fn remove_worker(&mut self, name: &str) {
        let Some(mut worker) = self.workers.remove(name) else { return };
        let happened = worker.kill_all();
        self.note(name, &worker.machine_type, &worker.zone, worker.spot, happened);
    }

    /// A machine is back from a restart at once.
    pub fn reboot(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let happened = worker.reboot(now);
        let (kind, zone, spot) = (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
        self.note(name, &kind, &zone, spot, happened);
    }

    /// The cloud takes a machine, with a notice or without.
    pub fn take_machine(&mut self, name: String, notice_s: f64) {
        if let Some(worker) = self.workers.get_mut(&name)
            && notice_s > 0.0
        {
            worker.leaves_at = Some(self.now + notice_s);
            worker.changed = true;
        }
        self.after(notice_s, move |sim| {
            sim.cloud.take(sim.now, &name);
            sim.remove_worker(&name);
        });
    }

    fn note(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        happened: Vec<Happened>,
    ) {
        for what in happened {
            match what {
                Happened::Started(task) => {
                    self.rules.started(self.now, &task, name, machine_type, zone, spot);
                }
                Happened::NoRoom(_) => self.rules.starts_without_room += 1,
                Happened::Runs(task, attempt) => self.rules.runs(self.now, &task, attempt),
                Happened::Ended(task, completed) => {
                    self.rules.ended(&task, name, completed);
                    if completed && self.rules.has_finished(&task.job) {
                        self.at_the_end(task.job);
                    }
                }
            }
        }
    }

    /// Lets gangs go on; asks for nothing in worlds without one.
    fn step_gangs(&mut self) {
        for (name, what) in self.gangs.step(self.now, &mut self.workers) {
            let Some(worker) = self.workers.get(&name) else { continue };
            let (kind, zone, spot) =
                (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
            self.note(&name, &kind, &zone, spot, vec![what]);
        }
        self.after(self.step_s, Sim::step_gangs);
    }

    fn step_worker(&mut self, name: String, report_at: f64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let happened = worker.step(now);
        if !worker.hung && !worker.held.is_empty() {
            // A machine that goes on carries out what reached it meanwhile.
            let held = std::mem::take(&mut worker.held);
            for body in held {
                self.direct(&name, &body);
            }
        }
        self.send_held_report(&name);
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let (machine_type, zone, spot) =
            (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
        let due = now >= report_at || (worker.changed && now >= report_at - self.report_s + 0.5);
        let sends = due && worker.in_flight.is_none() && !worker.hung;
        let mut next = report_at;
        if sends {
            worker.changed = false;
            let report = worker.report(now);
            worker.in_flight = Some(report.seq);
            next = now + self.report_s * self.rng.random_range(0.75..1.25);
            self.send_report(name.clone(), report);
        }
        self.note(&name, &machine_type, &zone, spot, happened);
        self.after(self.step_s, move |sim| sim.step_worker(name, next));
    }

    /// The report that a machine was about to send when it hung goes out when it goes on,
    /// before newer ones or after them. Its answer is too late to count.
    fn send_held_report(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name).filter(|w| !w.hung && !w.mute) else {
            return;
        };
        let Some((made_at, report)) = worker.held_report.take() else { return };
        if self.now - made_at < ANSWER_S {
            return;
        }
        let (node, from) = (worker.node, End::Worker(worker.zone.clone()));
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let after_s = self.rng.random_range(0.0..3.0);
        self.after(after_s, move |sim| {
            sim.request(from, node, ("POST", "/checkin".into(), body), ANSWER_S, |_, _| {});
        });
    }

    fn send_report(&mut self, name: String, report: gladekeel_wire::worker::Report) {
        let Some(worker) = self.workers.get(&name) else { return };
        let (node, zone, sent_at) = (worker.node, worker.zone.clone(), self.now);
        if worker.mute {
            // It cannot open a connection and tries the next node.
            let nodes = self.nodes.len();
            return self.after(1.0, move |sim| {
                if let Some(worker) = sim.workers.get_mut(&name) {
                    worker.node = (node + 1) % nodes;
                    worker.changed = true;
                    worker.in_flight = None;
                }
            });
        }
        if self.rng.random::<f64>() < self.late_reports {
            let after_s = self.rng.random_range(1.0..3.0 * self.lease_s);
            let (node, from) =
                (self.rng.random_range(0..self.nodes.len()), End::Worker(zone.clone()));
            let body = serde_json::to_vec(&report).unwrap_or_default();
            self.after(after_s, move |sim| {
                let request = ("POST", "/checkin".to_owned(), body);
                sim.request(from, node, request, ANSWER_S, |_, _| {});
            });
        }
        self.maybe_keep_report(End::Worker(zone.clone()), &report);
        let (session, seq) = (report.session, report.seq);
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let request = ("POST", "/checkin".to_owned(), body);
        self.request(End::Worker(zone), node, request, ANSWER_S, move |sim, reply| {
            let nodes = sim.nodes.len();
            let Some(worker) = sim.workers.get_mut(&name) else { return };
            let reply = reply.filter(|_| !worker.deaf && !worker.mute);
            if worker.hung || worker.session != session || worker.in_flight != Some(seq) {
                worker.in_flight = None;
                return;
            }
            let answer = reply
                .as_ref()
                .filter(|reply| reply.status == 200)
                .and_then(|reply| serde_json::from_slice::<ReportAnswer>(&reply.body).ok());
            if let Some(answer) = answer {
                worker.in_flight = None;
                for command in &answer.commands {
                    if let Command::Start { task, .. } = command {
                        sim.rules.sent_in_answer(task);
                    }
                }
                let rules = &sim.rules;
                let find = |task: &TaskId| rules.task_spec(task);
                let happened = worker.answered(sim.now, session, sent_at, &answer, &find);
                let (kind, zone, spot) =
                    (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
                sim.note(&name, &kind, &zone, spot, happened);
                if sim.start_twice {
                    sim.sabotage(&name, &answer);
                }
                return;
            }
            let elsewhere = reply
                .filter(|reply| reply.status == 421)
                .and_then(|reply| serde_json::from_slice::<Redirect>(&reply.body).ok()?.report_to);
            let named = elsewhere
                .and_then(|name| sim.nodes.iter().position(|slot| slot.settings.node == name));
            worker.node = named.filter(|named| *named != node).unwrap_or((node + 1) % nodes);
            let pause = if named.is_some_and(|named| named != node) { 0.2 } else { 1.0 };
            worker.changed = true;
            sim.after(pause, move |sim| {
                if let Some(worker) = sim.workers.get_mut(&name) {
                    worker.in_flight = None;
                }
            });
        });
    }

    /// Starts what a worker was told to start on another machine as well.
    fn sabotage(&mut self, name: &str, answer: &ReportAnswer) {
        if answer.commands.is_empty() {
            return;
        }
        let starts: Vec<Command> = answer
            .commands
            .iter()
            .filter(|c| matches!(c, Command::Start { .. }))
            .cloned()
            .collect();
        let now = self.now;
        let Some((_, other)) = self.workers.iter_mut().find(|(other, _)| *other != name) else {
            return;
        };
        let rules = &self.rules;
        let find = |task: &TaskId| rules.spec(&task.job);
        let answer = ReportAnswer { token: answer.token, commands: starts };
        let session = other.session;
        other.answered(now, session, now, &answer, &find);
    }

    // ---- users ----------------------------------------------------------

    fn any_node(&mut self) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].node.is_some()).collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    fn ask(
        &mut self,
        id: JobId,
        request: (&'static str, String, Vec<u8>),
        limit_s: f64,
        then: impl FnOnce(&mut Sim, u16, Option<JobState>) + 'static,
    ) {
        let Some(node) = self.any_node() else {
            return self.after(1.0, move |sim| then(sim, 0, None));
        };
        self.ask_node(node, id, request, limit_s, then);
    }

    fn ask_node(
        &mut self,
        node: usize,
        id: JobId,
        request: (&'static str, String, Vec<u8>),
        limit_s: f64,
        then: impl FnOnce(&mut Sim, u16, Option<JobState>) + 'static,
    ) {
        let submission = request.1 == "/api/jobs";
        let asked = self.now;
        self.request(End::Users, node, request, limit_s, move |sim, reply| {
            let (status, state) = match &reply {
                None => (0, None),
                Some(reply) => {
                    let status = serde_json::from_slice::<JobStatus>(&reply.body).ok();
                    (reply.status, status.filter(|s| s.id == id).map(|s| s.state))
                }
            };
            sim.rules.answer_to(asked, sim.now, &id, status, state, submission);
            sim.look_closely(&id, status, state);
            then(sim, status, state);
        });
    }

    /// A user submits a job, repeats until it is taken and then follows it.
    pub fn submit(&mut self, spec: JobSpec) {
        self.rules.submits(&spec);
        self.followed.push(spec.id.clone());
        if spec.kind == Kind::Gang && !self.gangs_go_on {
            self.gangs_go_on = true;
            self.step_gangs();
        }
        self.try_submit(spec, self.now);
    }

    /// A user submits a job after a while; some of these users cancel it soon after.
    pub fn submit_in_stream(&mut self, spec: JobSpec, after_s: f64, cancelled: f64) {
        let id = spec.id.clone();
        self.after(after_s, move |sim| sim.submit(spec));
        if self.strikes(cancelled) {
            let after_s = after_s + self.rng.random_range(CANCELLED_WITHIN_S);
            self.after(after_s, move |sim| sim.cancel(id));
        }
    }

    fn try_submit(&mut self, spec: JobSpec, since: f64) {
        let body = serde_json::to_vec(&spec).unwrap_or_default();
        let id = spec.id.clone();
        self.ask(id.clone(), ("POST", "/api/jobs".into(), body), 5.0, move |sim, status, _| {
            match status {
                200 | 201 => sim.after(1.0, move |sim| sim.poll(id)),
                400 | 422 => {}
                _ if sim.now - since > 60.0 => sim.given_up += 1,
                _ => sim.after(1.0, move |sim| sim.try_submit(spec, since)),
            }
        });
    }

    /// A user asks for a job until it is over.
    pub fn poll(&mut self, id: JobId) {
        let path = format!("/api/jobs/{id}");
        self.ask(id.clone(), ("GET", path, Vec::new()), 2.0, move |sim, status, state| {
            let over = state.is_some_and(JobState::is_final) || status == 404;
            if !over {
                sim.after(5.0, move |sim| sim.poll(id));
            }
        });
    }

    /// A user asks for a job once.
    pub fn poll_once(&mut self, id: JobId) {
        if let Some(node) = self.any_node() {
            self.poll_node(node, id);
        }
    }

    /// A user asks for a job once, at this node.
    pub fn poll_node(&mut self, node: usize, id: JobId) {
        let path = format!("/api/jobs/{id}");
        self.ask_node(node, id, ("GET", path, Vec::new()), 2.0, |_, _, _| {});
    }

    /// A user cancels a job and repeats until that is answered.
    pub fn cancel(&mut self, id: JobId) {
        self.cancel_through(id, Vec::new());
    }

    /// A user cancels a job through one of these nodes, or any if there are none.
    pub fn cancel_through(&mut self, id: JobId, through: Vec<usize>) {
        self.rules.asks_to_cancel(&id);
        self.try_cancel(id, through, self.now);
    }

    fn try_cancel(&mut self, id: JobId, through: Vec<usize>, since: f64) {
        let request = ("POST", format!("/api/jobs/{id}/cancel"), Vec::new());
        let job = id.clone();
        let nodes = through.clone();
        let then = move |sim: &mut Sim, status: u16, _| {
            if status != 200 && sim.now - since < 60.0 {
                sim.after(1.0, move |sim| sim.try_cancel(job, nodes, since));
            }
        };
        if through.is_empty() {
            return self.ask(id, request, 5.0, then);
        }
        let node = through[self.rng.random_range(0..through.len())];
        self.ask_node(node, id, request, 5.0, then);
    }

    /// Users call off the jobs that run and have longest to go, within a fifth of a second
    /// and through one of these nodes; up to eight machines of these jobs hang for so long.
    pub fn cancel_now(&mut self, count: usize, through: Vec<usize>, hang_s: f64) {
        let mut left: BTreeMap<JobId, f64> = BTreeMap::new();
        for task in self.workers.values().flat_map(|worker| &worker.tasks) {
            if task.state == TaskState::Running {
                let until = left.entry(task.task.job.clone()).or_default();
                *until = until.max(task.until);
            }
        }
        let open = |id: &JobId| !self.rules.last(id).is_some_and(JobState::is_final);
        let mut longest: Vec<(f64, JobId)> =
            left.into_iter().filter(|(id, _)| open(id)).map(|(id, until)| (until, id)).collect();
        longest.sort_by(|a, b| b.0.total_cmp(&a.0));
        longest.truncate(count);
        let jobs: Vec<JobId> = longest.into_iter().map(|(_, id)| id).collect();
        if hang_s > 0.0 {
            let holds = |w: &&Worker| w.tasks.iter().any(|t| jobs.contains(&t.task.job));
            let names = self.workers.values().filter(holds).map(|w| w.name.clone());
            let names: Vec<String> = names.take(8).collect();
            self.hang(names, hang_s);
        }
        for id in jobs {
            let after_s = self.rng.random_range(0.0..0.2);
            let through = through.clone();
            self.after(after_s, move |sim| sim.cancel_through(id, through));
        }
    }

    /// Machines hang for a while.
    pub fn hang(&mut self, names: Vec<String>, for_s: f64) {
        self.trouble(for_s);
        let set = move |sim: &mut Sim, on: bool| {
            let now = sim.now;
            for name in &names {
                if let Some(worker) = sim.workers.get_mut(name) {
                    worker.hang(now, on);
                }
            }
        };
        set(self, true);
        self.after(for_s, move |sim| set(sim, false));
    }

    /// The last task of a job ends: at that moment its user calls it off, asks for it and
    /// submits it again, at any node each.
    fn at_the_end(&mut self, id: JobId) {
        if self.cancel_at_end <= 0.0 || self.rng.random::<f64>() >= self.cancel_at_end {
            return;
        }
        let mut soon = || if self.rng.random() { 0.0 } else { self.rng.random_range(0.0..0.4) };
        let (cancel_s, ask_s, submit_s) = (soon(), soon(), soon());
        let (asked, submitted) = (id.clone(), id.clone());
        self.after(cancel_s, move |sim| sim.cancel(id));
        self.after(ask_s, move |sim| sim.poll_once(asked));
        self.after(submit_s, move |sim| sim.submit_again(submitted));
    }

    /// A user submits a job once more: it is known, so 200 is the answer.
    pub fn submit_again(&mut self, id: JobId) {
        if let Some(node) = self.any_node() {
            self.submit_again_at(node, id);
        }
    }

    /// The same at this node.
    pub fn submit_again_at(&mut self, node: usize, id: JobId) {
        let Some(spec) = self.rules.spec(&id) else { return };
        let known = self.rules.last(&id).is_some();
        let body = serde_json::to_vec(&spec).unwrap_or_default();
        let request = ("POST", "/api/jobs".into(), body);
        self.ask_node(node, id.clone(), request, 5.0, move |sim, status, _| {
            let wanted = if known { 200 } else { status };
            sim.rules.odd_answer(sim.now, wanted, status, &format!("repeat of {id}"));
        });
    }

    /// Users' odd requests, one of each kind a second: a repeat of an unfinished job, a
    /// cancellation of a done one, jobs that lack a field or fit no machine.
    pub fn send_odd_requests(&mut self, until: f64) {
        if self.now >= until {
            return;
        }
        self.odd_requests += 1;
        let turn = self.odd_requests as usize;
        let pick = |ids: Vec<JobId>| ids.get(turn % ids.len().max(1)).cloned();
        let told = |wanted: fn(JobState) -> bool| {
            let ids = self.followed.iter();
            pick(ids.filter(|id| self.rules.last(id).is_some_and(wanted)).cloned().collect())
        };
        let (open, done) = (told(|s| !s.is_final()), told(|s| s == JobState::Done));
        if let Some(id) = open {
            self.submit_again(id);
        }
        if let Some(id) = done {
            self.cancel(id);
        }
        let fields = [
            "name_id",
            "rig",
            "crew",
            "build",
            "urgency",
            "pieces",
            "vcpus",
            "gpus",
            "ram_gb",
            "pattern",
            "size_gb",
            "one_zone",
            "scatter",
            "driftwood",
            "reckon_s",
            "mark_s",
            "stow_s",
        ];
        let mut lacking = crate::scenario::example_job(&format!("job-7{turn:05}"));
        let mut value = serde_json::to_value(&lacking).unwrap_or_default();
        if let Some(object) = value.as_object_mut() {
            object.remove(fields[turn % fields.len()]);
        }
        self.expect_refusal(value.to_string().into_bytes(), 400);
        lacking.id = format!("job-8{turn:05}").parse().expect("an id of the form");
        match turn % 4 {
            0 => lacking.cpus = 33.0,
            1 => lacking.types = Some(vec!["none".into()]),
            2 => lacking.zone = Some("nowhere".into()),
            _ => lacking.team = "nobody".into(),
        }
        self.poll_once(lacking.id.clone());
        self.expect_refusal(serde_json::to_vec(&lacking).unwrap_or_default(), 422);
        self.after(1.0, move |sim| sim.send_odd_requests(until));
    }

    /// Sends a submission that has to be refused with this status, or be put off.
    fn expect_refusal(&mut self, body: Vec<u8>, wanted: u16) {
        let Some(node) = self.any_node() else { return };
        let text = String::from_utf8_lossy(&body).into_owned();
        let request = ("POST", "/api/jobs".to_owned(), body);
        self.request(End::Users, node, request, 5.0, move |sim, reply| {
            let got = reply.map_or(0, |reply| reply.status);
            sim.rules.odd_answer(sim.now, wanted, got, &text);
        });
    }

    /// Tells the checker now and then which machines have room.
    fn look_for_waiting(&mut self) {
        let (now, lease_s) = (self.now, self.lease_s);
        let mut held = BTreeSet::new();
        let mut rooms = Vec::new();
        for worker in self.workers.values() {
            let here = worker.tasks.iter().filter(|task| task.state != TaskState::Exited);
            held.extend(here.map(|task| task.task.job.clone()));
            let well = !(worker.hung || worker.deaf || worker.mute || worker.sick)
                && worker.slow <= 1.0
                && worker.leaves_at.is_none()
                && now - worker.lease_from < lease_s;
            if well {
                rooms.push(RoomOn {
                    machine_type: worker.machine_type.clone(),
                    zone: worker.zone.clone(),
                    spot: worker.spot,
                    free: worker.free(),
                });
            }
        }
        self.rules.check_waiting(now, &rooms, &held);
        self.after(LOOK_S, Sim::look_for_waiting);
    }

    /// Sends bytes that nobody should send to a node, on every path.
    pub fn send_junk(&mut self, node: usize) {
        let bodies: [&[u8]; 5] = [b"", b"{", b"[1,2]", b"\xff\xfe\x00", b"{\"name_id\":7}"];
        for path in ["/api/jobs", "/checkin", "/api/jobs/job-%/cancel", "/api/jobs//", "/"] {
            for body in bodies {
                let request = ("POST", path.to_owned(), body.to_vec());
                self.request(End::Users, node, request, 5.0, |sim, reply| {
                    let status = reply.map_or(0, |reply| reply.status);
                    if !(400..500).contains(&status) && status != 503 {
                        sim.rules.broken.push(("junk", format!("junk was answered {status}")));
                    }
                });
            }
        }
    }

    /// Sends a request to a node, whose answer must have this status.
    pub fn expect_http(
        &mut self,
        node: usize,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        status: u16,
    ) {
        let what = format!("{method} {path}");
        self.request(End::Users, node, (method, path, body), 5.0, move |sim, reply| {
            let got = reply.as_ref().map_or(0, |reply| reply.status);
            if got != status {
                let body = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
                sim.rules.broken.push(("http", format!("{what}: {got} {body:?}, not {status}")));
            }
        });
    }

    /// The number of nodes.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }
}
