//! Encoding and decoding of segments of the assignment log, including corrupt segments.

mod common;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use common::writer_with_rows;
use gladekeel_controller::assignment_log::{
    Assignment, AttemptOutcome, ProgressPage, Release, Segment, SegmentPart, UnknownOutcome,
    UnreadableSegment, decode, segment_capacity,
};
use gladekeel_wire::JobId;
use proptest::prelude::*;

fn job_id(number: u32) -> JobId {
    format!("job-{number:06}").parse().unwrap()
}

fn segments() -> impl Strategy<Value = Segment> {
    let assignment = (0u32..9, 0u32..100_000, 0u32..9, 1u64..4, any::<u64>()).prop_map(
        |(job, index, machine, incarnation, attempt)| Assignment {
            job: job_id(job),
            index,
            machine: format!("n-{machine}"),
            incarnation,
            attempt,
        },
    );
    let outcomes = prop::sample::select(vec![
        AttemptOutcome::Done,
        AttemptOutcome::Restarted,
        AttemptOutcome::Requeued,
    ]);
    let release = (0u32..9, 0u32..100_000, any::<u64>(), outcomes).prop_map(
        |(job, index, attempt, outcome)| Release { job: job_id(job), index, attempt, outcome },
    );
    let bitmap = || prop::collection::vec(any::<u8>(), 0..40);
    let progress_page =
        (0u32..9, 0u32..25, bitmap(), bitmap()).prop_map(|(job, page, done, restarted)| {
            ProgressPage { job: job_id(job), page, done, restarted }
        });
    (
        any::<u64>(),
        prop::collection::vec(assignment, 0..20),
        prop::collection::vec(release, 0..20),
        prop::collection::vec(progress_page, 0..5),
    )
        .prop_map(|(sequence, assignments, releases, progress_pages)| Segment {
            sequence,
            assignments,
            releases,
            progress_pages,
        })
}

proptest! {
    /// Guards against rows that are lost or changed between the encoder and the decoder, and
    /// against a writer whose size does not predict the length of the encoded text.
    #[test]
    fn encoded_segments_decode_to_the_same_rows(segment in segments()) {
        let writer = writer_with_rows(&segment);
        let text = writer.encode(segment.sequence);
        prop_assert_eq!(text.len(), (writer.size() * 4).div_ceil(3));
        prop_assert_eq!(decode(&text), Ok(segment));
    }

    /// Guards against a decoder that panics on a corrupt segment or accepts one of the wrong
    /// length. A truncated segment and one with a trailing byte are rejected; one with a changed
    /// byte is rejected, or decodes to the rows that its bytes now describe.
    #[test]
    fn corrupt_segments_decode_without_a_panic(segment in segments(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let raw =
            STANDARD_NO_PAD.decode(writer_with_rows(&segment).encode(segment.sequence)).unwrap();
        let truncated = &raw[..at.index(raw.len())];
        let decoded = decode(&STANDARD_NO_PAD.encode(truncated));
        prop_assert!(matches!(decoded, Err(UnreadableSegment::Truncated(_))), "{decoded:?}");
        let mut extended = raw.clone();
        extended.push(byte);
        prop_assert_eq!(
            decode(&STANDARD_NO_PAD.encode(extended)),
            Err(UnreadableSegment::TrailingBytes(1))
        );
        let mut changed = raw.clone();
        changed[at.index(raw.len())] = byte;
        let _ = decode(&STANDARD_NO_PAD.encode(changed));
    }
}

/// Guards against a value that is decoded although it does not have the layout of a segment, and
/// against full segments that do not fit into a value of 4096 bytes.
#[test]
fn values_in_another_layout_are_rejected() {
    let text = writer_with_rows(&Segment::default()).encode(1);
    let mut raw = STANDARD_NO_PAD.decode(text).unwrap();
    raw[0] ^= 1;
    assert_eq!(
        decode(&STANDARD_NO_PAD.encode(raw)),
        Err(UnreadableSegment::WrongMagic { found: 0x676b_6c30 })
    );
    assert!(matches!(decode("{}"), Err(UnreadableSegment::NotBase64(_))));
    assert_eq!(decode(""), Err(UnreadableSegment::Truncated(SegmentPart::Header)));
    assert!(segment_capacity(4096) * 4 / 3 + 2 <= 4096);
}

/// Guards against corrupt bytes in a segment that are decoded as a valid row: a changed byte may
/// refer to a job that is not in the segment, or be an unknown outcome or an invalid job id.
#[test]
fn rows_with_invalid_references_outcomes_or_names_are_rejected() {
    const HEADER_BYTES: usize = 24;
    const JOB_ROW_BYTES: usize = 2;
    let release =
        Release { job: job_id(1), index: 0, attempt: 7, outcome: AttemptOutcome::Restarted };
    let segment = Segment { releases: vec![release], ..Segment::default() };
    let raw = STANDARD_NO_PAD.decode(writer_with_rows(&segment).encode(1)).unwrap();
    let changed = |at: usize, byte: u8| {
        let mut raw = raw.clone();
        raw[at] = byte;
        decode(&STANDARD_NO_PAD.encode(raw))
    };
    let row = HEADER_BYTES + JOB_ROW_BYTES;
    assert_eq!(changed(row + 12, 1), Err(UnreadableSegment::UnknownJob(1)));
    assert_eq!(changed(row + 14, 4), Err(UnreadableSegment::UnknownOutcome(UnknownOutcome(4))));
    let name = row + 16;
    assert!(matches!(changed(name, b'k'), Err(UnreadableSegment::InvalidJobId(_))));
    assert!(matches!(changed(name, 0xff), Err(UnreadableSegment::NameNotText(_))));
}
