//! The queue of a job's tasks that wait to be bound to a machine.

use std::collections::VecDeque;

/// Pending tasks of a job, in the order in which they are bound: speculative restarts, then
/// requeued tasks, then tasks that were never started.
///
/// Invariant: the first `speculative_restarts` tasks in the queue are the speculative restarts.
#[derive(Debug)]
pub struct TaskQueue {
    /// Task indices.
    tasks: VecDeque<u32>,
    speculative_restarts: u32,
    /// See [`TaskQueue::waiting_since`].
    waiting_since: Option<f64>,
}

impl TaskQueue {
    /// Creates a queue with all tasks of a new job, none of which has been started.
    pub(super) fn for_new_job(tasks: u32) -> TaskQueue {
        TaskQueue { tasks: (0..tasks).collect(), speculative_restarts: 0, waiting_since: None }
    }

    /// Returns the number of tasks in the queue.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether the queue has no tasks.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns how many of the tasks in the queue are speculative restarts.
    pub fn speculative_restarts(&self) -> u32 {
        self.speculative_restarts
    }

    /// Returns the time, in seconds on the node's clock, since which the queue has continuously
    /// had waiting tasks. Tasks start to wait when a scheduling cycle leaves them unbound or when a
    /// task is requeued; `None` if neither has happened since the queue was last empty.
    pub fn waiting_since(&self) -> Option<f64> {
        self.waiting_since
    }

    /// Returns for how many seconds the queue has continuously had waiting tasks. No task in the
    /// queue has waited longer. 0 if [`TaskQueue::waiting_since`] returns `None`.
    pub fn waited_s(&self, now: f64) -> f64 {
        self.waiting_since.map_or(0.0, |since| now - since)
    }

    /// Records that a scheduling cycle has ended: the tasks that it left unbound start to wait.
    pub(in crate::leader) fn record_unbound(&mut self, now: f64) {
        if !self.tasks.is_empty() {
            self.waiting_since.get_or_insert(now);
        }
    }

    /// Removes the next task from the queue and returns its index. If the queue is then empty, the
    /// job is no longer waiting.
    pub(in crate::leader) fn pop_next(&mut self) -> Option<u32> {
        self.speculative_restarts = self.speculative_restarts.saturating_sub(1);
        let task = self.tasks.pop_front()?;
        if self.tasks.is_empty() {
            self.waiting_since = None;
        }
        Some(task)
    }

    /// Puts a speculative restart at the front of the queue.
    pub(super) fn requeue_restart(&mut self, task: u32, now: f64) {
        self.tasks.push_front(task);
        self.speculative_restarts += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Puts a task back behind the speculative restarts but ahead of all other tasks, since the
    /// requeued task has waited before.
    pub(in crate::leader) fn requeue(&mut self, task: u32, now: f64) {
        let position = (self.speculative_restarts as usize).min(self.tasks.len());
        self.tasks.insert(position, task);
        self.waiting_since.get_or_insert(now);
    }

    /// Keeps only the tasks for which `is_pending` returns true. Replay uses this to remove tasks
    /// that are completed or assigned according to the assignment log, before any task is requeued.
    pub(in crate::leader) fn retain(&mut self, is_pending: impl FnMut(&u32) -> bool) {
        debug_assert_eq!(
            self.speculative_restarts, 0,
            "the log is replayed before any task is restarted"
        );
        self.tasks.retain(is_pending);
    }
}
