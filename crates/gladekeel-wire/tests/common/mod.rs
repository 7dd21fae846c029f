//! Helpers shared by the tests that read frames of earlier versions.

#![allow(dead_code, reason = "each test binary uses only a part of this module")]

use gladekeel_wire::{
    JobId,
    mesh::{FrameHeader, FrameKind},
    worker::{Heartbeat, HeartbeatResponse},
};
use serde::{Serialize, de::DeserializeOwned};
use zerocopy::IntoBytes;

/// Parses a valid job id.
pub fn job_id(id: &str) -> JobId {
    id.parse().unwrap()
}

/// Frames that an earlier version sent, from a fixture with a name and the frame in hex on each
/// line.
pub struct RecordedFrames(&'static str);

impl RecordedFrames {
    /// Wraps the text of a fixture.
    pub const fn new(fixture: &'static str) -> RecordedFrames {
        RecordedFrames(fixture)
    }

    /// Returns the bytes of the frame with this name.
    pub fn frame(&self, name: &str) -> Vec<u8> {
        let mut frames = self.0.lines().filter_map(|line| line.split_once(' '));
        let (_, hex) = frames.find(|(n, _)| *n == name).expect("the fixture contains the frame");
        let digits = hex.as_bytes().chunks(2);
        digits
            .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
            .collect()
    }

    /// Decodes the relayed heartbeat in a frame, and checks that this version encodes the heartbeat
    /// to the same bytes.
    pub fn heartbeat(&self, name: &str) -> Heartbeat {
        self.round_trip_json(name)
    }

    /// Decodes the relayed response in a frame, and checks that this version encodes the response to
    /// the same bytes.
    pub fn response(&self, name: &str) -> HeartbeatResponse {
        self.round_trip_json(name)
    }

    fn round_trip_json<T: Serialize + DeserializeOwned>(&self, name: &str) -> T {
        let bytes = self.frame(name);
        let (_, _, payload) = split_frame(&bytes);
        let message: T = serde_json::from_slice(payload).expect("this version decodes the message");
        assert_eq!(
            serde_json::to_vec(&message).unwrap(),
            payload,
            "{name} is encoded to other bytes"
        );
        message
    }

    /// Checks the header of a frame, and that this version encodes the same frame.
    pub fn check_header(&self, name: &str, expected: ExpectedHeader) {
        let bytes = self.frame(name);
        let (header, kind, payload) = split_frame(&bytes);
        assert_eq!(kind, expected.kind, "{name}");
        let actual = ExpectedHeader {
            kind,
            status: header.status.get(),
            correlation_id: header.correlation_id.get(),
            sender: header.sender.get(),
        };
        assert_eq!(actual, expected, "{name}");
        assert_eq!(encode_frame(expected, payload), bytes, "{name}");
    }
}

/// The fields of a frame header, except the constant `magic` and the length of the payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedHeader {
    pub kind: FrameKind,
    pub status: u16,
    pub correlation_id: u64,
    pub sender: u32,
}

/// Splits a frame into its header and payload, and checks that the payload has the length that the
/// header states.
pub fn split_frame(frame: &[u8]) -> (FrameHeader, FrameKind, &[u8]) {
    let (header, payload) = frame.split_at(FrameHeader::SIZE);
    let (header, kind) =
        FrameHeader::read(header.try_into().unwrap()).expect("the header is valid");
    assert_eq!(header.payload_len.get() as usize, payload.len());
    (header, kind, payload)
}

/// Encodes a frame as this version sends it.
pub fn encode_frame(header: ExpectedHeader, payload: &[u8]) -> Vec<u8> {
    let ExpectedHeader { kind, status, correlation_id, sender } = header;
    let header = FrameHeader::new(kind, status, correlation_id, sender, payload.len());
    [header.as_bytes(), payload].concat()
}

/// Returns the header of a peer heartbeat. The status of a peer heartbeat is the protocol level of
/// its sender.
pub fn peer_heartbeat_header(level: u16, sender: u32) -> ExpectedHeader {
    ExpectedHeader { kind: FrameKind::PeerHeartbeat, status: level, correlation_id: 0, sender }
}
