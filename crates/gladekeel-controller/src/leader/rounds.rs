//! A round of decisions: restarts, placements, preemption.

use super::{Attempt, Job, Leader, Phase, StopReason, attempt::Outcome};
use crate::options::Options;
use gladekeel_sched::{
    place,
    preempt::{Victim, Victims},
    restart,
};
use gladekeel_wire::{job::Kind, worker::TaskState};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// One in so many machines may have tasks stopped for others in a round.
const STOPPING: usize = 20;
/// A job that has waited for longer with nothing on any machine goes first.
const PATIENCE_S: f64 = 60.0;
/// A job that has waited for longer with nothing on any machine may use what is kept for
/// gangs.
const STARVED_S: f64 = 75.0;
/// Gangs for which room is sought among what could be stopped, in one round.
const GANGS_AT_ONCE: usize = 4;
/// Rounds in which the search for slow machines comes around.
const SLOW_ROUNDS: usize = 5;

/// A round with the leader's indices beside its own.
struct RoundInput {
    round: place::Round,
    jobs: Vec<u32>,
    machines: Vec<u32>,
}

impl Leader {
    pub(super) fn round(&mut self, now: f64, options: &Options) {
        if self.jobs.values().all(|job| job.pending.is_empty()) {
            return;
        }
        let mut input = self.round_input(now, false);
        let mut gangs: BTreeMap<u32, u64> = BTreeMap::new();
        let pending: u32 = input.round.jobs.iter().map(|job| job.pending).sum();
        let placements = input.round.place(&options.hopper);
        self.cluster.counts.looked += input.round.looked;
        tracing::debug!(
            machines = input.machines.len(),
            pending,
            placed = placements.len(),
            most = input.round.most,
            "round"
        );
        for placement in placements {
            let (job, machine) = (input.jobs[placement.job], input.machines[placement.machine]);
            let gang = input.round.jobs[placement.job].gang.then(|| {
                *gangs.entry(job).or_insert_with(|| {
                    let gang = &self.jobs[&job];
                    if !self.attempts.of_job(job).is_empty() {
                        // A task that is gone is replaced; the others wait for it.
                        return gang.number;
                    }
                    let first = self.next_attempt;
                    self.next_attempt += u64::from(gang.spec.tasks);
                    first
                })
            });
            self.propose(job, machine, gang, now);
        }
        for job in self.jobs.values_mut().filter(|job| !job.over() && !job.pending.is_empty()) {
            job.waits_since.get_or_insert(now);
        }
    }

    /// The round as things are; full machines are in it only if `full`.
    fn round_input(&self, now: f64, full: bool) -> RoundInput {
        let most = self.commits.batch(&self.params);
        let mut input = RoundInput {
            round: place::Round { most, teams: self.teams.clone(), ..Default::default() },
            jobs: Vec::new(),
            machines: Vec::new(),
        };
        let late_s = self.params.workers.late_s();
        let zones = self.zones.keys().copied();
        let quiet: BTreeSet<u32> = zones.filter(|zone| self.is_quiet(*zone, now)).collect();
        // What is kept for gangs is given up before anybody has waited too long for it.
        let starved = self.jobs.iter().any(|(ix, job)| {
            let waits = !job.over()
                && !job.is_gang()
                && self.attempts.of_job(*ix).is_empty()
                && now >= job.hold_until;
            waits && job.waits_since.is_some_and(|since| now - since > STARVED_S)
        });
        for (ix, machine) in &self.cluster.machines {
            let (Some(kind), Some(zone)) = (machine.kind, machine.zone) else { continue };
            let Some(whole) = self.catalog.room(kind) else { continue };
            if machine.leaving() || machine.heard_at.is_none() {
                continue;
            }
            input.round.whole += whole;
            let free = whole - machine.used;
            // One that answers and does not report will lose its tasks with its lease.
            let open = now - machine.quiet_since.min(machine.reported.0) < late_s
                && now >= machine.hold_until
                && machine.hears()
                && !quiet.contains(&zone);
            if !full && (!open || free.cpus <= 0 || free.memory <= 0) {
                continue;
            }
            input.machines.push(*ix);
            input.round.machines.push(place::Machine {
                whole,
                free,
                kind,
                zone,
                spot: machine.spot,
                images: machine.images.iter().map(|(image, _)| *image).collect(),
                ready: machine.ready.iter().copied().collect(),
                // Whether one of its tasks waits for an image, as far as known.
                fetching: self
                    .attempts
                    .images_not_run(*ix)
                    .any(|image| !machine.ready.contains(&image)),
                open,
                standby: machine.standby && !starved,
            });
        }
        for (ix, job) in self.jobs.iter().filter(|(_, job)| !job.over()) {
            // After a takeover the zone of a machine may not be known yet; jobs whose
            // tasks must be in certain zones relative to one another wait for it.
            let zones_matter = job.spec.one_zone || job.spec.spread;
            let held = now < job.hold_until || (zones_matter && job.zone_unknown > 0);
            let array = job.spec.kind == Kind::Array;
            // A gang that waits has nothing on any machine; of an array that is so as
            // long as its share rounds down to nothing or room comes in small pieces.
            let nowhere = self.attempts.of_job(*ix).is_empty();
            let idle = (!array || nowhere) && job.spec.kind != Kind::Service;
            let waited = job.waits_since.filter(|_| idle).map_or(0.0, |since| now - since);
            input.jobs.push(*ix);
            input.round.jobs.push(place::Job {
                team: job.team,
                priority: job.spec.priority as u8,
                task: job.room,
                remaining: job.remaining(),
                pending: if held { 0 } else { job.pending.len() as u32 },
                restarts: if held { 0 } else { job.restarts },
                image: job.image,
                kinds: job.kinds.clone(),
                zone: job.zone,
                one_zone: job.spec.one_zone,
                zone_cap: if job.spec.spread { job.spec.tasks.div_ceil(2) } else { u32::MAX },
                spot: job.spec.spot,
                by_zone: job.by_zone.clone(),
                gang: job.is_gang(),
                completes: !nowhere && self.still_waits(*ix),
                // A gang looks for the image before all else, in any case.
                hurried: !job.is_gang() && job.hurried(&self.params, self.fetch_s(job), now),
                overdue: (waited - PATIENCE_S).max(0.0).ceil() as u32,
            });
        }
        input
    }

    /// Decides that a job's next task goes to a machine; `gang` is the number that
    /// the tasks of a gang share.
    fn propose(&mut self, job_ix: u32, machine_ix: u32, gang: Option<u64>, now: f64) {
        let (Some(job), Some(machine)) =
            (self.jobs.get_mut(&job_ix), self.cluster.machines.get_mut(&machine_ix))
        else {
            return;
        };
        let Some(index) = job.next_pending() else { return };
        let id = gang.map_or(self.next_attempt, |first| first + u64::from(index));
        self.next_attempt += u64::from(gang.is_none());
        job.number = gang.unwrap_or(id);
        job.count_zone(machine.zone, 1);
        if job.pending.is_empty() {
            job.waits_since = None;
        }
        let cache = machine
            .kind
            .and_then(|kind| self.catalog.machine_type(kind))
            .map_or(0.0, |machine_type| machine_type.cache_gb);
        let cached = machine.images.iter().any(|(image, _)| *image == job.image);
        machine.used_image(job.image, job.spec.image_gb, cache);
        machine.attempts.insert(id);
        machine.used += job.room;
        self.teams[job.team as usize].used += job.room;
        self.attempts.insert(
            id,
            Attempt {
                job: job_ix,
                index,
                machine: machine_ix,
                zone: machine.zone,
                session: machine.newest.0,
                phase: Phase::Proposed,
                seen: None,
                run_since: None,
                stop: None,
                stop_sent: 0,
                sent: false,
                room: job.room,
                image: job.image,
                restored: false,
                logged: 0,
            },
        );
        self.commits.proposed.insert(id);
        self.changed_counts.insert(job_ix);
        tracing::debug!(job = %job.id, index, machine = machine.name, cached, now, "placed");
    }

    /// Stops tasks that are slow on machines where everything is. Looks at some of the
    /// machines each time.
    pub(super) fn restart_slow(&mut self, now: f64, options: &Options) {
        let some = self.cluster.machines.len() / SLOW_ROUNDS + 1;
        let mut range = self.cluster.machines.range(self.slow_from..);
        let machines: Vec<u32> = range.by_ref().take(some).map(|(ix, _)| *ix).collect();
        self.slow_from = range.next().map_or(0, |(ix, _)| *ix);
        let mut ids = Vec::new();
        let mut runs = Vec::new();
        let mut medians: HashMap<u32, Option<f64>> = HashMap::new();
        for id in machines.iter().flat_map(|ix| &self.cluster.machines[ix].attempts) {
            let Some(attempt) = self.attempts.get(*id) else { continue };
            let (Some(since), Phase::Live) = (attempt.run_since, attempt.phase) else { continue };
            let Some(job) = self.jobs.get(&attempt.job) else { continue };
            let median = *medians.entry(attempt.job).or_insert_with(|| job.median());
            ids.push(*id);
            runs.push(restart::Run {
                machine: attempt.machine,
                ran_s: now - since,
                median_s: median,
                may_restart: job.spec.kind == Kind::Array
                    && attempt.stop.is_none()
                    && !job.restarted.has(attempt.index)
                    && attempt.seen == Some(TaskState::Running),
            });
        }
        for slow in restart::slow(&runs, options.restart_multiple) {
            let id = ids[slow];
            self.attempts.update(id, |attempt| attempt.stop = Some(StopReason::Slow));
            if let Some(attempt) = self.attempts.get(id) {
                self.direct_wanted.insert(attempt.machine);
                let (job, machine) = (
                    self.job_names.name(attempt.job),
                    self.cluster.machine_names.name(attempt.machine),
                );
                tracing::info!(%job, index = attempt.index, machine, ran_s = runs[slow].ran_s, "slow: starts anew");
            }
        }
    }

    /// Stops tasks for others that have a better claim and found no room.
    pub(super) fn make_room(&mut self, now: f64, options: &Options) {
        let first = options.preempt_after_s.min(options.preempt_saving_after_s);
        let waited = |leader: &Leader, ix: u32| {
            let job = leader.jobs.get(&ix)?;
            (now >= job.hold_until && !job.pending.is_empty()).then_some(now - job.waits_since?)
        };
        let waiting = |leader: &Leader, ix: u32| {
            let hurried = leader
                .jobs
                .get(&ix)
                .is_some_and(|job| job.hurried(&leader.params, leader.fetch_s(job), now));
            waited(leader, ix).is_some_and(|s| s >= first || hurried)
        };
        let open = self.jobs.iter().filter(|(_, job)| !job.over());
        let lowest = open.clone().map(|(_, job)| job.spec.priority as u8).min();
        // Somebody must wait, and either have a higher priority or lack a guarantee.
        let claims = open.filter(|(ix, job)| {
            let team = &self.teams[job.team as usize];
            waiting(self, **ix)
                && (Some(job.spec.priority as u8) > lowest || team.guarantees(job.room))
        });
        if claims.count() == 0 {
            return;
        }
        // What is being stopped already counts as free: it will be.
        let mut input = self.round_input(now, true);
        let most = (input.machines.len() / STOPPING).max(8);
        let index: HashMap<u32, usize> =
            input.machines.iter().enumerate().map(|(at, ix)| (*ix, at)).collect();
        let (mut victims, mut whole) = (Vec::new(), BTreeMap::new());
        let mut heard = BTreeMap::new();
        for (id, attempt) in self.attempts.iter() {
            let Some(at) = index.get(&attempt.machine) else { continue };
            let job = &self.jobs[&attempt.job];
            if attempt.stop.is_some() || matches!(attempt.phase, Phase::Releasing(_)) {
                input.round.machines[*at].free += attempt.room;
                input.round.teams[job.team as usize].used -= attempt.room;
            } else if attempt.phase == Phase::Live
                // What was stopped before would never get anywhere.
                && !job.displaced.has(attempt.index)
            {
                let ran = attempt.run_since.map_or(0.0, |since| now - since);
                let saved = job.spec.checkpoint_s;
                let victim = Victim {
                    id,
                    machine: *at,
                    team: job.team,
                    priority: job.spec.priority as u8,
                    task: attempt.room,
                    // What was saved is not lost. Work counts by the room it takes.
                    loss: if saved > 0.0 { ran % saved } else { ran } * job.spec.cpus,
                    saves: saved > 0.0,
                };
                if !job.is_gang() {
                    victims.push(victim);
                } else if job.pending.is_empty() && self.all_heard(attempt.job, now, &mut heard) {
                    // One task of a gang cannot be stopped without all.
                    let loss = victim.loss * f64::from(job.spec.tasks);
                    whole
                        .entry((attempt.job, *at))
                        .and_modify(|all: &mut Victim| all.task += attempt.room)
                        .or_insert(Victim { loss, ..victim });
                }
            }
        }
        let mut victims = Victims::new(input.machines.len(), victims);
        input.round.place(&options.hopper);
        let (mut stopped, mut gangs) = (Vec::new(), 0);
        for at in input.round.order() {
            let ix = input.jobs[at];
            let job = &input.round.jobs[at];
            if job.pending == 0 || stopped.len() >= most || !waiting(self, ix) {
                continue;
            }
            // Tasks that lose little are stopped soon, others after a longer wait.
            let patient = waited(self, ix).unwrap_or(0.0) < options.preempt_after_s;
            if job.gang {
                if job.pending == job.remaining && gangs < GANGS_AT_ONCE {
                    gangs += 1;
                    let left = most - stopped.len();
                    stopped.extend(victims.stop_for_gang(&mut input.round, at, left, patient));
                }
                continue;
            }
            let hurried = job.hurried;
            stopped.extend(victims.stop_for(&mut input.round, at, most - stopped.len(), patient));
            if hurried
                && input.round.jobs[at].pending > 0
                && stopped.len() < most
                && let Some(job) = self.jobs.get_mut(&ix)
            {
                job.unhurried = true;
                self.round_wanted = true;
            }
        }
        if stopped.is_empty() {
            // Gangs are stopped last, one at a time, and each as a whole.
            let mut whole = Victims::new(input.machines.len(), whole.into_values());
            let order = input.round.order();
            let claimant = order.into_iter().find(|at| {
                let waited = waited(self, input.jobs[*at]).unwrap_or(0.0);
                let job = &input.round.jobs[*at];
                job.pending > 0 && !job.gang && waited >= options.preempt_after_s
            });
            if let Some(at) = claimant
                && let Some(id) = whole.stop_for(&mut input.round, at, 1, false).first()
            {
                let Some(ix) = self.attempts.get(*id).map(|attempt| attempt.job) else { return };
                self.cluster.counts.preemptions += u64::from(self.jobs[&ix].spec.tasks);
                if let Some(job) = self.jobs.get_mut(&ix) {
                    (0..job.spec.tasks).for_each(|index| _ = job.displaced.add(index));
                }
                tracing::info!(job = %self.job_names.name(ix), "a gang is stopped to make room");
                self.stop_gang(ix, StopReason::Preempted);
            }
        }
        for id in stopped {
            self.attempts.update(id, |attempt| attempt.stop = Some(StopReason::Preempted));
            if let Some(attempt) = self.attempts.get(id) {
                self.direct_wanted.insert(attempt.machine);
                self.cluster.counts.preemptions += 1;
                if let Some(job) = self.jobs.get_mut(&attempt.job) {
                    job.displaced.add(attempt.index);
                }
                let job = self.job_names.name(attempt.job);
                tracing::info!(%job, index = attempt.index, "stopped to make room");
            }
        }
    }

    /// Looks after machines that went away and tasks that must leave.
    pub(super) fn watch_machines(&mut self, now: f64) {
        let (mut release, mut withdraw, mut stop) = (Vec::new(), Vec::new(), Vec::new());
        self.cluster
            .leaving
            .retain(|ix| self.cluster.machines.get(ix).is_some_and(|m| m.leaving()));
        let mut taken = Vec::new();
        let mut heard = BTreeMap::new();
        for ix in &self.cluster.leaving {
            let Some(machine) = self.cluster.machines.get(ix) else { continue };
            // The cloud takes it: what is left on it is lost, and to know that for
            // certain it is deleted.
            let over = machine.leaves_at.is_some_and(|at| now >= at || machine.attempts.is_empty());
            if over && machine.delete.is_none() {
                taken.push(*ix);
            }
            for id in &machine.attempts {
                match self.attempts.get(*id) {
                    Some(attempt) if attempt.phase == Phase::Proposed => withdraw.push(*id),
                    Some(_) if machine.gone => release.push(*id),
                    Some(attempt)
                        if attempt.stop.is_none() && self.must_leave(now, attempt, &mut heard) =>
                    {
                        stop.push(*id);
                    }
                    _ => {}
                }
            }
        }
        for ix in taken {
            if let Some(machine) = self.cluster.machines.get_mut(&ix) {
                tracing::info!(
                    machine = machine.name,
                    tasks = machine.attempts.len(),
                    "taken: deleted"
                );
                machine.delete = Some("taken");
            }
        }
        for id in stop {
            let job = self.attempts.get(id).map(|attempt| attempt.job);
            if let Some(job) = job.filter(|job| self.jobs.get(job).is_some_and(Job::is_gang)) {
                self.stop_gang(job, StopReason::Drained);
            } else {
                let machine = self.attempts.update(id, |attempt| {
                    attempt.stop = Some(StopReason::Drained);
                    attempt.machine
                });
                self.direct_wanted.extend(machine);
            }
        }
        self.withdraw(&withdraw, now);
        for id in release {
            self.release(id, Outcome::Again);
        }
    }

    /// Whether a task on a machine that is on its way out should be stopped: while it
    /// still can save, or since it will not complete before the machine is taken and
    /// is better begun anew at once.
    fn must_leave(&self, now: f64, attempt: &Attempt, heard: &mut BTreeMap<u32, bool>) -> bool {
        let (Some(machine), Some(job)) =
            (self.cluster.machines.get(&attempt.machine), self.jobs.get(&attempt.job))
        else {
            return false;
        };
        let Some(left_s) = machine.leaves_at.map(|at| at - now) else {
            return machine.drained
                && job.spec.checkpoint_s > 0.0
                && attempt.seen.is_some()
                && (!job.is_gang() || self.all_heard(attempt.job, now, heard));
        };
        let run_s = job.median().unwrap_or_else(|| self.expected_run(job));
        let ran = attempt.run_since.map_or(0.0, |since| now - since);
        let too_long = run_s - ran > left_s - 0.5;
        if !job.is_gang() || job.spec.checkpoint_s == 0.0 {
            return too_long;
        }
        // A gang with too little time to save would fall back to its last checkpoint by
        // being stopped as by losing the machine; running on it may reach another one.
        too_long
            && left_s > job.grace(StopReason::Drained)
            && self.all_heard(attempt.job, now, heard)
    }

    /// Whether all machines of a gang are heard, so that a stop reaches all its tasks.
    /// `heard` keeps the answers that were worked out at the same time already.
    fn all_heard(&self, job_ix: u32, now: f64, heard: &mut BTreeMap<u32, bool>) -> bool {
        let late_s = self.params.workers.late_s();
        *heard.entry(job_ix).or_insert_with(|| {
            self.attempts.of_job(job_ix).machines().all(|ix| {
                let machine = self.cluster.machines.get(&ix);
                machine.is_some_and(|m| now - m.quiet_since < late_s && m.unheard_answers == 0)
            })
        })
    }
}
