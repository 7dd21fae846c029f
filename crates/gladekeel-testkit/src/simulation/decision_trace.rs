//! A digest of everything that the nodes of a simulation send. The digest proves that a code change
//! does not change behaviour: the same scenario with the same seed must give the same digest.
//!
//! The digest covers what leaves a node: the time, the node, the receiver and the bytes. Names of
//! types and fields are not hashed, so a rename in the code does not change the digest.

use gladekeel_controller::{http_api::Reply, leader::WorkerRequest, node::Action};
use gladekeel_wire::http::HttpRequest;
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// The digest of all actions of the nodes in one run of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceDigest(u128);

impl fmt::Display for TraceDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Hashes the actions of all nodes in the order in which the nodes take them.
#[derive(Clone, Default)]
pub(super) struct DecisionTrace(Xxh3);

impl DecisionTrace {
    /// Adds an action that a node takes at the time `now`.
    pub fn record(&mut self, now: f64, node: usize, action: &Action) {
        self.hash_number(now.to_bits());
        self.hash_number(node as u64);
        match action {
            Action::Reply { id, reply } => {
                self.hash_tag(b"reply");
                self.hash_number(*id);
                self.hash_reply(reply);
            }
            Action::CallStore { call, request, timeout_s } => {
                self.hash_tag(b"store");
                self.hash_call(*call, *timeout_s, request.encode());
            }
            Action::CallCloud { call, request, timeout_s } => {
                self.hash_tag(b"cloud");
                self.hash_call(*call, *timeout_s, request.encode());
            }
            Action::CallWorker { call, request, timeout_s } => {
                self.hash_tag(b"worker");
                self.hash_call(*call, *timeout_s, encode_direct(request));
            }
            Action::SendToPeer { peer, frame } => {
                self.hash_tag(b"mesh");
                self.hash_number(*peer as u64);
                self.hash_bytes(frame);
            }
        }
    }

    /// Returns the digest of the actions recorded so far.
    pub fn digest(&self) -> TraceDigest {
        TraceDigest(self.0.digest128())
    }

    fn hash_reply(&mut self, reply: &Reply) {
        self.hash_number(u64::from(reply.status));
        self.hash_number(reply.retry_after.map_or(u64::MAX, u64::from));
        self.hash_number(u64::from(reply.plain));
        self.hash_bytes(&reply.body);
    }

    fn hash_call(&mut self, id: u64, timeout_s: f64, request: HttpRequest) {
        let HttpRequest { method, target, body } = request;
        self.hash_number(id);
        self.hash_number(timeout_s.to_bits());
        self.hash_tag(method.as_bytes());
        self.hash_bytes(target.as_bytes());
        self.hash_bytes(&body);
    }

    fn hash_tag(&mut self, tag: &[u8]) {
        self.hash_bytes(tag);
    }

    fn hash_number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    /// Hashes the length of the bytes before the bytes, so that different sequences of parts never
    /// become the same input.
    fn hash_bytes(&mut self, bytes: &[u8]) {
        self.hash_number(bytes.len() as u64);
        self.0.update(bytes);
    }
}

/// Returns the HTTP request by which a controller sends direct commands to a worker or queries the
/// worker's state, outside heartbeat responses.
fn encode_direct(request: &WorkerRequest) -> HttpRequest {
    match &request.body {
        Some(commands) => HttpRequest::post(format!("{}/do", request.addr), commands),
        None => HttpRequest::get(format!("{}/inspect", request.addr)),
    }
}
