//! Frames between controllers: fixed layout, damage refused.

use gladekeel_wire::{
    JobId,
    mesh::{
        FrameHeader, FrameKind, InvalidFrame, JobProgressEntry, MAGIC, MAX_PAYLOAD,
        decode_job_progress, encode_job_progress,
    },
};
use zerocopy::IntoBytes;

#[test]
fn headers_have_a_fixed_layout() {
    let header = FrameHeader::new(FrameKind::RelayedHeartbeat, 0, 7, 1, 300);
    let bytes: [u8; FrameHeader::SIZE] = header.as_bytes().try_into().unwrap();
    assert_eq!(&bytes[..8], &[0x32, 0x6d, 0x6b, 0x67, 2, 0, 0, 0]);
    assert_eq!(FrameHeader::read(&bytes), Ok((header, FrameKind::RelayedHeartbeat)));
    let mut wrong = bytes;
    wrong[0] ^= 1;
    assert_eq!(FrameHeader::read(&wrong), Err(InvalidFrame::Magic(MAGIC ^ 1)));
    let mut unknown = bytes;
    unknown[4] = 99;
    assert_eq!(FrameHeader::read(&unknown), Err(InvalidFrame::Kind(99)));
    let huge = FrameHeader::new(FrameKind::RelayedHeartbeat, 0, 7, 1, MAX_PAYLOAD + 1);
    let refused = FrameHeader::read(huge.as_bytes().try_into().unwrap());
    assert_eq!(refused, Err(InvalidFrame::PayloadTooLarge(MAX_PAYLOAD as u32 + 1)));
}

#[test]
fn job_progress_reads_back_and_damage_is_refused() {
    let ids: Vec<JobId> = (0..3).map(|n| format!("job-{n}").parse().unwrap()).collect();
    let entries = ids.iter().zip(1..).map(|(id, done)| JobProgressEntry {
        id: id.clone(),
        done,
        running: done + 1,
    });
    let payloads = encode_job_progress(entries);
    let [payload] = payloads.as_slice() else { panic!("one is enough") };
    let entries = decode_job_progress(payload).unwrap();
    assert_eq!(entries[2], JobProgressEntry { id: ids[2].clone(), done: 3, running: 4 });
    for cut in 1..payload.len() {
        let whole = cut % (payload.len() / 3) == 0;
        assert_eq!(decode_job_progress(&payload[..cut]).is_some(), whole, "cut at {cut}");
    }
}
