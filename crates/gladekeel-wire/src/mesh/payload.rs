//! Layouts and encodings of frame payloads.

use super::frame::MAX_PAYLOAD;
use crate::JobId;
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    little_endian::{U16, U32, U64},
};

/// Upper bound of the size of an encoded [`JobProgressEntry`], in bytes. A payload with less free
/// space than this bound is full: the next entry starts a new payload.
const MAX_PROGRESS_ENTRY_LEN: usize = 200;

/// The payload of [`FrameKind::PeerHeartbeat`](super::FrameKind::PeerHeartbeat), which every
/// controller sends to every peer about once a second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct PeerHeartbeat {
    /// Milliseconds since the sender's last successful read of the store; `u32::MAX` if the
    /// sender has not read the store.
    pub store_contact_age_ms: U32,
    /// Fencing token under which the sender leads; 0 if the sender is not the leader.
    pub leader_token: U64,
}

/// The progress of a job: an entry of a
/// [`FrameKind::JobProgress`](super::FrameKind::JobProgress) payload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobProgressEntry {
    /// Id of the job.
    pub id: JobId,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of tasks that are assigned to machines; all of these count as running.
    pub running: u32,
}

/// The fixed-size header of an encoded [`JobProgressEntry`]. The job's id follows, in `id_len`
/// bytes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
struct JobProgressHeader {
    done: U32,
    running: U32,
    id_len: U16,
}

/// Encodes entries as payloads of at most [`MAX_PAYLOAD`] bytes each.
pub fn encode_job_progress(entries: impl Iterator<Item = JobProgressEntry>) -> Vec<Vec<u8>> {
    let mut payloads: Vec<Vec<u8>> = Vec::new();
    for entry in entries {
        let is_full = |payload: &Vec<u8>| payload.len() + MAX_PROGRESS_ENTRY_LEN > MAX_PAYLOAD;
        if payloads.last().is_none_or(is_full) {
            payloads.push(Vec::new());
        }
        if let Some(payload) = payloads.last_mut() {
            append_job_progress(payload, &entry);
        }
    }
    payloads
}

fn append_job_progress(payload: &mut Vec<u8>, entry: &JobProgressEntry) {
    let id = entry.id.as_str().as_bytes();
    let header = JobProgressHeader {
        done: entry.done.into(),
        running: entry.running.into(),
        id_len: (id.len() as u16).into(),
    };
    payload.extend_from_slice(header.as_bytes());
    payload.extend_from_slice(id);
}

/// Decodes a payload of [`encode_job_progress`]; `None` if any part of the payload is malformed.
pub fn decode_job_progress(mut payload: &[u8]) -> Option<Vec<JobProgressEntry>> {
    let mut entries = Vec::new();
    while !payload.is_empty() {
        let (header, rest) = JobProgressHeader::read_from_prefix(payload).ok()?;
        let (id, rest) = rest.split_at_checked(header.id_len.get() as usize)?;
        let id = std::str::from_utf8(id).ok()?.parse().ok()?;
        entries.push(JobProgressEntry {
            id,
            done: header.done.get(),
            running: header.running.get(),
        });
        payload = rest;
    }
    Some(entries)
}

/// Encodes the payload of [`FrameKind::Cancellations`](super::FrameKind::Cancellations): job ids,
/// separated by newlines.
pub fn encode_job_ids<'a>(ids: impl Iterator<Item = &'a JobId>) -> Vec<u8> {
    ids.map(JobId::as_str).collect::<Vec<&str>>().join("\n").into_bytes()
}

/// Decodes a payload of [`encode_job_ids`]; `None` if any part of the payload is malformed.
pub fn decode_job_ids(payload: &[u8]) -> Option<Vec<JobId>> {
    std::str::from_utf8(payload).ok()?.split('\n').map(|id| id.parse().ok()).collect()
}
