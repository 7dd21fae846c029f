//! The tasks of a gang begin to run together: all of them, under one attempt, at one time.
//!
//! A gang that runs in part does nothing but hold resources, and two attempts that overlap
//! would work on the same data.

use super::{Invariant, InvariantChecker};
use gladekeel_wire::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks of gangs that began to run at this instant, by job and attempt.
#[derive(Debug, Default)]
pub(super) struct GangStarts(BTreeMap<(JobId, u64), BTreeSet<TaskId>>);

impl InvariantChecker {
    /// A task of a gang begins to run.
    pub fn on_gang_task_running(&mut self, now: f64, task: &TaskId, attempt: u64) {
        if self.running.of_task(task).is_empty() {
            self.report(Invariant::GangStart, format!("{now:.2}: {task} runs on no machine"));
        }
        let key = (task.job.clone(), attempt);
        self.gang_starts.0.entry(key).or_default().insert(task.clone());
    }

    /// Checks that the tasks of a gang that began to run at this instant are all of them.
    pub fn check_gang_starts(&mut self, now: f64) {
        for ((job, attempt), tasks) in std::mem::take(&mut self.gang_starts.0) {
            let expected = self.specs.get(&job).map_or(0, |spec| spec.tasks as usize);
            if tasks.len() == expected {
                self.started_at.entry(job).or_insert(now);
            } else {
                let started = tasks.len();
                let details =
                    format!("{now:.2}: {started} of {expected} of {job}, attempt {attempt}");
                self.report(Invariant::GangStart, details);
            }
        }
    }
}
