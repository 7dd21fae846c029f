//! Binary frames that controllers exchange with one another.
//!
//! A frame is a [`FrameHeader`] followed by
//! [`payload_len`](FrameHeader::payload_len) bytes of payload. All numbers are
//! little-endian, and layouts are fixed: a reader casts the bytes and copies nothing.
//!
//! # Versions
//!
//! Controllers of different versions run side by side during an upgrade. Each states its
//! [`PROTOCOL_LEVEL`] in the [`PeerHeartbeat`] frames that it sends about once a second; a
//! frame kind or usage that needs a higher level is not sent to a peer of a lower one. A
//! peer from which no heartbeat has arrived yet counts as level 0. [`MAGIC`] would change
//! only with the layout of the header.

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
