//! Compatibility of a node with peers and stored values of other versions. The node runs alone; the
//! test sends it the heartbeats of its peers. Version 37c5e95, called production here, sends
//! protocol level 0 in its heartbeats and closes the connection if a frame has a kind above 5.
//! Version fe9a16c sends level 1 and knows kind 6.

mod peers;
mod relays;
mod stored_values;
mod takeover;

use gladekeel_controller::{
    cloud_api::{CloudOutcome, CloudRequest},
    leader::Leader,
    node::{Action, Event, Node},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_testkit::{
    scenario::{example_job, example_settings, example_type},
    stand_ins::store::{FakeStore, StoreLimits},
};
use gladekeel_wire::{
    JobId,
    cloud::MachineTypes,
    job::{JobState, JobStatus},
    mesh::{FrameHeader, FrameKind, decode_job_ids},
    store::{Transaction, Write},
    worker::Command,
};
use serde_json::Value;
use std::collections::VecDeque;

/// Highest number of a frame kind that version 37c5e95, called production here, knows.
const MAX_KIND_OF_PRODUCTION: u16 = 5;

/// Returns the payload of a peer heartbeat in the layout of production: milliseconds since the last
/// contact with the store, then the leader's fencing token, both little-endian.
fn heartbeat_payload(store_contact_age_ms: u32, leader_token: u64) -> Vec<u8> {
    let age = store_contact_age_ms.to_le_bytes();
    [age.as_slice(), leader_token.to_le_bytes().as_slice()].concat()
}

/// A frame that the node has sent.
struct SentFrame {
    /// Index of the peer to which the frame was sent.
    peer: usize,
    header: FrameHeader,
    kind: u16,
    payload: Vec<u8>,
}

/// A response of the node to an HTTP request.
struct Response {
    request_id: u64,
    status: u16,
    body: Vec<u8>,
}

/// A node with `peer_levels.len()` peers and a fake store, and what the node has sent.
struct TestNode {
    node: Node,
    store: FakeStore,
    /// The protocol level that each peer sends in its heartbeats; `None` for a peer that sends no
    /// heartbeats.
    peer_levels: Vec<Option<u16>>,
    /// The incarnation that the peers send in their heartbeats; earlier versions send 0.
    peer_incarnation: u64,
    /// Number of steps of 50 ms since the start of the test.
    step: u32,
    last_request_id: u64,
    sent_frames: Vec<SentFrame>,
    responses: Vec<Response>,
    /// Commands that the node has sent in requests to workers, not in responses to heartbeats.
    direct_commands: Vec<Command>,
}

impl TestNode {
    fn with_peers(levels: &[Option<u16>]) -> TestNode {
        let limits = StoreLimits { rps: 1000.0, write_rps: 1000.0, txn_ops: 8, value: 4096 };
        TestNode {
            node: Node::new(example_settings(0, levels.len() + 1), 7, 0.0),
            store: FakeStore::new(limits),
            peer_levels: levels.to_vec(),
            peer_incarnation: 0,
            step: 0,
            last_request_id: 0,
            sent_frames: Vec::new(),
            responses: Vec::new(),
            direct_commands: Vec::new(),
        }
    }

    /// Stores a value as another node would, and returns the value's version.
    fn put(&mut self, key: &str, value: Value) -> u64 {
        let put = Write::Put { key: key.into(), value, lease: None };
        let txn = Transaction { preconditions: Vec::new(), writes: vec![put] };
        match self.store.call(0.0, 1, &StoreRequest::Commit(txn)) {
            StoreOutcome::Committed(version) => version,
            other => panic!("{key} not stored: {other:?}"),
        }
    }

    /// Passes an event to the node and carries out the resulting actions, including those that
    /// result from the responses. The store and the cloud's list of machine types respond; other
    /// calls to the cloud and calls to workers receive no response.
    fn handle(&mut self, now: f64, event: Event) {
        let mut actions = VecDeque::from(self.node.handle(now, event));
        while let Some(action) = actions.pop_front() {
            let event = match action {
                Action::CallStore { call, request, .. } => {
                    Event::Store { call, outcome: self.store.call(now, 0, &request) }
                }
                Action::CallCloud { call, request: CloudRequest::ListMachineTypes, .. } => {
                    let types = vec![example_type(vec!["a".into()])];
                    Event::Cloud { call, outcome: CloudOutcome::Types(MachineTypes { types }) }
                }
                Action::SendToPeer { peer, frame } => {
                    let (head, payload) = frame.split_at(FrameHeader::SIZE);
                    let (header, _) = FrameHeader::read(head.try_into().unwrap())
                        .expect("nodes send valid frames");
                    let (kind, payload) = (header.kind.get(), payload.to_vec());
                    self.sent_frames.push(SentFrame { peer, header, kind, payload });
                    continue;
                }
                Action::Reply { id, reply } => {
                    let (status, body) = (reply.status, reply.body);
                    self.responses.push(Response { request_id: id, status, body });
                    continue;
                }
                Action::CallWorker { request, .. } => {
                    self.direct_commands
                        .extend(request.body.into_iter().flat_map(|body| body.commands));
                    continue;
                }
                _ => continue,
            };
            actions.extend(self.node.handle(now, event));
        }
    }

    /// Advances the time by `seconds`. Each peer with a protocol level sends a heartbeat once a
    /// second.
    fn advance(&mut self, seconds: u32) {
        for _ in 0..seconds * 20 {
            let now = f64::from(self.step) * 0.05;
            for peer in 0..self.peer_levels.len() {
                if let (Some(level), 0) = (self.peer_levels[peer], self.step % 20) {
                    let payload = heartbeat_payload(250, 0);
                    let (sender, len) = (peer as u32 + 1, payload.len());
                    let header = FrameHeader::new(
                        FrameKind::PeerHeartbeat,
                        level,
                        self.peer_incarnation,
                        sender,
                        len,
                    );
                    self.handle(
                        now,
                        Event::Peer { header, kind: FrameKind::PeerHeartbeat, payload },
                    );
                }
            }
            self.handle(now, Event::Tick);
            self.step += 1;
        }
    }

    /// Sends an HTTP request to the node and waits two seconds. Returns the status and the body of
    /// the response.
    fn request(&mut self, method: &str, path: &str, body: Vec<u8>) -> (u16, Vec<u8>) {
        self.last_request_id += 1;
        let id = self.last_request_id;
        let event = Event::Http { id, method: method.into(), path: path.into(), body };
        self.handle(f64::from(self.step) * 0.05, event);
        self.advance(2);
        let mut responses = self.responses.iter();
        let response =
            responses.find(|r| r.request_id == id).expect("a response within two seconds");
        (response.status, response.body.clone())
    }

    /// Sends a user's POST request about a job. Returns the HTTP status and the status of the job.
    fn post_job_request(&mut self, path: &str, body: Vec<u8>) -> (u16, JobStatus) {
        let (status, body) = self.request("POST", path, body);
        (status, serde_json::from_slice(&body).expect("the body is the status of a job"))
    }

    /// The leader's state, while the node leads.
    fn leader(&self) -> Option<&Leader> {
        self.node.leader()
    }

    /// Submits and cancels a job. Returns the peer, the kind and the job ids of each frame that the
    /// node sent for the cancellation and whose kind production does not know.
    fn submit_and_cancel(&mut self, name: &str) -> Vec<(usize, u16, Vec<JobId>)> {
        let spec = serde_json::to_vec(&example_job(name)).unwrap();
        assert_eq!(self.post_job_request("/api/jobs", spec).0, 201, "submission of {name}");
        let frames_before = self.sent_frames.len();
        let (status, job) = self.post_job_request(&format!("/api/jobs/{name}/cancel"), Vec::new());
        assert_eq!((status, job.state), (200, JobState::Cancelled), "cancellation of {name}");
        let unknown = self.sent_frames[frames_before..]
            .iter()
            .filter(|frame| frame.kind > MAX_KIND_OF_PRODUCTION);
        unknown
            .map(|sent| {
                (
                    sent.peer,
                    sent.kind,
                    decode_job_ids(&sent.payload).expect("the payload is a list of job ids"),
                )
            })
            .collect()
    }
}
