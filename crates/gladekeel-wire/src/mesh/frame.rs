//! Frame headers, frame kinds and protocol levels.

use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    little_endian::{U16, U32, U64},
};

/// First four bytes of every frame, which identify the layout of the header. Frames that begin
/// with other bytes are rejected.
pub const MAGIC: u32 = 0x676b_6d32;
/// Maximum size of a payload in bytes. A header that announces a larger payload is rejected.
pub const MAX_PAYLOAD: usize = 256 * 1024;

/// Protocol level of this version, announced in [`FrameKind::PeerHeartbeat`] frames. Versions
/// that predate protocol levels send 0 and ignore the levels that their peers announce.
pub const PROTOCOL_LEVEL: u16 = 2;
/// Lowest protocol level at which a peer accepts [`FrameKind::Cancellations`]. A peer of a lower
/// level does not know the kind and closes the connection.
pub const CANCELLATIONS_LEVEL: u16 = 1;
/// Lowest protocol level at which a leader expects its peers to relay the heartbeats of workers
/// ([`FrameKind::RelayedHeartbeat`]): the peers keep their workers instead of redirecting them
/// to the leader.
pub const HEARTBEAT_RELAY_LEVEL: u16 = 2;

/// The kind of a frame, which determines its receivers and its payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum FrameKind {
    /// Notifies the leader that the store has changed and should be read soon. No payload.
    StoreChanged = 1,
    /// Relays a worker's heartbeat (JSON) from the controller that received it to the leader.
    RelayedHeartbeat = 2,
    /// Returns the leader's response to a relayed heartbeat (JSON).
    RelayedResponse = 3,
    /// Notifies all peers that the sender is alive; see [`PeerHeartbeat`](super::PeerHeartbeat).
    PeerHeartbeat = 4,
    /// Publishes the leader's counts of completed and running tasks for each job in the payload;
    /// see [`encode_job_progress`](super::encode_job_progress).
    JobProgress = 5,
    /// Notifies all peers of [`CANCELLATIONS_LEVEL`] or above of the jobs whose cancellation the
    /// sender has committed; see [`encode_job_ids`](super::encode_job_ids).
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

    /// Returns the kind with this number, or `None` if this version does not know the number.
    pub fn from_number(number: u16) -> Option<FrameKind> {
        FrameKind::ALL.into_iter().find(|kind| kind.number() == number)
    }

    /// Returns the number that identifies this kind in a header.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// The reason why a frame header is rejected. The receiver then closes the connection, because
/// it cannot tell where the next frame starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidFrame {
    /// The header does not begin with [`MAGIC`].
    #[error("unknown frame layout {0:#010x}, expected {MAGIC:#010x}")]
    Magic(u32),
    /// This version does not know the kind of the frame.
    #[error("unknown frame kind {0}")]
    Kind(u16),
    /// The header announces a payload of more than [`MAX_PAYLOAD`] bytes.
    #[error("a payload of {0} bytes exceeds the limit of {MAX_PAYLOAD} bytes")]
    PayloadTooLarge(u32),
}

/// The header of a frame.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct FrameHeader {
    /// Always [`MAGIC`].
    pub magic: U32,
    /// Number of the [`FrameKind`].
    pub kind: U16,
    /// The HTTP status in [`FrameKind::RelayedResponse`], the sender's [`PROTOCOL_LEVEL`] in
    /// [`FrameKind::PeerHeartbeat`], and 0 in frames of other kinds.
    pub status: U16,
    /// Pairs a [`FrameKind::RelayedResponse`] with the [`FrameKind::RelayedHeartbeat`] that it
    /// responds to. In [`FrameKind::PeerHeartbeat`], the incarnation of the sender's process: a
    /// random number, or 0 from versions without incarnations.
    pub correlation_id: U64,
    /// Index of the sender in the sorted list of the names of all controllers.
    pub sender: U32,
    /// Size of the payload in bytes, at most [`MAX_PAYLOAD`].
    pub payload_len: U32,
}

impl FrameHeader {
    /// Size of a header in bytes.
    pub const SIZE: usize = size_of::<FrameHeader>();

    /// Creates a header for a payload of `payload_len` bytes.
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

    /// Parses a header and returns it with the kind of its frame.
    ///
    /// # Errors
    ///
    /// [`InvalidFrame`] if the bytes are not the header of a frame that this version accepts.
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
