//! Fixed layouts that controllers exchange with one another.
//!
//! A frame is a [`Header`] followed by `len` bytes of payload. All numbers are
//! little-endian; a reader casts the bytes in place and copies nothing.

use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    little_endian::{U16, U32, U64},
};

/// Marks the start of every frame.
pub const MAGIC: u32 = 0x676b_6d31;
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
}

impl Kind {
    /// The kind with this number.
    pub fn from_number(number: u16) -> Option<Kind> {
        [Kind::Nudge, Kind::Relay, Kind::Relayed, Kind::Hello]
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
    /// The status of an answer, as in HTTP; 0 in requests.
    pub status: U16,
    /// Pairs an answer with its request.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn headers_have_a_fixed_layout() {
        let header = Header::new(Kind::Relay, 0, 7, 1, 300);
        let bytes: [u8; Header::SIZE] = header.as_bytes().try_into().unwrap();
        assert_eq!(&bytes[..8], &[0x31, 0x6d, 0x6b, 0x67, 2, 0, 0, 0]);
        assert_eq!(Header::read(&bytes), Some((header, Kind::Relay)));
        let mut wrong = bytes;
        wrong[0] ^= 1;
        assert_eq!(Header::read(&wrong), None);
        let huge = Header::new(Kind::Relay, 0, 7, 1, MAX_PAYLOAD + 1);
        assert_eq!(Header::read(huge.as_bytes().try_into().unwrap()), None);
    }
}
