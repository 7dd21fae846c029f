//! Stopping tasks: for others with a better claim, or because they are slow.

use crate::leader::{
    AssignmentPhase, Attempt, AttemptId, Job, Leader, StopReason, scheduling::cycle::CycleInput,
};
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{DenseIndex, JobIdx, MachineIdx};
use gladekeel_sched::{
    preemption::{PreemptionCandidate, PreemptionCandidates},
    straggler,
};
use gladekeel_wire::{job::JobKind, worker::TaskState};
use std::collections::{BTreeMap, HashMap};

/// One in so many machines may have tasks stopped for others in a round.
const STOPPING: usize = 20;
/// But so many tasks at the least.
const LEAST_STOPPED: usize = 8;
/// Gangs for which room is sought among what could be stopped, in one round.
const GANGS_AT_ONCE: usize = 4;
/// Rounds in which the search for slow machines comes around.
const SLOW_ROUNDS: usize = 5;

impl Leader {
    /// Stops tasks that are slow on machines where everything is. Looks at some of the
    /// machines each time.
    pub(in crate::leader) fn restart_stragglers(&mut self, now: f64, options: &RuntimeSettings) {
        let some = self.cluster.machines.len() / SLOW_ROUNDS + 1;
        let mut range = self.cluster.machines.range(self.straggler_cursor..);
        let machines: Vec<MachineIdx> = range.by_ref().take(some).map(|(ix, _)| *ix).collect();
        self.straggler_cursor = range.next().map(|(ix, _)| *ix).unwrap_or_default();
        let mut ids = Vec::new();
        let mut runs = Vec::new();
        let mut medians: HashMap<JobIdx, Option<f64>> = HashMap::new();
        for id in machines.iter().flat_map(|ix| &self.cluster.machines[ix].attempts) {
            let Some(attempt) = self.attempts.get(*id) else { continue };
            let (Some(since), AssignmentPhase::Committed) = (attempt.running_since, attempt.phase)
            else {
                continue;
            };
            let Some(job) = self.jobs.get(&attempt.job) else { continue };
            let median = *medians.entry(attempt.job).or_insert_with(|| job.run_times.median_s());
            ids.push(*id);
            runs.push(straggler::RunningTask {
                machine: attempt.machine,
                ran_s: now - since,
                median_s: median,
                may_restart: job.spec.kind == JobKind::Array
                    && attempt.stop_reason.is_none()
                    && !job.restarted.contains(attempt.task_index)
                    && attempt.reported_state == Some(TaskState::Running),
            });
        }
        for slow in straggler::find_stragglers(&runs, options.straggler_multiple) {
            let id = ids[slow];
            self.attempts.update(id, |attempt| attempt.stop_reason = Some(StopReason::Straggler));
            if let Some(attempt) = self.attempts.get(id) {
                self.commands.request_commands(attempt.machine);
                let (job, machine) = (
                    self.job_names.name(attempt.job),
                    self.cluster.machine_names.name(attempt.machine),
                );
                tracing::info!(%job, index = attempt.task_index, machine, ran_s = runs[slow].ran_s, "slow: starts anew");
            }
        }
    }

    /// Stops tasks for others that have a better claim and found no room.
    pub(in crate::leader) fn preempt_for_waiting_jobs(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
    ) {
        if !self.has_claimant(now, options) {
            return;
        }
        // What is being stopped already counts as free: it will be.
        let mut input = self.round_input(now, true);
        let (tasks, gangs) = self.preemptible(now, &mut input);
        input.cycle.run(&options.fair_share);
        let stopped = self.choose_victims(now, options, &mut input, tasks);
        if stopped.is_empty() {
            // Gangs are stopped last, one at a time, and each as a whole.
            self.preempt_gang(now, options, &mut input, gangs);
        }
        for id in stopped {
            self.preempt(id);
        }
    }

    /// How long a job has waited for room, if it may be placed now.
    fn waited_for_room(&self, ix: JobIdx, now: f64) -> Option<f64> {
        let job = self.jobs.get(&ix)?;
        (!job.backoff.is_active(now) && !job.pending.is_empty())
            .then_some(now - job.pending.waiting_since()?)
    }

    /// Whether a job has waited for long enough that others may be stopped for it.
    fn may_preempt(&self, ix: JobIdx, now: f64, options: &RuntimeSettings) -> bool {
        let least_s = options.preempt_after_s.min(options.preempt_checkpointed_after_s);
        let hurried = self
            .jobs
            .get(&ix)
            .is_some_and(|job| job.requires_cached_image(&self.deployment, self.fetch_s(job), now));
        self.waited_for_room(ix, now).is_some_and(|waited_s| waited_s >= least_s || hurried)
    }

    /// Whether a job waits that has a higher priority than another, or lacks a guarantee.
    fn has_claimant(&self, now: f64, options: &RuntimeSettings) -> bool {
        let mut open = self.jobs.iter().filter(|(_, job)| !job.is_finished());
        let lowest = open.clone().map(|(_, job)| job.spec.priority as u8).min();
        open.any(|(ix, job)| {
            let team = &self.teams[job.team.position()];
            self.may_preempt(*ix, now, options)
                && (Some(job.spec.priority as u8) > lowest
                    || team.within_guarantee(job.task_request))
        })
    }

    /// What could be stopped: single tasks, and gangs by the machines that they are on.
    /// Counts the room of what is being stopped as free.
    fn preemptible(
        &self,
        now: f64,
        input: &mut CycleInput,
    ) -> (Vec<PreemptionCandidate>, Vec<PreemptionCandidate>) {
        let index: HashMap<MachineIdx, usize> =
            input.machines.iter().enumerate().map(|(at, ix)| (*ix, at)).collect();
        let (mut tasks, mut gangs) = (Vec::new(), BTreeMap::new());
        let mut heard = BTreeMap::new();
        for (id, attempt) in self.attempts.iter() {
            let Some(machine) = index.get(&attempt.machine).copied() else { continue };
            let job = &self.jobs[&attempt.job];
            if attempt.stop_reason.is_some()
                || matches!(attempt.phase, AssignmentPhase::Releasing(_))
            {
                input.cycle.machines[machine].free += attempt.resources;
                input.cycle.teams[job.team.position()].used -= attempt.resources;
                continue;
            }
            // What was stopped before would never get anywhere.
            if attempt.phase != AssignmentPhase::Committed
                || job.preempted.contains(attempt.task_index)
            {
                continue;
            }
            let victim = victim(now, id, attempt, job, machine);
            if !job.is_gang() {
                tasks.push(victim);
            } else if job.pending.is_empty() && self.all_heard(attempt.job, now, &mut heard) {
                // One task of a gang cannot be stopped without all.
                let loss = victim.lost_work * f64::from(job.spec.tasks);
                gangs
                    .entry((attempt.job, machine))
                    .and_modify(|all: &mut PreemptionCandidate| all.resources += attempt.resources)
                    .or_insert(PreemptionCandidate { lost_work: loss, ..victim });
            }
        }
        (tasks, gangs.into_values().collect())
    }

    /// Chooses the tasks that are stopped for those that wait.
    fn choose_victims(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        input: &mut CycleInput,
        tasks: Vec<PreemptionCandidate>,
    ) -> Vec<AttemptId> {
        let most = (input.machines.len() / STOPPING).max(LEAST_STOPPED);
        let mut victims = PreemptionCandidates::new(input.machines.len(), tasks);
        let (mut stopped, mut gangs) = (Vec::new(), 0);
        for at in input.cycle.job_order() {
            let ix = input.jobs[at];
            let job = &input.cycle.jobs[at];
            let left = most.saturating_sub(stopped.len());
            if job.pending == 0 || left == 0 || !self.may_preempt(ix, now, options) {
                continue;
            }
            // Tasks that lose little are stopped soon, others after a longer wait.
            let waited_s = self.waited_for_room(ix, now).unwrap_or(0.0);
            let saving = waited_s < options.preempt_after_s;
            if job.gang {
                if job.pending == job.remaining && gangs < GANGS_AT_ONCE {
                    gangs += 1;
                    stopped.extend(victims.preempt_for_gang(&mut input.cycle, at, left, saving));
                }
                continue;
            }
            let hurried = job.requires_cached_image;
            stopped.extend(victims.preempt_for(&mut input.cycle, at, left, saving));
            if hurried
                && input.cycle.jobs[at].pending > 0
                && stopped.len() < most
                && let Some(job) = self.jobs.get_mut(&ix)
            {
                job.gave_up_on_cached_image = true;
                self.timers.request_cycle();
            }
        }
        stopped.into_iter().map(AttemptId::from_logged).collect()
    }

    /// Stops one gang as a whole, for the first job that has waited for long enough.
    fn preempt_gang(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        input: &mut CycleInput,
        gangs: Vec<PreemptionCandidate>,
    ) {
        let mut victims = PreemptionCandidates::new(input.machines.len(), gangs);
        let claimant = input.cycle.job_order().into_iter().find(|at| {
            let waited_s = self.waited_for_room(input.jobs[*at], now).unwrap_or(0.0);
            let job = &input.cycle.jobs[*at];
            job.pending > 0 && !job.gang && waited_s >= options.preempt_after_s
        });
        let Some(claimant) = claimant else { return };
        let stopped = victims.preempt_for(&mut input.cycle, claimant, 1, false);
        let stopped = stopped.first().copied().map(AttemptId::from_logged);
        let attempt = stopped.and_then(|id| self.attempts.get(id));
        let Some(ix) = attempt.map(|attempt| attempt.job) else { return };
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        self.cluster.counters.preemptions += u64::from(job.spec.tasks);
        (0..job.spec.tasks).for_each(|index| _ = job.preempted.insert(index));
        tracing::info!(job = %self.job_names.name(ix), "a gang is stopped to make room");
        self.stop_gang(ix, StopReason::Preempted);
    }

    /// Stops one task for another.
    fn preempt(&mut self, id: AttemptId) {
        self.attempts.update(id, |attempt| attempt.stop_reason = Some(StopReason::Preempted));
        let Some(attempt) = self.attempts.get(id) else { return };
        self.commands.request_commands(attempt.machine);
        self.cluster.counters.preemptions += 1;
        if let Some(job) = self.jobs.get_mut(&attempt.job) {
            job.preempted.insert(attempt.task_index);
        }
        let job = self.job_names.name(attempt.job);
        tracing::info!(%job, index = attempt.task_index, "stopped to make room");
    }
}

/// A task as one that could be stopped. What it has saved is not lost; work counts by the
/// CPUs that it takes.
fn victim(
    now: f64,
    id: AttemptId,
    attempt: &Attempt,
    job: &Job,
    machine: usize,
) -> PreemptionCandidate {
    let ran_s = attempt.running_since.map_or(0.0, |since| now - since);
    let checkpoint_s = job.spec.checkpoint_interval_s;
    let saves = checkpoint_s > 0.0;
    let lost_s = if saves { ran_s % checkpoint_s } else { ran_s };
    PreemptionCandidate {
        id: id.logged(),
        machine,
        team: job.team,
        priority: job.spec.priority as u8,
        resources: attempt.resources,
        lost_work: lost_s * job.spec.cpus,
        checkpoints: saves,
    }
}
