//! The leading controller: what should be, what is, and the steps between.
//!
//! Jobs and the assignments of their tasks are the wanted state; the store holds
//! what has been committed of it, and workers' reports say what is. Every step
//! follows the rules of `docs/safety.md`.

mod attempt;
mod attempts;
mod catalog;
mod cloud_calls;
mod commit;
mod direct;
mod job;
mod liveness;
mod machine;
mod report;
mod rounds;
mod sizing;
mod spend;
mod standby;

pub use attempt::{Attempt, Phase, StopReason};
pub use direct::{DirectCall, DirectOutcome};
pub use job::Job;
pub use machine::Machine;
pub use spend::Spend;

use crate::{
    cloud::{CloudCall, CloudOutcome},
    log::{self, Unreadable},
    options::Options,
    sockets::Sockets,
    world::{Counts as Display, World},
};
use attempt::Outcome;
use attempts::Attempts;
use catalog::Catalog;
use cloud_calls::CloudCalls;
use commit::Commits;
pub use commit::LogRow;
use gladekeel_sched::{Interner, Room, place::Team};
use gladekeel_wire::{
    JobId, admin::MachineStatus, cloud::MachineTypes, job::MAX_TASKS, settings::Params, state::Txn,
    worker::TaskReport,
};
use sizing::Demand;
use standby::Standby;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
};

/// Attempts that one token can name; the number of an attempt is the token
/// times this plus a counter, so that no two leaders ever name the same.
const ATTEMPTS_PER_TOKEN: u64 = 1 << 24;

/// Ticks come many times a second; one that is later than this is a lag.
const LAG_S: f64 = 0.5;

/// A zone of which so many reports in a row are missing is out of reach.
const QUIET_REPORTS: f64 = 30.0;
/// It is so after this long at the least.
const QUIET_LEAST_S: f64 = 1.5;

/// How long a place is looked for to replace a task of a gang that waits.
const REPLACE_S: f64 = 5.0;

/// What a leader counts.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Counts {
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
    pub rounds: u64,
    /// How often a machine was looked at in placing.
    pub looked: u64,
    /// How often an attempt was looked at.
    pub attempt_lookups: u64,
    /// Commits made, and writes in them.
    pub commits: u64,
    /// Writes in them.
    pub writes: u64,
    /// Estimate of the money spent, by what machines were doing.
    pub spend: Spend,
}

/// The cluster as reports and the cloud describe it, as opposed to what is in the store.
/// It outlives a change of token; a new leader rebuilds it from reports and lists.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The indices that all else here is told in. A leader holds them beside its knowledge.
    catalog: Catalog,
    machine_names: Interner<String>,
    machines: BTreeMap<u32, Machine>,
    /// Machines that may be on their way out; [`Machine::leaving`] says which are.
    leaving: BTreeSet<u32>,
    cloud: CloudCalls,
    demand: Demand,
    standby: Standby,
    /// Since when each zone has been within reach.
    reached_since: BTreeMap<Option<u32>, f64>,
    /// Run time over the owner's estimate, learned by class.
    ratios: HashMap<String, f64>,
    /// Counters.
    pub counts: Counts,
}

impl ClusterState {
    /// The same leader under a new token. It has heard reports all the while, so
    /// silence goes on to count.
    fn renew(&mut self) {
        for machine in self.machines.values_mut() {
            machine.attempts.clear();
            machine.used = Default::default();
            machine.awaited = Default::default();
            // Nothing under an older token can start once the worker has seen this one.
            machine.open_starts.clear();
            machine.direct_in_flight = false;
        }
    }
}

/// A zone as the leader hears it.
#[derive(Debug, Default)]
struct ZoneView {
    reporting: usize,
    heard_at: f64,
}

/// How a leader begins.
#[derive(Debug)]
pub struct Start {
    /// Its token.
    pub token: u64,
    /// The time.
    pub now: f64,
    /// Time of day at time 0.
    pub epoch: f64,
    /// The deployment.
    pub params: Rc<Params>,
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
    params: Rc<Params>,
    catalog: Catalog,
    cluster: ClusterState,
    jobs: BTreeMap<u32, Job>,
    job_names: Interner<JobId>,
    attempts: Attempts,
    teams: Vec<Team>,
    commits: Commits,
    next_attempt: u64,
    round_at: f64,
    round_wanted: bool,
    upkeep_at: f64,
    spend_at: f64,
    spend_told: f64,
    ticked_at: f64,
    /// When this node was last late: it had more to do than it has time for.
    lagged_at: f64,
    /// When any machine was heard of.
    heard_at: f64,
    /// How many machines should report, as of the last look.
    reporting: usize,
    /// The same by zone, and when any machine there was heard of.
    zones: BTreeMap<u32, ZoneView>,
    /// Where the search for slow machines goes on.
    slow_from: u32,
    salt: u64,
    fence: bool,
    /// See [`Leader::stop_placing`].
    placing_stopped: bool,
    /// Machines for which there may be direct commands.
    direct_wanted: BTreeSet<u32>,
    /// Gangs on all of whose machines there may be direct commands.
    direct_gangs: BTreeSet<u32>,
    /// Machines that are to be asked whether they are there.
    probes_wanted: BTreeSet<u32>,
    /// How many are being asked, and may be.
    probing: usize,
    max_probes: usize,
    /// Machines to which a direct `run` had no answer: it may still arrive.
    unsettled_starts: BTreeSet<u32>,
    /// Jobs whose counts have changed since they were last published.
    changed_counts: BTreeSet<u32>,
    /// Cancelled jobs of which something may still be on a machine.
    ending: BTreeSet<u32>,
    /// Machines that did not get the stops that were sent to them directly.
    undelivered_stops: BTreeSet<u32>,
}

impl Leader {
    /// Builds a leader from the store as of its token or later, and from the log as
    /// read under its token.
    ///
    /// Every attempt that the log does not release counts as on its machine until
    /// there is proof of the contrary; a task without one is on no machine, since no
    /// `run` is sent without a commit that this token would have made fail.
    pub fn new(
        world: &World,
        rows: Vec<LogRow>,
        start: Start,
        cluster: Option<ClusterState>,
    ) -> Result<Leader, Unreadable> {
        let Start { token, now, epoch, params, salt } = start;
        let mut cluster = cluster.unwrap_or_default();
        let mut catalog = std::mem::take(&mut cluster.catalog);
        catalog.renew(&params, world.types.as_ref().map(|(types, _)| &**types));
        let teams = params
            .teams
            .iter()
            .map(|team| Team {
                guarantee: Room::offered(team.cpus, team.gpus, 0.0),
                limit: Room::offered(team.cpus_max, team.gpus_max, 0.0),
                used: Room::default(),
            })
            .collect();
        let mut segments = rows
            .into_iter()
            .map(|row| Ok((row.slot, row.version, log::decode(&row.text)?)))
            .collect::<Result<Vec<_>, Unreadable>>()?;
        segments.sort_by_key(|(_, _, segment)| segment.seq);
        let mut leader = Leader {
            token,
            since: now,
            epoch,
            catalog,
            cluster,
            jobs: BTreeMap::new(),
            job_names: Interner::default(),
            attempts: Attempts::default(),
            teams,
            commits: Commits::new(&params, world),
            next_attempt: token * ATTEMPTS_PER_TOKEN,
            round_at: now,
            round_wanted: true,
            upkeep_at: now,
            spend_at: now,
            spend_told: now,
            ticked_at: now,
            lagged_at: now,
            heard_at: now,
            reporting: 0,
            zones: BTreeMap::new(),
            slow_from: 0,
            salt,
            fence: false,
            placing_stopped: false,
            direct_wanted: BTreeSet::new(),
            direct_gangs: BTreeSet::new(),
            probes_wanted: BTreeSet::new(),
            probing: 0,
            max_probes: Sockets::of(&params.limits).calls / 2,
            unsettled_starts: BTreeSet::new(),
            changed_counts: BTreeSet::new(),
            ending: BTreeSet::new(),
            undelivered_stops: BTreeSet::new(),
            params,
        };
        leader.cluster.renew();
        let mut ids: Vec<(&JobId, u64)> =
            world.jobs.iter().map(|(id, job)| (id, job.version)).collect();
        ids.sort_by_key(|(_, version)| *version);
        for (id, _) in ids {
            leader.add_job(world, id, now);
        }
        leader.replay(segments, now);
        for name in world.drains.keys() {
            leader.apply_drain(world, name);
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
    pub fn counts(&self) -> &Counts {
        &self.cluster.counts
    }

    /// Adds a job that is new in the store.
    pub fn add_job(&mut self, world: &World, id: &JobId, now: f64) {
        let Some(stored) = world.jobs.get(id) else { return };
        let ix = self.job_names.intern(id);
        if self.jobs.contains_key(&ix) {
            return;
        }
        let Some(team) = self.catalog.teams.get(stored.spec.team.as_str()) else {
            tracing::error!(job = %id, team = stored.spec.team, "job of an unknown team");
            return;
        };
        let mut job = Job::new(&mut self.catalog, id.clone(), stored, team, now);
        if let Some(accepted) = stored.accepted_at {
            job.known_at = (accepted - self.epoch).min(now);
        }
        job.final_state = world.fates.get(id).copied();
        job.called_off = world.called_off.contains_key(id);
        let after = world.cancelled_after.get(id).or(world.called_off.get(id));
        job.cancelled_after = after.copied().unwrap_or(f64::NEG_INFINITY);
        if job.final_state.is_some() {
            self.commits.cleared.insert(ix);
        }
        let new = now > self.since && job.final_state.is_none();
        self.jobs.insert(ix, job);
        // Of gangs a new leader wants to know at once how much room to keep for them.
        if new || self.jobs.get(&ix).is_some_and(|job| job.is_gang() && job.final_state.is_none()) {
            self.count_arrival(ix);
        }
        self.changed_counts.insert(ix);
        self.round_wanted = true;
    }

    /// Applies a final state that is new in the store.
    pub fn apply_final_state(&mut self, world: &World, id: &JobId) {
        let Some(ix) = self.job_names.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        let Some(final_state) = world.fates.get(id).copied() else { return };
        job.final_state = Some(final_state);
        if !job.called_off {
            let after = world.cancelled_after.get(id).copied();
            job.cancelled_after = after.unwrap_or(f64::NEG_INFINITY);
        }
        job.called_off = false;
        if job.final_state.is_some() {
            self.commits.finished.remove(&ix);
            if self.attempts.of_job(ix).is_empty() {
                self.commits.cleared.insert(ix);
            }
        }
        if job.cancelled() {
            self.stop_job(ix);
        }
    }

    /// Applies a cancellation that another controller has committed, some time after
    /// `after`.
    pub fn call_off(&mut self, id: &JobId, after: f64) {
        let Some(ix) = self.job_names.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&ix).filter(|job| !job.over()) else { return };
        job.called_off = true;
        job.cancelled_after = after;
        self.stop_job(ix);
    }

    /// Removes a job that the store no longer has.
    pub fn forget_job(&mut self, id: &JobId) {
        let Some(ix) = self.job_names.get(id) else { return };
        if self.attempts.of_job(ix).is_empty() {
            self.jobs.remove(&ix);
        }
    }

    /// Applies machine types that were read from the store.
    pub fn apply_types(&mut self, types: &MachineTypes) {
        self.catalog.add_types(types);
    }

    fn stop_job(&mut self, ix: u32) {
        if !self.jobs.contains_key(&ix) {
            return;
        }
        self.ending.insert(ix);
        self.direct_wanted.extend(self.attempts.of_job(ix).machines());
        for id in self.attempts.ids_of_job(ix) {
            self.attempts.update(id, |attempt| {
                attempt.stop = Some(StopReason::Cancelled);
                attempt.stop_sent = 0;
            });
        }
    }

    /// Replays the log, oldest segment first.
    fn replay(&mut self, segments: Vec<(u32, u64, log::Segment)>, now: f64) {
        let mut live: BTreeMap<u64, (log::Assigned, u64)> = BTreeMap::new();
        for (slot, version, segment) in segments {
            let (mut attempts, mut chunks) = (Vec::new(), Vec::new());
            // Jobs that are not in the store any more are over, with all of their tasks.
            for progress in segment.progress {
                let Some(ix) = self.job_names.get(&progress.job) else { continue };
                let Some(job) = self.jobs.get_mut(&ix) else { continue };
                job.done.add_chunk(progress.chunk, &progress.done, job.spec.tasks);
                job.restarted.add_chunk(progress.chunk, &progress.restarted, job.spec.tasks);
                job.progress_segment.insert(progress.chunk, segment.seq);
                chunks.push((ix, progress.chunk));
            }
            for assigned in segment.assigned {
                attempts.push(assigned.attempt);
                live.insert(assigned.attempt, (assigned, segment.seq));
            }
            for released in segment.released {
                live.remove(&released.attempt);
                let Some(ix) = self.job_names.get(&released.job) else { continue };
                let Some(job) = self.jobs.get_mut(&ix) else { continue };
                let bits = match released.end {
                    Outcome::Done => &mut job.done,
                    Outcome::Restart => &mut job.restarted,
                    Outcome::Again => continue,
                };
                if released.index < job.spec.tasks {
                    bits.add(released.index);
                    chunks.push((ix, released.index / crate::keys::CHUNK));
                }
            }
            self.commits.add_segment(slot, version, segment.seq, attempts, chunks);
        }
        let mut assigned: HashMap<u32, HashSet<u32>> = HashMap::new();
        for (id, (row, seq)) in live {
            let Some(ix) = self.job_names.get(&row.job).filter(|ix| self.jobs.contains_key(ix))
            else {
                // Jobs are cleared only after their last attempt was released.
                tracing::error!(job = %row.job, machine = row.machine, "attempt of a job that is not in the store");
                continue;
            };
            assigned.entry(ix).or_default().insert(row.index);
            self.restore(now, ix, id, row, seq);
        }
        let mut ended = Vec::new();
        let mut broken = Vec::new();
        for (ix, job) in &mut self.jobs {
            if job.is_gang() && job.done.count() > 0 {
                // One of a gang's tasks tells of all: they complete together.
                (0..job.spec.tasks).for_each(|index| _ = job.done.add(index));
            }
            let there = assigned.get(ix);
            let none_on_machines = self.attempts.of_job(*ix).is_empty();
            job.pending
                .retain(|at| !job.done.has(*at) && !there.is_some_and(|set| set.contains(at)));
            if job.done.count() == job.spec.tasks && job.final_state.is_none() {
                self.commits.finished.insert(*ix);
            }
            if job.final_state.is_some() && !none_on_machines {
                self.commits.cleared.remove(ix);
            }
            if job.is_gang() && !job.over() && !none_on_machines && !job.pending.is_empty() {
                // Part of it was committed when its leader ended, or a task of it is gone
                // already. It begins anew as a whole.
                broken.push(*ix);
            }
            for id in self.attempts.ids_of_job(*ix) {
                self.attempts.update(id, |attempt| {
                    if job.done.has(attempt.index) && !job.is_gang() {
                        // Its finish was stored upon a report of its exit: that is the proof.
                        ended.push(id);
                    } else if job.cancelled() {
                        attempt.stop = Some(StopReason::Cancelled);
                        self.ending.insert(*ix);
                    }
                });
            }
        }
        for id in ended {
            self.release(id, Outcome::Done);
        }
        for ix in broken {
            self.stop_gang(ix, StopReason::Regroup);
        }
        self.reclaim();
    }

    fn restore(&mut self, now: f64, job_ix: u32, id: u64, row: log::Assigned, seq: u64) {
        let machine_ix = self.cluster.machine_names.intern(&row.machine);
        let machine = self
            .cluster
            .machines
            .entry(machine_ix)
            .or_insert_with(|| Machine::restored(&row.machine, now));
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        machine.attempts.insert(id);
        machine.used += job.room;
        machine.used_image(job.image, job.spec.image_gb, f64::INFINITY);
        job.count_zone(machine.zone, 1);
        self.teams[job.team as usize].used += job.room;
        self.attempts.insert(
            id,
            Attempt {
                job: job_ix,
                index: row.index,
                machine: machine_ix,
                zone: machine.zone,
                session: row.session,
                phase: Phase::Live,
                seen: None,
                run_since: None,
                stop: None,
                stop_sent: 0,
                sent: true,
                room: job.room,
                image: job.image,
                restored: true,
                logged: seq,
            },
        );
    }

    /// Marks an attempt as off its machine. It keeps its room until that is committed.
    fn release(&mut self, id: u64, outcome: Outcome) {
        let released = self.attempts.update(id, |attempt| {
            let live = attempt.phase == Phase::Live;
            if live {
                attempt.phase = Phase::Releasing(outcome);
            }
            live.then_some((attempt.job, attempt.index))
        });
        let Some((job_ix, index)) = released.flatten() else { return };
        self.commits.released.insert(id);
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        if job.is_gang() && outcome == Outcome::Done {
            // The tasks of a gang complete together: one that is done tells of all.
            if job.done.count() < job.spec.tasks {
                (0..job.spec.tasks).for_each(|index| _ = job.done.add(index));
            }
            self.changed_counts.insert(job_ix);
            if job.final_state.is_none() {
                self.commits.finished.insert(job_ix);
            }
        } else if job.is_gang() && !job.over() && !self.still_waits(job_ix) {
            self.stop_gang(job_ix, StopReason::Regroup);
        }
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        if outcome == Outcome::Restart {
            job.restarted.add(index);
        }
        if outcome == Outcome::Done && job.done.add(index) {
            self.changed_counts.insert(job_ix);
            if job.done.count() == job.spec.tasks && job.final_state.is_none() {
                self.commits.finished.insert(job_ix);
            }
        }
    }

    /// Whether a gang has not started and is not being stopped: a task of it that is gone
    /// can be replaced under the same number while the others wait. Of what an earlier
    /// leader placed it is not known whether it has run.
    fn still_waits(&self, job_ix: u32) -> bool {
        self.jobs.contains_key(&job_ix) && self.attempts.of_job(job_ix).none_begun()
    }

    /// Gangs that lack a task and find no place for it begin anew, rather than hold
    /// machines until they give up by themselves.
    fn end_incomplete(&mut self, now: f64) {
        let gangs = self.jobs.iter().filter(|(ix, job)| {
            let waits_s = job.waits_since.map_or(0.0, |since| now - since);
            job.is_gang()
                && !self.attempts.of_job(**ix).is_empty()
                && !job.pending.is_empty()
                && waits_s > REPLACE_S
        });
        for ix in gangs.map(|(ix, _)| *ix).collect::<Vec<_>>() {
            self.stop_gang(ix, StopReason::Regroup);
        }
    }

    /// Stops all tasks of a gang that are not being stopped yet: one decision for all,
    /// sent to all at once.
    fn stop_gang(&mut self, job_ix: u32, why: StopReason) {
        if !self.jobs.contains_key(&job_ix) {
            return;
        }
        // Each task that ends asks for this: only the first time there is something to
        // stop, and the machines are gathered when the next command is sent.
        self.direct_gangs.insert(job_ix);
        if self.attempts.of_job(job_ix).all_stopping() {
            return;
        }
        for id in self.attempts.ids_of_job(job_ix) {
            self.attempts.update(id, |attempt| _ = attempt.stop.get_or_insert(why));
        }
    }

    /// The room of an attempt is free: its release is committed, or it never was.
    fn free(&mut self, id: u64, outcome: Outcome, now: f64) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        if let Some(machine) = self.cluster.machines.get_mut(&attempt.machine) {
            machine.attempts.remove(&id);
            machine.used -= attempt.room;
            if machine.attempts.is_empty() {
                machine.idle_since = now;
            }
        }
        if let Some(job) = self.jobs.get_mut(&attempt.job) {
            self.teams[job.team as usize].used -= attempt.room;
            job.count_zone(attempt.zone, -1);
            if outcome != Outcome::Done {
                job.requeue(attempt.index, outcome == Outcome::Restart, now);
            }
            if job.final_state.is_some() && self.attempts.of_job(attempt.job).is_empty() {
                self.commits.cleared.insert(attempt.job);
            }
            self.changed_counts.insert(attempt.job);
        }
        self.round_wanted = true;
    }

    /// A machine's zone is known from now; it may not have been after a takeover.
    fn set_zone(&mut self, ix: u32, zone: u32) {
        let Some(machine) = self.cluster.machines.get_mut(&ix) else { return };
        if machine.zone == Some(zone) {
            return;
        }
        machine.zone = Some(zone);
        for id in &machine.attempts {
            self.attempts.update(*id, |attempt| {
                if let Some(job) = self.jobs.get_mut(&attempt.job) {
                    job.count_zone(attempt.zone, -1);
                    job.count_zone(Some(zone), 1);
                }
                attempt.zone = Some(zone);
            });
        }
    }

    /// The jobs whose counts have changed since this was last asked.
    pub fn take_counts(&mut self) -> Vec<(JobId, Display)> {
        let told = std::mem::take(&mut self.changed_counts);
        let jobs = told.iter().filter_map(|ix| Some((*ix, self.jobs.get(ix)?)));
        jobs.filter(|(_, job)| !job.over())
            .map(|(ix, job)| {
                let running = self.attempts.of_job(ix).len() as u32;
                (job.id.clone(), Display { done: job.done.count(), running })
            })
            .collect()
    }

    /// The number under which a worker knows an attempt. The tasks of a gang share
    /// one: that is how they find one another.
    fn reported_attempt(&self, id: u64) -> u64 {
        let Some(attempt) = self.attempts.get(id) else { return id };
        let gang = self.jobs.get(&attempt.job).is_some_and(Job::is_gang);
        if gang { id - u64::from(attempt.index) } else { id }
    }

    /// The attempt that a worker speaks of.
    fn attempt_id(&self, reported: &TaskReport) -> u64 {
        let job = self.job_names.get(&reported.task.job).and_then(|ix| self.jobs.get(&ix));
        match job {
            Some(job) if job.is_gang() => {
                reported.attempt.saturating_add(u64::from(reported.task.index))
            }
            _ => reported.attempt,
        }
    }

    /// Whether the leader wants a new token before it goes on: a commit had no answer.
    pub fn wants_fence(&self) -> bool {
        self.fence
            || self.next_attempt + 2 * u64::from(MAX_TASKS) > (self.token + 1) * ATTEMPTS_PER_TOKEN
    }

    /// Whether none of a zone's machines is heard although by their number some should
    /// be: work that is placed there now would wait behind a cut.
    fn is_quiet(&self, zone: u32, now: f64) -> bool {
        self.zones.get(&zone).is_some_and(|view| {
            let workers = &self.params.workers;
            let due_s = QUIET_REPORTS * workers.report_s / view.reporting.max(1) as f64;
            now - view.heard_at > due_s.clamp(QUIET_LEAST_S, workers.late_s())
        })
    }

    /// Machines that should report, and how long none of them has.
    pub fn silence(&self, now: f64) -> (usize, f64) {
        (self.reporting, now - self.heard_at)
    }

    /// Time at which this token began.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// The next transaction, if one is due.
    pub fn next_commit(&mut self, now: f64, budget: &mut gladekeel_store::Bucket) -> Option<Txn> {
        self.build_commit(now, budget)
    }

    /// Decides what is due: a round, the fleet's size. `zone` is the leader's own,
    /// `heard_zones` are those of the controllers that it hears.
    pub fn tick(&mut self, now: f64, options: &Options, zone: &str, heard_zones: &[&str]) {
        if now - self.ticked_at > LAG_S {
            self.lagged_at = now;
        }
        self.ticked_at = now;
        self.cluster.counts.attempt_lookups += self.attempts.take_lookups();
        self.watch_machines(now);
        self.fence |= self.has_unsettled_start(now);
        // What looks at every machine is done once a round at the most. Dead machines are
        // found also while a new token is awaited: that may take as long as an outage.
        let upkeep = now - self.upkeep_at >= options.round_s;
        if upkeep {
            self.upkeep_at = now;
            self.direct_wanted.append(&mut self.undelivered_stops);
            self.find_dead(now, options, zone, heard_zones);
            self.end_cancelled(now);
        }
        if self.fence || self.placing_stopped {
            return;
        }
        let since = now - self.round_at;
        if since >= options.round_s || (self.round_wanted && since >= options.round_s / 4.0) {
            self.round_at = now;
            self.round_wanted = false;
            self.cluster.counts.rounds += 1;
            self.round(now, options);
        }
        if upkeep {
            self.restart_slow(now, options);
            self.make_room(now, options);
            self.count_spend(now);
            self.end_incomplete(now);
            self.keep_standby(now);
            self.size_fleet(now, options);
        }
    }

    /// Places nothing, and makes no room, as long as `stopped` holds: something in the store
    /// cannot be read. What runs goes on, and cancellations end what they should.
    pub fn stop_placing(&mut self, stopped: bool) {
        self.placing_stopped = stopped;
    }

    /// The next request to the cloud, if one is due.
    pub fn next_cloud(&mut self, now: f64) -> Option<CloudCall> {
        self.next_cloud_call(now)
    }

    /// Applies an answer of the cloud.
    pub fn cloud_answered(&mut self, now: f64, call: &CloudCall, outcome: CloudOutcome) {
        self.on_cloud(now, call, outcome);
    }

    /// Applies an operator's order to drain a machine, or its end.
    pub fn apply_drain(&mut self, world: &World, name: &str) {
        let wanted = world.drains.contains_key(name);
        self.set_drain_version(name, world.drains.get(name).copied());
        let ix = self.cluster.machine_names.get(name);
        if let Some(machine) = ix.and_then(|ix| self.cluster.machines.get_mut(&ix)) {
            machine.drained = wanted;
            self.cluster.leaving.extend(ix);
        } else if wanted && self.cluster.cloud.is_gone(name) {
            self.commits.drains.insert(name.to_owned());
        }
    }

    /// Machines with their states.
    pub fn machine_status(&self, now: f64) -> Vec<MachineStatus> {
        let name = |names: &Interner<String>, ix: Option<u32>| ix.map(|ix| names.name(ix).clone());
        self.cluster
            .machines
            .values()
            .filter(|machine| !machine.gone)
            .map(|machine| MachineStatus {
                machine: machine.name.clone(),
                state: machine.state().into(),
                machine_type: name(&self.catalog.kinds, machine.kind),
                zone: name(&self.catalog.zones, machine.zone),
                spot: machine.spot,
                tasks: machine.attempts.len(),
                quiet_s: machine.heard_at.map(|at| now - at),
            })
            .collect()
    }

    /// Segments of the log in use.
    pub fn log_segments(&self) -> usize {
        self.commits.segment_count()
    }

    /// Age of the oldest unfinished job.
    pub fn oldest_job_s(&self, now: f64) -> Option<f64> {
        let open = self.jobs.values().filter(|job| !job.over());
        open.map(|job| now - job.known_at).max_by(f64::total_cmp)
    }

    /// Unfinished jobs: how many, and their tasks on no machine.
    pub fn queue(&self) -> (usize, u64) {
        let open = self.jobs.values().filter(|job| !job.over());
        open.fold((0, 0), |(jobs, tasks), job| (jobs + 1, tasks + job.pending.len() as u64))
    }
}
