//! The header of a frame, and the protocol levels.

use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    little_endian::{U16, U32, U64},
};

/// First bytes of every frame. They name the layout of the header: frames with others are
/// refused.
pub const MAGIC: u32 = 0x676b_6d32;
/// Maximum payload of a frame in bytes; a header that announces more is refused.
pub const MAX_PAYLOAD: usize = 256 * 1024;

/// Protocol level of this version, as sent in [`FrameKind::PeerHeartbeat`] frames. Versions
/// from before there were levels send 0 and ignore the levels of others.
pub const PROTOCOL_LEVEL: u16 = 2;
/// From this level on a peer accepts [`FrameKind::Cancellations`]; below it, it closes the
/// connection because of the unknown kind.
pub const CANCELLATIONS_LEVEL: u16 = 1;
/// From this level on a leader expects heartbeats of workers to be relayed
/// ([`FrameKind::RelayedHeartbeat`]): the other controllers keep their workers instead of
/// redirecting them to the leader.
pub const HEARTBEAT_RELAY_LEVEL: u16 = 2;

/// What a frame carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum FrameKind {
    /// To the leader: the store has changed, and the leader should read it soon. No payload.
    StoreChanged = 1,
    /// To the leader: a worker's heartbeat (JSON), relayed by the controller that received it.
    RelayedHeartbeat = 2,
    /// From the leader: the response to a relayed heartbeat (JSON).
    RelayedResponse = 3,
    /// To all peers: the sender is alive; see [`PeerHeartbeat`](super::PeerHeartbeat).
    PeerHeartbeat = 4,
    /// From the leader: how many tasks of jobs are done and running; see
    /// [`encode_job_progress`](super::encode_job_progress).
    JobProgress = 5,
    /// To all peers of [`CANCELLATIONS_LEVEL`] or above: jobs whose cancellation the sender
    /// has committed; see [`encode_job_ids`](super::encode_job_ids).
    Cancellations = 6,
}

impl FrameKind {
    const ALL: [FrameKind; 6] = [
        FrameKind::StoreChanged,
        FrameKind::RelayedHeartbeat,
        FrameKind::RelayedResponse,
        FrameKind::PeerHeartbeat,
        FrameKind::JobProgress,
        FrameKind::Cancellations,
    ];

    /// The kind with this number in a header, or `None` if this version does not know it.
    pub fn from_number(number: u16) -> Option<FrameKind> {
        FrameKind::ALL.into_iter().find(|kind| kind.number() == number)
    }

    /// The number of this kind in a header.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Why the bytes of a header are refused. The connection is closed then: the start of the
/// next frame is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidFrame {
    /// The header does not begin with [`MAGIC`].
    #[error("unknown frame layout {0:#010x}")]
    Magic(u32),
    /// This version does not know the frame's kind.
    #[error("unknown frame kind {0}")]
    Kind(u16),
    /// The payload would be larger than [`MAX_PAYLOAD`].
    #[error("a payload of {0} bytes exceeds the limit of {MAX_PAYLOAD}")]
    PayloadTooLarge(u32),
}

/// The header of a frame.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct FrameHeader {
    /// [`MAGIC`].
    pub magic: U32,
    /// Number of the [`FrameKind`].
    pub kind: U16,
    /// The HTTP status in [`FrameKind::RelayedResponse`], the sender's [`PROTOCOL_LEVEL`] in
    /// [`FrameKind::PeerHeartbeat`], and 0 in others.
    pub status: U16,
    /// Pairs a [`FrameKind::RelayedResponse`] with its request. In
    /// [`FrameKind::PeerHeartbeat`] it is the incarnation of the sender's process, a random
    /// number; 0 from versions that have none.
    pub correlation_id: U64,
    /// Index of the sender in the sorted list of all controllers' names.
    pub sender: U32,
    /// Size of the payload in bytes, at most [`MAX_PAYLOAD`].
    pub payload_len: U32,
}

impl FrameHeader {
    /// Size of the header in bytes.
    pub const SIZE: usize = size_of::<FrameHeader>();

    /// A header for a payload of `payload_len` bytes.
    pub fn new(
        kind: FrameKind,
        status: u16,
        correlation_id: u64,
        sender: u32,
        payload_len: usize,
    ) -> FrameHeader {
        FrameHeader {
            magic: MAGIC.into(),
            kind: kind.number().into(),
            status: status.into(),
            correlation_id: correlation_id.into(),
            sender: sender.into(),
            payload_len: (payload_len as u32).into(),
        }
    }

    /// Reads a header and its kind.
    ///
    /// # Errors
    ///
    /// [`InvalidFrame`] if the bytes are not the start of a frame that this version accepts.
    pub fn read(bytes: &[u8; FrameHeader::SIZE]) -> Result<(FrameHeader, FrameKind), InvalidFrame> {
        let header: FrameHeader = zerocopy::transmute!(*bytes);
        let magic = header.magic.get();
        if magic != MAGIC {
            return Err(InvalidFrame::Magic(magic));
        }
        let number = header.kind.get();
        let kind = FrameKind::from_number(number).ok_or(InvalidFrame::Kind(number))?;
        let payload_len = header.payload_len.get();
        if payload_len as usize > MAX_PAYLOAD {
            return Err(InvalidFrame::PayloadTooLarge(payload_len));
        }
        Ok((header, kind))
    }
}
