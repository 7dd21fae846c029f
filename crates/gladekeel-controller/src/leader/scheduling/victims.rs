//! Candidates for preemption, and the search for victims among the candidates.

use super::cycle_input::CycleInput;
use crate::leader::{
    AssignmentPhase, Attempt, AttemptId, Job, Leader,
    failure_detection::evacuation::GangReachability,
};
use gladekeel_sched::{
    DenseIndex, JobIdx,
    preemption::{PreemptionCandidate, PreemptionCandidates, PreemptionScope},
};
use std::collections::BTreeMap;

/// The maximum number of victims of one [`VictimSearch`] is the number of machines divided by this
/// value, but at least [`MIN_VICTIMS`].
const MACHINES_PER_VICTIM: usize = 20;
/// Lower bound on the maximum number of victims of one [`VictimSearch`].
const MIN_VICTIMS: usize = 8;
/// Maximum number of gangs for which one [`VictimSearch`] looks for victims, since looking for the
/// victims of a gang copies the whole input.
const MAX_GANG_SEARCHES: usize = 4;

/// The gangs that may be preempted. Each candidate stands for all tasks of one gang on one machine;
/// the key is the gang's job index and the machine's position in the [`CycleInput`].
pub(super) type GangCandidates = BTreeMap<(JobIdx, usize), PreemptionCandidate>;

/// The candidates for preemption.
#[derive(Default)]
pub(super) struct Preemptible {
    /// Tasks of jobs that are not gangs, which can be preempted one by one.
    pub tasks: Vec<PreemptionCandidate>,
    /// Gangs, which are preempted as a whole.
    pub gangs: GangCandidates,
}

impl Preemptible {
    /// Adds a task of a gang. The lost work is that of the whole gang, since preempting one task of
    /// a gang stops all of its tasks.
    fn add_gang_task(&mut self, job_idx: JobIdx, job: &Job, task: PreemptionCandidate) {
        let lost_work = task.lost_work * f64::from(job.spec.tasks);
        self.gangs
            .entry((job_idx, task.machine))
            .and_modify(|tasks| tasks.resources += task.resources)
            .or_insert(PreemptionCandidate { lost_work, ..task });
    }
}

/// Searches for tasks to preempt, for each waiting job in turn. `input` is updated as if the victims
/// found so far were stopped and the tasks for which they were found were placed.
pub(super) struct VictimSearch<'a> {
    pub input: &'a mut CycleInput,
    candidates: PreemptionCandidates,
    victims: Vec<u64>,
    max_victims: usize,
    gang_searches: usize,
}

impl VictimSearch<'_> {
    /// Creates a search that has no victims yet.
    pub fn new(input: &mut CycleInput, tasks: Vec<PreemptionCandidate>) -> VictimSearch<'_> {
        let machines = input.machines.len();
        VictimSearch {
            input,
            candidates: PreemptionCandidates::new(machines, tasks),
            victims: Vec::new(),
            max_victims: (machines / MACHINES_PER_VICTIM).max(MIN_VICTIMS),
            gang_searches: 0,
        }
    }

    /// Returns how many more tasks may be preempted.
    pub fn remaining(&self) -> usize {
        self.max_victims.saturating_sub(self.victims.len())
    }

    /// Searches for victims for the pending tasks of the job at this position.
    pub fn search_for_tasks(&mut self, position: usize, scope: PreemptionScope) {
        let remaining = self.remaining();
        let cycle = &mut self.input.cycle;
        let victims = self.candidates.preempt_for(cycle, position, remaining, scope);
        self.victims.extend(victims);
    }

    /// Searches for victims for the whole gang at this position, if none of its tasks is on a
    /// machine.
    pub fn search_for_gang(&mut self, position: usize, scope: PreemptionScope) {
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

    /// Whether a job that requires a cached image still has pending tasks although the limit on
    /// victims was not reached. No machine that has the image can then be freed for the job.
    pub fn lacks_cached_image(&self, position: usize) -> bool {
        let job = &self.input.cycle.jobs[position];
        job.requires_cached_image && job.pending > 0 && self.remaining() > 0
    }

    /// Returns the attempts to preempt.
    pub fn into_victims(self) -> Vec<AttemptId> {
        self.victims.into_iter().map(AttemptId::from_log_value).collect()
    }
}

impl Leader {
    /// Returns the candidates for preemption. Counts the resources of attempts that are ending as
    /// free in `input`, so that nothing is preempted for tasks that will fit anyway.
    pub(super) fn preemptible(&self, now: f64, input: &mut CycleInput) -> Preemptible {
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
}

/// Whether an attempt's resources will become free without preemption, because the attempt is being
/// stopped or released.
fn is_ending(attempt: &Attempt) -> bool {
    attempt.stop_reason.is_some() || matches!(attempt.phase, AssignmentPhase::Releasing(_))
}

/// Whether an attempt may be preempted: it must be committed, and its task must not have been
/// preempted before.
fn may_be_preempted(job: &Job, attempt: &Attempt) -> bool {
    attempt.phase == AssignmentPhase::Committed && !job.preempted.contains(attempt.task_index)
}

/// Returns an attempt on the machine at this position as a candidate for preemption. Preempting the
/// attempt loses the work since its last checkpoint, weighted by the CPUs that the task requests.
fn preemption_candidate(
    now: f64,
    id: AttemptId,
    attempt: &Attempt,
    job: &Job,
    position: usize,
) -> PreemptionCandidate {
    let run_time_s = attempt.running_since.map_or(0.0, |since| now - since);
    let checkpoint_interval_s = job.spec.checkpoint_interval_s;
    let saves_checkpoints = checkpoint_interval_s > 0.0;
    let lost_s = if saves_checkpoints { run_time_s % checkpoint_interval_s } else { run_time_s };
    PreemptionCandidate {
        id: id.to_log_value(),
        machine: position,
        team: job.team,
        priority: job.spec.priority.level(),
        resources: attempt.resources,
        lost_work: lost_s * job.spec.cpus,
        saves_checkpoints,
    }
}
