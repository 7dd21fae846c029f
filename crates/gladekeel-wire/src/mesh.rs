//! Fixed layouts that controllers exchange with one another.
//!
//! A frame is a [`Header`] followed by `len` bytes of payload. All numbers are
//! little-endian; a reader casts the bytes in place and copies nothing.

use crate::JobId;
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    little_endian::{U16, U32, U64},
};

/// Marks the start of every frame and the version of its layout: frames of another one
/// are refused.
pub const MAGIC: u32 = 0x676b_6d32;
/// The largest payload that a node accepts.
pub const MAX_PAYLOAD: usize = 256 * 1024;

/// What a frame is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Kind {
    /// The store has changed in a way that the leader should see soon.
    Nudge = 1,
    /// A worker's report, passed on by a node that the worker can reach.
    Relay = 2,
    /// The answer to a relayed report.
    Relayed = 3,
    /// How the sender is; see [`Hello`].
    Hello = 4,
    /// How far jobs are; see [`write_counts`].
    Counts = 5,
    /// Jobs whose cancellation the sender has committed; see [`write_jobs`]. Only for
    /// peers of [`LEVEL`] 1 or more: others end the connection over it.
    Cancelled = 6,
}

/// What this version understands, told in the status of its hellos. The first version
/// with a level told 0, and passes over what others tell.
pub const LEVEL: u16 = 2;
/// From this level on a leader takes [`Kind::Relay`] as the usual way of a report: other
/// nodes keep their workers instead of sending them to the leader.
pub const SHARES_REPORTS: u16 = 2;

impl Kind {
    /// The kind with this number.
    pub fn from_number(number: u16) -> Option<Kind> {
        [Kind::Nudge, Kind::Relay, Kind::Relayed, Kind::Hello, Kind::Counts, Kind::Cancelled]
            .into_iter()
            .find(|k| *k as u16 == number)
    }
}

/// The head of a frame.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct Header {
    /// [`MAGIC`].
    pub magic: U32,
    /// A [`Kind`].
    pub kind: U16,
    /// The status of an answer, as in HTTP; the [`LEVEL`] in hellos; 0 in others.
    pub status: U16,
    /// Pairs an answer with its request; in hellos a number that the sender's process drew
    /// when it began, or 0 from versions before that.
    pub call: U64,
    /// The sender: its place in the sorted list of all nodes' names.
    pub from: U32,
    /// Length of the payload in bytes.
    pub len: U32,
}

/// How a node is, sent about once a second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct Hello {
    /// Milliseconds since its last contact with the state service; all ones for never.
    pub contact_ms: U32,
    /// The token under which it leads, or 0.
    pub leads: U64,
}

impl Header {
    /// A header for a payload of this length.
    pub fn new(kind: Kind, status: u16, call: u64, from: u32, len: usize) -> Header {
        Header {
            magic: MAGIC.into(),
            kind: (kind as u16).into(),
            status: status.into(),
            call: call.into(),
            from: from.into(),
            len: (len as u32).into(),
        }
    }

    /// Size of the header in bytes.
    pub const SIZE: usize = size_of::<Header>();

    /// Reads a header, or nothing if the bytes are not the start of a frame that we accept.
    pub fn read(bytes: &[u8; Header::SIZE]) -> Option<(Header, Kind)> {
        let header = Header::read_from_bytes(bytes).ok()?;
        let kind = Kind::from_number(header.kind.get())?;
        let sound = header.magic.get() == MAGIC && header.len.get() as usize <= MAX_PAYLOAD;
        sound.then_some((header, kind))
    }
}

/// How many of a job's tasks are finished and on machines; its id follows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
struct CountsRow {
    done: U32,
    running: U32,
    id_len: U16,
}

/// Writes payloads of [`Kind::Counts`]: for each job its finished and running tasks.
pub fn write_counts<'a>(rows: impl Iterator<Item = (&'a JobId, u32, u32)>) -> Vec<Vec<u8>> {
    let mut payloads: Vec<Vec<u8>> = Vec::new();
    for (id, done, running) in rows {
        let id = id.as_str().as_bytes();
        if payloads.last().is_none_or(|last| last.len() + 200 > MAX_PAYLOAD) {
            payloads.push(Vec::new());
        }
        let row = CountsRow {
            done: done.into(),
            running: running.into(),
            id_len: (id.len() as u16).into(),
        };
        if let Some(payload) = payloads.last_mut() {
            payload.extend_from_slice(row.as_bytes());
            payload.extend_from_slice(id);
        }
    }
    payloads
}

/// Reads such a payload, or nothing if it is not exactly one.
pub fn read_counts(mut payload: &[u8]) -> Option<Vec<(JobId, u32, u32)>> {
    let mut rows = Vec::new();
    while !payload.is_empty() {
        let (row, rest) = CountsRow::read_from_prefix(payload).ok()?;
        let (id, rest) = rest.split_at_checked(row.id_len.get() as usize)?;
        let id = std::str::from_utf8(id).ok()?.parse().ok()?;
        rows.push((id, row.done.get(), row.running.get()));
        payload = rest;
    }
    Some(rows)
}

/// Writes a payload of [`Kind::Cancelled`]: ids, one a line.
pub fn write_jobs<'a>(ids: impl Iterator<Item = &'a JobId>) -> Vec<u8> {
    ids.map(JobId::as_str).collect::<Vec<&str>>().join("\n").into_bytes()
}

/// Reads such a payload, or nothing if it is not exactly one.
pub fn read_jobs(payload: &[u8]) -> Option<Vec<JobId>> {
    std::str::from_utf8(payload).ok()?.split('\n').map(|id| id.parse().ok()).collect()
}
