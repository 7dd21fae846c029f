//! The leading controller.
//!
//! The store holds the desired state: jobs and the assignments of their tasks. Workers' heartbeats
//! and the cloud's machine lists give the observed state. Each module in the table has one concern,
//! for which it compares the two states and decides what to do about their differences. The node
//! passes incoming messages and the current time to the leader and fetches the transactions and
//! requests that are to be sent; the leader does no I/O and reads no clock.
//!
//! | concern | module |
//! | --- | --- |
//! | comparing the observed and the desired state of tasks | `reconciliation` |
//! | detecting unreachable machines and zones | `failure_detection` |
//! | placing tasks, preemption, restarting stragglers, gangs | `scheduling` |
//! | deciding how many machines to rent | `autoscaling` |
//! | committing assignments and replaying them | `assignment_log` |
//! | sending workers commands without waiting for a heartbeat | `commands` |
//!
//! All of these modules follow the rules in `docs/safety.md`.

mod assignment_log;
mod attempt;
mod attempt_id;
mod attempt_log;
mod attempt_numbers;
mod attempt_table;
mod autoscaling;
mod catalog;
mod cluster_state;
mod commands;
mod counters;
mod failure_detection;
mod job;
mod machine;
mod reconciliation;
mod scheduling;
mod status;
mod timers;
mod token_renewal;

pub use assignment_log::{CommitMarker, DecodedLog, LogRow};
pub use attempt::{AssignmentPhase, Attempt, AttemptOutcome, StopReason};
pub use attempt_id::{AttemptId, ReportedAttempt};
pub use autoscaling::cost::CostBreakdown;
pub use cluster_state::ClusterState;
pub use commands::{WorkerOutcome, WorkerRequest};
pub use counters::LeaderCounters;
pub use failure_detection::{TAKEOVER_REPORT_S, reachability::TimeWithoutMessages};
pub use job::{FailureBackoff, Job, RunTimeHistory, TaskQueue, ZonePlacement};
pub use machine::{Machine, MachineCondition};
pub use status::Backlog;

use crate::{
    runtime_settings::RuntimeSettings, socket_budget::SocketBudget, store_view::StoreView,
};
use assignment_log::AssignmentLogWriter;
use attempt_log::AttemptLog;
use attempt_numbers::AttemptNumbers;
use attempt_table::AttemptTable;
use autoscaling::cost::CostAccounting;
use catalog::Catalog;
use commands::CommandQueue;
use failure_detection::detector::FailureDetector;
use gladekeel_sched::{Interner, JobIdx, MachineIdx, Resources, ZoneIdx, snapshot::TeamQuota};
use gladekeel_wire::{JobId, settings::Deployment};
use scheduling::stragglers::StragglerScan;
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use timers::Timers;
use token_renewal::{TokenRenewal, TokenRenewalReason};

/// The parameters of a leader's term, which lasts as long as its fencing token.
#[derive(Debug)]
pub struct LeaderTerm {
    /// The fencing token of the term.
    pub token: u64,
    /// The time at which the term begins, in seconds on the node's clock.
    pub now: f64,
    /// The time of day at time 0 of the node's clock, in seconds.
    pub epoch: f64,
    /// When this process first loaded the store, in seconds on the node's clock.
    pub store_loaded_at: f64,
    /// The settings of the deployment.
    pub deployment: Rc<Deployment>,
    /// A random number drawn for this term, which becomes part of the ids of the term's requests to
    /// create machines.
    pub request_id_salt: u64,
}

/// The state of a leader under one fencing token.
///
/// The struct composes the state of all concerns; each concern's methods are in its own module.
#[derive(Debug)]
pub struct Leader {
    /// The fencing token of the term.
    pub token: u64,
    /// When the term began, in seconds on the node's clock.
    term_started_at: f64,
    /// Since when this node has led without interruption, under this token or earlier ones, in
    /// seconds on the node's clock.
    leading_since: f64,
    /// When this process first loaded the store, in seconds on the node's clock.
    store_loaded_at: f64,
    /// The time of day at time 0 of the node's clock, in seconds.
    epoch: f64,
    deployment: Rc<Deployment>,
    request_id_salt: u64,
    catalog: Catalog,
    timers: Timers,

    /// Desired state: the jobs in the store.
    jobs: BTreeMap<JobIdx, Job>,
    job_names: Interner<JobId, JobIdx>,
    /// The quotas of the teams and their current usage.
    teams: Vec<TeamQuota>,

    /// Assignments of tasks to machines, from their proposal until their release is committed.
    attempts: AttemptTable,
    attempt_numbers: AttemptNumbers,
    attempt_log: AttemptLog,

    /// Observed state: the machines and the requests to the cloud.
    cluster: ClusterState,

    /// Assignment log: changes that are to be committed, and the transaction in flight.
    log_writer: AssignmentLogWriter,

    /// Failure detection: decides which machines to probe, and which to delete as failed.
    failure_detector: FailureDetector,
    /// When this node sent the newest of the store requests that have received a response, in
    /// seconds on the node's clock.
    store_contact_at: f64,
    /// Cancelled jobs that may still have attempts on machines.
    cancelled_jobs_on_machines: BTreeSet<JobIdx>,

    /// Scheduling: the search for stragglers.
    straggler_scan: StragglerScan,
    /// Whether scheduling is suspended; see [`Leader::set_scheduling_suspended`].
    scheduling_suspended: bool,

    /// Direct commands: the machines to which commands or probes are to be sent.
    commands: CommandQueue,
    token_renewal: TokenRenewal,

    /// Cost accounting: when costs were last added up and logged.
    cost_accounting: CostAccounting,

    /// Status: jobs whose progress has changed since their progress was last published.
    changed_progress: BTreeSet<JobIdx>,
}

impl Leader {
    /// Builds a leader from a view of the store and the assignment log.
    ///
    /// The view must be at least as new as the write of the term's token, and the log must have
    /// been read under that token. `cluster` is the state that remains from a previous term of this
    /// node, if there was one.
    ///
    /// Every attempt that the log assigns and does not release counts as being on its machine until
    /// it is proven to be off the machine. A task without such an attempt is on no machine: a start
    /// is sent only after its assignment is committed, and a commit under an older token fails once
    /// this token is written.
    pub fn new(
        store: &StoreView,
        log: DecodedLog,
        term: LeaderTerm,
        cluster: Option<ClusterState>,
    ) -> Leader {
        let now = term.now;
        let mut leader = Leader::without_jobs(store, term, cluster.unwrap_or_default());
        leader.add_stored_jobs(store, now);
        leader.replay(log, now);
        leader.apply_drain_orders(store);
        tracing::info!(
            token = leader.token,
            jobs = leader.jobs.len(),
            attempts = leader.attempts.len(),
            cancelled_jobs = leader.cancelled_jobs_on_machines.len(),
            "leading"
        );
        leader
    }

    /// Builds a leader without any jobs or attempts.
    fn without_jobs(store: &StoreView, term: LeaderTerm, mut cluster: ClusterState) -> Leader {
        let LeaderTerm { token, now, epoch, store_loaded_at, deployment, request_id_salt } = term;
        let mut catalog = std::mem::take(&mut cluster.catalog);
        catalog.renew(&deployment, store.machine_types.all());
        let reachable_zones = std::mem::take(&mut cluster.reachable_zones);
        cluster.renew();
        Leader {
            token,
            term_started_at: now,
            leading_since: *cluster.leading_since.get_or_insert(now),
            store_loaded_at,
            epoch,
            request_id_salt,
            catalog,
            timers: Timers::new(now),
            jobs: BTreeMap::new(),
            job_names: Interner::default(),
            teams: team_quotas(&deployment),
            attempts: AttemptTable::default(),
            attempt_numbers: AttemptNumbers::of_token(token),
            attempt_log: AttemptLog::default(),
            cluster,
            log_writer: AssignmentLogWriter::new(&deployment, store),
            failure_detector: FailureDetector::new(now, &deployment.workers, reachable_zones),
            store_contact_at: now,
            cancelled_jobs_on_machines: BTreeSet::new(),
            straggler_scan: StragglerScan::default(),
            scheduling_suspended: false,
            commands: CommandQueue::new(SocketBudget::new(&deployment.limits).worker_calls),
            token_renewal: TokenRenewal::default(),
            cost_accounting: CostAccounting::new(now),
            changed_progress: BTreeSet::new(),
            deployment,
        }
    }

    /// Adds the jobs in the store, in the order of their submission.
    fn add_stored_jobs(&mut self, store: &StoreView, now: f64) {
        let mut jobs: Vec<(&JobId, u64)> =
            store.jobs.iter().map(|(id, job)| (id, job.version)).collect();
        jobs.sort_by_key(|(_, version)| *version);
        for (id, _) in jobs {
            self.add_job(store, id, now);
        }
    }

    /// Returns the part of the state that stays valid under the node's next token.
    pub fn into_cluster_state(self) -> ClusterState {
        ClusterState {
            cancellation_deletions: self.cancellation_deletions(),
            catalog: self.catalog,
            reachable_zones: self.failure_detector.into_reachable_zones(),
            ..self.cluster
        }
    }

    /// Runs the periodic steps that are due. `zone` is the leader's own zone; `peer_zones` are the
    /// zones of the controllers from which it has recently received messages.
    pub fn tick(&mut self, now: f64, settings: &RuntimeSettings, zone: &str, peer_zones: &[&str]) {
        self.timers.tick(now);
        self.cluster.counters.attempt_lookups += self.attempts.take_lookups();
        self.evacuate_leaving_machines(now);
        if self.unanswered_start_needs_new_token(now) {
            self.token_renewal.require(TokenRenewalReason::UnansweredStart);
        }
        if self.ended_attempts_need_new_token(now) {
            self.token_renewal.require(TokenRenewalReason::TooManyEndedAttempts);
        }
        if self.timers.failure_check_due(now, settings) {
            // These steps also run while the leader waits for a new token, which may take as long
            // as an outage of the store.
            self.commands.retry_undelivered_stops();
            self.detect_failures(now, settings, zone, peer_zones);
            self.enforce_cancellation_deadlines(now);
        }
        let maintenance_due = self.timers.maintenance_due(now, settings);
        if self.token_renewal.is_required() || self.scheduling_suspended {
            return;
        }
        if self.timers.cycle_due(now, settings) {
            self.run_scheduling_cycle(now, settings);
        }
        if maintenance_due {
            self.restart_stragglers(now, settings);
            self.preempt_for_waiting_jobs(now, settings);
            self.account_costs(now);
            self.restart_incomplete_gangs(now);
            self.maintain_warm_pool(now);
            self.remove_deleted_machines(now);
            self.autoscale(now, settings);
        }
    }

    /// Records when this node sent the newest of the store requests that have received a response.
    /// `None` means that no request has received one, and leaves the recorded time unchanged.
    pub fn record_store_contact(&mut self, at: Option<f64>) {
        self.store_contact_at = at.unwrap_or(self.store_contact_at);
    }

    /// Whether the leader needs a new token before it can continue, because the outcome of a
    /// commit or a start is unknown, its view of the store is wrong, a worker must forget ended
    /// attempts, or its attempt numbers are nearly exhausted.
    pub fn needs_new_token(&self) -> bool {
        self.token_renewal.is_required() || self.attempt_numbers.are_nearly_exhausted()
    }

    /// Suspends or resumes scheduling. The node suspends scheduling while a value in the store
    /// cannot be read. No task is bound or preempted in the meantime; running tasks continue, and
    /// the tasks of cancelled jobs are still stopped.
    pub fn set_scheduling_suspended(&mut self, suspended: bool) {
        self.scheduling_suspended = suspended;
    }

    /// Applies all drain orders in the store.
    fn apply_drain_orders(&mut self, store: &StoreView) {
        for name in store.drain_orders.keys() {
            self.apply_drain(store, name);
        }
    }

    /// Applies an operator's order to drain a machine, or the withdrawal of such an order.
    pub fn apply_drain(&mut self, store: &StoreView, name: &str) {
        let is_ordered = store.drain_orders.contains_key(name);
        self.log_writer.set_drain_version(name, store.drain_orders.get(name).copied());
        let machine_idx = self.cluster.machine_names.get(name);
        let machine = machine_idx.and_then(|idx| self.cluster.machines.get_mut(&idx));
        if let Some(machine) = machine {
            machine.draining = is_ordered;
            self.cluster.leaving.extend(machine_idx);
        } else if is_ordered && self.cluster.cloud.is_deletion_confirmed(name) {
            self.log_writer.pending().add_obsolete_drain(name);
        }
    }

    /// Sets the zone of a machine and of the attempts on it. After a takeover, a machine that
    /// already has attempts is in an unknown zone until its first heartbeat or the cloud's list
    /// arrives.
    fn set_zone(&mut self, machine_idx: MachineIdx, zone: ZoneIdx) {
        let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { return };
        if machine.zone == Some(zone) {
            return;
        }
        machine.zone = Some(zone);
        for id in machine.attempts() {
            self.attempts.update(*id, |attempt| {
                if let Some(job) = self.jobs.get_mut(&attempt.job) {
                    job.zone_placement.remove(attempt.zone);
                    job.zone_placement.add(Some(zone));
                }
                attempt.zone = Some(zone);
            });
        }
    }

    /// The counters for metrics.
    pub fn counters(&self) -> &LeaderCounters {
        &self.cluster.counters
    }

    /// Returns the time since any machine was last seen, and how many machines should send
    /// heartbeats.
    pub fn time_without_messages(&self, now: f64) -> TimeWithoutMessages {
        self.failure_detector.time_without_messages(now)
    }

    /// When the leader's term began, in seconds on the node's clock.
    pub fn term_started_at(&self) -> f64 {
        self.term_started_at
    }
}

/// The quotas of the deployment's teams, with zero usage.
fn team_quotas(deployment: &Deployment) -> Vec<TeamQuota> {
    deployment
        .teams
        .iter()
        .map(|team| TeamQuota {
            guaranteed: Resources::allocatable(team.cpus, team.gpus, 0.0),
            limit: Resources::allocatable(team.cpus_max, team.gpus_max, 0.0),
            used: Resources::default(),
        })
        .collect()
}
