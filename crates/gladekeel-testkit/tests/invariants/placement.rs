use super::{array_of_four, checker_with, machine, task, violated};
use gladekeel_wire::job::JobSpec;

#[test]
fn a_task_on_a_machine_that_its_job_does_not_allow_is_a_violation() {
    for change in [
        (|s: &mut JobSpec| s.spot = false) as fn(&mut JobSpec),
        |s| s.zone = Some("b".into()),
        |s| s.machine_types = Some(vec!["g8".into()]),
        |s| s.single_zone = true,
        |s| s.spread = true,
    ] {
        let mut spec = array_of_four();
        change(&mut spec);
        let mut checker = checker_with(&spec);
        if spec.single_zone {
            checker.on_task_started(1.0, &task(3), &machine("n-9", "b", true));
        }
        let tasks = if spec.spread { 3 } else { 1 };
        for index in 0..tasks {
            checker.on_task_started(1.0, &task(index), &machine("n-1", "a", true));
        }
        assert_eq!(violated(&checker), ["placement"]);
    }
}
