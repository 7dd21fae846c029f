//! Stopping tasks: for others with a better claim, or because they are slow.

use super::{Leader, Phase, StopReason};
use crate::options::Options;
use gladekeel_sched::{
    preempt::{Victim, Victims},
    restart,
};
use gladekeel_wire::{job::Kind, worker::TaskState};
use std::collections::{BTreeMap, HashMap};

/// One in so many machines may have tasks stopped for others in a round.
const STOPPING: usize = 20;
/// Gangs for which room is sought among what could be stopped, in one round.
const GANGS_AT_ONCE: usize = 4;
/// Rounds in which the search for slow machines comes around.
const SLOW_ROUNDS: usize = 5;

impl Leader {
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
                self.direct.wanted.insert(attempt.machine);
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
                self.timers.request_round();
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
                self.direct.wanted.insert(attempt.machine);
                self.cluster.counts.preemptions += 1;
                if let Some(job) = self.jobs.get_mut(&attempt.job) {
                    job.displaced.add(attempt.index);
                }
                let job = self.job_names.name(attempt.job);
                tracing::info!(%job, index = attempt.index, "stopped to make room");
            }
        }
    }
}
