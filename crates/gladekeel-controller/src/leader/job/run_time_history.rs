//! Run times of a job's completed tasks.

use gladekeel_sched::straggler;

/// Maximum number of run times kept for each job: enough for a median, and few even if the job has
/// many tasks.
const MAX_RUN_TIMES: usize = 64;

/// Run times of a job's recently completed tasks.
#[derive(Debug, Default)]
pub struct RunTimeHistory {
    /// Run times in seconds, at most [`MAX_RUN_TIMES`].
    recent_s: Vec<f64>,
}

impl RunTimeHistory {
    /// Records the run time of a completed task. `completed_tasks` is the number of the job's tasks
    /// that had completed before; it selects the run time to overwrite if the history is full.
    pub(in crate::leader) fn record(&mut self, run_s: f64, completed_tasks: u32) {
        if self.recent_s.len() < MAX_RUN_TIMES {
            self.recent_s.push(run_s);
        } else {
            self.recent_s[completed_tasks as usize % MAX_RUN_TIMES] = run_s;
        }
    }

    /// Returns the median run time in seconds; `None` if none has been recorded.
    pub fn median_s(&self) -> Option<f64> {
        straggler::median(&mut self.recent_s.clone())
    }
}
