//! The binary layout of a segment's header and rows. The table in the parent module gives an
//! overview.

use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    little_endian::{U16, U32, U64},
};

/// The number at the start of each segment, which marks the value as a segment and identifies the
/// version of its layout.
pub(super) const MAGIC: u32 = 0x676b_6c31;

/// The header of a segment, with the number of rows of each kind.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub struct SegmentHeader {
    pub(super) magic: U32,
    pub(super) jobs: U16,
    pub(super) machines: U16,
    pub(super) assignments: U16,
    pub(super) releases: U16,
    pub(super) progress_pages: U16,
    /// An unused field of the header: writers set it to 0, and readers ignore it.
    pub(super) reserved: U16,
    pub(super) sequence: U64,
}

/// A row for a job. Other rows of the segment refer to the job by the position of this row.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct JobRow {
    pub name_len: U16,
}

/// A row for a machine and an incarnation of its worker. Assignment rows refer to the pair by the
/// position of this row.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct MachineRow {
    pub incarnation: U64,
    pub name_len: U16,
}

/// A row for an assignment: from the segment with this row on, the attempt may be on the machine.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct AssignmentRow {
    pub attempt: U64,
    pub task_index: U32,
    pub job: U16,
    pub machine: U16,
}

/// A row for a release: the attempt is proven to be no longer on its machine.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct ReleaseRow {
    pub attempt: U64,
    pub task_index: U32,
    pub job: U16,
    pub outcome: U16,
}

/// A row for a progress page, whose two bitmaps are stored at the end of the segment.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct ProgressPageRow {
    pub job: U16,
    pub page: U16,
    pub done_len: U16,
    pub restarted_len: U16,
}

/// A machine together with one incarnation of its worker, stored as a [`MachineRow`] and the name
/// of the machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct MachineIncarnation {
    pub name: String,
    pub incarnation: u64,
}
