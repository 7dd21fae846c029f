//! Ids of attempts.

/// Names a task on a machine, from the proposal to the commit of its release; also in the
/// log. Workers know the same attempt by a number, which the tasks of a gang share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(u64);

impl AttemptId {
    /// The id that stands in the log as this number.
    pub fn from_logged(logged: u64) -> AttemptId {
        AttemptId(logged)
    }

    /// The id of a gang's task whose attempt workers know by a number. The sum with an
    /// index that no such attempt has is the id of none.
    pub fn of_gang_task(number: u64, index: u32) -> AttemptId {
        AttemptId(number.saturating_add(u64::from(index)))
    }

    /// As it stands in the log.
    pub fn logged(self) -> u64 {
        self.0
    }

    /// The number by which workers know the attempt of a gang's task.
    pub fn gang_number(self, index: u32) -> u64 {
        self.0 - u64::from(index)
    }
}
