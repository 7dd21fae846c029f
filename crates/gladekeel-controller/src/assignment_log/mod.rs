//! The segment format of the assignment log: which attempts are on which machines, and which
//! tasks have finished.
//!
//! A segment is one value of the store. It records what has changed since the segment before
//! it, in a fixed binary layout behind base64 without padding. All numbers are little-endian:
//!
//! | part | layout | content |
//! | --- | --- | --- |
//! | header | [`SegmentHeader`], 24 bytes | magic number, row counts, sequence number |
//! | jobs | row of 2 bytes: length of the id | the ids that other rows refer to by position |
//! | machines | row of 10 bytes: incarnation, length of the name | likewise, machines |
//! | assignments | row of 16 bytes: attempt, task, job, machine | attempts now on a machine |
//! | releases | row of 16 bytes: attempt, task, job, [`AttemptOutcome`] | attempts now off theirs |
//! | progress pages | row of 8 bytes: job, page, two lengths | bitmaps of finished and restarted tasks |
//! | job ids | bytes | concatenated, in row order |
//! | machine names | bytes | concatenated, in row order |
//! | bitmaps | bytes | finished, then restarted tasks of each progress page |
//!
//! # Contract
//!
//! - A segment contains every name that it refers to, so it is readable without any other
//!   segment. Slots can therefore be overwritten one by one ("Using slots again" in
//!   `docs/safety.md`).
//! - [`decode`] accepts exactly what [`SegmentWriter::encode`] writes. Anything else is an
//!   [`UnreadableSegment`]: a leader that guessed could start a task twice ("What cannot be
//!   read" in `docs/safety.md`).
//! - The layout is shared with earlier versions that run side by side with this one. The tests
//!   `formats_37c5e95` and `formats_fe9a16c` pin it to their bytes.
//!
//! The leader's log writer encodes segments; a new leader decodes all of them once.

mod layout;
mod reader;
mod records;
mod writer;

pub use layout::SegmentHeader;
pub use reader::{SegmentPart, UnreadableSegment, decode};
pub use records::{Assignment, AttemptOutcome, ProgressPage, Release, Segment, UnknownOutcome};
pub use writer::{
    AssignmentRef, MAX_PROGRESS_PAGE_BYTES, SegmentWriter, max_row_bytes, segment_capacity,
};
