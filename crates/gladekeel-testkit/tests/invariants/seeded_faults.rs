//! Complete scenarios that violate an invariant on purpose.

use gladekeel_testkit::scenario::run;

/// The leader responds to the request of an `http` step with a status that differs from the one
/// that the step states.
#[test]
fn a_response_that_differs_from_the_scenario_is_a_violation() {
    let text = "world on_demand=1\nat 5 http GET /admin/settings = 201\nuntil 10\n";
    let failure = run(text).unwrap_err().to_string();
    assert!(
        failure.contains("invariant scenario_response violated: GET /admin/settings: 200"),
        "{failure}"
    );
    run(&format!("{text}expect violated scenario_response\n")).unwrap();
}

/// A step refers to the host of a job that has no task on a machine.
#[test]
fn a_target_that_does_not_exist_is_a_violation() {
    let text = "world on_demand=1\nat 5 reboot host_of:job-1\nuntil 10\n";
    let failure = run(text).unwrap_err().to_string();
    assert!(
        failure.contains("invariant scenario_target violated: no machine hosts a task of job-1"),
        "{failure}"
    );
}

/// Because of the seeded fault, tasks do not wait for their gang. They begin to run at different
/// times: one machine has the image when the gang is submitted, and the other has yet to boot.
#[test]
fn a_simulation_with_partial_gangs_violates_gang_start() {
    let text = "world on_demand=4 run_partial_gangs=yes\n\
                at 3 submit job-2 tasks=1 cpus=8 run_s=60\n\
                at 30 submit job-1 tasks=2 cpus=20 run_s=20 kind=gang\n\
                until 100\n\
                expect violated gang_start\n";
    run(text).unwrap();
    let failure = run(&text.replace("expect violated gang_start\n", "")).unwrap_err();
    assert!(failure.to_string().contains("invariant gang_start violated"), "{failure}");
    let failure = run(&text.replace("run_partial_gangs=yes", "")).unwrap_err();
    assert!(failure.to_string().contains("gang_start is not violated"), "{failure}");
}
