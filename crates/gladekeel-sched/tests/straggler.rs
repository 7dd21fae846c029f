//! Tests of straggler detection.

use gladekeel_sched::{
    MachineIdx,
    straggler::{RunningTask, find_stragglers, median},
};

/// Guards against restarts that gain nothing: a slow task that is alone on its machine, or shares
/// the machine with tasks that run at a normal pace, may just have more to do than other tasks of
/// its job.
#[test]
fn a_slow_task_is_no_straggler_if_it_is_alone_on_its_machine_or_beside_a_fast_task() {
    let task = |machine, run_time_s, may_restart| RunningTask {
        machine: MachineIdx::new(machine),
        run_time_s,
        median_s: Some(10.0),
        may_restart,
    };
    let tasks = [
        task(1, 31.0, true),
        task(2, 31.0, true),
        task(1, 5.0, true),
        task(2, 40.0, false),
        task(3, 99.0, true),
        RunningTask {
            machine: MachineIdx::new(4),
            run_time_s: 99.0,
            median_s: None,
            may_restart: true,
        },
    ];
    assert_eq!(find_stragglers(&tasks, 3.0), [1]);
    assert_eq!(median(&mut [3.0, 1.0, 2.0]), Some(2.0));
    assert_eq!(median(&mut []), None);
}
