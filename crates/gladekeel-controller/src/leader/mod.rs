//! The leading controller: what should be, what is, and the steps between.
//!
//! Jobs and the assignments of their tasks are the wanted state; the store holds
//! what has been committed of it, and workers' reports say what is. Every step
//! follows the rules of `docs/safety.md`.

mod commit;
mod direct;
mod fleet;
mod model;
mod report;
mod rounds;

pub use direct::{DirectCall, DirectOutcome};
pub use model::{Attempt, Job, Machine, Phase, StopWhy};

use crate::{
    cloud::{CloudCall, CloudOutcome},
    keys,
    options::Options,
    world::World,
};
use commit::Commits;
use fleet::Fleet;
use gladekeel_sched::{Interner, Room, place::Team};
use gladekeel_wire::{
    JobId,
    admin::MachineStatus,
    cloud::MachineTypes,
    job::{Kind, MAX_TASKS},
    settings::Params,
    state::Txn,
    worker::TaskReport,
};
use model::Catalog;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};

/// Attempts that one token can name; the number of an attempt is the token
/// times this plus a counter, so that no two leaders ever name the same.
const ATTEMPTS_PER_TOKEN: u64 = 1 << 24;

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
    /// Commits made, and writes in them.
    pub commits: u64,
    /// Writes in them.
    pub writes: u64,
    /// Estimate of the money spent, by what machines were doing.
    pub spend: Spend,
}

/// Money by what machines were doing; parts of a machine count as parts.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Spend {
    /// Not up yet.
    pub boot: f64,
    /// Up without any work.
    pub idle: f64,
    /// Room left over beside work.
    pub gaps: f64,
    /// Assigned, not running yet: on the way, fetching.
    pub waiting: f64,
    /// Running.
    pub running: f64,
}

/// What the leader knows besides what is in the store. It outlives a change of
/// token, and is rebuilt from reports and lists by a new leader.
#[derive(Debug, Default)]
pub struct Knowledge {
    machine_names: Interner<String>,
    machines: BTreeMap<u32, Machine>,
    fleet: Fleet,
    /// Run time over the owner's estimate, learned by class.
    ratios: HashMap<String, f64>,
    /// Counters.
    pub counts: Counts,
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
    know: Knowledge,
    jobs: BTreeMap<u32, Job>,
    job_names: Interner<JobId>,
    attempts: BTreeMap<u64, Attempt>,
    teams: Vec<Team>,
    commits: Commits,
    next_attempt: u64,
    round_at: f64,
    round_wanted: bool,
    spend_at: f64,
    spend_told: f64,
    salt: u64,
    fence: bool,
    /// Machines for which there may be direct commands.
    direct_wanted: BTreeSet<u32>,
}

impl Leader {
    /// Builds a leader from the store as of its token or later.
    ///
    /// Every attempt in a page counts as on its machine until there is proof of
    /// the contrary; a task in no page is on no machine, since no `run` is sent
    /// without a commit that this token would have made fail.
    pub fn new(
        world: &World,
        token: u64,
        now: f64,
        epoch: f64,
        params: Rc<Params>,
        salt: u64,
        know: Option<Knowledge>,
    ) -> Leader {
        let catalog = Catalog::new(&params, world.types.as_ref().map(|(types, _)| types.clone()));
        let teams = params
            .teams
            .iter()
            .map(|team| Team {
                guarantee: Room::offered(team.cpus, team.gpus, 0.0),
                limit: Room::offered(team.cpus_max, team.gpus_max, 0.0),
                used: Room::default(),
            })
            .collect();
        let mut leader = Leader {
            token,
            since: now,
            epoch,
            params,
            catalog,
            know: know.unwrap_or_default(),
            jobs: BTreeMap::new(),
            job_names: Interner::default(),
            attempts: BTreeMap::new(),
            teams,
            commits: Commits::new(world),
            next_attempt: token * ATTEMPTS_PER_TOKEN,
            round_at: now,
            round_wanted: true,
            spend_at: now,
            spend_told: now,
            salt,
            fence: false,
            direct_wanted: BTreeSet::new(),
        };
        leader.know.renew(now);
        let mut ids: Vec<(&JobId, u64)> =
            world.jobs.iter().map(|(id, job)| (id, job.version)).collect();
        ids.sort_by_key(|(_, version)| *version);
        for (id, _) in ids {
            leader.learn_job(world, id, now);
        }
        for (page, (record, _)) in &world.pages {
            for (machine, session, tasks) in &record.m {
                for (job, index, attempt) in tasks {
                    leader.restore(now, *page, machine, *session, job, *index, *attempt);
                }
            }
        }
        leader.finish_restored();
        tracing::info!(
            token,
            jobs = leader.jobs.len(),
            attempts = leader.attempts.len(),
            "leading"
        );
        leader
    }

    /// What outlives the token, for the next one.
    pub fn into_knowledge(self) -> Knowledge {
        self.know
    }

    /// Counters so far.
    pub fn counts(&self) -> &Counts {
        &self.know.counts
    }

    /// Takes in a job that is new in the store.
    pub fn learn_job(&mut self, world: &World, id: &JobId, now: f64) {
        let Some(stored) = world.jobs.get(id) else { return };
        let ix = self.job_names.intern(id);
        if self.jobs.contains_key(&ix) {
            return;
        }
        let Some(team) = self.catalog.teams.get(stored.spec.team.as_str()) else {
            tracing::error!(job = %id, team = stored.spec.team, "job of an unknown team");
            return;
        };
        let (done, restarted) = world.finished(id, stored.spec.tasks);
        let mut job = Job::new(&mut self.catalog, id.clone(), stored, team, now, done, restarted);
        if let Some(accepted) = stored.accepted_at {
            job.known_at = (accepted - self.epoch).min(now);
        }
        job.fate = world.fates.get(id).copied();
        self.jobs.insert(ix, job);
        self.round_wanted = true;
    }

    /// Takes in a final state that is new in the store.
    pub fn learn_fate(&mut self, world: &World, id: &JobId) {
        let Some(ix) = self.job_names.get(id) else { return };
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        job.fate = world.fates.get(id).copied();
        if job.cancelled() {
            self.stop_job(ix);
        }
    }

    /// Takes in that the store no longer has a job.
    pub fn forget_job(&mut self, id: &JobId) {
        let Some(ix) = self.job_names.get(id) else { return };
        if self.jobs.get(&ix).is_some_and(|job| job.assigned == 0) {
            self.jobs.remove(&ix);
        }
    }

    /// Takes in machine types.
    pub fn learn_types(&mut self, types: &MachineTypes) {
        self.catalog.learn(types);
    }

    fn stop_job(&mut self, ix: u32) {
        for attempt in self.attempts.values_mut().filter(|a| a.job == ix) {
            attempt.stop = Some(StopWhy::Cancelled);
            attempt.stop_sent = 0;
            self.direct_wanted.insert(attempt.machine);
        }
    }

    #[allow(clippy::too_many_arguments, reason = "one row of a page, spelled out")]
    fn restore(
        &mut self,
        now: f64,
        page: usize,
        machine: &str,
        session: u64,
        job: &JobId,
        index: u32,
        attempt: u64,
    ) {
        let Some(job_ix) = self.job_names.get(job).filter(|ix| self.jobs.contains_key(ix)) else {
            // Jobs are cleared only after their last attempt has left the pages.
            tracing::error!(%job, machine, "attempt of a job that is not in the store");
            self.commits.dirty_page(page);
            return;
        };
        let machine_ix = self.know.machine_names.intern(&machine.to_owned());
        let machine =
            self.know.machines.entry(machine_ix).or_insert_with(|| Machine::restored(machine, now));
        machine.page = Some(page);
        machine.attempts.push(attempt);
        let task = &self.jobs[&job_ix].room;
        machine.used += *task;
        self.commits.pages[page].machines.insert(machine_ix);
        self.attempts.insert(
            attempt,
            Attempt {
                job: job_ix,
                index,
                machine: machine_ix,
                session,
                phase: Phase::Live,
                seen: None,
                run_since: None,
                stop: None,
                stop_sent: 0,
                sent: true,
                room: *task,
                restored: true,
            },
        );
    }

    fn finish_restored(&mut self) {
        let attempts: Vec<u64> = self.attempts.keys().copied().collect();
        for id in attempts {
            let attempt = &self.attempts[&id];
            let (job_ix, index, room) = (attempt.job, attempt.index, attempt.room);
            let Some(job) = self.jobs.get_mut(&job_ix) else { continue };
            job.assigned += 1;
            job.take_pending(index);
            let (team, done) = (job.team, job.done.has(index));
            let cancelled = job.cancelled();
            self.teams[team as usize].used += room;
            if done {
                // Its finish was committed upon a report of its exit: that is the proof.
                self.release(id, model::Outcome::Done);
            } else if cancelled && let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.stop = Some(StopWhy::Cancelled);
            }
        }
    }

    /// Marks an attempt as off its machine. It keeps its room until that is committed.
    fn release(&mut self, id: u64, outcome: model::Outcome) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.phase != Phase::Live {
            return;
        }
        attempt.phase = Phase::Releasing(outcome);
        if let Some(page) = self.know.machines.get(&attempt.machine).and_then(|m| m.page) {
            self.commits.dirty_page(page);
        }
        let job_ix = attempt.job;
        if outcome != model::Outcome::Done
            && self.jobs.get(&job_ix).is_some_and(|job| job.spec.kind == Kind::Gang)
        {
            // A gang runs whole: the others stop and start again together.
            for other in self.attempts.values_mut().filter(|other| other.job == job_ix) {
                other.stop.get_or_insert(StopWhy::Regroup);
                self.direct_wanted.insert(other.machine);
            }
        }
        let Some(attempt) = self.attempts.get(&id) else { return };
        if outcome == model::Outcome::Done
            && let Some(job) = self.jobs.get_mut(&attempt.job)
            && job.done.add(attempt.index)
        {
            self.commits.progress.insert((attempt.job, attempt.index / keys::CHUNK));
        }
    }

    /// The room of an attempt is free: its release is committed, or it never was.
    fn free(&mut self, id: u64, outcome: model::Outcome, now: f64) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if let Some(machine) = self.know.machines.get_mut(&attempt.machine) {
            machine.attempts.retain(|other| *other != id);
            machine.used -= attempt.room;
            if machine.attempts.is_empty() {
                machine.idle_since = now;
                if let Some(page) = machine.page.take() {
                    self.commits.pages[page].machines.remove(&attempt.machine);
                }
            }
        }
        if let Some(job) = self.jobs.get_mut(&attempt.job) {
            self.teams[job.team as usize].used -= attempt.room;
            job.assigned -= 1;
            if outcome != model::Outcome::Done {
                job.give_back(attempt.index, outcome == model::Outcome::Restart, now);
            }
        }
        self.round_wanted = true;
    }

    /// The number under which a worker knows an attempt. The tasks of a gang share
    /// one: that is how they find one another.
    fn number(&self, id: u64) -> u64 {
        let attempt = &self.attempts[&id];
        let gang = self.jobs.get(&attempt.job).is_some_and(|job| job.spec.kind == Kind::Gang);
        if gang { id - u64::from(attempt.index) } else { id }
    }

    /// The attempt that a worker speaks of.
    fn attempt_of(&self, reported: &TaskReport) -> u64 {
        let job = self.job_names.get(&reported.task.job).and_then(|ix| self.jobs.get(&ix));
        match job {
            Some(job) if job.spec.kind == Kind::Gang => {
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

    /// Machines that reported within the last `within_s`, and machines that should report.
    pub fn heard(&self, now: f64, within_s: f64) -> (usize, usize) {
        let up: Vec<&Machine> = self.know.machines.values().filter(|m| m.should_report()).collect();
        let heard = up.iter().filter(|m| m.heard_at.is_some_and(|at| now - at <= within_s));
        (heard.count(), up.len())
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
        self.watch_machines(now);
        self.fence |= self.loose_start(now);
        let due = now - self.round_at >= options.round_s
            || (self.round_wanted && now - self.round_at >= options.round_s / 4.0);
        if due && !self.fence {
            self.round_at = now;
            self.round_wanted = false;
            self.know.counts.rounds += 1;
            self.count_spend(now);
            self.round(now, options);
            self.find_dead(now, options, zone, heard_zones);
            self.size_fleet(now, options);
        }
    }

    /// The next request to the cloud, if one is due.
    pub fn next_cloud(&mut self, now: f64) -> Option<CloudCall> {
        self.next_cloud_call(now)
    }

    /// Takes in what the cloud answered.
    pub fn cloud_answered(&mut self, now: f64, call: &CloudCall, outcome: CloudOutcome) {
        self.on_cloud(now, call, outcome);
    }

    /// Takes in which machines operators want drained.
    pub fn learn_drains(&mut self, world: &World) {
        for machine in self.know.machines.values_mut() {
            machine.drained = world.drains.contains_key(&machine.name);
        }
        let gone = |name: &&String| {
            let ix = self.know.machine_names.get(name.as_str());
            !ix.is_some_and(|ix| self.know.machines.contains_key(&ix))
        };
        // Only what this leader saw go: others may not have been heard of yet.
        let gone = world.drains.iter().filter(|(name, _)| gone(name));
        let gone = gone.filter(|(name, _)| self.know.fleet.is_gone(name));
        self.commits.drains = gone.map(|(name, version)| (name.clone(), *version)).collect();
    }

    /// Machines with their states.
    pub fn machine_status(&self, now: f64) -> Vec<MachineStatus> {
        let name = |names: &Interner<String>, ix: Option<u32>| ix.map(|ix| names.name(ix).clone());
        self.know
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
