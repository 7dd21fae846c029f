//! The events that a node handles and the actions that it returns.

use super::outgoing_calls::CallId;
use crate::{
    cloud_api::{CloudOutcome, CloudRequest},
    http_api::Reply,
    leader::{WorkerOutcome, WorkerRequest},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::mesh::{FrameHeader, FrameKind};

/// Identifies an HTTP request until the node has replied to it.
pub type RequestId = u64;

/// An input of a [`Node`](super::Node).
#[derive(Debug)]
pub enum Event {
    /// An HTTP request was received.
    Http {
        /// Identifies the request in [`Action::Reply`]; chosen by the caller.
        id: RequestId,
        /// The HTTP method.
        method: String,
        /// The path without a query.
        path: String,
        /// The request body.
        body: Vec<u8>,
    },
    /// A call to the store has completed, failed or timed out.
    Store {
        /// The id from [`Action::CallStore`].
        call: CallId,
        /// The outcome of the call.
        outcome: StoreOutcome,
    },
    /// A call to the cloud has completed, failed or timed out.
    Cloud {
        /// The id from [`Action::CallCloud`].
        call: CallId,
        /// The outcome of the call.
        outcome: CloudOutcome,
    },
    /// A call to a worker has completed, failed or timed out.
    Worker {
        /// The id from [`Action::CallWorker`].
        call: CallId,
        /// The outcome of the call.
        outcome: WorkerOutcome,
    },
    /// A frame was received from another controller.
    Peer {
        /// The frame's header, which names the sender.
        header: FrameHeader,
        /// The frame's kind, decoded from the header.
        kind: FrameKind,
        /// The frame's payload.
        payload: Vec<u8>,
    },
    /// Time has passed. The caller must send this event several times a second.
    Tick,
}

/// An operation that the caller must carry out for the node.
#[derive(Debug)]
pub enum Action {
    /// Respond to an HTTP request.
    Reply {
        /// The id from [`Event::Http`].
        id: RequestId,
        /// The response to send.
        reply: Reply,
    },
    /// Call the store, and report the outcome with [`Event::Store`].
    CallStore {
        /// Identifies the call in [`Event::Store`].
        call: CallId,
        /// The request to send.
        request: StoreRequest,
        /// Seconds without a response after which the call times out and its outcome is unknown.
        timeout_s: f64,
    },
    /// Call the cloud, and report the outcome with [`Event::Cloud`].
    CallCloud {
        /// Identifies the call in [`Event::Cloud`].
        call: CallId,
        /// The request to send.
        request: CloudRequest,
        /// Seconds without a response after which the call times out and its outcome is unknown.
        timeout_s: f64,
    },
    /// Call a worker, and report the outcome with [`Event::Worker`].
    CallWorker {
        /// Identifies the call in [`Event::Worker`].
        call: CallId,
        /// The worker's address and the request to send.
        request: WorkerRequest,
        /// Seconds without a response after which the call times out and its outcome is unknown.
        timeout_s: f64,
    },
    /// Send a frame to another controller. The frame may be lost.
    SendToPeer {
        /// The peer's index in the settings.
        peer: usize,
        /// The frame, including its header.
        frame: Vec<u8>,
    },
}
