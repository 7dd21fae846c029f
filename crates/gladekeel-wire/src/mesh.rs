//! Fixed layouts that controllers exchange with one another.
//!
//! A frame is a [`FrameHeader`] followed by `len` bytes of payload. All numbers are
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
pub enum FrameKind {
    /// The store has changed in a way that the leader should see soon.
    StoreChanged = 1,
    /// A worker's report, passed on by a node that the worker can reach.
    RelayedHeartbeat = 2,
    /// The answer to a relayed report.
    RelayedResponse = 3,
    /// How the sender is; see [`PeerHeartbeat`].
    PeerHeartbeat = 4,
    /// How far jobs are; see [`encode_job_progress`].
    JobProgress = 5,
    /// Jobs whose cancellation the sender has committed; see [`encode_job_ids`]. Only for
    /// peers of [`PROTOCOL_LEVEL`] 1 or more: others end the connection over it.
    Cancellations = 6,
}

/// What this version understands, told in the status of its hellos. The first version
/// with a level told 0, and passes over what others tell.
pub const PROTOCOL_LEVEL: u16 = 2;
/// From this level on a leader takes [`FrameKind::RelayedHeartbeat`] as the usual way of a report: other
/// nodes keep their workers instead of sending them to the leader.
pub const HEARTBEAT_RELAY_LEVEL: u16 = 2;

impl FrameKind {
    /// The kind with this number.
    pub fn from_number(number: u16) -> Option<FrameKind> {
        [
            FrameKind::StoreChanged,
            FrameKind::RelayedHeartbeat,
            FrameKind::RelayedResponse,
            FrameKind::PeerHeartbeat,
            FrameKind::JobProgress,
            FrameKind::Cancellations,
        ]
        .into_iter()
        .find(|k| *k as u16 == number)
    }
}

/// The head of a frame.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct FrameHeader {
    /// [`MAGIC`].
    pub magic: U32,
    /// A [`FrameKind`].
    pub kind: U16,
    /// The status of an answer, as in HTTP; the [`PROTOCOL_LEVEL`] in hellos; 0 in others.
    pub status: U16,
    /// Pairs an answer with its request; in hellos a number that the sender's process drew
    /// when it began, or 0 from versions before that.
    pub correlation_id: U64,
    /// The sender: its place in the sorted list of all nodes' names.
    pub sender: U32,
    /// Length of the payload in bytes.
    pub payload_len: U32,
}

/// How a node is, sent about once a second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct PeerHeartbeat {
    /// Milliseconds since its last contact with the state service; all ones for never.
    pub store_contact_age_ms: U32,
    /// The token under which it leads, or 0.
    pub leader_token: U64,
}

impl FrameHeader {
    /// A header for a payload of this length.
    pub fn new(kind: FrameKind, status: u16, call: u64, from: u32, len: usize) -> FrameHeader {
        FrameHeader {
            magic: MAGIC.into(),
            kind: (kind as u16).into(),
            status: status.into(),
            correlation_id: call.into(),
            sender: from.into(),
            payload_len: (len as u32).into(),
        }
    }

    /// Size of the header in bytes.
    pub const SIZE: usize = size_of::<FrameHeader>();

    /// Reads a header, or nothing if the bytes are not the start of a frame that we accept.
    pub fn read(bytes: &[u8; FrameHeader::SIZE]) -> Option<(FrameHeader, FrameKind)> {
        let header = FrameHeader::read_from_bytes(bytes).ok()?;
        let kind = FrameKind::from_number(header.kind.get())?;
        let sound = header.magic.get() == MAGIC && header.payload_len.get() as usize <= MAX_PAYLOAD;
        sound.then_some((header, kind))
    }
}

/// How many of a job's tasks are finished and on machines; its id follows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
struct JobProgressRow {
    done: U32,
    running: U32,
    id_len: U16,
}

/// Writes payloads of [`FrameKind::JobProgress`]: for each job its finished and running tasks.
pub fn encode_job_progress<'a>(rows: impl Iterator<Item = (&'a JobId, u32, u32)>) -> Vec<Vec<u8>> {
    let mut payloads: Vec<Vec<u8>> = Vec::new();
    for (id, done, running) in rows {
        let id = id.as_str().as_bytes();
        if payloads.last().is_none_or(|last| last.len() + 200 > MAX_PAYLOAD) {
            payloads.push(Vec::new());
        }
        let row = JobProgressRow {
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
pub fn decode_job_progress(mut payload: &[u8]) -> Option<Vec<(JobId, u32, u32)>> {
    let mut rows = Vec::new();
    while !payload.is_empty() {
        let (row, rest) = JobProgressRow::read_from_prefix(payload).ok()?;
        let (id, rest) = rest.split_at_checked(row.id_len.get() as usize)?;
        let id = std::str::from_utf8(id).ok()?.parse().ok()?;
        rows.push((id, row.done.get(), row.running.get()));
        payload = rest;
    }
    Some(rows)
}

/// Writes a payload of [`FrameKind::Cancellations`]: ids, one a line.
pub fn encode_job_ids<'a>(ids: impl Iterator<Item = &'a JobId>) -> Vec<u8> {
    ids.map(JobId::as_str).collect::<Vec<&str>>().join("\n").into_bytes()
}

/// Reads such a payload, or nothing if it is not exactly one.
pub fn decode_job_ids(payload: &[u8]) -> Option<Vec<JobId>> {
    std::str::from_utf8(payload).ok()?.split('\n').map(|id| id.parse().ok()).collect()
}
