//! Tests of when a node that has just started is ready to serve requests.

use gladekeel_controller::node::{Action, Event, Node};
use gladekeel_testkit::{
    scenario::example_settings,
    stand_ins::store::{FakeStore, StoreLimits},
};
use gladekeel_wire::mesh::FrameHeader;
use std::collections::VecDeque;

fn new_store() -> FakeStore {
    FakeStore::new(StoreLimits { rps: 1000.0, write_rps: 1000.0, txn_ops: 8, value: 4096 })
}

/// Sends a node a tick and the responses to its store requests. Returns the frames that the node
/// has sent.
fn tick(node: &mut Node, store: &mut FakeStore, now: f64) -> Vec<Vec<u8>> {
    let mut frames = Vec::new();
    let mut actions = VecDeque::from(node.handle(now, Event::Tick));
    while let Some(action) = actions.pop_front() {
        match action {
            Action::CallStore { call, request, .. } => {
                let outcome = store.call(now, 0, &request);
                actions.extend(node.handle(now, Event::Store { call, outcome }));
            }
            Action::SendToPeer { frame, .. } => frames.push(frame),
            _ => {}
        }
    }
    frames
}

/// Delivers frames of another node to a node.
fn deliver_frames(node: &mut Node, now: f64, frames: Vec<Vec<u8>>) {
    for frame in frames {
        let (head, payload) = frame.split_at(FrameHeader::SIZE);
        let head = head.try_into().expect("a frame begins with a header");
        let (header, kind) = FrameHeader::read(&head).expect("nodes send valid frames");
        node.handle(now, Event::Peer { header, kind, payload: payload.to_vec() });
    }
}

/// Guards against serving workers while there is no leader: their requests kept a small processor
/// busy for 4 s.
#[test]
fn a_node_is_ready_to_serve_when_it_becomes_leader() {
    let (mut store, mut node) = (new_store(), Node::new(example_settings(0, 1), 7, 0.0));
    assert!(!node.is_ready_to_serve(0.0));
    let steps = (0..40).map(|step| f64::from(step) * 0.05);
    let ready_at = steps.into_iter().find(|now| {
        tick(&mut node, &mut store, *now);
        node.is_ready_to_serve(*now)
    });
    assert!(ready_at.is_some_and(|at| at <= 1.0), "ready to serve at {ready_at:?}");
    assert!(node.leader().is_some());
}

/// Guards against a follower that serves workers before it knows the protocol level of the leader,
/// which the leader's heartbeat states: the follower would redirect all workers to the leader.
#[test]
fn a_follower_is_ready_to_serve_after_a_heartbeat_from_the_leader() {
    let mut store = new_store();
    let mut leader = Node::new(example_settings(0, 2), 7, 0.0);
    let mut follower = Node::new(example_settings(1, 2), 8, 0.0);
    let mut heartbeats = Vec::new();
    for step in 0..60 {
        let now = f64::from(step) * 0.05;
        heartbeats.extend(tick(&mut leader, &mut store, now));
        if leader.leader().is_some() {
            tick(&mut follower, &mut store, now);
        }
    }
    assert!(
        !follower.is_ready_to_serve(3.0),
        "the follower knows the leader, but has not received a heartbeat from it"
    );
    deliver_frames(&mut follower, 3.0, heartbeats);
    assert!(follower.is_ready_to_serve(3.0));
}
