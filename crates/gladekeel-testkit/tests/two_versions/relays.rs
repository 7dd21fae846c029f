//! Heartbeats that a node relays to the leader, and the leader's responses to them.

use super::TestNode;
use gladekeel_controller::{
    keys,
    node::{Event, Node},
};
use gladekeel_testkit::scenario::example_settings;
use gladekeel_wire::{
    TaskId,
    mesh::{FrameHeader, FrameKind, PROTOCOL_LEVEL},
    worker::{Command, Heartbeat, HeartbeatResponse},
};
use serde_json::json;

/// Request id of the heartbeat that a test sends.
const HEARTBEAT_REQUEST: u64 = 1000;

fn heartbeat(machine: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: machine.into(),
        machine_type: "m32".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence,
        token: 0,
        termination_notice_s: None,
        tasks: Vec::new(),
    }
}

fn heartbeat_request(id: u64, heartbeat: &Heartbeat) -> Event {
    Event::Http {
        id,
        method: "POST".into(),
        path: "/checkin".into(),
        body: serde_json::to_vec(heartbeat).unwrap(),
    }
}

/// Returns a follower whose peer leads, after it has relayed the heartbeat of a machine, and the id
/// by which the leader's response is paired with the heartbeat.
fn follower_after_relay(seed: u64, machine: &str) -> (TestNode, u64) {
    let mut node = TestNode::with_peers(&[Some(PROTOCOL_LEVEL)]);
    node.node = Node::new(example_settings(0, 2), seed, 0.0);
    node.put(keys::LEADER, json!({"node": "node-1", "run": 5}));
    node.advance(3);
    let event = heartbeat_request(HEARTBEAT_REQUEST, &heartbeat(machine, 1));
    let now = f64::from(node.step) * 0.05;
    node.handle(now, event);
    node.handle(now + 0.1, Event::Tick);
    let kind = FrameKind::RelayedHeartbeat.number();
    let relayed = node.sent_frames.iter().find(|frame| frame.kind == kind);
    let correlation_id = relayed.expect("the heartbeat is relayed").header.correlation_id.get();
    (node, correlation_id)
}

/// Guards against a worker that executes the commands for another worker, because the response to a
/// heartbeat that an earlier process of the node relayed has the id of a new relay.
#[test]
fn a_response_to_a_relay_of_an_earlier_process_reaches_no_worker() {
    let (_, earlier_id) = follower_after_relay(1, "n-1");
    let (mut restarted, _) = follower_after_relay(2, "n-2");
    let task = TaskId { job: "job-1".parse().unwrap(), index: 0 };
    let response =
        HeartbeatResponse { token: 1, commands: vec![Command::Start { task, attempt: 1 }] };
    let payload = serde_json::to_vec(&response).unwrap();
    let kind = FrameKind::RelayedResponse;
    let header = FrameHeader::new(kind, 200, earlier_id, 1, payload.len());
    let now = f64::from(restarted.step) * 0.05 + 0.2;
    restarted.handle(now, Event::Peer { header, kind, payload });
    let reply = restarted.responses.iter().find(|reply| reply.request_id == HEARTBEAT_REQUEST);
    assert!(reply.is_none(), "worker n-2 receives the commands for n-1");
}

/// Guards against a leader that redirects a worker which it has just begun to hear: the worker may
/// have little of its lease left after tries at controllers that it could not reach.
#[test]
fn a_leader_serves_a_worker_before_it_redirects_it() {
    let mut node = TestNode::with_peers(&[Some(PROTOCOL_LEVEL)]);
    node.advance(5);
    assert!(node.leader().is_some());
    let redirects_of_a_round = |node: &mut TestNode, sequence: u64| {
        node.responses.clear();
        let now = f64::from(node.step) * 0.05;
        for machine in 0..400 {
            let heartbeat = heartbeat(&format!("n-{machine}"), sequence);
            node.handle(now, heartbeat_request(HEARTBEAT_REQUEST + machine, &heartbeat));
        }
        node.responses.iter().filter(|response| response.status == 421).count()
    };
    assert_eq!(redirects_of_a_round(&mut node, 1), 0, "workers that were never served");
    node.advance(3);
    assert!(redirects_of_a_round(&mut node, 2) > 0, "more workers than the leader can serve");
}
