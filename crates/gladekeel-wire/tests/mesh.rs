//! Frames between controllers have a fixed layout, and malformed ones are rejected.

use gladekeel_wire::{
    JobId,
    mesh::{
        FrameHeader, FrameKind, InvalidFrame, JobProgressEntry, MAGIC, MAX_PAYLOAD,
        decode_job_progress, encode_job_progress,
    },
};
use zerocopy::IntoBytes;

/// Guards against a header layout that changes unnoticed, and against a reader that continues after
/// a header that it does not understand.
#[test]
fn frame_headers_have_a_fixed_layout_and_invalid_ones_are_rejected() {
    let header = FrameHeader::new(FrameKind::RelayedHeartbeat, 0, 7, 1, 300);
    let bytes: [u8; FrameHeader::SIZE] = header.as_bytes().try_into().unwrap();
    assert_eq!(&bytes[..8], &[0x32, 0x6d, 0x6b, 0x67, 2, 0, 0, 0]);
    assert_eq!(FrameHeader::read(&bytes), Ok((header, FrameKind::RelayedHeartbeat)));
    let mut wrong_magic = bytes;
    wrong_magic[0] ^= 1;
    assert_eq!(FrameHeader::read(&wrong_magic), Err(InvalidFrame::Magic(MAGIC ^ 1)));
    let mut unknown_kind = bytes;
    unknown_kind[4] = 99;
    assert_eq!(FrameHeader::read(&unknown_kind), Err(InvalidFrame::Kind(99)));
    let too_large = FrameHeader::new(FrameKind::RelayedHeartbeat, 0, 7, 1, MAX_PAYLOAD + 1);
    let result = FrameHeader::read(too_large.as_bytes().try_into().unwrap());
    assert_eq!(result, Err(InvalidFrame::PayloadTooLarge(MAX_PAYLOAD as u32 + 1)));
}

/// Guards against a decoder that accepts the readable entries of a truncated payload. A payload
/// that is cut exactly between two entries cannot be distinguished from a complete one.
#[test]
fn job_progress_round_trips_and_truncated_entries_are_rejected() {
    let ids: Vec<JobId> = (0..3).map(|n| format!("job-{n}").parse().unwrap()).collect();
    let entries = ids.iter().zip(1..).map(|(id, done)| JobProgressEntry {
        id: id.clone(),
        done,
        running: done + 1,
    });
    let payloads = encode_job_progress(entries);
    let [payload] = payloads.as_slice() else { panic!("expected a single payload") };
    let entries = decode_job_progress(payload).unwrap();
    assert_eq!(entries[2], JobProgressEntry { id: ids[2].clone(), done: 3, running: 4 });
    for len in 1..payload.len() {
        let ends_after_entry = len % (payload.len() / 3) == 0;
        let is_accepted = decode_job_progress(&payload[..len]).is_some();
        assert_eq!(is_accepted, ends_after_entry, "truncated to {len} bytes");
    }
}
