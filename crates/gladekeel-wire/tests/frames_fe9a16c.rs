//! Compatibility with the frames of version fe9a16c.
//!
//! `fixtures/fe9a16c_frames.txt` holds frames that three nodes of commit
//! fe9a16c011fb47333bb3733953d6dba020195efa sent each other while gangs waited, ran, were
//! stopped and were cancelled: a name and the frame in hex on each line. Both versions run side
//! by side while a deployment is upgraded, so these bytes must never be changed along with the
//! code.

mod common;

use common::{
    ExpectedHeader, RecordedFrames, encode_frame, job_id, peer_heartbeat_header, split_frame,
};
use gladekeel_wire::{
    mesh::{
        FrameHeader, FrameKind, JobProgressEntry, MAX_PAYLOAD, PROTOCOL_LEVEL, PeerHeartbeat,
        decode_job_ids, decode_job_progress, encode_job_ids, encode_job_progress,
    },
    worker::{Command, ExitCause, TaskState, TaskStatus},
};
use zerocopy::{FromBytes, IntoBytes};

/// The fencing token under which the node of fe9a16c led.
const TOKEN: u64 = 2;
/// The lowest attempt number under [`TOKEN`].
const FIRST_ATTEMPT: u64 = TOKEN << 24;

/// The frames that fe9a16c sent.
const FRAMES: RecordedFrames = RecordedFrames::new(include_str!("fixtures/fe9a16c_frames.txt"));

fn task_status(
    id: &str,
    attempt: u64,
    state: TaskState,
    cause: Option<ExitCause>,
    saved: Option<bool>,
) -> TaskStatus {
    TaskStatus { task: id.parse().unwrap(), attempt, state, cause, saved }
}

/// Guards against a header whose fields move, widen or change their meaning.
#[test]
fn frame_headers_round_trip() {
    for (name, kind, status, correlation_id, sender) in [
        ("nudge", FrameKind::StoreChanged, 0, 0, 0),
        ("relay-waiting", FrameKind::RelayedHeartbeat, 0, 0x83, 2),
        ("relay-stopped", FrameKind::RelayedHeartbeat, 0, 0x77, 2),
        ("relayed-run", FrameKind::RelayedResponse, 200, 0x7e, 1),
        ("relayed-halt", FrameKind::RelayedResponse, 200, 0x6e, 1),
        ("hello-leader", FrameKind::PeerHeartbeat, 1, 0, 1),
        ("hello-follower", FrameKind::PeerHeartbeat, 1, 0, 0),
        ("counts", FrameKind::JobProgress, 0, 0, 1),
        ("cancelled", FrameKind::Cancellations, 0, 0, 1),
    ] {
        FRAMES.check_header(name, ExpectedHeader { kind, status, correlation_id, sender });
    }
}

/// Guards against frames on which fe9a16c closes the connection: it accepts only the frame kinds
/// listed here, and only payloads of at most `MAX_PAYLOAD` bytes.
#[test]
fn frame_kinds_and_size_limits_match_fe9a16c() {
    let known = [
        (1, FrameKind::StoreChanged),
        (2, FrameKind::RelayedHeartbeat),
        (3, FrameKind::RelayedResponse),
        (4, FrameKind::PeerHeartbeat),
        (5, FrameKind::JobProgress),
        (6, FrameKind::Cancellations),
    ];
    for (number, kind) in known {
        assert_eq!(FrameKind::from_number(number), Some(kind));
        assert_eq!(kind as u16, number);
    }
    // A kind that fe9a16c does not know requires a protocol level above 1, which fe9a16c never
    // announces.
    let new_kinds =
        (0..=u16::MAX).filter(|n| FrameKind::from_number(*n).is_some()).count() - known.len();
    assert!(new_kinds == 0 || PROTOCOL_LEVEL > 1, "{new_kinds} new kinds without a new level");
    assert_eq!(MAX_PAYLOAD, 262_144);
    assert_eq!((FrameHeader::SIZE, size_of::<PeerHeartbeat>()), (24, 12));
}

/// Guards against a protocol level so low that fe9a16c would not send cancellations to this version,
/// and against peer heartbeats that one of the versions misreads.
#[test]
fn peer_heartbeats_announce_the_protocol_level() {
    for (name, sender, leader_token) in [("hello-leader", 1, TOKEN), ("hello-follower", 0, 0)] {
        let bytes = FRAMES.frame(name);
        let (header, _, payload) = split_frame(&bytes);
        assert_eq!(header.status.get(), 1, "{name}");
        let heartbeat =
            PeerHeartbeat::read_from_bytes(payload).expect("the payload is a peer heartbeat");
        assert_eq!(
            (heartbeat.store_contact_age_ms.get(), heartbeat.leader_token.get()),
            (199, leader_token),
            "{name}"
        );
        let heartbeat =
            PeerHeartbeat { store_contact_age_ms: 199.into(), leader_token: leader_token.into() };
        let encoded = encode_frame(peer_heartbeat_header(1, sender), heartbeat.as_bytes());
        assert_eq!(encoded, bytes, "{name}");
    }
    let level = PROTOCOL_LEVEL;
    assert!(level >= 1, "fe9a16c sends cancellations only to peers of level 1 or above");
}

/// Guards against cancellations that the other version cannot read from the frame.
#[test]
fn cancellations_round_trip() {
    let bytes = FRAMES.frame("cancelled");
    let (_, _, payload) = split_frame(&bytes);
    let jobs = decode_job_ids(payload).expect("the payload is a list of job ids");
    assert_eq!(jobs, [job_id("job-g_2")]);
    assert_eq!(encode_job_ids(jobs.iter()), payload);
    // Several ids are separated by newlines; the frame in the fixture holds only one.
    let two = [job_id("job-g_2"), job_id("job-s.4")];
    assert_eq!(encode_job_ids(two.iter()), b"job-g_2\njob-s.4");
}

/// Guards against job progress entries that are decoded at the wrong offset: an id of variable
/// length follows the fixed-size part of each entry.
#[test]
fn job_progress_round_trips() {
    let bytes = FRAMES.frame("counts");
    let (_, _, payload) = split_frame(&bytes);
    let entries = decode_job_progress(payload).expect("the payload is job progress");
    let entry = |id, done, running| JobProgressEntry { id: job_id(id), done, running };
    assert_eq!(entries, [entry("job-g_2", 0, 2), entry("job-a-3", 0, 4), entry("job-s.4", 0, 2)]);
    let encoded = encode_job_progress(entries.iter().cloned());
    assert_eq!(encoded, [payload.to_vec()]);
}

/// Guards against states of a gang's tasks that are lost on the way to a leader of the other
/// version: a waiting task holds resources of its machine, and a task that wrote a checkpoint
/// keeps its progress.
#[test]
fn relayed_heartbeats_of_gangs_round_trip() {
    let waiting = FRAMES.heartbeat("relay-waiting");
    assert_eq!((waiting.machine.as_str(), waiting.zone.as_str()), ("n-000002", "b"));
    assert_eq!((waiting.incarnation, waiting.sequence, waiting.token), (1, 11, TOKEN));
    let attempt = FIRST_ATTEMPT + 12;
    assert_eq!(
        waiting.tasks,
        ["job-g_2/0", "job-g_2/1"].map(|id| task_status(
            id,
            attempt,
            TaskState::Waiting,
            None,
            None
        )),
        "the tasks of a gang share their attempt number"
    );

    let (state, cause, saved) = (TaskState::Exited, Some(ExitCause::Stopped), Some(true));
    assert_eq!(
        FRAMES.heartbeat("relay-stopped").tasks,
        [
            task_status("job-g_2/0", FIRST_ATTEMPT, state, cause, saved),
            task_status("job-g_2/1", FIRST_ATTEMPT, state, cause, saved),
            task_status("job-s.4/0", FIRST_ATTEMPT + 2, TaskState::Running, None, None),
            task_status("job-s.4/1", FIRST_ATTEMPT + 3, TaskState::Running, None, None),
        ]
    );
}

/// Guards against commands to gangs that a node of the other version cannot relay to a worker: the
/// node to which the worker sends its heartbeats decodes the leader's response and encodes it
/// again.
#[test]
fn relayed_commands_to_gangs_round_trip() {
    let (first, second) = ("job-g_2/0".parse().unwrap(), "job-g_2/1".parse().unwrap());
    let run = FRAMES.response("relayed-run");
    assert_eq!(run.token, TOKEN);
    let attempt = FIRST_ATTEMPT + 12;
    let starts =
        [Command::Start { task: first, attempt }, Command::Start { task: second, attempt }];
    assert_eq!(run.commands, starts);

    let halt = FRAMES.response("relayed-halt");
    let stops = ["job-g_2/0", "job-g_2/1"].map(|id| Command::Stop {
        task: id.parse().unwrap(),
        attempt: FIRST_ATTEMPT,
        grace_s: 4.0,
    });
    assert_eq!(halt.commands[..2], stops);
    let forgets = [0, 1, 2, 3].map(|n| Command::Forget {
        task: format!("job-a-3/{n}").parse().unwrap(),
        attempt: FIRST_ATTEMPT + 4 + n,
    });
    assert_eq!(halt.commands[2..], forgets);
}
