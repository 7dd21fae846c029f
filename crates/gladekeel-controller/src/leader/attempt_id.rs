//! The ids of attempts, and the numbers by which workers know attempts.

use gladekeel_wire::worker::TaskStatus;

/// Identifies an attempt, in this process and in the assignment log.
///
/// Workers know an attempt by a number, which is the value of the id unless the task belongs to a
/// gang. The tasks of a gang share one number, by which they find one another, and the id of each
/// attempt is that number plus the index of the task. A task that is replaced while its gang waits
/// to start gets the same id again; no other id is used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(u64);

impl AttemptId {
    /// Returns the id that has this value in the assignment log.
    pub fn from_log_value(value: u64) -> AttemptId {
        AttemptId(value)
    }

    /// Returns the id of the attempt of a gang's task, from the number by which workers know the
    /// attempt. A worker may report any number and index: a pair that was never assigned results in
    /// an id that no attempt has, or in the id of another task's attempt, so callers must check the
    /// job and the index of the attempt that has this id.
    pub fn of_gang_task(number: u64, task_index: u32) -> AttemptId {
        AttemptId(number.saturating_add(u64::from(task_index)))
    }

    /// Returns the value of the id in the assignment log.
    pub fn to_log_value(self) -> u64 {
        self.0
    }

    /// Returns the number by which workers know the attempt. The attempt must belong to a task of a
    /// gang, and `task_index` must be the index of that task.
    pub fn gang_number(self, task_index: u32) -> u64 {
        self.0 - u64::from(task_index)
    }
}

/// An attempt as its worker knows it. The tasks of a gang share a number, so the index of the task
/// belongs to it. No two attempts on a machine have the same value, also if the leader no longer
/// knows their job and therefore not whether it is a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedAttempt {
    /// The number of the attempt.
    pub number: u64,
    /// The index of the task in its job.
    pub task_index: u32,
}

impl From<&TaskStatus> for ReportedAttempt {
    fn from(status: &TaskStatus) -> ReportedAttempt {
        ReportedAttempt { number: status.attempt, task_index: status.task.index }
    }
}
