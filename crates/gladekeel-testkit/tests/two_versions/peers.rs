//! Frames that a node sends to peers of this version and of earlier ones.

use super::{SentFrame, TestNode};
use gladekeel_controller::node::Node;
use gladekeel_testkit::scenario::{example_job, example_settings};
use gladekeel_wire::{
    JobId,
    mesh::{JobProgressEntry, PROTOCOL_LEVEL, decode_job_progress},
};
use std::collections::BTreeSet;

/// The frame that notifies a peer of the cancellation of a job, as [`TestNode::submit_and_cancel`]
/// returns it.
fn cancellation_frame(peer: usize, name: &str) -> (usize, u16, Vec<JobId>) {
    (peer, 6, vec![name.parse().unwrap()])
}

/// Guards against sending a frame of kind 6 to a production node. That node closes the connection,
/// so each cancellation would interrupt the relaying of heartbeats from that node to the leader.
#[test]
fn cancellations_are_sent_only_to_peers_that_know_their_frame_kind() {
    let mut old = TestNode::with_peers(&[Some(0), Some(0)]);
    old.advance(5);
    assert_eq!(old.submit_and_cancel("job-1"), []);

    let mut new = TestNode::with_peers(&[Some(1), Some(1)]);
    new.advance(5);
    assert_eq!(
        new.submit_and_cancel("job-1"),
        [cancellation_frame(0, "job-1"), cancellation_frame(1, "job-1")]
    );

    let mut mixed = TestNode::with_peers(&[Some(0), Some(1)]);
    mixed.advance(5);
    assert_eq!(mixed.submit_and_cancel("job-1"), [cancellation_frame(1, "job-1")]);

    // A peer with protocol level 2 also knows frame kind 6, which level 1 introduced.
    let mut newer = TestNode::with_peers(&[Some(2), None]);
    newer.advance(5);
    assert_eq!(
        newer.submit_and_cancel("job-1"),
        [cancellation_frame(0, "job-1")],
        "a peer that sends no heartbeats is treated as a peer with level 0"
    );
}

/// Guards against recording a peer's protocol level once and never changing it: a peer that is
/// upgraded, or rolled back to production, has the level that its last heartbeat states.
#[test]
fn the_level_of_a_peer_is_that_of_its_last_heartbeat() {
    let mut node = TestNode::with_peers(&[Some(0), Some(1)]);
    node.advance(5);
    assert_eq!(node.submit_and_cancel("job-1"), [cancellation_frame(1, "job-1")]);
    node.peer_levels = vec![Some(1), Some(0)];
    node.advance(2);
    assert_eq!(node.submit_and_cancel("job-2"), [cancellation_frame(0, "job-2")]);
}

/// Guards against sending any frame that a production node does not know. Every frame must be of a
/// kind that production knows, and heartbeats must have production's layout, with the protocol
/// level in the field for the status.
#[test]
fn production_peers_receive_only_frames_that_they_know() {
    let mut node = TestNode::with_peers(&[Some(0), Some(0)]);
    node.advance(5);
    node.submit_and_cancel("job-1");
    let (mut heartbeats, mut token_sent) = (0, false);
    for SentFrame { header, kind, payload, .. } in &node.sent_frames {
        assert!((1..=5).contains(kind), "kind {kind}");
        assert_eq!(header.payload_len.get() as usize, payload.len());
        if *kind == 4 {
            heartbeats += 1;
            assert_eq!((header.status.get(), payload.len()), (PROTOCOL_LEVEL, 12));
            assert_eq!((header.correlation_id.get(), header.sender.get()), (0, 0));
            let token = node.leader().expect("the node leads").token;
            let leader_token = u64::from_le_bytes(payload[4..].try_into().unwrap());
            assert!(leader_token == 0 || leader_token == token, "unexpected token {leader_token}");
            token_sent |= leader_token == token;
        } else {
            assert_eq!(header.status.get(), 0, "kind {kind}");
        }
    }
    assert!(heartbeats >= 10, "only {heartbeats} heartbeats to two peers in nine seconds");
    assert!(token_sent, "no heartbeat contains the token");
}

/// Guards against a restarted peer that reports a running job as queued until the progress of the
/// job changes again.
#[test]
fn job_progress_is_sent_again_to_a_peer_that_has_restarted() {
    let mut node = TestNode::with_peers(&[Some(PROTOCOL_LEVEL), Some(1)]);
    node.advance(5);
    assert!(node.leader().is_some());
    let spec = serde_json::to_vec(&example_job("job-1")).unwrap();
    assert_eq!(node.post_job_request("/api/jobs", spec).0, 201);
    node.advance(5);
    // The progress of the job does not change from here on, because there are no machines.
    for (incarnation, expected_entries) in [(0, 0), (11, 1), (11, 0), (12, 1), (12, 0)] {
        node.sent_frames.clear();
        node.peer_incarnation = incarnation;
        node.advance(3);
        for peer in 0..2 {
            let progress_frames =
                node.sent_frames.iter().filter(|frame| frame.peer == peer && frame.kind == 5);
            let entries: Vec<JobProgressEntry> = progress_frames
                .flat_map(|frame| decode_job_progress(&frame.payload).expect("valid job progress"))
                .collect();
            let entry = JobProgressEntry { id: "job-1".parse().unwrap(), done: 0, running: 0 };
            assert_eq!(
                entries,
                vec![entry; expected_entries],
                "incarnation {incarnation}, peer {peer}"
            );
        }
    }
}

/// Guards against an incarnation in heartbeats that never changes, or that is the same for every
/// process of a node. Peers with protocol level 0 receive the incarnation 0.
#[test]
fn heartbeats_identify_the_process_of_their_sender() {
    let incarnations = |seed: u64| {
        let mut node = TestNode::with_peers(&[Some(PROTOCOL_LEVEL), Some(0)]);
        node.node = Node::new(example_settings(0, 3), seed, 0.0);
        node.advance(5);
        let heartbeats = node.sent_frames.iter().filter(|frame| frame.kind == 4);
        let received = heartbeats.map(|frame| (frame.peer, frame.header.correlation_id.get()));
        received.collect::<BTreeSet<_>>()
    };
    let (first, second) = (incarnations(1), incarnations(2));
    assert!(first.contains(&(1, 0)) && first.iter().filter(|(peer, _)| *peer == 1).count() == 1);
    assert_eq!(
        first.iter().filter(|(peer, incarnation)| *peer == 0 && *incarnation != 0).count(),
        1
    );
    assert_ne!(first, second);
}
