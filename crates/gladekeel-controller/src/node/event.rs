//! What goes into a node and what comes out of it.

use crate::{
    cloud_api::{CloudOutcome, CloudRequest},
    http_api::Reply,
    leader::{WorkerOutcome, WorkerRequest},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::mesh::{FrameHeader, FrameKind};

/// Names a request of a user or worker until it is answered.
pub type RequestId = u64;
/// Names a call of this node until its answer is there.
pub type CallId = u64;

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// A request arrived.
    Http {
        /// To be named in the reply.
        id: RequestId,
        /// Its method.
        method: String,
        /// Its path.
        path: String,
        /// Its body.
        body: Vec<u8>,
    },
    /// A call to the state service ended.
    Store {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// A call to the cloud ended.
    Cloud {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: CloudOutcome,
    },
    /// A direct command to a worker ended.
    Worker {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: WorkerOutcome,
    },
    /// A frame from another controller.
    Peer {
        /// Its head.
        header: FrameHeader,
        /// What it is for.
        kind: FrameKind,
        /// Its payload.
        payload: Vec<u8>,
    },
    /// Time has passed.
    Tick,
}

/// Something to be done.
#[derive(Debug)]
pub enum Action {
    /// Answer a request.
    Reply {
        /// The request.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Call the state service.
    CallStore {
        /// To be named in the event.
        call: CallId,
        /// The call.
        request: StoreRequest,
        /// How long to wait.
        timeout_s: f64,
    },
    /// Call the cloud.
    CallCloud {
        /// To be named in the event.
        call: CallId,
        /// The call.
        request: CloudRequest,
        /// How long to wait.
        timeout_s: f64,
    },
    /// Send commands to a worker.
    CallWorker {
        /// To be named in the event.
        call: CallId,
        /// Where to and what.
        request: WorkerRequest,
        /// How long to wait.
        timeout_s: f64,
    },
    /// Send a frame to another controller: its place among the settings' peers.
    SendToPeer {
        /// The peer.
        peer: usize,
        /// The frame.
        frame: Vec<u8>,
    },
}
