//! Straggler mitigation: which running tasks are slow enough to be restarted elsewhere.
//!
//! The leader calls [`find_stragglers`] with the running tasks of some machines, and restarts
//! what it returns speculatively: the task is stopped before it starts anew, since no task may
//! be on two machines at once.

use crate::MachineIdx;

/// A running task.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    /// Its machine.
    pub machine: MachineIdx,
    /// How long it has run, in seconds.
    pub ran_s: f64,
    /// Median run time of its job's finished tasks in seconds, if enough have finished.
    pub median_s: Option<f64>,
    /// Whether it may be restarted.
    pub may_restart: bool,
}

impl RunningTask {
    fn is_slow(&self, multiple: f64) -> bool {
        self.median_s.is_some_and(|median_s| self.ran_s > multiple * median_s)
    }
}

/// Positions of the tasks to restart, in ascending order: those that have run for more than
/// `multiple` times their job's median, on a machine all of whose several tasks have. A slow
/// task among ordinary ones has more to do, and would take as long elsewhere.
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

/// The median of a list, which it reorders; the upper one if there are two in the middle.
pub fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
