//! Helpers that the tests of earlier versions' frames share.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use gladekeel_wire::{
    JobId,
    mesh::{FrameHeader, FrameKind},
    worker::{Heartbeat, HeartbeatResponse},
};
use serde::{Serialize, de::DeserializeOwned};
use zerocopy::IntoBytes;

/// A valid job id.
pub fn job(id: &str) -> JobId {
    id.parse().unwrap()
}

/// Frames that an earlier version sent: a fixture with a name and the frame in hex on each line.
pub struct RecordedFrames(&'static str);

impl RecordedFrames {
    /// The frames in a fixture's text.
    pub const fn new(fixture: &'static str) -> RecordedFrames {
        RecordedFrames(fixture)
    }

    /// The bytes of the frame with this name.
    pub fn frame(&self, name: &str) -> Vec<u8> {
        let mut frames = self.0.lines().filter_map(|line| line.split_once(' '));
        let (_, hex) = frames.find(|(n, _)| *n == name).expect("the fixture has this frame");
        let digits = hex.as_bytes().chunks(2);
        digits
            .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
            .collect()
    }

    /// The relayed heartbeat in a frame, which this version writes as it was sent.
    pub fn heartbeat(&self, name: &str) -> Heartbeat {
        self.message(name)
    }

    /// The relayed response in a frame, which this version writes as it was sent.
    pub fn response(&self, name: &str) -> HeartbeatResponse {
        self.message(name)
    }

    fn message<T: Serialize + DeserializeOwned>(&self, name: &str) -> T {
        let bytes = self.frame(name);
        let (_, _, payload) = open(&bytes);
        let message: T = serde_json::from_slice(payload).expect("a message of that version");
        assert_eq!(serde_json::to_vec(&message).unwrap(), payload, "{name} is written again");
        message
    }

    /// Checks the header of a frame, and that this version writes the same frame.
    pub fn check_header(&self, name: &str, expected: ExpectedHeader) {
        let bytes = self.frame(name);
        let (header, kind, payload) = open(&bytes);
        assert_eq!(kind, expected.kind, "{name}");
        let read = ExpectedHeader {
            kind,
            status: header.status.get(),
            correlation_id: header.correlation_id.get(),
            sender: header.sender.get(),
        };
        assert_eq!(read, expected, "{name}");
        assert_eq!(write(expected, payload), bytes, "{name}");
    }
}

/// What a frame's header holds besides the length of the payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedHeader {
    pub kind: FrameKind,
    pub status: u16,
    pub correlation_id: u64,
    pub sender: u32,
}

/// The header and payload of a frame, which is exactly as long as its header says.
pub fn open(frame: &[u8]) -> (FrameHeader, FrameKind, &[u8]) {
    let (head, payload) = frame.split_at(FrameHeader::SIZE);
    let (header, kind) = FrameHeader::read(head.try_into().unwrap()).expect("a readable header");
    assert_eq!(header.payload_len.get() as usize, payload.len());
    (header, kind, payload)
}

/// A frame as this version writes it.
pub fn write(header: ExpectedHeader, payload: &[u8]) -> Vec<u8> {
    let ExpectedHeader { kind, status, correlation_id, sender } = header;
    let header = FrameHeader::new(kind, status, correlation_id, sender, payload.len());
    [header.as_bytes(), payload].concat()
}

/// The header of a peer heartbeat; the status of one says which protocol level its sender knows.
pub fn peer_heartbeat(status: u16, sender: u32) -> ExpectedHeader {
    ExpectedHeader { kind: FrameKind::PeerHeartbeat, status, correlation_id: 0, sender }
}
