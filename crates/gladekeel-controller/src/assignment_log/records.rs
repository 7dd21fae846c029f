//! The records of a segment, as they are read back.

use gladekeel_wire::JobId;

/// How an attempt ended. The numbers are stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Its task is done.
    Done = 1,
    /// Its task goes back to the queue.
    Requeued = 2,
    /// Its task goes back to the queue as its one speculative restart.
    Restarted = 3,
}

impl From<AttemptOutcome> for u16 {
    fn from(outcome: AttemptOutcome) -> u16 {
        outcome as u16
    }
}

/// A number that stands for no [`AttemptOutcome`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no outcome of an attempt has the number {0}")]
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

/// An attempt that may be on its machine from this segment on, until it is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The job of the task.
    pub job: JobId,
    /// The task's index within its job.
    pub index: u32,
    /// The name of the machine.
    pub machine: String,
    /// The incarnation of the worker there: in a newer one the attempt cannot be running.
    pub incarnation: u64,
    /// The attempt's number, unique over all leaders.
    pub attempt: u64,
}

/// An attempt that is proved to be off its machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The job of the task.
    pub job: JobId,
    /// The task's index within its job.
    pub index: u32,
    /// The attempt's number.
    pub attempt: u64,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// The whole progress of one page of a job's tasks, written when the releases that recorded it
/// are about to be overwritten.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressPage {
    /// The job.
    pub job: JobId,
    /// The page's number; see [`TASKS_PER_PAGE`](crate::task_bitmap::TASKS_PER_PAGE).
    pub page: u32,
    /// Bitmap of the finished tasks, without trailing zero bytes.
    pub done: Vec<u8>,
    /// Bitmap of the tasks that were restarted, without trailing zero bytes.
    pub restarted: Vec<u8>,
}

/// A decoded segment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Segment {
    /// Its position in the log. Segments are replayed in this order, whatever their slots.
    pub sequence: u64,
    /// New assignments, and older ones that were copied from a segment about to be overwritten.
    pub assignments: Vec<Assignment>,
    /// Releases of attempts that this or an earlier segment assigns.
    pub releases: Vec<Release>,
    /// Progress pages that were copied from segments about to be overwritten.
    pub progress_pages: Vec<ProgressPage>,
}
