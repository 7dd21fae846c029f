//! The leading controller: what should be, what is, and the steps between.
//!
//! Jobs and the assignments of their tasks are the wanted state; the store holds
//! what has been committed of it, and workers' reports say what is. Every step
//! follows the rules of `docs/safety.md`.

mod assignment_log;
mod attempt;
mod attempt_id;
mod attempt_table;
mod autoscaling;
mod catalog;
mod commands;
mod failure_detection;
mod job;
mod machine;
mod reconciliation;
mod scheduling;
mod status;
mod timers;

pub use attempt::{AssignmentPhase, Attempt, AttemptOutcome, StopReason};
pub use attempt_id::AttemptId;
pub use autoscaling::cost::CostBreakdown;
pub use commands::{WorkerOutcome, WorkerRequest};
pub use job::Job;
pub use machine::Machine;

use crate::{
    assignment_log::UnreadableSegment,
    cloud_api::{CloudOutcome, CloudRequest},
    runtime_settings::RuntimeSettings,
    socket_budget::SocketBudget,
    store_view::StoreView,
};
use assignment_log::writer::AssignmentLogWriter;
pub use assignment_log::writer::LogRow;
use attempt_table::AttemptTable;
use autoscaling::cloud_requests::CloudRequestQueue;
use autoscaling::scaling::Demand;
use autoscaling::warm_pool::WarmPool;
use catalog::Catalog;
use commands::CommandQueue;
use failure_detection::reachability::ZoneReachability;
use gladekeel_sched::{Interner, Resources, cycle::TeamQuota};
use gladekeel_sched::{JobIdx, MachineIdx, ZoneIdx};
use gladekeel_wire::{
    JobId, cloud::MachineTypes, job::MAX_TASKS, settings::Deployment, store::Transaction,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};
use timers::Timers;

/// Attempts that one token can name; the number of an attempt is the token
/// times this plus a counter, so that no two leaders ever name the same.
const ATTEMPTS_PER_TOKEN: u64 = 1 << 24;

/// What a leader counts.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct LeaderCounters {
    /// Tasks whose start was committed.
    pub starts: u64,
    /// Tasks restarted for slowness.
    pub restarts: u64,
    /// Tasks stopped to make room.
    pub preemptions: u64,
    /// Tasks that failed.
    pub failures: u64,
    /// Machines rented.
    pub rented: u64,
    /// Machines deleted.
    pub deleted: u64,
    /// Rounds of decisions.
    pub scheduling_cycles: u64,
    /// How often a machine was looked at in placing.
    pub machines_examined: u64,
    /// How often an attempt was looked at.
    pub attempt_lookups: u64,
    /// Commits made, and writes in them.
    pub commits: u64,
    /// Writes in them.
    pub writes: u64,
    /// Estimate of the money spent, by what machines were doing.
    pub cost: CostBreakdown,
}

/// The cluster as reports and the cloud describe it, as opposed to what is in the store.
/// It outlives a change of token; a new leader rebuilds it from reports and lists.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The indices that all else here is told in. A leader holds them beside its knowledge.
    catalog: Catalog,
    machine_names: Interner<String, MachineIdx>,
    machines: BTreeMap<MachineIdx, Machine>,
    /// Machines that may be on their way out; [`Machine::leaving`] says which are.
    leaving: BTreeSet<MachineIdx>,
    cloud: CloudRequestQueue,
    demand: Demand,
    warm_pool: WarmPool,
    /// Since when each zone has been within reach.
    zones_reachable_since: BTreeMap<Option<ZoneIdx>, f64>,
    /// Run time over the owner's estimate, learned by class.
    run_time_ratios: HashMap<String, f64>,
    /// Counters.
    pub counters: LeaderCounters,
}

impl ClusterState {
    /// The same leader under a new token. It has heard reports all the while, so
    /// silence goes on to count.
    fn renew(&mut self) {
        for machine in self.machines.values_mut() {
            machine.attempts.clear();
            machine.requested = Default::default();
            machine.expected_effects = Default::default();
            // Nothing under an older token can start once the worker has seen this one.
            machine.unsettled_starts.clear();
            machine.command_in_flight = false;
        }
    }
}

/// How a leader begins.
#[derive(Debug)]
pub struct LeaderTerm {
    /// Its token.
    pub token: u64,
    /// The time.
    pub now: f64,
    /// Time of day at time 0.
    pub epoch: f64,
    /// The deployment.
    pub deployment: Rc<Deployment>,
    /// A random number of its own.
    pub salt: u64,
}

/// The leader under one token.
#[derive(Debug)]
pub struct Leader {
    /// The fencing token.
    pub token: u64,
    /// When it began to lead under this token.
    since: f64,
    /// Time of day at time 0.
    epoch: f64,
    deployment: Rc<Deployment>,
    catalog: Catalog,
    cluster: ClusterState,
    jobs: BTreeMap<JobIdx, Job>,
    job_names: Interner<JobId, JobIdx>,
    attempts: AttemptTable,
    teams: Vec<TeamQuota>,
    log_writer: AssignmentLogWriter,
    next_attempt: u64,
    timers: Timers,
    cost_counted_at: f64,
    cost_logged_at: f64,
    reachability: ZoneReachability,
    /// When the request was sent whose answer is the last one of the state service.
    store_contact_at: f64,
    /// Where the search for slow machines goes on.
    straggler_cursor: MachineIdx,
    salt: u64,
    needs_new_token: bool,
    /// See [`Leader::stop_placing`].
    scheduling_suspended: bool,
    commands: CommandQueue,
    /// Jobs whose counts have changed since they were last published.
    changed_progress: BTreeSet<JobIdx>,
    /// Cancelled jobs of which something may still be on a machine.
    cancelled_on_machines: BTreeSet<JobIdx>,
}

impl Leader {
    /// Builds a leader from the store as of its token or later, and from the log as
    /// read under its token.
    ///
    /// Every attempt that the log does not release counts as on its machine until
    /// there is proof of the contrary; a task without one is on no machine, since no
    /// `run` is sent without a commit that this token would have made fail.
    pub fn new(
        store: &StoreView,
        rows: Vec<LogRow>,
        start: LeaderTerm,
        cluster: Option<ClusterState>,
    ) -> Result<Leader, UnreadableSegment> {
        let LeaderTerm { token, now, epoch, deployment, salt } = start;
        let mut cluster = cluster.unwrap_or_default();
        let mut catalog = std::mem::take(&mut cluster.catalog);
        catalog.renew(&deployment, store.machine_types.all());
        let teams = deployment
            .teams
            .iter()
            .map(|team| TeamQuota {
                guaranteed: Resources::allocatable(team.cpus, team.gpus, 0.0),
                limit: Resources::allocatable(team.cpus_max, team.gpus_max, 0.0),
                used: Resources::default(),
            })
            .collect();
        let mut segments = rows
            .into_iter()
            .map(|row| Ok((row.slot, row.version, crate::assignment_log::decode(&row.text)?)))
            .collect::<Result<Vec<_>, UnreadableSegment>>()?;
        segments.sort_by_key(|(_, _, segment)| segment.sequence);
        let mut leader = Leader {
            token,
            since: now,
            epoch,
            catalog,
            cluster,
            jobs: BTreeMap::new(),
            job_names: Interner::default(),
            attempts: AttemptTable::default(),
            teams,
            log_writer: AssignmentLogWriter::new(&deployment, store),
            next_attempt: token * ATTEMPTS_PER_TOKEN,
            timers: Timers::new(now),
            cost_counted_at: now,
            cost_logged_at: now,
            reachability: ZoneReachability::new(now, &deployment.workers),
            store_contact_at: now,
            straggler_cursor: MachineIdx::default(),
            salt,
            needs_new_token: false,
            scheduling_suspended: false,
            commands: CommandQueue::new(SocketBudget::new(&deployment.limits).worker_calls),
            changed_progress: BTreeSet::new(),
            cancelled_on_machines: BTreeSet::new(),
            deployment,
        };
        leader.cluster.renew();
        let mut ids: Vec<(&JobId, u64)> =
            store.jobs.iter().map(|(id, job)| (id, job.version)).collect();
        ids.sort_by_key(|(_, version)| *version);
        for (id, _) in ids {
            leader.add_job(store, id, now);
        }
        leader.replay(segments, now);
        for name in store.drain_orders.keys() {
            leader.apply_drain(store, name);
        }
        tracing::info!(
            token,
            jobs = leader.jobs.len(),
            attempts = leader.attempts.len(),
            "leading"
        );
        Ok(leader)
    }

    /// The part of the state that outlives the token, for the next one.
    pub fn into_cluster_state(self) -> ClusterState {
        ClusterState { catalog: self.catalog, ..self.cluster }
    }

    /// Counters so far.
    pub fn counters(&self) -> &LeaderCounters {
        &self.cluster.counters
    }

    /// Applies machine types that were read from the store.
    pub fn apply_types(&mut self, types: &MachineTypes) {
        self.catalog.add_types(types);
    }

    /// A machine's zone is known from now; it may not have been after a takeover.
    fn set_zone(&mut self, ix: MachineIdx, zone: ZoneIdx) {
        let Some(machine) = self.cluster.machines.get_mut(&ix) else { return };
        if machine.zone == Some(zone) {
            return;
        }
        machine.zone = Some(zone);
        for id in &machine.attempts {
            self.attempts.update(*id, |attempt| {
                if let Some(job) = self.jobs.get_mut(&attempt.job) {
                    job.zone_placement.remove(attempt.zone);
                    job.zone_placement.add(Some(zone));
                }
                attempt.zone = Some(zone);
            });
        }
    }

    /// Whether the leader wants a new token before it goes on: a commit had no answer.
    pub fn needs_new_token(&self) -> bool {
        self.needs_new_token
            || self.next_attempt + 2 * u64::from(MAX_TASKS) > (self.token + 1) * ATTEMPTS_PER_TOKEN
    }

    /// Notes the node's last contact with the state service, if there was one.
    pub fn note_store_contact(&mut self, at: Option<f64>) {
        self.store_contact_at = at.unwrap_or(self.store_contact_at);
    }

    /// Machines that should report, and how long none of them has.
    pub fn silence(&self, now: f64) -> (usize, f64) {
        self.reachability.silence(now)
    }

    /// Time at which this token began.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// The next transaction, if one is due.
    pub fn next_commit(
        &mut self,
        now: f64,
        budget: &mut gladekeel_store::TokenBucket,
    ) -> Option<Transaction> {
        self.build_commit(now, budget)
    }

    /// Decides what is due: a round, the fleet's size. `zone` is the leader's own,
    /// `heard_zones` are those of the controllers that it hears.
    pub fn tick(&mut self, now: f64, options: &RuntimeSettings, zone: &str, heard_zones: &[&str]) {
        self.timers.tick(now);
        self.cluster.counters.attempt_lookups += self.attempts.take_lookups();
        self.evacuate_leaving_machines(now);
        self.needs_new_token |= self.unsettled_start_needs_new_token(now);
        // What looks at every machine is done once a round at the most. Dead machines are
        // found also while a new token is awaited: that may take as long as an outage.
        let upkeep = self.timers.upkeep_due(now, options);
        if upkeep {
            self.commands.retry_undelivered_stops();
            self.detect_failures(now, options, zone, heard_zones);
            self.end_cancelled(now);
        }
        if self.needs_new_token || self.scheduling_suspended {
            return;
        }
        if self.timers.cycle_due(now, options) {
            self.cluster.counters.scheduling_cycles += 1;
            self.run_scheduling_cycle(now, options);
        }
        if upkeep {
            self.restart_stragglers(now, options);
            self.preempt_for_waiting_jobs(now, options);
            self.count_cost(now);
            self.end_incomplete(now);
            self.maintain_warm_pool(now);
            self.autoscale(now, options);
        }
    }

    /// Places nothing, and makes no room, as long as `stopped` holds: something in the store
    /// cannot be read. What runs goes on, and cancellations end what they should.
    pub fn suspend_scheduling(&mut self, stopped: bool) {
        self.scheduling_suspended = stopped;
    }

    /// The next request to the cloud, if one is due.
    pub fn next_cloud(&mut self, now: f64) -> Option<CloudRequest> {
        self.next_cloud_call(now)
    }

    /// Applies an answer of the cloud.
    pub fn cloud_answered(&mut self, now: f64, call: &CloudRequest, outcome: CloudOutcome) {
        self.on_cloud(now, call, outcome);
    }

    /// Applies an operator's order to drain a machine, or its end.
    pub fn apply_drain(&mut self, store: &StoreView, name: &str) {
        let wanted = store.drain_orders.contains_key(name);
        self.set_drain_version(name, store.drain_orders.get(name).copied());
        let ix = self.cluster.machine_names.get(name);
        if let Some(machine) = ix.and_then(|ix| self.cluster.machines.get_mut(&ix)) {
            machine.draining = wanted;
            self.cluster.leaving.extend(ix);
        } else if wanted && self.cluster.cloud.is_gone(name) {
            self.log_writer.drains.insert(name.to_owned());
        }
    }
}
