//! Tests of which tasks may be preempted for a job.

mod common;

use common::{cycle, job, machine, resources, team};
use gladekeel_sched::{
    Resources, TeamIdx,
    preemption::{PreemptionCandidate, PreemptionCandidates, PreemptionScope},
    snapshot::SchedulableJob,
};

use PreemptionScope::{AllTasks, CheckpointingTasks};

/// Guards against preemption for a job that does not take precedence: tasks of the same priority
/// may be stopped only if their team has borrowed beyond its guarantee and the job's team stays
/// within its own guarantee.
#[test]
fn only_tasks_of_lower_priority_or_on_borrowed_resources_are_preempted() {
    let mut machines = vec![machine(0, false); 2];
    machines.iter_mut().for_each(|m| m.free = Resources::default());
    let mut teams = vec![team(32.0, 64.0), team(0.0, 64.0)];
    teams[1].used = resources(64.0);
    let preempt = |job: SchedulableJob, scope: PreemptionScope| {
        let candidate = |id, machine, team, lost_work, saves_checkpoints| PreemptionCandidate {
            id,
            machine,
            team: TeamIdx::new(team),
            priority: 1,
            resources: resources(16.0),
            lost_work,
            saves_checkpoints,
        };
        let candidates = [
            candidate(1, 0, 1, 9.0, true),
            candidate(2, 1, 1, 3.0, false),
            candidate(3, 1, 0, 1.0, false),
        ];
        let mut cycle = cycle(machines.clone(), teams.clone(), vec![job]);
        PreemptionCandidates::new(2, candidates).preempt_for(&mut cycle, 0, 8, scope)
    };
    // At the same priority, only tasks of team 1 may be stopped, because team 1 has borrowed; of
    // these tasks, the one that loses the least work is stopped.
    assert_eq!(preempt(job(0, 16.0, 1), AllTasks), [2]);
    assert_eq!(preempt(job(0, 16.0, 1), CheckpointingTasks), [1], "only tasks with checkpoints");
    assert_eq!(
        preempt(job(0, 16.0, 9), AllTasks),
        [2, 1],
        "only tasks of team 1, although more tasks are pending"
    );
    // A team that would exceed its own guarantee may not reclaim resources from other teams.
    assert!(preempt(job(0, 48.0, 1), AllTasks).is_empty());
    let high_priority = |team| SchedulableJob { priority: 2, ..job(team, 16.0, 1) };
    assert_eq!(
        preempt(high_priority(0), AllTasks),
        [3],
        "the task of lower priority that loses the least work"
    );
    assert!(
        preempt(high_priority(1), AllTasks).is_empty(),
        "the team limit also holds for high priority"
    );
}
