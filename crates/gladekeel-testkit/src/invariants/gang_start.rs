//! The tasks of a gang begin to run together: all of them, in one attempt, at the same time.
//!
//! A gang of which only some tasks run occupies resources without making progress, and two
//! attempts that overlap would work on the same data.

use super::{Invariant, InvariantChecker};
use gladekeel_wire::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks of gangs that began to run at the current instant, by job and attempt.
#[derive(Debug, Default)]
pub(super) struct GangStarts(BTreeMap<(JobId, u64), BTreeSet<TaskId>>);

impl InvariantChecker {
    /// Records that a task of a gang begins to run, and checks that the task is on a machine.
    pub fn on_gang_task_running(&mut self, now: f64, task: &TaskId, attempt: u64) {
        if self.running.of_task(task).is_empty() {
            self.report(
                Invariant::GangStart,
                format!("{now:.2}: {task} runs but is on no machine"),
            );
        }
        let key = (task.job.clone(), attempt);
        self.gang_starts.0.entry(key).or_default().insert(task.clone());
    }

    /// Checks that all tasks of a gang began to run at this instant, if any did. The caller must
    /// have recorded all tasks that began to run at this instant.
    pub fn check_gang_starts(&mut self, now: f64) {
        for ((job, attempt), tasks) in std::mem::take(&mut self.gang_starts.0) {
            let expected = self.specs.get(&job).map_or(0, |spec| spec.tasks as usize);
            if tasks.len() == expected {
                self.started_at.entry(job).or_insert(now);
            } else {
                let started = tasks.len();
                let details = format!(
                    "{now:.2}: {started} of {expected} tasks of {job} run, attempt {attempt}"
                );
                self.report(Invariant::GangStart, details);
            }
        }
    }
}
