//! Compatibility with the frames of version 37c5e95, which was once in production.
//!
//! `fixtures/37c5e95_frames.txt` holds frames that two nodes of commit
//! 37c5e95213a12123977e782109b725d8fe96dbed, which is called production here, sent each
//! other: a name and the frame in hex on each line. These bytes must never be changed along
//! with the code.

mod common;

use common::{
    ExpectedHeader, RecordedFrames, encode_frame, job_id, peer_heartbeat_header, split_frame,
};
use gladekeel_wire::{
    mesh::{
        FrameHeader, FrameKind, JobProgressEntry, MAX_PAYLOAD, PROTOCOL_LEVEL, PeerHeartbeat,
        decode_job_progress, encode_job_progress,
    },
    worker::{Command, TaskState},
};
use zerocopy::{FromBytes, IntoBytes};

/// The frames that production sent.
const FRAMES: RecordedFrames = RecordedFrames::new(include_str!("fixtures/37c5e95_frames.txt"));

/// Guards against a header whose fields move, widen or change their meaning: this version decodes
/// each frame of production to the values that it was sent with, and encodes these values to the
/// same bytes.
#[test]
fn frame_headers_match_production() {
    for (name, kind, status, correlation_id, sender) in [
        ("nudge", FrameKind::StoreChanged, 0, 0, 1),
        ("relay", FrameKind::RelayedHeartbeat, 0, 45, 1),
        ("relayed", FrameKind::RelayedResponse, 200, 42, 0),
        ("hello", FrameKind::PeerHeartbeat, 0, 0, 0),
        ("hello-follower", FrameKind::PeerHeartbeat, 0, 0, 1),
        ("counts", FrameKind::JobProgress, 0, 0, 0),
    ] {
        FRAMES.check_header(name, ExpectedHeader { kind, status, correlation_id, sender });
    }
}

/// Guards against frame kinds that are renumbered, and against limits that the frames of a
/// production node would exceed.
#[test]
fn frame_kinds_and_size_limits_match_production() {
    for (number, kind) in [
        (1, FrameKind::StoreChanged),
        (2, FrameKind::RelayedHeartbeat),
        (3, FrameKind::RelayedResponse),
        (4, FrameKind::PeerHeartbeat),
        (5, FrameKind::JobProgress),
    ] {
        assert_eq!(FrameKind::from_number(number), Some(kind));
        assert_eq!(kind as u16, number);
    }
    // Production rejects all numbers except 1 to 5, so new kinds must have higher numbers.
    assert_eq!(FrameKind::Cancellations as u16, 6);
    assert_eq!(FrameKind::from_number(0), None);
    assert_eq!(FrameKind::from_number(7), None);
    assert_eq!(MAX_PAYLOAD, 262_144);
    assert_eq!((FrameHeader::SIZE, size_of::<PeerHeartbeat>()), (24, 12));
}

/// Guards against peer heartbeats that one of the versions misreads: a healthy leader whose
/// heartbeats are not understood is replaced by a takeover.
#[test]
fn peer_heartbeats_match_production_except_for_the_protocol_level() {
    for (name, sender, contact_age_ms, leader_token) in
        [("hello", 0, 250, 2), ("hello-follower", 1, 299, 0)]
    {
        let bytes = FRAMES.frame(name);
        let (header, _, payload) = split_frame(&bytes);
        // Production announces no protocol level, so peers must not send it any frame that it
        // cannot read.
        assert!(header.status.get() < 1, "{name}");
        let heartbeat =
            PeerHeartbeat::read_from_bytes(payload).expect("the payload is a peer heartbeat");
        assert_eq!(
            (heartbeat.store_contact_age_ms.get(), heartbeat.leader_token.get()),
            (contact_age_ms, leader_token),
            "{name}"
        );

        let heartbeat = PeerHeartbeat {
            store_contact_age_ms: contact_age_ms.into(),
            leader_token: leader_token.into(),
        };
        let header = peer_heartbeat_header(PROTOCOL_LEVEL, sender);
        let encoded = encode_frame(header, heartbeat.as_bytes());
        assert_eq!(encoded.len(), bytes.len(), "{name}");
        let differing: Vec<usize> =
            (0..encoded.len()).filter(|at| encoded[*at] != bytes[*at]).collect();
        assert_eq!(differing, [6], "only the status may differ, which production ignores");
        assert_eq!(encoded[6..8], [2, 0], "the status is the protocol level of this version");
    }
}

/// Guards against job progress entries that are decoded at the wrong offset: an id of variable
/// length follows the fixed-size part of each entry.
#[test]
fn job_progress_matches_production() {
    let bytes = FRAMES.frame("counts");
    let (_, _, payload) = split_frame(&bytes);
    let entries = decode_job_progress(payload).expect("the payload is job progress");
    let entry = |id, running| JobProgressEntry { id: job_id(id), done: 0, running };
    assert_eq!(entries, [entry("job-000412", 3), entry("job-a_b.c-9", 1)]);
    let encoded = encode_job_progress(entries.iter().cloned());
    assert_eq!(encoded, [payload.to_vec()]);
}

/// Guards against heartbeats and responses that one of the versions cannot relay: a worker may send
/// its heartbeats to a node of one version while the leader runs the other.
#[test]
fn relayed_heartbeats_and_responses_of_production_round_trip() {
    let heartbeat = FRAMES.heartbeat("relay");
    assert_eq!(
        (heartbeat.machine.as_str(), heartbeat.addr.as_str()),
        ("n-000001", "10.1.0.2:9000")
    );
    assert_eq!((heartbeat.machine_type.as_str(), heartbeat.zone.as_str()), ("m32", "a"));
    assert_eq!(
        (heartbeat.spot, heartbeat.incarnation, heartbeat.sequence, heartbeat.token),
        (true, 1, 12, 2)
    );
    let tasks: Vec<(String, u64)> =
        heartbeat.tasks.iter().map(|task| (task.task.to_string(), task.attempt)).collect();
    let expected = [
        ("job-000412/0".to_owned(), 33_554_433),
        ("job-000412/1".to_owned(), 33_554_434),
        ("job-000412/2".to_owned(), 33_554_435),
        ("job-a_b.c-9/0".to_owned(), 33_554_432),
    ];
    assert_eq!(tasks, expected);
    assert!(heartbeat.tasks.iter().all(|task| task.state == TaskState::Running));

    let response = FRAMES.response("relayed");
    assert_eq!(response.token, 2);
    let starts: Vec<(String, u64)> = response
        .commands
        .iter()
        .map(|command| match command {
            Command::Start { task, attempt } => (task.to_string(), *attempt),
            other => panic!("expected a start command, got {other:?}"),
        })
        .collect();
    let [.., last] = &expected;
    let (first, rest) = starts.split_first().expect("the response has four start commands");
    assert_eq!((first, rest), (last, &expected[..3]));
}
