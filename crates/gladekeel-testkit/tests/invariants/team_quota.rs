use super::{array_of_four, checker_with, machine, task, violated};
use gladekeel_wire::job::JobSpec;

#[test]
fn tasks_that_use_more_cpus_than_the_limit_of_their_team_are_a_violation() {
    let mut checker = checker_with(&JobSpec { cpus: 60.0, ..array_of_four() });
    for index in 0..4 {
        checker.on_task_started(1.0, &task(index), &machine("n-1", "a", false));
    }
    assert_eq!(violated(&checker), ["team_quota"]);
}
