//! Preemption: stops running tasks to free resources for waiting jobs that take precedence, either
//! by a higher priority or by the guarantee of their team.
//!
//! Preemption runs after the scheduling cycle, for the tasks that the cycle left pending. It only
//! chooses attempts and marks them as stopping; their resources become free once their releases
//! are committed, and a later cycle binds the waiting tasks. A task is preempted at most once, so
//! that it completes eventually.

use super::{
    cycle_input::{CycleInput, MachineScope},
    victims::{GangCandidates, Preemptible, VictimSearch},
};
use crate::leader::{AttemptId, Leader, StopReason};
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{
    DenseIndex, JobIdx,
    preemption::{PreemptionCandidate, PreemptionCandidates, PreemptionScope},
};

impl Leader {
    /// Preempts tasks for jobs that take precedence and have waited for long enough.
    pub(in crate::leader) fn preempt_for_waiting_jobs(
        &mut self,
        now: f64,
        settings: &RuntimeSettings,
    ) {
        if !self.has_preemptor(now, settings) {
            return;
        }
        let mut input = self.cycle_input(now, MachineScope::All);
        let Preemptible { tasks, gangs } = self.preemptible(now, &mut input);
        input.cycle.run(&settings.fair_share);
        let victims = self.choose_victims(now, settings, &mut input, tasks);
        if victims.is_empty() {
            // A gang is preempted only if no single task can be: at most one gang per call, as a
            // whole.
            self.preempt_one_gang(now, settings, &mut input, gangs);
        }
        for id in victims {
            self.preempt(id);
        }
    }

    /// Whether a job that may preempt others has a higher priority than another unfinished job, or
    /// belongs to a team that uses less than its guarantee.
    fn has_preemptor(&self, now: f64, settings: &RuntimeSettings) -> bool {
        let mut unfinished = self.jobs.iter().filter(|(_, job)| !job.is_finished());
        let lowest = unfinished.clone().map(|(_, job)| job.spec.priority.level()).min();
        unfinished.any(|(job_idx, job)| {
            let team = &self.teams[job.team.position()];
            self.may_preempt(*job_idx, now, settings)
                && (Some(job.spec.priority.level()) > lowest
                    || team.within_guarantee(job.task_request))
        })
    }

    /// Whether a job has waited for long enough that tasks may be preempted for it. A job that
    /// requires a cached image need not wait.
    fn may_preempt(&self, job_idx: JobIdx, now: f64, settings: &RuntimeSettings) -> bool {
        let min_wait_s = settings.preempt_after_s.min(settings.preempt_checkpointed_after_s);
        let requires_cached_image = self.jobs.get(&job_idx).is_some_and(|job| {
            job.requires_cached_image(&self.deployment, self.image_fetch_s(job), now)
        });
        self.schedulable_wait_s(job_idx, now)
            .is_some_and(|waited_s| waited_s >= min_wait_s || requires_cached_image)
    }

    /// How long a job's pending tasks have waited for resources, in seconds; `None` if no pending
    /// task is waiting or the job must not be scheduled now.
    fn schedulable_wait_s(&self, job_idx: JobIdx, now: f64) -> Option<f64> {
        let job = self.jobs.get(&job_idx)?;
        if job.backoff.is_active(now) || job.pending.is_empty() {
            return None;
        }
        Some(now - job.pending.waiting_since()?)
    }

    /// Chooses the single tasks to preempt for waiting jobs, which are considered in scheduling
    /// order.
    fn choose_victims(
        &mut self,
        now: f64,
        settings: &RuntimeSettings,
        input: &mut CycleInput,
        tasks: Vec<PreemptionCandidate>,
    ) -> Vec<AttemptId> {
        let mut search = VictimSearch::new(input, tasks);
        for position in search.input.cycle.job_order() {
            let job_idx = search.input.jobs[position];
            let job = &search.input.cycle.jobs[position];
            if job.pending == 0
                || search.remaining() == 0
                || !self.may_preempt(job_idx, now, settings)
            {
                continue;
            }
            // Tasks that checkpoint lose little work, so they are preempted after a short wait;
            // other tasks are preempted only after a longer wait.
            let waited_s = self.schedulable_wait_s(job_idx, now).unwrap_or(0.0);
            let scope = if waited_s < settings.preempt_after_s {
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

    /// Allows a job to be bound to machines that do not have its image cached.
    fn give_up_on_cached_image(&mut self, job_idx: JobIdx) {
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        job.gave_up_on_cached_image = true;
        self.timers.request_cycle();
    }

    /// Preempts one gang as a whole, for the first job in scheduling order that is not a gang and
    /// has waited for `preempt_after_s`.
    fn preempt_one_gang(
        &mut self,
        now: f64,
        settings: &RuntimeSettings,
        input: &mut CycleInput,
        gangs: GangCandidates,
    ) {
        let preemptor = input.cycle.job_order().into_iter().find(|position| {
            let waited_s = self.schedulable_wait_s(input.jobs[*position], now).unwrap_or(0.0);
            let job = &input.cycle.jobs[*position];
            job.pending > 0 && !job.gang && waited_s >= settings.preempt_after_s
        });
        let Some(preemptor) = preemptor else { return };
        let mut candidates = PreemptionCandidates::new(input.machines.len(), gangs.into_values());
        let victims =
            candidates.preempt_for(&mut input.cycle, preemptor, 1, PreemptionScope::AllTasks);
        let victim = victims.first().copied().map(AttemptId::from_log_value);
        let victim = victim.and_then(|id| self.attempts.get(id));
        if let Some(gang) = victim.map(|attempt| attempt.job) {
            self.preempt_gang(gang);
        }
    }

    /// Stops all tasks of a gang, and marks each of them as preempted.
    fn preempt_gang(&mut self, job_idx: JobIdx) {
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        self.cluster.counters.preemptions += u64::from(job.spec.tasks);
        job.mark_all_preempted();
        tracing::info!(job = %job.id, tasks = job.spec.tasks, reason = "preempted", "gang stopped");
        self.stop_gang(job_idx, StopReason::Preempted);
    }

    /// Stops a single task, and marks the task as preempted.
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
