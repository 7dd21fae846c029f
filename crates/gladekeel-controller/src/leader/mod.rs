//! The leading controller.
//!
//! Jobs and the assignments of their tasks are the desired state, which the store holds; workers'
//! heartbeats and the cloud's lists are the observed state. Each concern below works out how they
//! differ and what is to be done. The node passes in what arrives and takes out transactions and
//! requests; nothing here does I/O or reads a clock.
//!
//! | concern | module |
//! | --- | --- |
//! | observed against desired state of tasks | `reconciliation` |
//! | machines and zones that cannot be reached | `failure_detection` |
//! | which task goes where, preemption, stragglers, gangs | `scheduling` |
//! | how many machines to rent | `autoscaling` |
//! | what is committed | `assignment_log` |
//! | commands that do not wait for a heartbeat | `commands` |
//!
//! Every step follows the rules of `docs/safety.md`.

mod assignment_log;
mod attempt;
mod attempt_id;
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

pub use assignment_log::{CommitMarker, LogRow};
pub use attempt::{AssignmentPhase, Attempt, AttemptOutcome, StopReason};
pub use attempt_id::AttemptId;
pub use autoscaling::cost::CostBreakdown;
pub use cluster_state::ClusterState;
pub use commands::{WorkerOutcome, WorkerRequest};
pub use counters::LeaderCounters;
pub use failure_detection::reachability::HeartbeatSilence;
pub use job::{FailureBackoff, Job, RunTimeHistory, TaskQueue, ZonePlacement};
pub use machine::{Machine, MachineCondition};
pub use status::Backlog;

use crate::{
    assignment_log::UnreadableSegment, runtime_settings::RuntimeSettings,
    socket_budget::SocketBudget, store_view::StoreView,
};
use assignment_log::AssignmentLogWriter;
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

/// What a leader is given when it begins to lead under a token.
#[derive(Debug)]
pub struct LeaderTerm {
    /// The fencing token.
    pub token: u64,
    /// The time at which it begins, in seconds on the node's clock.
    pub now: f64,
    /// The time of day at time 0 of the node's clock, in seconds.
    pub epoch: f64,
    /// The deployment.
    pub deployment: Rc<Deployment>,
    /// A random number of its own, for the names of rental requests.
    pub salt: u64,
}

/// The leader under one fencing token.
///
/// It composes the state of all concerns; the methods of a concern are in the concern's module.
#[derive(Debug)]
pub struct Leader {
    /// The fencing token.
    pub token: u64,
    /// When it began to lead under this token.
    since: f64,
    /// The time of day at time 0 of the node's clock.
    epoch: f64,
    deployment: Rc<Deployment>,
    salt: u64,
    catalog: Catalog,
    timers: Timers,

    /// Desired state: the jobs that the store has, and the teams' quotas with what is in use.
    jobs: BTreeMap<JobIdx, Job>,
    job_names: Interner<JobId, JobIdx>,
    teams: Vec<TeamQuota>,

    /// Assignments of tasks to machines, from the proposal to the commit of the release.
    attempts: AttemptTable,
    attempt_numbers: AttemptNumbers,

    /// Observed state: machines, and requests to the cloud.
    cluster: ClusterState,

    /// Assignment log: what is to be committed, and what is in flight.
    log_writer: AssignmentLogWriter,

    /// Failure detection.
    failure_detector: FailureDetector,
    /// When the request was sent whose response is the last one of the store.
    store_contact_at: f64,
    /// Cancelled jobs that may still have attempts on machines.
    cancelled_on_machines: BTreeSet<JobIdx>,

    /// Scheduling.
    straggler_scan: StragglerScan,
    /// See [`Leader::suspend_scheduling`].
    scheduling_suspended: bool,

    /// Commands to workers.
    commands: CommandQueue,
    token_renewal: TokenRenewal,

    /// Cost accounting.
    cost_accounting: CostAccounting,

    /// Status: jobs whose progress has changed since it was last published.
    changed_progress: BTreeSet<JobIdx>,
}

impl Leader {
    /// Builds a leader from the store as of its token or later, and from the log as
    /// read under its token.
    ///
    /// Every attempt that the log does not release counts as on its machine until
    /// there is proof of the contrary; a task without one is on no machine, since no
    /// start is sent without a commit that this token would have made fail.
    ///
    /// # Errors
    ///
    /// A segment of the log cannot be read. The node must not lead then: the attempts in it
    /// would count as released.
    pub fn new(
        store: &StoreView,
        rows: Vec<LogRow>,
        term: LeaderTerm,
        cluster: Option<ClusterState>,
    ) -> Result<Leader, UnreadableSegment> {
        let now = term.now;
        let segments = assignment_log::decode_log(rows)?;
        let mut leader = Leader::without_jobs(store, term, cluster.unwrap_or_default());
        leader.add_stored_jobs(store, now);
        leader.replay(segments, now);
        leader.apply_drain_orders(store);
        tracing::info!(
            token = leader.token,
            jobs = leader.jobs.len(),
            attempts = leader.attempts.len(),
            "leading"
        );
        Ok(leader)
    }

    /// A leader that does not know of any job yet.
    fn without_jobs(store: &StoreView, term: LeaderTerm, mut cluster: ClusterState) -> Leader {
        let LeaderTerm { token, now, epoch, deployment, salt } = term;
        let mut catalog = std::mem::take(&mut cluster.catalog);
        catalog.renew(&deployment, store.machine_types.all());
        let reachable_zones = std::mem::take(&mut cluster.reachable_zones);
        cluster.renew();
        Leader {
            token,
            since: now,
            epoch,
            salt,
            catalog,
            timers: Timers::new(now),
            jobs: BTreeMap::new(),
            job_names: Interner::default(),
            teams: team_quotas(&deployment),
            attempts: AttemptTable::default(),
            attempt_numbers: AttemptNumbers::of_token(token),
            cluster,
            log_writer: AssignmentLogWriter::new(&deployment, store),
            failure_detector: FailureDetector::new(now, &deployment.workers, reachable_zones),
            store_contact_at: now,
            cancelled_on_machines: BTreeSet::new(),
            straggler_scan: StragglerScan::default(),
            scheduling_suspended: false,
            commands: CommandQueue::new(SocketBudget::new(&deployment.limits).worker_calls),
            token_renewal: TokenRenewal::default(),
            cost_accounting: CostAccounting::new(now),
            changed_progress: BTreeSet::new(),
            deployment,
        }
    }

    /// Adds the jobs of the store in the order in which they were submitted.
    fn add_stored_jobs(&mut self, store: &StoreView, now: f64) {
        let mut jobs: Vec<(&JobId, u64)> =
            store.jobs.iter().map(|(id, job)| (id, job.version)).collect();
        jobs.sort_by_key(|(_, version)| *version);
        for (id, _) in jobs {
            self.add_job(store, id, now);
        }
    }

    /// The part of the state that outlives the token, for the next one.
    pub fn into_cluster_state(self) -> ClusterState {
        ClusterState {
            catalog: self.catalog,
            reachable_zones: self.failure_detector.into_reachable_zones(),
            ..self.cluster
        }
    }

    /// Does the periodic work that is due. `zone` is the leader's own; `peer_zones` are those of
    /// the controllers that it has heard from lately.
    pub fn tick(&mut self, now: f64, options: &RuntimeSettings, zone: &str, peer_zones: &[&str]) {
        self.timers.tick(now);
        self.cluster.counters.attempt_lookups += self.attempts.take_lookups();
        self.evacuate_leaving_machines(now);
        if self.unsettled_start_needs_new_token(now) {
            self.token_renewal.require(TokenRenewalReason::UnansweredStart);
        }
        let maintenance_due = self.timers.maintenance_due(now, options);
        if maintenance_due {
            // Also while a new token is awaited: that may take as long as an outage of the store.
            self.commands.retry_undelivered_stops();
            self.detect_failures(now, options, zone, peer_zones);
            self.enforce_cancellation_deadlines(now);
        }
        if self.token_renewal.is_required() || self.scheduling_suspended {
            return;
        }
        if self.timers.cycle_due(now, options) {
            self.run_scheduling_cycle(now, options);
        }
        if maintenance_due {
            self.restart_stragglers(now, options);
            self.preempt_for_waiting_jobs(now, options);
            self.account_costs(now);
            self.restart_incomplete_gangs(now);
            self.maintain_warm_pool(now);
            self.remove_deleted_machines(now);
            self.autoscale(now, options);
        }
    }

    /// Records when the request was sent whose response is the last one of the store, if there has
    /// been one.
    pub fn note_store_contact(&mut self, at: Option<f64>) {
        self.store_contact_at = at.unwrap_or(self.store_contact_at);
    }

    /// Whether the leader needs a new token before it goes on: it cannot know what became of a
    /// commit or a start, or is about to run out of attempt numbers.
    pub fn needs_new_token(&self) -> bool {
        self.token_renewal.is_required() || self.attempt_numbers.are_nearly_used_up()
    }

    /// Binds and preempts nothing as long as `suspended` holds: something in the store cannot be
    /// read. What runs goes on, and cancellations end what they should.
    pub fn suspend_scheduling(&mut self, suspended: bool) {
        self.scheduling_suspended = suspended;
    }

    /// Applies all drain orders that the store has.
    fn apply_drain_orders(&mut self, store: &StoreView) {
        for name in store.drain_orders.keys() {
            self.apply_drain(store, name);
        }
    }

    /// Applies an operator's order to drain a machine, or its withdrawal.
    pub fn apply_drain(&mut self, store: &StoreView, name: &str) {
        let is_ordered = store.drain_orders.contains_key(name);
        self.log_writer.set_drain_version(name, store.drain_orders.get(name).copied());
        let machine_idx = self.cluster.machine_names.get(name);
        let machine = machine_idx.and_then(|idx| self.cluster.machines.get_mut(&idx));
        if let Some(machine) = machine {
            machine.draining = is_ordered;
            self.cluster.leaving.extend(machine_idx);
        } else if is_ordered && self.cluster.cloud.is_gone(name) {
            self.log_writer.pending().add_obsolete_drain(name);
        }
    }

    /// Sets a machine's zone. After a takeover it is not known until the machine's first heartbeat
    /// or the cloud's list, while attempts are on it already.
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

    /// Counters so far.
    pub fn counters(&self) -> &LeaderCounters {
        &self.cluster.counters
    }

    /// For how long no machine at all was seen.
    pub fn silence(&self, now: f64) -> HeartbeatSilence {
        self.failure_detector.silence(now)
    }

    /// When it began to lead under this token.
    pub fn since(&self) -> f64 {
        self.since
    }
}

/// The quotas of the deployment's teams, none of which uses anything yet.
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
