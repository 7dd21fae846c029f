//! Which running tasks may be preempted, and the search among them.

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

/// In one call a task may be preempted for every so many machines.
const MACHINES_PER_VICTIM: usize = 20;
/// But at least so many tasks.
const MIN_VICTIMS: usize = 8;
/// Gangs for which victims are sought in one call: each search copies the whole input.
const MAX_GANG_SEARCHES: usize = 4;

/// Gangs that may be preempted, by job and position of the machine that their tasks are on.
pub(super) type GangCandidates = BTreeMap<(JobIdx, usize), PreemptionCandidate>;

/// What may be preempted.
#[derive(Default)]
pub(super) struct Preemptible {
    /// Single tasks.
    pub tasks: Vec<PreemptionCandidate>,
    /// Gangs.
    pub gangs: GangCandidates,
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

/// The search for tasks to preempt, for one waiting job after the other. `input` counts what it
/// has found as free, and as taken by the jobs that it was found for.
pub(super) struct VictimSearch<'a> {
    pub input: &'a mut CycleInput,
    candidates: PreemptionCandidates,
    victims: Vec<u64>,
    max_victims: usize,
    gang_searches: usize,
}

impl VictimSearch<'_> {
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

    /// How many more tasks may be preempted.
    pub fn remaining(&self) -> usize {
        self.max_victims.saturating_sub(self.victims.len())
    }

    /// Seeks victims for the pending tasks of the job at this position.
    pub fn search_for_tasks(&mut self, position: usize, scope: PreemptionScope) {
        let remaining = self.remaining();
        let cycle = &mut self.input.cycle;
        let victims = self.candidates.preempt_for(cycle, position, remaining, scope);
        self.victims.extend(victims);
    }

    /// Seeks victims for the whole gang at this position, if none of it is on a machine.
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

    /// Whether a job that requires a cached image still has pending tasks, although more could
    /// have been preempted: no machine that has the image can be freed.
    pub fn lacks_cached_image(&self, position: usize) -> bool {
        let job = &self.input.cycle.jobs[position];
        job.requires_cached_image && job.pending > 0 && self.remaining() > 0
    }

    /// The attempts to preempt.
    pub fn into_victims(self) -> Vec<AttemptId> {
        self.victims.into_iter().map(AttemptId::from_logged).collect()
    }
}

impl Leader {
    /// What may be preempted. The resources of attempts that are ending count as free in `input`,
    /// so that nothing is preempted for tasks that will fit anyway.
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
