//! The tasks of a job that wait to be bound to a machine.

use std::collections::VecDeque;

/// Tasks on no machine, in the order in which they are bound: speculative restarts, then tasks
/// that were requeued, then those that were never started.
///
/// Invariant: the first `speculative_restarts` tasks are the restarts.
#[derive(Debug)]
pub struct TaskQueue {
    tasks: VecDeque<u32>,
    speculative_restarts: u32,
    waiting_since: Option<f64>,
}

impl TaskQueue {
    /// A queue of a new job's tasks, none of which has been started.
    pub(super) fn of_new_job(tasks: u32) -> TaskQueue {
        TaskQueue { tasks: (0..tasks).collect(), speculative_restarts: 0, waiting_since: None }
    }

    /// How many tasks wait.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// How many of the tasks that wait are speculative restarts.
    pub fn speculative_restarts(&self) -> u32 {
        self.speculative_restarts
    }

    /// Since when tasks have waited without a break, if a scheduling cycle has left some over
    /// or one was requeued.
    pub fn waiting_since(&self) -> Option<f64> {
        self.waiting_since
    }

    /// For how many seconds tasks have waited; 0 if none has had to.
    pub fn waited_s(&self, now: f64) -> f64 {
        self.waiting_since.map_or(0.0, |since| now - since)
    }

    /// Records that a scheduling cycle has bound what it could: what is left begins to wait.
    pub(in crate::leader) fn record_unbound(&mut self, now: f64) {
        if !self.tasks.is_empty() {
            self.waiting_since.get_or_insert(now);
        }
    }

    /// Takes the next task off the queue. The job has stopped waiting once it was the last.
    pub(in crate::leader) fn next(&mut self) -> Option<u32> {
        self.speculative_restarts = self.speculative_restarts.saturating_sub(1);
        let task = self.tasks.pop_front()?;
        if self.tasks.is_empty() {
            self.waiting_since = None;
        }
        Some(task)
    }

    /// Puts a speculative restart in front of all others.
    pub(super) fn requeue_restart(&mut self, task: u32, now: f64) {
        self.tasks.push_front(task);
        self.speculative_restarts += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Puts a task back after the restarts, in front of the others: it has waited already.
    pub(super) fn requeue(&mut self, task: u32, now: f64) {
        let position = (self.speculative_restarts as usize).min(self.tasks.len());
        self.tasks.insert(position, task);
        self.waiting_since.get_or_insert(now);
    }

    /// Removes the tasks that are completed or assigned according to the assignment log. Only for
    /// replay, before anything was requeued.
    pub(in crate::leader) fn retain(&mut self, is_pending: impl FnMut(&u32) -> bool) {
        debug_assert_eq!(self.speculative_restarts, 0, "replay comes before all restarts");
        self.tasks.retain(is_pending);
    }
}
