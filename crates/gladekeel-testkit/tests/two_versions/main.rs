//! A node by itself, whose peers are of this version or of an earlier one. Version 37c5e95,
//! called production here, tells level 0 in its heartbeats and ends a connection over a frame
//! of a kind above 5. Version fe9a16c tells level 1 and knows kind 6.

mod peers;
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

/// The last kind of frame that production knows.
const MAX_KIND_OF_PRODUCTION: u16 = 5;

/// A heartbeat's payload as production lays it out: milliseconds since the last contact to
/// the state service and the token, little-endian.
fn heartbeat(contact_ms: u32, leads: u64) -> Vec<u8> {
    [contact_ms.to_le_bytes().as_slice(), leads.to_le_bytes().as_slice()].concat()
}

/// A frame that the node has sent.
struct SentFrame {
    /// Index of the receiver.
    peer: usize,
    header: FrameHeader,
    kind: u16,
    payload: Vec<u8>,
}

/// A response of the node.
struct Response {
    request: u64,
    status: u16,
    body: Vec<u8>,
}

/// A node among `levels.len()` peers, with a fake store, and what it has sent.
struct TestNode {
    node: Node,
    store: FakeStore,
    /// What the peers' heartbeats tell from now on; none for a peer that is silent.
    levels: Vec<Option<u16>>,
    /// The number of the peers' processes in their heartbeats; 0 as earlier versions have it.
    processes: u64,
    step: u32,
    requests: u64,
    frames: Vec<SentFrame>,
    responses: Vec<Response>,
    /// Commands that were sent to workers directly.
    direct: Vec<Command>,
}

impl TestNode {
    fn with_peers(levels: &[Option<u16>]) -> TestNode {
        let limits = StoreLimits { rps: 1000.0, write_rps: 1000.0, txn_ops: 8, value: 4096 };
        TestNode {
            node: Node::new(example_settings(0, levels.len() + 1), 7, 0.0),
            store: FakeStore::new(limits),
            levels: levels.to_vec(),
            processes: 0,
            step: 0,
            requests: 0,
            frames: Vec::new(),
            responses: Vec::new(),
            direct: Vec::new(),
        }
    }

    /// Stores a value as another node would.
    fn put(&mut self, key: &str, value: Value) -> u64 {
        let put = Write::Put { key: key.into(), value, lease: None };
        let txn = Transaction { preconditions: Vec::new(), writes: vec![put] };
        match self.store.call(0.0, 1, &StoreRequest::Commit(txn)) {
            StoreOutcome::Committed(version) => version,
            other => panic!("not stored: {other:?}"),
        }
    }

    /// Carries out an event and all that follows from it.
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
                    let (header, _) = FrameHeader::read(head.try_into().unwrap()).expect("a head");
                    let (kind, payload) = (header.kind.get(), payload.to_vec());
                    self.frames.push(SentFrame { peer, header, kind, payload });
                    continue;
                }
                Action::Reply { id, reply } => {
                    let (status, body) = (reply.status, reply.body);
                    self.responses.push(Response { request: id, status, body });
                    continue;
                }
                Action::CallWorker { request, .. } => {
                    self.direct.extend(request.body.into_iter().flat_map(|body| body.commands));
                    continue;
                }
                _ => continue,
            };
            actions.extend(self.node.handle(now, event));
        }
    }

    /// Lets time pass; the peers send a heartbeat once a second.
    fn run(&mut self, seconds: u32) {
        for _ in 0..seconds * 20 {
            let now = f64::from(self.step) * 0.05;
            for peer in 0..self.levels.len() {
                if let (Some(level), 0) = (self.levels[peer], self.step % 20) {
                    let payload = heartbeat(250, 0);
                    let (from, len) = (peer as u32 + 1, payload.len());
                    let header = FrameHeader::new(
                        FrameKind::PeerHeartbeat,
                        level,
                        self.processes,
                        from,
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

    /// A request and the status and body of the answer to it.
    fn request(&mut self, method: &str, path: &str, body: Vec<u8>) -> (u16, Vec<u8>) {
        self.requests += 1;
        let id = self.requests;
        let event = Event::Http { id, method: method.into(), path: path.into(), body };
        self.handle(f64::from(self.step) * 0.05, event);
        self.run(2);
        let mut responses = self.responses.iter();
        let response = responses.find(|r| r.request == id).expect("an answer in two seconds");
        (response.status, response.body.clone())
    }

    /// A user's request and the answer to it.
    fn ask(&mut self, path: &str, body: Vec<u8>) -> (u16, JobStatus) {
        let (status, body) = self.request("POST", path, body);
        (status, serde_json::from_slice(&body).expect("the state of a job"))
    }

    /// The node as a leader, if it leads.
    fn leader(&self) -> Option<&Leader> {
        self.node.leader()
    }

    /// Submits and cancels a job, and tells who was sent which frames of kinds that
    /// production does not know.
    fn cancel(&mut self, name: &str) -> Vec<(usize, u16, Vec<JobId>)> {
        let spec = serde_json::to_vec(&example_job(name)).unwrap();
        assert_eq!(self.ask("/api/jobs", spec).0, 201, "{name} is accepted");
        let before = self.frames.len();
        let (status, job) = self.ask(&format!("/api/jobs/{name}/cancel"), Vec::new());
        assert_eq!((status, job.state), (200, JobState::Cancelled), "{name} is committed");
        let unknown =
            self.frames[before..].iter().filter(|frame| frame.kind > MAX_KIND_OF_PRODUCTION);
        unknown
            .map(|sent| (sent.peer, sent.kind, decode_job_ids(&sent.payload).expect("ids")))
            .collect()
    }
}
