//! The simulated world: events in virtual time between nodes and stand-ins. What each kind
//! of participant does is in a module of its own.

mod decision_trace;
mod machines;
mod malformed_requests;
mod message_faults;
mod network;
mod nodes;
mod pending_jobs;
mod read_your_writes;
mod requests;
mod services;
mod users;

pub use decision_trace::TraceDigest;
pub use message_faults::MessageFaults;
pub use network::{Cut, CutScope, Endpoint};
pub use read_your_writes::ReadYourWritesProbe;

use crate::{
    invariants::InvariantChecker,
    stand_ins::{cloud::FakeCloud, gang::GangRuntime, store::FakeStore, worker::FakeWorker},
};
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
type ScheduledEvent = Box<dyn FnOnce(&mut Simulation)>;
/// What its sender does with the answer to a request, or without one.
type ResponseHandler = Box<dyn FnOnce(&mut Simulation, Option<Reply>)>;

/// Time between ticks of a node and steps of a worker.
const STEP_S: f64 = 0.1;
/// Time that a worker waits for an answer.
const ANSWER_S: f64 = 4.0;

/// A controller, running or not.
struct SimulatedNode {
    node: Option<Node>,
    settings: Settings,
    incarnation: u64,
    started: f64,
    /// It stands still until then, while its clock runs on.
    paused_until: f64,
    replies: BTreeMap<RequestId, ResponseHandler>,
    next_request: RequestId,
}

/// The world.
pub struct Simulation {
    /// Seconds since the beginning.
    pub now: f64,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    count: u64,
    rng: StdRng,
    nodes: Vec<SimulatedNode>,
    /// The state service.
    pub store: FakeStore,
    /// While set, the state service carries requests out and does not answer.
    pub store_responses_lost: bool,
    /// The leader ends once so many more of its transactions have been made, before it
    /// learns of the last one, and comes back after so many seconds.
    pub crash_after_commits: Option<(u32, f64)>,
    /// Part of the transactions that get no answer and are carried out 2 to 12 s later.
    pub delayed_commit_share: f64,
    /// How many times longer requests to the state service and answers take.
    pub store_slowdown: f64,
    /// How many times longer every message takes.
    pub network_slowdown: f64,
    /// Part of the jobs that are called off at the moment at which their last task ends.
    pub cancel_at_completion_share: f64,
    /// Faults of single messages.
    pub message_faults: MessageFaults,
    /// Jobs that users look at closely.
    pub read_your_writes: ReadYourWritesProbe,
    /// The cloud.
    pub cloud: FakeCloud,
    /// Workers that are up.
    pub workers: BTreeMap<String, FakeWorker>,
    /// What the tasks of gangs do together.
    pub gangs: GangRuntime,
    /// How long a task waits for the others of its gang.
    pub gang_wait_s: f64,
    gangs_stepping: bool,
    /// The checker.
    pub invariants: InvariantChecker,
    cuts: Vec<ActiveCut>,
    /// Part of the requests to services that arrive a second time, later.
    pub duplicated_request_share: f64,
    /// Part of the reports that arrive again, at any node, up to three leases later.
    pub duplicated_heartbeat_share: f64,
    /// Time between steps of a worker.
    pub step_s: f64,
    /// Start every task on a second machine as well: a fault for the checker to find.
    pub start_tasks_twice: bool,
    /// Token and node of every leader seen.
    pub leaders: Vec<(u64, usize)>,
    /// When each token's leadership began, by its node's clock.
    leadership_terms: BTreeMap<u64, f64>,
    /// Users' requests that got no final answer within their time.
    pub abandoned_submissions: u64,
    /// Jobs that users follow.
    pub submitted_jobs: Vec<JobId>,
    /// Odd requests sent so far: each is another one.
    malformed_requests: u64,
    lease_s: f64,
    report_s: f64,
    trace: DecisionTrace,
}

impl Simulation {
    /// A world whose nodes have these settings.
    pub fn new(
        settings: Vec<Settings>,
        store: FakeStore,
        cloud: FakeCloud,
        seed: u64,
    ) -> Simulation {
        let params = settings[0].deployment.clone();
        let mut sim = Simulation {
            now: 0.0,
            queue: BTreeMap::new(),
            count: 0,
            rng: StdRng::seed_from_u64(seed),
            nodes: settings
                .into_iter()
                .map(|settings| SimulatedNode {
                    node: None,
                    settings,
                    incarnation: 0,
                    started: 0.0,
                    paused_until: 0.0,
                    replies: BTreeMap::new(),
                    next_request: 0,
                })
                .collect(),
            store,
            store_responses_lost: false,
            crash_after_commits: None,
            delayed_commit_share: 0.0,
            store_slowdown: 1.0,
            network_slowdown: 1.0,
            cancel_at_completion_share: 0.0,
            message_faults: MessageFaults::default(),
            read_your_writes: ReadYourWritesProbe::default(),
            cloud,
            workers: BTreeMap::new(),
            gangs: GangRuntime::new(4.0),
            gang_wait_s: 30.0,
            gangs_stepping: false,
            lease_s: params.workers.lease_s,
            report_s: params.workers.heartbeat_interval_s,
            invariants: InvariantChecker::new(params),
            malformed_requests: 0,
            cuts: Vec::new(),
            duplicated_request_share: 0.0,
            duplicated_heartbeat_share: 0.0,
            step_s: STEP_S,
            start_tasks_twice: false,
            leaders: Vec::new(),
            leadership_terms: BTreeMap::new(),
            abandoned_submissions: 0,
            submitted_jobs: Vec::new(),
            trace: DecisionTrace::default(),
        };
        sim.invariants.types.clone_from(&sim.cloud.types);
        for node in 0..sim.nodes.len() {
            sim.start(node);
        }
        sim.check_pending_jobs();
        sim
    }

    /// Does something after a while.
    pub fn after(&mut self, seconds: f64, job: impl FnOnce(&mut Simulation) + 'static) {
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
            self.invariants.check_cancelled(self.now);
            self.invariants.check_together(self.now);
        }
        self.now = until;
    }
}
