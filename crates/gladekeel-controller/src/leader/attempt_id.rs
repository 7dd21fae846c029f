//! Ids of attempts, and the numbers by which workers know them.

/// Names an assignment of a task to a machine, in this process and in the assignment log.
///
/// Workers know the same attempt by a number. The tasks of a gang share one number, by which they
/// find one another; the id of each is that number plus the index of the task. A task that is
/// replaced while its gang waits to start gets its id again; no other id is used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(u64);

impl AttemptId {
    /// The id with this value in the assignment log.
    pub fn from_logged(logged: u64) -> AttemptId {
        AttemptId(logged)
    }

    /// The id of a task of a gang whose attempt workers know by a number. A worker may report any
    /// number and index; a pair that was never assigned gives an id that no attempt has, or
    /// that of an attempt of another task, so callers compare job and index.
    pub fn of_gang_task(number: u64, task_index: u32) -> AttemptId {
        AttemptId(number.saturating_add(u64::from(task_index)))
    }

    /// The value in the assignment log.
    pub fn logged(self) -> u64 {
        self.0
    }

    /// The number by which workers know the attempt, if it is of a gang's task.
    pub fn gang_number(self, task_index: u32) -> u64 {
        self.0 - u64::from(task_index)
    }
}
