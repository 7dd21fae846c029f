//! The simulation: nodes, fakes and users exchange messages in virtual time, over a network that
//! delays, loses and buffers messages. Each kind of participant has a module of its own.

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
pub use message_faults::{CommandCopies, MessageFaults};
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

/// An event that is scheduled for a point in virtual time.
type ScheduledEvent = Box<dyn FnOnce(&mut Simulation)>;
/// Handles the outcome of a request: the reply, or `None` if the sender received no reply.
type ResponseHandler = Box<dyn FnOnce(&mut Simulation, Option<Reply>)>;

/// Microseconds per second.
const MICROSECONDS_PER_S: f64 = 1e6;
/// Time between the ticks of a node, and by default between the steps of a worker.
const STEP_S: f64 = 0.1;
/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT_S: f64 = 4.0;

/// A host and the node on it. The node may crash, restart or be paused.
struct SimulatedNode {
    /// The running node; `None` while the node is down.
    process: Option<Node>,
    settings: Settings,
    /// Number of times the node was started. Events for an earlier process of the node are dropped.
    incarnation: u64,
    started_at: f64,
    /// How far the wall clock of the host is ahead of the true time, in seconds.
    clock_error_s: f64,
    /// Time until which the process is paused, while its clock runs on.
    paused_until: f64,
    pending_requests: BTreeMap<RequestId, ResponseHandler>,
    next_request: RequestId,
}

impl SimulatedNode {
    /// Returns a host whose node has not been started.
    fn new(settings: Settings) -> SimulatedNode {
        SimulatedNode {
            process: None,
            settings,
            incarnation: 0,
            started_at: 0.0,
            clock_error_s: 0.0,
            paused_until: 0.0,
            pending_requests: BTreeMap::new(),
            next_request: 0,
        }
    }
}

/// A simulated cluster: nodes, store, cloud, workers and users, and the network between them.
pub struct Simulation {
    /// Virtual time in seconds since the start of the simulation.
    pub now: f64,
    /// Scheduled events by time in microseconds, then by the order in which they were scheduled.
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    scheduled_events: u64,
    rng: StdRng,
    nodes: Vec<SimulatedNode>,
    /// The fake store.
    pub store: FakeStore,
    /// While set, the store executes requests, but its responses are lost.
    pub store_responses_dropped: bool,
    /// How many more transactions of the leader are committed before the leader crashes, and the
    /// downtime in seconds. The leader does not receive the response to the last transaction.
    /// `None` if no crash is scheduled.
    pub crash_after_commits: Option<(u32, f64)>,
    /// Share of the transactions that get no response and are executed 2 to 12 s later.
    pub delayed_commit_share: f64,
    /// Factor by which requests to the store and their responses take longer.
    pub store_slowdown: f64,
    /// Factor by which every message takes longer.
    pub network_slowdown: f64,
    /// Share of the jobs that users cancel, query and submit again as their last task completes.
    pub cancel_at_completion_share: f64,
    /// Faults that affect single messages.
    pub message_faults: MessageFaults,
    /// The probe that queries all nodes as soon as a response reports a new state.
    pub read_your_writes: ReadYourWritesProbe,
    /// The fake cloud.
    pub cloud: FakeCloud,
    /// Workers of the machines that are up, by machine name.
    pub workers: BTreeMap<String, FakeWorker>,
    /// The gangs, whose tasks start, stop and fail together.
    pub gangs: GangRuntime,
    /// How long a task waits for the other tasks of its gang, in seconds.
    pub gang_wait_s: f64,
    /// Whether steps of the gangs are scheduled; true once a gang has been submitted.
    gang_steps_scheduled: bool,
    /// The checker of the invariants.
    pub invariants: InvariantChecker,
    partitions: Vec<ActivePartition>,
    /// Share of the requests to store and cloud that arrive a second time, later.
    pub duplicated_request_share: f64,
    /// Share of the heartbeats that arrive a second time, at any node, up to three lease durations
    /// later.
    pub duplicated_heartbeat_share: f64,
    /// Time between the steps of a worker, and of the gangs, in seconds.
    pub worker_step_s: f64,
    /// Seeded fault: every task is also started on a second machine.
    pub start_tasks_twice: bool,
    /// Token and node of every leader so far.
    pub leaders: Vec<(u64, usize)>,
    /// Number of submissions that users stopped retrying before a node accepted or refused them.
    pub abandoned_submissions: u64,
    /// Jobs that users have submitted.
    pub submitted_jobs: Vec<JobId>,
    /// Number of rounds of malformed requests so far; each round sends different requests.
    malformed_requests: u64,
    lease_s: f64,
    heartbeat_interval_s: f64,
    /// Size in bytes of the largest heartbeat that a worker has sent.
    pub largest_heartbeat_bytes: usize,
    trace: DecisionTrace,
}

impl Simulation {
    /// Creates a cluster with one node for each element of `settings`, and starts the nodes.
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
            gang_steps_scheduled: false,
            lease_s: params.workers.lease_s,
            heartbeat_interval_s: params.workers.heartbeat_interval_s,
            invariants: InvariantChecker::new(params),
            malformed_requests: 0,
            largest_heartbeat_bytes: 0,
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

    /// Schedules an event for `seconds` from now.
    pub fn after(&mut self, seconds: f64, event: impl FnOnce(&mut Simulation) + 'static) {
        let at = ((self.now + seconds.max(0.0)) * MICROSECONDS_PER_S) as u64;
        self.scheduled_events += 1;
        self.queue.insert((at, self.scheduled_events), Box::new(event));
    }

    /// Returns the digest of everything that the nodes have sent so far.
    pub fn trace_digest(&self) -> TraceDigest {
        self.trace.digest()
    }

    /// Runs all events up to the time `until`. Checks cancellation deadlines and gang starts after
    /// each event; the other invariants are checked when the events that concern them occur.
    pub fn run(&mut self, until: f64) {
        while let Some(((at, sequence), event)) = self.queue.pop_first() {
            let at_s = at as f64 / MICROSECONDS_PER_S;
            if at_s > until {
                self.queue.insert((at, sequence), event);
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
