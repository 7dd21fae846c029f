//! Straggler mitigation: finds running tasks that are slow enough to be restarted elsewhere.
//!
//! The leader calls [`find_stragglers`] with the running tasks of some machines and speculatively
//! restarts the tasks that it returns. A task is stopped before it is started again, since no task
//! may be on two machines at once.

use crate::MachineIdx;

/// A running task.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    /// Machine that the task runs on.
    pub machine: MachineIdx,
    /// Time for which the task has run, in seconds.
    pub run_time_s: f64,
    /// Median run time of the job's completed tasks, in seconds; `None` if no run time is known.
    pub median_s: Option<f64>,
    /// Whether the task may be restarted.
    pub may_restart: bool,
}

impl RunningTask {
    fn is_slow(&self, multiple: f64) -> bool {
        self.median_s.is_some_and(|median_s| self.run_time_s > multiple * median_s)
    }
}

/// Returns the positions in `tasks` of the tasks to restart, in ascending order.
///
/// A task is slow if it has run for more than `multiple` times the median run time of its job. A
/// machine's tasks are restarted only if the machine has several tasks and all of them are slow: a
/// slow task beside tasks of normal speed simply has more to do and would take as long on another
/// machine.
pub fn find_stragglers(tasks: &[RunningTask], multiple: f64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..tasks.len()).collect();
    order.sort_by_key(|task| tasks[*task].machine);
    let mut stragglers = Vec::new();
    for group in order.chunk_by(|a, b| tasks[*a].machine == tasks[*b].machine) {
        if group.len() > 1 && group.iter().all(|task| tasks[*task].is_slow(multiple)) {
            stragglers.extend(group.iter().copied().filter(|task| tasks[*task].may_restart));
        }
    }
    stragglers.sort_unstable();
    stragglers
}

/// Returns the median of `values`, or the upper of the two middle values if their number is even;
/// `None` if there are no values. Reorders `values`.
pub fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
