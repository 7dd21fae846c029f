//! Binary frames that controllers exchange with one another.
//!
//! A frame is a [`FrameHeader`] followed by
//! [`payload_len`](FrameHeader::payload_len) bytes of payload. All numbers are
//! little-endian, and layouts are fixed, so that readers cast the bytes instead of decoding
//! them field by field.
//!
//! # Versions
//!
//! Controllers of different versions run side by side during an upgrade. Each announces its
//! [`PROTOCOL_LEVEL`] in the [`PeerHeartbeat`] frames that it sends about once a second. A frame
//! whose kind or content requires a certain level is not sent to peers of a lower level. A peer
//! counts as level 0 until its first heartbeat is received. [`MAGIC`] changes only if the layout of
//! the header changes.

mod frame;
mod payload;

pub use frame::{
    CANCELLATIONS_LEVEL, FrameHeader, FrameKind, HEARTBEAT_RELAY_LEVEL, InvalidFrame, MAGIC,
    MAX_PAYLOAD, PROTOCOL_LEVEL,
};
pub use payload::{
    JobProgressEntry, PeerHeartbeat, decode_job_ids, decode_job_progress, encode_job_ids,
    encode_job_progress,
};
