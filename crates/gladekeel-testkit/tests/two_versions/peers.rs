use super::{SentFrame, TestNode};
use gladekeel_controller::node::Node;
use gladekeel_testkit::scenario::{example_job, example_settings};
use gladekeel_wire::{
    JobId,
    mesh::{JobProgressEntry, PROTOCOL_LEVEL, decode_job_progress},
};
use std::collections::BTreeSet;

fn job_ids_frame(peer: usize, name: &str) -> (usize, u16, Vec<JobId>) {
    (peer, 6, vec![name.parse().unwrap()])
}

/// Guards against a frame of kind 6 for a production node: it ends the connection, and
/// the leader behind it would be cut off from relayed reports with each cancellation.
#[test]
fn cancellations_are_only_sent_to_peers_that_know_their_kind() {
    let mut old = TestNode::with_peers(&[Some(0), Some(0)]);
    old.run(5);
    assert_eq!(old.cancel("job-1"), []);

    let mut new = TestNode::with_peers(&[Some(1), Some(1)]);
    new.run(5);
    assert_eq!(new.cancel("job-1"), [job_ids_frame(0, "job-1"), job_ids_frame(1, "job-1")]);

    let mut mixed = TestNode::with_peers(&[Some(0), Some(1)]);
    mixed.run(5);
    assert_eq!(mixed.cancel("job-1"), [job_ids_frame(1, "job-1")]);

    // A level above this version's understands what this version sends.
    let mut later = TestNode::with_peers(&[Some(2), None]);
    later.run(5);
    assert_eq!(later.cancel("job-1"), [job_ids_frame(0, "job-1")], "a silent peer counts as old");
}

/// Guards against a level that sticks: a peer that is updated, or taken back to
/// production, counts as what its last heartbeat told.
#[test]
fn the_level_of_a_peer_is_that_of_its_last_heartbeat() {
    let mut node = TestNode::with_peers(&[Some(0), Some(1)]);
    node.run(5);
    assert_eq!(node.cancel("job-1"), [job_ids_frame(1, "job-1")]);
    node.levels = vec![Some(1), Some(0)];
    node.run(2);
    assert_eq!(node.cancel("job-2"), [job_ids_frame(0, "job-2")]);
}

/// Guards against other new things in what a production node gets: every frame besides
/// is of a kind that it knows, and heartbeats have its layout, with the level as status.
#[test]
fn production_peers_only_get_frames_that_they_know() {
    let mut node = TestNode::with_peers(&[Some(0), Some(0)]);
    node.run(5);
    node.cancel("job-1");
    let (mut heartbeats, mut led) = (0, false);
    for SentFrame { header, kind, payload, .. } in &node.frames {
        assert!((1..=5).contains(kind), "kind {kind}");
        assert_eq!(header.payload_len.get() as usize, payload.len());
        if *kind == 4 {
            heartbeats += 1;
            assert_eq!((header.status.get(), payload.len()), (PROTOCOL_LEVEL, 12));
            assert_eq!((header.correlation_id.get(), header.sender.get()), (0, 0));
            let token = node.leader().expect("it leads").token;
            let leads = u64::from_le_bytes(payload[4..].try_into().unwrap());
            assert!(leads == 0 || leads == token, "{leads} is no token");
            led |= leads == token;
        } else {
            assert_eq!(header.status.get(), 0, "kind {kind}");
        }
    }
    assert!(heartbeats >= 10, "{heartbeats} heartbeats to two peers in nine seconds");
    assert!(led, "no heartbeat tells the token");
}

/// Guards against a controller that is restarted and shows a running job as queued until
/// the job's next change.
#[test]
fn job_progress_is_sent_again_to_a_peer_that_has_restarted() {
    let mut node = TestNode::with_peers(&[Some(PROTOCOL_LEVEL), Some(1)]);
    node.run(5);
    assert!(node.leader().is_some());
    let spec = serde_json::to_vec(&example_job("job-1")).unwrap();
    assert_eq!(node.ask("/api/jobs", spec).0, 201);
    node.run(5);
    // Nothing changes from here on: there are no machines.
    for (processes, expected) in [(0, 0), (11, 1), (11, 0), (12, 1), (12, 0)] {
        node.frames.clear();
        node.processes = processes;
        node.run(3);
        for peer in 0..2 {
            let counts = node.frames.iter().filter(|frame| frame.peer == peer && frame.kind == 5);
            let entries: Vec<JobProgressEntry> = counts
                .flat_map(|frame| decode_job_progress(&frame.payload).expect("counts"))
                .collect();
            let entry = JobProgressEntry { id: "job-1".parse().unwrap(), done: 0, running: 0 };
            assert_eq!(entries, vec![entry; expected], "processes {processes}, peer {peer}");
        }
    }
}

/// Guards against a number that never changes, or that every process has.
#[test]
fn heartbeats_identify_the_process_of_their_sender() {
    let numbers = |seed: u64| {
        let mut node = TestNode::with_peers(&[Some(PROTOCOL_LEVEL), Some(0)]);
        node.node = Node::new(example_settings(0, 3), seed, 0.0);
        node.run(5);
        let heartbeats = node.frames.iter().filter(|frame| frame.kind == 4);
        let calls = heartbeats.map(|frame| (frame.peer, frame.header.correlation_id.get()));
        calls.collect::<BTreeSet<_>>()
    };
    let (first, second) = (numbers(1), numbers(2));
    assert!(first.contains(&(1, 0)) && first.iter().filter(|(peer, _)| *peer == 1).count() == 1);
    assert_eq!(first.iter().filter(|(peer, number)| *peer == 0 && *number != 0).count(), 1);
    assert_ne!(first, second);
}
