//! Which running tasks are find_stragglers enough to be started anew.

use crate::MachineIdx;
/// A running task as the rule sees it.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    /// Where it runs.
    pub machine: MachineIdx,
    /// How long it has run, in seconds.
    pub ran_s: f64,
    /// Median of its job's finished runs, if there are enough to tell.
    pub median_s: Option<f64>,
    /// Whether it may be restarted: it has not been yet.
    pub may_restart: bool,
}

/// Indices of the tasks to restart: past `multiple` times their job's median on a
/// machine whose other tasks are past that multiple as well. A find_stragglers task among
/// ordinary ones is long by itself and would be as long elsewhere.
pub fn find_stragglers(runs: &[RunningTask], multiple: f64) -> Vec<usize> {
    let past = |run: &RunningTask| run.median_s.is_some_and(|median| run.ran_s > multiple * median);
    let mut order: Vec<usize> = (0..runs.len()).collect();
    order.sort_by_key(|index| runs[*index].machine);
    let mut chosen = Vec::new();
    for group in order.chunk_by(|a, b| runs[*a].machine == runs[*b].machine) {
        if group.len() > 1 && group.iter().all(|index| past(&runs[*index])) {
            chosen.extend(group.iter().copied().filter(|index| runs[*index].may_restart));
        }
    }
    chosen.sort_unstable();
    chosen
}

/// The median of a list, which it reorders.
pub fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
