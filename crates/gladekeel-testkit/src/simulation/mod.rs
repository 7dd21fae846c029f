//! The simulation: events in virtual time between nodes, fakes and users, over a network that
//! delays, loses and holds back messages. What each participant does is in a module of its own.

mod decision_trace;
mod heartbeats;
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
mod worker_commands;

pub use decision_trace::TraceDigest;
pub use message_faults::MessageFaults;
pub use network::{Endpoint, Partition, PartitionScope};
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
use network::ActivePartition;
use rand::{SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

/// What happens at a point in time.
type ScheduledEvent = Box<dyn FnOnce(&mut Simulation)>;
/// What the sender of a request does with the reply, or without one.
type ResponseHandler = Box<dyn FnOnce(&mut Simulation, Option<Reply>)>;

/// Microseconds of a second.
const MICROSECONDS: f64 = 1e6;
/// Time between ticks of a node and steps of a worker.
const STEP_S: f64 = 0.1;
/// Time that a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT_S: f64 = 4.0;

/// A node and its host: the node may be restarted or paused.
struct SimulatedNode {
    /// The running node; none while it is down.
    process: Option<Node>,
    settings: Settings,
    /// Counts the starts, so that what was meant for an earlier process is dropped.
    incarnation: u64,
    started_at: f64,
    /// The process is paused until then, while its clock runs on.
    paused_until: f64,
    pending_requests: BTreeMap<RequestId, ResponseHandler>,
    next_request: RequestId,
}

impl SimulatedNode {
    /// A node that has not been started.
    fn new(settings: Settings) -> SimulatedNode {
        SimulatedNode {
            process: None,
            settings,
            incarnation: 0,
            started_at: 0.0,
            paused_until: 0.0,
            pending_requests: BTreeMap::new(),
            next_request: 0,
        }
    }
}

/// A cluster with everything around it.
pub struct Simulation {
    /// Seconds since the beginning.
    pub now: f64,
    /// Events by microsecond, in the order of their scheduling.
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    scheduled_events: u64,
    rng: StdRng,
    nodes: Vec<SimulatedNode>,
    /// The store.
    pub store: FakeStore,
    /// While set, the store executes requests and does not answer.
    pub store_responses_dropped: bool,
    /// The leader ends once so many more of its transactions have been made, before it
    /// learns of the last one, and comes back after so many seconds.
    pub crash_after_commits: Option<(u32, f64)>,
    /// Share of the transactions that get no answer and are executed 2 to 12 s later.
    pub delayed_commit_share: f64,
    /// By which factor requests to the store and their answers take longer.
    pub store_slowdown: f64,
    /// By which factor every message takes longer.
    pub network_slowdown: f64,
    /// Share of the jobs that are cancelled at the moment at which their last task ends.
    pub cancel_at_completion_share: f64,
    /// Faults of single messages.
    pub message_faults: MessageFaults,
    /// Queries of all nodes right after a client learned something new.
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
    /// Checks the invariants.
    pub invariants: InvariantChecker,
    partitions: Vec<ActivePartition>,
    /// Share of the requests to store and cloud that arrive a second time, later.
    pub duplicated_request_share: f64,
    /// Share of the heartbeats that arrive again, at any node, up to three leases later.
    pub duplicated_heartbeat_share: f64,
    /// Time between steps of a worker.
    pub worker_step_s: f64,
    /// Seeded fault: every task is started on a second machine as well.
    pub start_tasks_twice: bool,
    /// Token and node of every leader seen.
    pub leaders: Vec<(u64, usize)>,
    /// Submissions that users gave up before they were accepted.
    pub abandoned_submissions: u64,
    /// Jobs that users have submitted.
    pub submitted_jobs: Vec<JobId>,
    /// Malformed requests sent so far: each is another one.
    malformed_requests: u64,
    lease_s: f64,
    heartbeat_interval_s: f64,
    trace: DecisionTrace,
}

impl Simulation {
    /// A cluster whose nodes have these settings, just started.
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
            scheduled_events: 0,
            rng: StdRng::seed_from_u64(seed),
            nodes: settings.into_iter().map(SimulatedNode::new).collect(),
            store,
            store_responses_dropped: false,
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
            heartbeat_interval_s: params.workers.heartbeat_interval_s,
            invariants: InvariantChecker::new(params),
            malformed_requests: 0,
            partitions: Vec::new(),
            duplicated_request_share: 0.0,
            duplicated_heartbeat_share: 0.0,
            worker_step_s: STEP_S,
            start_tasks_twice: false,
            leaders: Vec::new(),
            abandoned_submissions: 0,
            submitted_jobs: Vec::new(),
            trace: DecisionTrace::default(),
        };
        sim.invariants.machine_types.clone_from(&sim.cloud.types);
        for node in 0..sim.nodes.len() {
            sim.start(node);
        }
        sim.check_pending_jobs();
        sim
    }

    /// Schedules an event.
    pub fn after(&mut self, seconds: f64, event: impl FnOnce(&mut Simulation) + 'static) {
        let at = ((self.now + seconds.max(0.0)) * MICROSECONDS) as u64;
        self.scheduled_events += 1;
        self.queue.insert((at, self.scheduled_events), Box::new(event));
    }

    /// The digest of all that the nodes have sent so far.
    pub fn trace_digest(&self) -> TraceDigest {
        self.trace.digest()
    }

    /// Runs until a time.
    pub fn run(&mut self, until: f64) {
        while let Some(((at, count), event)) = self.queue.pop_first() {
            let at_s = at as f64 / MICROSECONDS;
            if at_s > until {
                self.queue.insert((at, count), event);
                break;
            }
            self.now = self.now.max(at_s);
            event(self);
            self.invariants.check_cancellation_deadlines(self.now);
            self.invariants.check_gang_starts(self.now);
        }
        self.now = until;
    }
}
