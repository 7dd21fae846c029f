//! Frames as version 37c5e95, in production once, sends them, read by this one.
//!
//! `fixtures/37c5e95_frames.txt` holds what two nodes of commit
//! 37c5e95213a12123977e782109b725d8fe96dbed, which is called production here, sent each
//! other: a name and the frame in hex on each line. These bytes never change with the
//! code.

mod common;

use common::{ExpectedHeader, RecordedFrames, job, open, peer_heartbeat, write};
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

/// Guards against a header whose fields move, widen or change their meaning: each frame
/// of production is read to the values that it was sent with, and this version makes
/// the same bytes of them.
#[test]
fn headers_are_production_s() {
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

/// Guards against kinds that are numbered anew, and limits that a production node's
/// frame would break.
#[test]
fn kinds_and_limits_of_production_stay() {
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
    // Production refuses every other number, so what is new has to be above.
    assert_eq!(FrameKind::Cancellations as u16, 6);
    assert_eq!(FrameKind::from_number(0), None);
    assert_eq!(FrameKind::from_number(7), None);
    assert_eq!(MAX_PAYLOAD, 262_144);
    assert_eq!((FrameHeader::SIZE, size_of::<PeerHeartbeat>()), (24, 12));
}

/// Guards against peer heartbeats that one of the versions misreads: a leader that is not heard
/// costs a takeover.
#[test]
fn peer_heartbeats_are_read_and_written_as_production_s() {
    for (name, sender, contact_ms, leads) in [("hello", 0, 250, 2), ("hello-follower", 1, 299, 0)] {
        let bytes = FRAMES.frame(name);
        let (header, _, payload) = open(&bytes);
        // No protocol level is announced: nothing that production cannot read may be sent to it.
        assert!(header.status.get() < 1, "{name}");
        let heartbeat = PeerHeartbeat::read_from_bytes(payload).expect("production's heartbeat");
        assert_eq!(
            (heartbeat.store_contact_age_ms.get(), heartbeat.leader_token.get()),
            (contact_ms, leads),
            "{name}"
        );

        let heartbeat =
            PeerHeartbeat { store_contact_age_ms: contact_ms.into(), leader_token: leads.into() };
        let ours = write(peer_heartbeat(PROTOCOL_LEVEL, sender), heartbeat.as_bytes());
        assert_eq!(ours.len(), bytes.len(), "{name}");
        let differ: Vec<usize> = (0..ours.len()).filter(|at| ours[*at] != bytes[*at]).collect();
        assert_eq!(differ, [6], "only the status, which production passes over");
        assert_eq!(ours[6..8], [2, 0], "the level of this version");
    }
}

/// Guards against rows of job progress that shift: the ids follow rows of a fixed size.
#[test]
fn job_progress_is_read_and_written_as_production_s() {
    let bytes = FRAMES.frame("counts");
    let (_, _, payload) = open(&bytes);
    let rows = decode_job_progress(payload).expect("production's counts");
    let entry = |id, running| JobProgressEntry { id: job(id), done: 0, running };
    assert_eq!(rows, [entry("job-000412", 3), entry("job-a_b.c-9", 1)]);
    let ours = encode_job_progress(rows.iter().cloned());
    assert_eq!(ours, [payload.to_vec()]);
}

/// Guards against heartbeats and responses that one of the versions cannot pass on: a worker
/// may heartbeat to a node of either, and be led by the other.
#[test]
fn relayed_heartbeats_and_responses_are_read() {
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
            other => panic!("not a start: {other:?}"),
        })
        .collect();
    let [.., last] = &expected;
    let (first, rest) = starts.split_first().expect("four starts");
    assert_eq!((first, rest), (last, &expected[..3]));
}
