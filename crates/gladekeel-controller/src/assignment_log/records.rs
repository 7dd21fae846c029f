//! The records of a decoded segment.

use gladekeel_wire::JobId;

/// How an attempt ended. The discriminants of the variants are part of the stored format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The task of the attempt is done.
    Done = 1,
    /// The task of the attempt returns to the queue of pending tasks.
    Requeued = 2,
    /// The task of the attempt returns to the queue of pending tasks for a speculative restart.
    /// Each task is restarted in this way at most once.
    Restarted = 3,
}

impl From<AttemptOutcome> for u16 {
    fn from(outcome: AttemptOutcome) -> u16 {
        outcome as u16
    }
}

/// The error for a stored number that stands for no [`AttemptOutcome`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("unknown attempt outcome: {0}")]
pub struct UnknownOutcome(pub u16);

impl TryFrom<u16> for AttemptOutcome {
    type Error = UnknownOutcome;

    fn try_from(number: u16) -> Result<AttemptOutcome, UnknownOutcome> {
        match number {
            1 => Ok(AttemptOutcome::Done),
            2 => Ok(AttemptOutcome::Requeued),
            3 => Ok(AttemptOutcome::Restarted),
            _ => Err(UnknownOutcome(number)),
        }
    }
}

/// The assignment of a task to a machine. From the segment that contains this record on, the
/// attempt may be on the machine until the attempt is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The job of the task.
    pub job: JobId,
    /// The task's index within its job.
    pub index: u32,
    /// The name of the machine.
    pub machine: String,
    /// The incarnation of the worker on the machine. The attempt cannot be running in a newer
    /// incarnation.
    pub incarnation: u64,
    /// The id of the attempt as stored in the log, which is unique across all leaders.
    pub attempt: u64,
}

/// The release of an attempt, which is proven to be no longer on its machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The job of the task.
    pub job: JobId,
    /// The task's index within its job.
    pub index: u32,
    /// The id of the attempt as stored in the log.
    pub attempt: u64,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
}

/// The progress of all tasks on one page, which covers a fixed range of a job's tasks. A page is
/// written when releases that record parts of its progress are about to be overwritten in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressPage {
    /// The job whose tasks are on the page.
    pub job: JobId,
    /// The number of the page within the job. A page covers
    /// [`TASKS_PER_PAGE`](crate::task_bitmap::TASKS_PER_PAGE) tasks.
    pub page: u32,
    /// The bitmap of the finished tasks, without trailing zero bytes.
    pub done: Vec<u8>,
    /// The bitmap of the tasks that were speculatively restarted, without trailing zero bytes.
    pub restarted: Vec<u8>,
}

/// A decoded segment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Segment {
    /// The position of the segment in the log. Segments are replayed in the order of their
    /// positions, regardless of the slots in which they are stored.
    pub sequence: u64,
    /// New assignments, and copies of older assignments from segments that are to be overwritten.
    pub assignments: Vec<Assignment>,
    /// Releases of attempts that were assigned in this segment or an earlier one.
    pub releases: Vec<Release>,
    /// Progress pages, which replace the records of the same progress in segments that are to be
    /// overwritten.
    pub progress_pages: Vec<ProgressPage>,
}
