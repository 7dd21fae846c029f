//! The segment format of the assignment log, which records which attempts are on which machines and
//! which tasks have finished.
//!
//! A segment is one value in the store, and the key that holds the value is called a slot. Each
//! segment records the changes since the previous segment, in a fixed binary layout that is encoded
//! as base64 without padding. All numbers are little-endian:
//!
//! | part | layout | content |
//! | --- | --- | --- |
//! | header | [`SegmentHeader`], 24 bytes | magic number, row counts, sequence number |
//! | jobs | row of 2 bytes: length of the id | the jobs that other rows refer to by position |
//! | machines | row of 10 bytes: incarnation, name length | machines, referred to by position |
//! | assignments | row of 16 bytes: attempt, task, job, machine | attempts now on their machine |
//! | releases | row of 16 bytes: attempt, task, job, [`AttemptOutcome`] | attempts now released |
//! | progress pages | row of 8 bytes: job, page, two lengths | bitmaps of finished and restarted tasks |
//! | job ids | bytes | concatenated, in row order |
//! | machine names | bytes | concatenated, in row order |
//! | bitmaps | bytes | for each progress page, the finished tasks, then the restarted tasks |
//!
//! # Contract
//!
//! - A segment contains every name that it refers to, so it can be read without any other segment.
//!   Slots can therefore be overwritten one by one ("Reusing slots" in `docs/safety.md`).
//! - [`decode`] accepts only text in the layout that [`SegmentWriter::encode`] writes. Any other
//!   text results in an [`UnreadableSegment`] error: a leader that guessed the content of the text
//!   could start a task twice ("Unreadable data" in `docs/safety.md`).
//! - Earlier versions of the controller that run side by side with this version use the same
//!   layout. The tests `formats_37c5e95` and `formats_fe9a16c` compare the layout with the bytes
//!   that those versions write.
//!
//! The leader's log writer encodes segments; a new leader decodes all segments once.

mod layout;
mod reader;
mod records;
mod writer;

pub use layout::SegmentHeader;
pub use reader::{SegmentPart, UnreadableSegment, decode};
pub use records::{Assignment, AttemptOutcome, ProgressPage, Release, Segment, UnknownOutcome};
pub use writer::{
    AssignmentRef, MAX_PROGRESS_PAGE_BYTES, SegmentWriter, max_assignment_bytes, segment_capacity,
};
