//! How long a job's completed tasks have run.

use gladekeel_sched::straggler;

/// Runs that are kept of each job: enough for a median, little enough for jobs of many tasks.
const MAX_RUNS: usize = 64;

/// Run times of a job's tasks that were completed lately, in seconds.
#[derive(Debug, Default)]
pub struct RunTimeHistory {
    recent: Vec<f64>,
}

impl RunTimeHistory {
    /// Records a run. `completed_tasks` is how many of the job's tasks were completed before: it
    /// picks the run that is overwritten when the history is full.
    pub(in crate::leader) fn record(&mut self, run_s: f64, completed_tasks: u32) {
        if self.recent.len() < MAX_RUNS {
            self.recent.push(run_s);
        } else {
            self.recent[completed_tasks as usize % MAX_RUNS] = run_s;
        }
    }

    /// The median run time in seconds; `None` before the first run.
    pub fn median_s(&self) -> Option<f64> {
        straggler::median(&mut self.recent.clone())
    }
}
