//! A round of decisions: restarts, placements, preemption.

use super::{Attempt, Leader, Phase, StopWhy, model::Outcome};
use crate::options::Options;
use gladekeel_sched::{
    place::{self, Victim},
    restart,
};
use gladekeel_wire::{job::Kind, worker::TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Placements in one round, at most.
const MAX_PLACED: usize = 500;
/// Tasks for which room is made in one round, at most.
const MAX_PREEMPTING: usize = 8;
/// A gang that has waited for longer goes first.
const GANG_PATIENCE_S: f64 = 60.0;
/// A machine that was not heard of for this long gets no new work.
const HEARD_S: f64 = 6.0;

/// A round with the leader's indices beside its own.
struct Picture {
    round: place::Round,
    jobs: Vec<u32>,
    machines: Vec<u32>,
}

impl Leader {
    pub(super) fn round(&mut self, now: f64, options: &Options) {
        self.restart_slow(now, options);
        let mut picture = self.picture(now);
        let mut gangs: BTreeMap<u32, u64> = BTreeMap::new();
        for placement in picture.round.place(&options.hopper) {
            let (job, machine) = (picture.jobs[placement.job], picture.machines[placement.machine]);
            let gang = picture.round.jobs[placement.job].gang.then(|| {
                *gangs.entry(job).or_insert_with(|| {
                    let first = self.next_attempt;
                    self.next_attempt += u64::from(self.jobs[&job].spec.tasks);
                    first
                })
            });
            self.propose(job, machine, gang, now);
        }
        self.make_room(now, options);
    }

    fn picture(&self, now: f64) -> Picture {
        let mut picture = Picture {
            round: place::Round { most: MAX_PLACED, ..Default::default() },
            jobs: Vec::new(),
            machines: Vec::new(),
        };
        picture.round.teams = self.teams.clone();
        for (ix, machine) in &self.know.machines {
            let (Some(kind), Some(zone)) = (machine.kind, machine.zone) else { continue };
            let Some(whole) = self.catalog.room(kind) else { continue };
            if machine.leaving() || machine.heard_at.is_none() {
                continue;
            }
            picture.machines.push(*ix);
            picture.round.machines.push(place::Machine {
                whole,
                free: whole - machine.used,
                kind,
                zone,
                spot: machine.spot,
                images: machine.images.iter().map(|(image, _)| *image).collect(),
                ready: machine.ready.iter().copied().collect(),
                open: now - machine.quiet_since < HEARD_S && now >= machine.hold_until,
            });
        }
        let mut by_zone: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        // After a takeover the zone of a machine may not be known yet; jobs whose
        // tasks must be in certain zones relative to one another wait for it.
        let mut zone_unknown: BTreeSet<u32> = BTreeSet::new();
        for attempt in self.attempts.values() {
            let Some(zone) = self.know.machines.get(&attempt.machine).and_then(|m| m.zone) else {
                zone_unknown.insert(attempt.job);
                continue;
            };
            let counts = by_zone.entry(attempt.job).or_default();
            if counts.len() <= zone as usize {
                counts.resize(zone as usize + 1, 0);
            }
            counts[zone as usize] += 1;
        }
        for (ix, job) in self.jobs.iter().filter(|(_, job)| !job.over()) {
            let zones_matter = job.spec.one_zone || job.spec.spread;
            let held = now < job.hold_until || (zones_matter && zone_unknown.contains(ix));
            picture.jobs.push(*ix);
            picture.round.jobs.push(place::Job {
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
                by_zone: by_zone.remove(ix).unwrap_or_default(),
                gang: job.spec.kind == Kind::Gang,
                hurried: job.hurried(&self.params, self.fetch_s(job), now),
                overdue: job.spec.kind == Kind::Gang
                    && job.waits_since.is_some_and(|since| now - since > GANG_PATIENCE_S),
            });
        }
        picture
    }

    /// Decides that a job's next task goes to a machine; `gang` is the number that
    /// the tasks of a gang share.
    fn propose(&mut self, job_ix: u32, machine_ix: u32, gang: Option<u64>, now: f64) {
        let Some(page) = self.page_for(machine_ix) else { return };
        let (Some(job), Some(machine)) =
            (self.jobs.get_mut(&job_ix), self.know.machines.get_mut(&machine_ix))
        else {
            return;
        };
        let Some(index) = job.next_pending() else { return };
        let id = gang.map_or(self.next_attempt, |first| first + u64::from(index));
        self.next_attempt += u64::from(gang.is_none());
        job.assigned += 1;
        if job.pending.is_empty() {
            job.waits_since = None;
        }
        let cache = machine
            .kind
            .and_then(|kind| self.catalog.machine_type(kind))
            .map_or(0.0, |machine_type| machine_type.cache_gb);
        let cached = machine.images.iter().any(|(image, _)| *image == job.image);
        machine.used_image(job.image, job.spec.image_gb, cache);
        machine.attempts.push(id);
        machine.used += job.room;
        self.teams[job.team as usize].used += job.room;
        self.attempts.insert(
            id,
            Attempt {
                job: job_ix,
                index,
                machine: machine_ix,
                session: machine.newest.0,
                phase: Phase::Proposed,
                seen: None,
                run_since: None,
                stop: None,
                stop_sent: 0,
                sent: false,
                room: job.room,
                restored: false,
            },
        );
        self.commits.dirty_page(page);
        tracing::debug!(job = %job.id, index, machine = machine.name, cached, now, "placed");
    }

    /// Stops tasks that are slow on machines where everything is.
    fn restart_slow(&mut self, now: f64, options: &Options) {
        let mut ids = Vec::new();
        let mut runs = Vec::new();
        let mut medians: BTreeMap<u32, Option<f64>> = BTreeMap::new();
        for (id, attempt) in &self.attempts {
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
            if let Some(attempt) = self.attempts.get_mut(&ids[slow]) {
                attempt.stop = Some(StopWhy::Slow);
                self.direct_wanted.insert(attempt.machine);
                let (job, machine) = (
                    self.job_names.name(attempt.job),
                    self.know.machine_names.name(attempt.machine),
                );
                tracing::info!(%job, index = attempt.index, machine, ran_s = runs[slow].ran_s, "slow: starts anew");
            }
        }
    }

    /// Stops tasks for others that have a better claim and found no room.
    fn make_room(&mut self, now: f64, options: &Options) {
        let waited = |leader: &Leader, ix: u32| {
            let job = leader.jobs.get(&ix)?;
            (now >= job.hold_until && !job.pending.is_empty()).then_some(now - job.waits_since?)
        };
        let first = options.preempt_after_s.min(options.preempt_saving_after_s);
        let waiting = |leader: &Leader, ix: u32| {
            let hurried = leader
                .jobs
                .get(&ix)
                .is_some_and(|job| job.hurried(&leader.params, leader.fetch_s(job), now));
            waited(leader, ix).is_some_and(|s| s >= first || hurried)
        };
        for job in self.jobs.values_mut().filter(|job| !job.over() && !job.pending.is_empty()) {
            job.waits_since.get_or_insert(now);
        }
        if !self.jobs.keys().any(|ix| waiting(self, *ix)) {
            return;
        }
        // What is being stopped already counts as free: it will be.
        let mut picture = self.picture(now);
        let index: BTreeMap<u32, usize> =
            picture.machines.iter().enumerate().map(|(at, ix)| (*ix, at)).collect();
        let mut victims = Vec::new();
        for (id, attempt) in &self.attempts {
            let Some(at) = index.get(&attempt.machine) else { continue };
            let job = &self.jobs[&attempt.job];
            if attempt.stop.is_some() || matches!(attempt.phase, Phase::Releasing(_)) {
                picture.round.machines[*at].free += attempt.room;
                picture.round.teams[job.team as usize].used -= attempt.room;
            } else if attempt.phase == Phase::Live && job.spec.kind != Kind::Gang {
                // One task of a gang cannot be stopped without losing all.
                let ran = attempt.run_since.map_or(0.0, |since| now - since);
                let saved = job.spec.checkpoint_s;
                victims.push(Victim {
                    id: *id,
                    machine: *at,
                    team: job.team,
                    priority: job.spec.priority as u8,
                    task: attempt.room,
                    // What was saved is not lost. Work counts by the room it takes.
                    loss: if saved > 0.0 { ran % saved } else { ran } * job.spec.cpus,
                    saves: saved > 0.0,
                });
            }
        }
        picture.round.place(&options.hopper);
        let mut stopped = BTreeSet::new();
        for at in picture.round.order() {
            let gang = picture.round.jobs[at].gang;
            if gang || stopped.len() >= MAX_PREEMPTING || !waiting(self, picture.jobs[at]) {
                continue;
            }
            // Tasks that lose little are stopped soon, others after a longer wait.
            let patient = waited(self, picture.jobs[at]).unwrap_or(0.0) < options.preempt_after_s;
            while picture.round.jobs[at].pending > 0 && stopped.len() < MAX_PREEMPTING {
                let job = picture.round.jobs[at].clone();
                let found = if patient {
                    let saving: Vec<Victim> = victims.iter().copied().filter(|v| v.saves).collect();
                    place::preempt(&picture.round, &job, &saving)
                } else {
                    place::preempt(&picture.round, &job, &victims)
                };
                if found.is_none()
                    && job.hurried
                    && let Some(job) = self.jobs.get_mut(&picture.jobs[at])
                {
                    job.unhurried = true;
                    self.round_wanted = true;
                }
                let Some((machine, ids)) = found else {
                    break;
                };
                for victim in victims.iter().filter(|v| ids.contains(&v.id)) {
                    picture.round.machines[machine].free += victim.task;
                    picture.round.teams[victim.team as usize].used -= victim.task;
                }
                victims.retain(|victim| !ids.contains(&victim.id));
                picture.round.machines[machine].free -= job.task;
                picture.round.teams[job.team as usize].used += job.task;
                picture.round.jobs[at].pending -= 1;
                stopped.extend(ids);
            }
        }
        for id in stopped {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.stop = Some(StopWhy::Preempted);
                self.direct_wanted.insert(attempt.machine);
                self.know.counts.preemptions += 1;
                let job = self.job_names.name(attempt.job);
                tracing::info!(%job, index = attempt.index, "stopped to make room");
            }
        }
    }

    /// Looks after machines that went away and tasks that must leave.
    pub(super) fn watch_machines(&mut self, now: f64) {
        let mut release = Vec::new();
        let mut withdraw = Vec::new();
        for machine in self.know.machines.values().filter(|m| m.leaving()) {
            for id in &machine.attempts {
                match self.attempts.get_mut(id) {
                    Some(attempt) if attempt.phase == Phase::Proposed => withdraw.push(*id),
                    Some(_) if machine.gone => release.push(*id),
                    Some(attempt) if attempt.stop.is_none() => {
                        let job = &self.jobs[&attempt.job];
                        // With a notice, a task that saves is stopped while it still can;
                        // one that cannot save runs on, since it may yet complete.
                        if job.spec.checkpoint_s > 0.0
                            && attempt.seen.is_some()
                            && (machine.leaves_at.is_some() || machine.drained)
                        {
                            attempt.stop = Some(StopWhy::Drained);
                            self.direct_wanted.insert(attempt.machine);
                        }
                    }
                    _ => {}
                }
            }
        }
        for id in withdraw {
            self.withdraw(id, now);
        }
        for id in release {
            self.release(id, Outcome::Again);
        }
    }
}
