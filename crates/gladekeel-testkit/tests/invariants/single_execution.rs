use super::{array_of_four, checker_with, machine, task, violated};

#[test]
fn a_task_that_starts_on_a_second_machine_is_a_violation() {
    let mut checker = checker_with(&array_of_four());
    checker.on_task_started(1.0, &task(0), &machine("n-1", "a", false));
    checker.on_task_started(2.0, &task(0), &machine("n-2", "a", false));
    assert_eq!(violated(&checker), ["single_execution"]);
}
