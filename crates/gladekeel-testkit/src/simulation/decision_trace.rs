//! A digest of everything that the nodes of a world send, to prove that a change of the code
//! is no change of behaviour: the same scenario with the same seed must give the same digest.
//!
//! What is hashed is what leaves a node: the time, the node, the receiver and the bytes.
//! Names of types and fields have no part in it, so renaming code leaves the digest alone.

use gladekeel_controller::{http_api::Reply, leader::WorkerRequest, node::Action};
use gladekeel_wire::http::HttpRequest;
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// The digest of all actions of one run of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceDigest(u128);

impl fmt::Display for TraceDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Hashes the actions of all nodes in the order in which they happen.
#[derive(Clone, Default)]
pub(super) struct DecisionTrace(Xxh3);

impl DecisionTrace {
    /// Adds an action that a node takes at a time.
    pub fn record(&mut self, now: f64, node: usize, action: &Action) {
        self.number(now.to_bits());
        self.number(node as u64);
        match action {
            Action::Reply { id, reply } => {
                self.tag(b"reply");
                self.number(*id);
                self.reply(reply);
            }
            Action::CallStore { call, request, timeout_s } => {
                self.tag(b"store");
                self.call(*call, *timeout_s, request.encode());
            }
            Action::CallCloud { call, request, timeout_s } => {
                self.tag(b"cloud");
                self.call(*call, *timeout_s, request.encode());
            }
            Action::CallWorker { call, request, timeout_s } => {
                self.tag(b"worker");
                self.call(*call, *timeout_s, encode_direct(request));
            }
            Action::SendToPeer { peer, frame } => {
                self.tag(b"mesh");
                self.number(*peer as u64);
                self.bytes(frame);
            }
        }
    }

    /// The digest of what was recorded so far.
    pub fn digest(&self) -> TraceDigest {
        TraceDigest(self.0.digest128())
    }

    fn reply(&mut self, reply: &Reply) {
        self.number(u64::from(reply.status));
        self.number(reply.retry_after.map_or(u64::MAX, u64::from));
        self.number(u64::from(reply.plain));
        self.bytes(&reply.body);
    }

    fn call(&mut self, id: u64, timeout_s: f64, request: HttpRequest) {
        let HttpRequest { method, target, body } = request;
        self.number(id);
        self.number(timeout_s.to_bits());
        self.tag(method.as_bytes());
        self.bytes(target.as_bytes());
        self.bytes(&body);
    }

    fn tag(&mut self, tag: &[u8]) {
        self.bytes(tag);
    }

    fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    /// Adds bytes behind their count, so that no two sequences of parts hash alike.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.0.update(bytes);
    }
}

/// What a direct request to a worker puts on the wire.
fn encode_direct(request: &WorkerRequest) -> HttpRequest {
    match &request.body {
        Some(commands) => HttpRequest::post(format!("{}/do", request.addr), commands),
        None => HttpRequest::get(format!("{}/inspect", request.addr)),
    }
}
