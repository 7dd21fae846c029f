//! Frames as version fe9a16c sends them, read by this one and written again.
//!
//! `fixtures/fe9a16c_frames.txt` holds what three nodes of commit
//! fe9a16c011fb47333bb3733953d6dba020195efa sent each other while gangs waited, ran, were
//! stopped and were cancelled: a name and the frame in hex on each line. While a
//! deployment is updated both versions run side by side, so these bytes never change with
//! the code.

mod common;

use common::{ExpectedHeader, RecordedFrames, job, open, peer_heartbeat, write};
use gladekeel_wire::{
    mesh::{
        FrameHeader, FrameKind, JobProgressEntry, MAX_PAYLOAD, PROTOCOL_LEVEL, PeerHeartbeat,
        decode_job_ids, decode_job_progress, encode_job_ids, encode_job_progress,
    },
    worker::{Command, ExitCause, TaskState, TaskStatus},
};
use zerocopy::{FromBytes, IntoBytes};

/// The token under which fe9a16c led, and the first number of an attempt under it.
const TOKEN: u64 = 2;
const FIRST: u64 = TOKEN << 24;

/// The frames that fe9a16c sent.
const FRAMES: RecordedFrames = RecordedFrames::new(include_str!("fixtures/fe9a16c_frames.txt"));

fn task(
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
fn headers_are_read_and_written() {
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

/// Guards against a frame that ends the connection: fe9a16c reads these kinds, up to this
/// size, and no others.
#[test]
fn kinds_and_sizes_are_those_that_fe9a16c_reads() {
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
    // A kind that fe9a16c does not know must come with a level above 1, which peers of
    // fe9a16c never announce.
    let newer =
        (0..=u16::MAX).filter(|n| FrameKind::from_number(*n).is_some()).count() - known.len();
    assert!(newer == 0 || PROTOCOL_LEVEL > 1, "{newer} kinds are new");
    assert_eq!(MAX_PAYLOAD, 262_144);
    assert_eq!((FrameHeader::SIZE, size_of::<PeerHeartbeat>()), (24, 12));
}

/// Guards against a level that fe9a16c would take for less than it understands, and
/// against peer heartbeats that one of the versions misreads.
#[test]
fn peer_heartbeats_announce_the_level() {
    for (name, sender, leads) in [("hello-leader", 1, TOKEN), ("hello-follower", 0, 0)] {
        let bytes = FRAMES.frame(name);
        let (header, _, payload) = open(&bytes);
        assert_eq!(header.status.get(), 1, "{name}");
        let heartbeat = PeerHeartbeat::read_from_bytes(payload).expect("a peer heartbeat");
        assert_eq!(
            (heartbeat.store_contact_age_ms.get(), heartbeat.leader_token.get()),
            (199, leads),
            "{name}"
        );
        let heartbeat =
            PeerHeartbeat { store_contact_age_ms: 199.into(), leader_token: leads.into() };
        assert_eq!(write(peer_heartbeat(1, sender), heartbeat.as_bytes()), bytes, "{name}");
    }
    let ours = PROTOCOL_LEVEL;
    assert!(ours >= 1, "cancellations go to peers of level 1 and more");
}

/// Guards against cancellations that the other version does not find in the frame.
#[test]
fn cancelled_jobs_are_read_and_written() {
    let bytes = FRAMES.frame("cancelled");
    let (_, _, payload) = open(&bytes);
    let jobs = decode_job_ids(payload).expect("ids");
    assert_eq!(jobs, [job("job-g_2")]);
    assert_eq!(encode_job_ids(jobs.iter()), payload);
    // Several of them stand one a line; the fixture has one alone.
    let two = [job("job-g_2"), job("job-s.4")];
    assert_eq!(encode_job_ids(two.iter()), b"job-g_2\njob-s.4");
}

/// Guards against rows of job progress that shift: the ids follow rows of a fixed size.
#[test]
fn job_progress_is_read_and_written() {
    let bytes = FRAMES.frame("counts");
    let (_, _, payload) = open(&bytes);
    let rows = decode_job_progress(payload).expect("counts");
    let entry = |id, done, running| JobProgressEntry { id: job(id), done, running };
    assert_eq!(rows, [entry("job-g_2", 0, 2), entry("job-a-3", 0, 4), entry("job-s.4", 0, 2)]);
    let ours = encode_job_progress(rows.iter().cloned());
    assert_eq!(ours, [payload.to_vec()]);
}

/// Guards against states of a gang's tasks that get lost on the way to a leader of the
/// other version: one that waits holds its machine, one that saved has its progress.
#[test]
fn relayed_heartbeats_of_gangs_are_read_and_written() {
    let waiting = FRAMES.heartbeat("relay-waiting");
    assert_eq!((waiting.machine.as_str(), waiting.zone.as_str()), ("n-000002", "b"));
    assert_eq!((waiting.incarnation, waiting.sequence, waiting.token), (1, 11, TOKEN));
    let attempt = FIRST + 12;
    assert_eq!(
        waiting.tasks,
        ["job-g_2/0", "job-g_2/1"].map(|id| task(id, attempt, TaskState::Waiting, None, None)),
        "the tasks of a gang share their number"
    );

    let (state, cause, saved) = (TaskState::Exited, Some(ExitCause::Stopped), Some(true));
    assert_eq!(
        FRAMES.heartbeat("relay-stopped").tasks,
        [
            task("job-g_2/0", FIRST, state, cause, saved),
            task("job-g_2/1", FIRST, state, cause, saved),
            task("job-s.4/0", FIRST + 2, TaskState::Running, None, None),
            task("job-s.4/1", FIRST + 3, TaskState::Running, None, None),
        ]
    );
}

/// Guards against commands to gangs that a node of the other version cannot hand to a
/// worker: the response is read and written by the node that the worker heartbeats to.
#[test]
fn relayed_commands_to_gangs_are_read_and_written() {
    let (first, second) = ("job-g_2/0".parse().unwrap(), "job-g_2/1".parse().unwrap());
    let run = FRAMES.response("relayed-run");
    assert_eq!(run.token, TOKEN);
    let attempt = FIRST + 12;
    let starts =
        [Command::Start { task: first, attempt }, Command::Start { task: second, attempt }];
    assert_eq!(run.commands, starts);

    let halt = FRAMES.response("relayed-halt");
    let stops = ["job-g_2/0", "job-g_2/1"].map(|id| Command::Stop {
        task: id.parse().unwrap(),
        attempt: FIRST,
        grace_s: 4.0,
    });
    assert_eq!(halt.commands[..2], stops);
    let forgets = [0, 1, 2, 3].map(|n| Command::Forget {
        task: format!("job-a-3/{n}").parse().unwrap(),
        attempt: FIRST + 4 + n,
    });
    assert_eq!(halt.commands[2..], forgets);
}
