//! Which tasks are slow.

use gladekeel_sched::MachineIdx;
use gladekeel_sched::straggler::{RunningTask, find_stragglers, median};

#[test]
fn only_machines_whose_tasks_are_all_slow() {
    let run = |machine, ran_s, may_restart| RunningTask {
        machine: MachineIdx::new(machine),
        ran_s,
        median_s: Some(10.0),
        may_restart,
    };
    let runs = [
        run(1, 31.0, true),
        run(2, 31.0, true),
        run(1, 5.0, true),
        run(2, 40.0, false),
        run(3, 99.0, true),
        RunningTask { machine: MachineIdx::new(4), ran_s: 99.0, median_s: None, may_restart: true },
    ];
    assert_eq!(find_stragglers(&runs, 3.0), [1]);
    assert_eq!(median(&mut [3.0, 1.0, 2.0]), Some(2.0));
    assert_eq!(median(&mut []), None);
}
