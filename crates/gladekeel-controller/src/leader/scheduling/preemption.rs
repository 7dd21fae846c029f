//! Preemption: running tasks are stopped for waiting jobs that have a better claim.
//!
//! Runs after the scheduling cycle, on what that left pending. Only decides and marks attempts as
//! stopping; their resources are free once the releases are committed, and a later cycle binds
//! the waiting tasks. A task is preempted once at most, so that it completes in the end.

use crate::leader::{
    AssignmentPhase, Attempt, AttemptId, Job, Leader, StopReason,
    failure_detection::evacuation::GangReachability,
    scheduling::cycle_input::{CycleInput, MachineScope},
};
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{
    DenseIndex, JobIdx,
    preemption::{PreemptionCandidate, PreemptionCandidates, PreemptionScope},
};
use std::collections::BTreeMap;

/// In one call a task may be preempted for every so many machines.
const MACHINES_PER_VICTIM: usize = 20;
/// But at least so many tasks.
const MIN_VICTIMS: usize = 8;
/// Gangs for which victims are sought in one call: each search copies the whole input.
const MAX_GANG_SEARCHES: usize = 4;

/// What may be preempted.
#[derive(Default)]
struct Preemptible {
    /// Single tasks.
    tasks: Vec<PreemptionCandidate>,
    /// Gangs, by job and position of the machine that their tasks are on.
    gangs: BTreeMap<(JobIdx, usize), PreemptionCandidate>,
}

impl Preemptible {
    /// Adds a task of a gang. Stopping it costs what stopping the whole gang does.
    fn add_gang_task(&mut self, job_idx: JobIdx, job: &Job, task: PreemptionCandidate) {
        let lost_work = task.lost_work * f64::from(job.spec.tasks);
        self.gangs
            .entry((job_idx, task.machine))
            .and_modify(|tasks| tasks.resources += task.resources)
            .or_insert(PreemptionCandidate { lost_work, ..task });
    }
}

/// The search for tasks to preempt.
struct VictimSearch<'a> {
    input: &'a mut CycleInput,
    candidates: PreemptionCandidates,
    victims: Vec<u64>,
    max_victims: usize,
    gang_searches: usize,
}

impl VictimSearch<'_> {
    fn new(input: &mut CycleInput, tasks: Vec<PreemptionCandidate>) -> VictimSearch<'_> {
        let machines = input.machines.len();
        VictimSearch {
            input,
            candidates: PreemptionCandidates::new(machines, tasks),
            victims: Vec::new(),
            max_victims: (machines / MACHINES_PER_VICTIM).max(MIN_VICTIMS),
            gang_searches: 0,
        }
    }

    /// How many more tasks may be preempted.
    fn remaining(&self) -> usize {
        self.max_victims.saturating_sub(self.victims.len())
    }

    /// Seeks victims for the pending tasks of the job at this position.
    fn search_for_tasks(&mut self, position: usize, scope: PreemptionScope) {
        let remaining = self.remaining();
        let cycle = &mut self.input.cycle;
        let victims = self.candidates.preempt_for(cycle, position, remaining, scope);
        self.victims.extend(victims);
    }

    /// Seeks victims for the whole gang at this position, if none of it is on a machine.
    fn search_for_gang(&mut self, position: usize, scope: PreemptionScope) {
        let remaining = self.remaining();
        let cycle = &mut self.input.cycle;
        let gang = &cycle.jobs[position];
        if gang.pending != gang.remaining || self.gang_searches >= MAX_GANG_SEARCHES {
            return;
        }
        self.gang_searches += 1;
        let victims = self.candidates.preempt_for_gang(cycle, position, remaining, scope);
        self.victims.extend(victims);
    }

    /// Whether a job that requires a cached image still has pending tasks, although more could
    /// have been preempted: no machine that has the image can be freed.
    fn lacks_cached_image(&self, position: usize) -> bool {
        let job = &self.input.cycle.jobs[position];
        job.requires_cached_image && job.pending > 0 && self.remaining() > 0
    }

    fn into_victims(self) -> Vec<AttemptId> {
        self.victims.into_iter().map(AttemptId::from_logged).collect()
    }
}

impl Leader {
    /// Preempts tasks for jobs that have a better claim and have waited for long enough.
    pub(in crate::leader) fn preempt_for_waiting_jobs(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
    ) {
        if !self.has_preemptor(now, options) {
            return;
        }
        let mut input = self.cycle_input(now, MachineScope::All);
        let Preemptible { tasks, gangs } = self.preemptible(now, &mut input);
        input.cycle.run(&options.fair_share);
        let victims = self.choose_victims(now, options, &mut input, tasks);
        if victims.is_empty() {
            // Gangs are preempted last, one at a time, and each as a whole.
            self.preempt_one_gang(now, options, &mut input, gangs);
        }
        for id in victims {
            self.preempt(id);
        }
    }

    /// Whether a job may preempt that has a higher priority than another, or whose team uses less
    /// than it is guaranteed.
    fn has_preemptor(&self, now: f64, options: &RuntimeSettings) -> bool {
        let mut unfinished = self.jobs.iter().filter(|(_, job)| !job.is_finished());
        let lowest = unfinished.clone().map(|(_, job)| job.spec.priority.level()).min();
        unfinished.any(|(job_idx, job)| {
            let team = &self.teams[job.team.position()];
            self.may_preempt(*job_idx, now, options)
                && (Some(job.spec.priority.level()) > lowest
                    || team.within_guarantee(job.task_request))
        })
    }

    /// Whether a job has waited for long enough that others may be preempted for it.
    fn may_preempt(&self, job_idx: JobIdx, now: f64, options: &RuntimeSettings) -> bool {
        let min_wait_s = options.preempt_after_s.min(options.preempt_checkpointed_after_s);
        let requires_cached_image = self
            .jobs
            .get(&job_idx)
            .is_some_and(|job| job.requires_cached_image(&self.deployment, self.fetch_s(job), now));
        self.schedulable_wait_s(job_idx, now)
            .is_some_and(|waited_s| waited_s >= min_wait_s || requires_cached_image)
    }

    /// How long a job's tasks have waited for resources; `None` if it may not be scheduled now.
    fn schedulable_wait_s(&self, job_idx: JobIdx, now: f64) -> Option<f64> {
        let job = self.jobs.get(&job_idx)?;
        if job.backoff.is_active(now) || job.pending.is_empty() {
            return None;
        }
        Some(now - job.pending.waiting_since()?)
    }

    /// What may be preempted. The resources of attempts that are ending count as free in `input`,
    /// so that nothing is preempted for tasks that will fit anyway.
    fn preemptible(&self, now: f64, input: &mut CycleInput) -> Preemptible {
        let positions = input.machine_positions();
        let mut preemptible = Preemptible::default();
        let mut reachable_gangs = GangReachability::default();
        for (id, attempt) in self.attempts.iter() {
            let Some(position) = positions.get(&attempt.machine).copied() else { continue };
            let job = &self.jobs[&attempt.job];
            if is_ending(attempt) {
                input.cycle.machines[position].free += attempt.resources;
                input.cycle.teams[job.team.position()].used -= attempt.resources;
                continue;
            }
            if !may_be_preempted(job, attempt) {
                continue;
            }
            let candidate = preemption_candidate(now, id, attempt, job, position);
            if !job.is_gang() {
                preemptible.tasks.push(candidate);
            } else if job.pending.is_empty()
                && self.is_gang_reachable(attempt.job, now, &mut reachable_gangs)
            {
                preemptible.add_gang_task(attempt.job, job, candidate);
            }
        }
        preemptible
    }

    /// Chooses the single tasks that are preempted, for waiting jobs in the order in which those
    /// are scheduled.
    fn choose_victims(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        input: &mut CycleInput,
        tasks: Vec<PreemptionCandidate>,
    ) -> Vec<AttemptId> {
        let mut search = VictimSearch::new(input, tasks);
        for position in search.input.cycle.job_order() {
            let job_idx = search.input.jobs[position];
            let job = &search.input.cycle.jobs[position];
            if job.pending == 0
                || search.remaining() == 0
                || !self.may_preempt(job_idx, now, options)
            {
                continue;
            }
            // Tasks that lose little are preempted soon, others only after a longer wait.
            let waited_s = self.schedulable_wait_s(job_idx, now).unwrap_or(0.0);
            let scope = if waited_s < options.preempt_after_s {
                PreemptionScope::CheckpointingTasks
            } else {
                PreemptionScope::AllTasks
            };
            if job.gang {
                search.search_for_gang(position, scope);
                continue;
            }
            search.search_for_tasks(position, scope);
            if search.lacks_cached_image(position) {
                self.give_up_on_cached_image(job_idx);
            }
        }
        search.into_victims()
    }

    /// Lets a job be bound to machines that have to fetch its image.
    fn give_up_on_cached_image(&mut self, job_idx: JobIdx) {
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        job.gave_up_on_cached_image = true;
        self.timers.request_cycle();
    }

    /// Preempts one gang as a whole, for the first job that has waited for long enough.
    fn preempt_one_gang(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        input: &mut CycleInput,
        gangs: BTreeMap<(JobIdx, usize), PreemptionCandidate>,
    ) {
        let preemptor = input.cycle.job_order().into_iter().find(|position| {
            let waited_s = self.schedulable_wait_s(input.jobs[*position], now).unwrap_or(0.0);
            let job = &input.cycle.jobs[*position];
            job.pending > 0 && !job.gang && waited_s >= options.preempt_after_s
        });
        let Some(preemptor) = preemptor else { return };
        let mut candidates = PreemptionCandidates::new(input.machines.len(), gangs.into_values());
        let victims =
            candidates.preempt_for(&mut input.cycle, preemptor, 1, PreemptionScope::AllTasks);
        let victim = victims.first().copied().map(AttemptId::from_logged);
        let victim = victim.and_then(|id| self.attempts.get(id));
        if let Some(gang) = victim.map(|attempt| attempt.job) {
            self.preempt_gang(gang);
        }
    }

    fn preempt_gang(&mut self, job_idx: JobIdx) {
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        self.cluster.counters.preemptions += u64::from(job.spec.tasks);
        job.mark_all_preempted();
        tracing::info!(job = %job.id, tasks = job.spec.tasks, reason = "preempted", "gang stopped");
        self.stop_gang(job_idx, StopReason::Preempted);
    }

    fn preempt(&mut self, id: AttemptId) {
        self.attempts.update(id, |attempt| attempt.stop_reason = Some(StopReason::Preempted));
        let Some(attempt) = self.attempts.get(id) else { return };
        self.commands.request_commands(attempt.machine);
        self.cluster.counters.preemptions += 1;
        if let Some(job) = self.jobs.get_mut(&attempt.job) {
            job.preempted.insert(attempt.task_index);
        }
        tracing::info!(
            job = %self.job_names.name(attempt.job),
            task = attempt.task_index,
            machine = self.cluster.machine_names.name(attempt.machine),
            reason = "preempted",
            "task stopped"
        );
    }
}

/// Whether an attempt's resources will be free without anything being preempted.
fn is_ending(attempt: &Attempt) -> bool {
    attempt.stop_reason.is_some() || matches!(attempt.phase, AssignmentPhase::Releasing(_))
}

/// Whether an attempt may be preempted: it is committed, and its task was not preempted before.
fn may_be_preempted(job: &Job, attempt: &Attempt) -> bool {
    attempt.phase == AssignmentPhase::Committed && !job.preempted.contains(attempt.task_index)
}

/// An attempt on the machine at this position as a candidate. Preempting it loses what it has
/// worked since its last checkpoint, weighted by the CPUs that it uses.
fn preemption_candidate(
    now: f64,
    id: AttemptId,
    attempt: &Attempt,
    job: &Job,
    position: usize,
) -> PreemptionCandidate {
    let ran_s = attempt.running_since.map_or(0.0, |since| now - since);
    let checkpoint_interval_s = job.spec.checkpoint_interval_s;
    let checkpoints = checkpoint_interval_s > 0.0;
    let lost_s = if checkpoints { ran_s % checkpoint_interval_s } else { ran_s };
    PreemptionCandidate {
        id: id.logged(),
        machine: position,
        team: job.team,
        priority: job.spec.priority.level(),
        resources: attempt.resources,
        lost_work: lost_s * job.spec.cpus,
        checkpoints,
    }
}
