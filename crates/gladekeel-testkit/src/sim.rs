//! The simulated world: events in virtual time between nodes and stand-ins. What each kind
//! of participant does is in a module of its own.

mod close_looks;
mod decision_trace;
mod machines;
mod message_faults;
mod network;
mod nodes;
mod odd_requests;
mod requests;
mod services;
mod users;
mod waiting;

pub use close_looks::CloseLooks;
pub use decision_trace::TraceDigest;
pub use message_faults::MessageFaults;
pub use network::{Cut, End, From};

use crate::{cloud::Cloud, gang::Gangs, rules::Rules, state::State, worker::Worker};
use decision_trace::DecisionTrace;
use gladekeel_controller::{
    http_api::Reply,
    node::{Node, RequestId},
};
use gladekeel_wire::{JobId, settings::Settings};
use network::ActiveCut;
use rand::{SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

/// What happens at a time.
type Job = Box<dyn FnOnce(&mut Sim)>;
/// What its sender does with the answer to a request, or without one.
type Then = Box<dyn FnOnce(&mut Sim, Option<Reply>)>;

/// Time between ticks of a node and steps of a worker.
const STEP_S: f64 = 0.1;
/// Time that a worker waits for an answer.
const ANSWER_S: f64 = 4.0;

/// A controller, running or not.
struct Slot {
    node: Option<Node>,
    settings: Settings,
    incarnation: u64,
    started: f64,
    /// It stands still until then, while its clock runs on.
    frozen_until: f64,
    replies: BTreeMap<RequestId, Then>,
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
    /// When each token's leadership began, by its node's clock.
    reigns: BTreeMap<u64, f64>,
    /// Users' requests that got no final answer within their time.
    pub given_up: u64,
    /// Jobs that users follow.
    pub followed: Vec<JobId>,
    /// Odd requests sent so far: each is another one.
    odd_requests: u64,
    lease_s: f64,
    report_s: f64,
    trace: DecisionTrace,
}

impl Sim {
    /// A world whose nodes have these settings.
    pub fn new(settings: Vec<Settings>, state: State, cloud: Cloud, seed: u64) -> Sim {
        let params = settings[0].deployment.clone();
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
                    replies: BTreeMap::new(),
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
            report_s: params.workers.heartbeat_interval_s,
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
            trace: DecisionTrace::default(),
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

    /// The digest of all that the nodes have sent so far.
    pub fn trace_digest(&self) -> TraceDigest {
        self.trace.digest()
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
}
