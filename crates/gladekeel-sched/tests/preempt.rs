//! Which tasks are stopped for others.

mod common;

use common::{job, machine, room, round, team};
use gladekeel_sched::{
    Resources, TeamIdx,
    cycle::SchedulableJob,
    preemption::{PreemptionCandidate, PreemptionCandidates},
};

#[test]
fn preemption_takes_lower_priority_or_what_is_borrowed() {
    let mut machines = vec![machine(0, false); 2];
    machines.iter_mut().for_each(|m| m.free = Resources::default());
    let mut teams = vec![team(32.0, 64.0), team(0.0, 64.0)];
    teams[1].used = room(64.0);
    let stop = |job: SchedulableJob, saving: bool| {
        let victim = |id, machine, team, loss, saves| PreemptionCandidate {
            id,
            machine,
            team: TeamIdx::new(team),
            priority: 1,
            resources: room(16.0),
            lost_work: loss,
            checkpoints: saves,
        };
        let victims =
            [victim(1, 0, 1, 9.0, true), victim(2, 1, 1, 3.0, false), victim(3, 1, 0, 1.0, false)];
        let mut round = round(machines.clone(), teams.clone(), vec![job]);
        PreemptionCandidates::new(2, victims).preempt_for(&mut round, 0, 8, saving)
    };
    // Same priority: only what team 1 borrowed, and the least loss of it.
    assert_eq!(stop(job(0, 16.0, 1), false), [2]);
    assert_eq!(stop(job(0, 16.0, 1), true), [1], "only what saves its progress");
    assert_eq!(stop(job(0, 16.0, 9), false), [2, 1], "and no more than is borrowed");
    // Beyond its own guarantee a team may not reclaim.
    assert!(stop(job(0, 48.0, 1), false).is_empty());
    let urgent = |team| SchedulableJob { priority: 2, ..job(team, 16.0, 1) };
    assert_eq!(stop(urgent(0), false), [3], "the least loss of a lower priority");
    assert!(stop(urgent(1), false).is_empty(), "the limit holds for urgent work too");
}
