//! Segments of the log: written, read back, damaged.

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use gladekeel_controller::assignment_log::{
    Assignment, AttemptOutcome, ProgressPage, Release, Segment, SegmentWriter, UnreadableSegment,
    decode, segment_capacity,
};
use gladekeel_wire::JobId;

use proptest::prelude::*;

fn id(number: u32) -> JobId {
    format!("job-{number:06}").parse().unwrap()
}

fn write(segment: &Segment) -> SegmentWriter {
    let mut writer = SegmentWriter::default();
    for a in &segment.assignments {
        writer.assign(&a.job, a.index, &a.machine, a.incarnation, a.attempt);
    }
    for r in &segment.releases {
        writer.release(&r.job, r.index, r.attempt, r.outcome);
    }
    for p in &segment.progress_pages {
        writer.progress(&p.job, p.page, &p.done, &p.restarted);
    }
    writer
}

fn segments() -> impl Strategy<Value = Segment> {
    let assigned = (0u32..9, 0u32..100_000, 0u32..9, 1u64..4, any::<u64>()).prop_map(
        |(job, index, machine, session, attempt)| Assignment {
            job: id(job),
            index,
            machine: format!("n-{machine}"),
            incarnation: session,
            attempt,
        },
    );
    let ends = prop::sample::select(vec![
        AttemptOutcome::Done,
        AttemptOutcome::Restarted,
        AttemptOutcome::Requeued,
    ]);
    let released =
        (0u32..9, 0u32..100_000, any::<u64>(), ends).prop_map(|(job, index, attempt, end)| {
            Release { job: id(job), index, attempt, outcome: end }
        });
    let bits = || prop::collection::vec(any::<u8>(), 0..40);
    let progress = (0u32..9, 0u32..25, bits(), bits()).prop_map(|(job, chunk, done, restarted)| {
        ProgressPage { job: id(job), page: chunk, done, restarted }
    });
    (
        any::<u64>(),
        prop::collection::vec(assigned, 0..20),
        prop::collection::vec(released, 0..20),
        prop::collection::vec(progress, 0..5),
    )
        .prop_map(|(seq, assigned, released, progress)| Segment {
            sequence: seq,
            assignments: assigned,
            releases: released,
            progress_pages: progress,
        })
}

proptest! {
    #[test]
    fn segments_read_back(segment in segments()) {
        let writer = write(&segment);
        let text = writer.encode(segment.sequence);
        prop_assert_eq!(text.len(), (writer.size() * 4).div_ceil(3));
        prop_assert_eq!(decode(&text), Ok(segment));
    }

    /// What is cut off, longer or changed is refused or means what it says; it
    /// never panics.
    #[test]
    fn damage_does_no_harm(segment in segments(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let raw = STANDARD_NO_PAD.decode(write(&segment).encode(segment.sequence)).unwrap();
        let cut = &raw[..at.index(raw.len())];
        prop_assert_eq!(decode(&STANDARD_NO_PAD.encode(cut)), Err(UnreadableSegment));
        let mut longer = raw.clone();
        longer.push(byte);
        prop_assert_eq!(decode(&STANDARD_NO_PAD.encode(longer)), Err(UnreadableSegment));
        let mut changed = raw.clone();
        changed[at.index(raw.len())] = byte;
        let _ = decode(&STANDARD_NO_PAD.encode(changed));
    }
}

#[test]
fn other_layouts_are_refused() {
    let text = write(&Segment::default()).encode(1);
    let mut raw = STANDARD_NO_PAD.decode(text).unwrap();
    raw[0] ^= 1;
    assert_eq!(decode(&STANDARD_NO_PAD.encode(raw)), Err(UnreadableSegment));
    assert_eq!(decode("{}"), Err(UnreadableSegment));
    assert_eq!(decode(""), Err(UnreadableSegment));
    assert!(segment_capacity(4096) * 4 / 3 + 2 <= 4096);
}
