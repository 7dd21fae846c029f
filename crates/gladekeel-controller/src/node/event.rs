//! The events that a node handles and the actions that it asks for.

use super::outgoing_calls::CallId;
use crate::{
    cloud_api::{CloudOutcome, CloudRequest},
    http_api::Reply,
    leader::{WorkerOutcome, WorkerRequest},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::mesh::{FrameHeader, FrameKind};

/// Identifies an HTTP request until it has been answered.
pub type RequestId = u64;

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// An HTTP request arrived.
    Http {
        /// Chosen by the caller; the reply brings it back.
        id: RequestId,
        /// The HTTP method.
        method: String,
        /// The path without a query.
        path: String,
        /// The request body.
        body: Vec<u8>,
    },
    /// A call to the store has ended.
    Store {
        /// The id from [`Action::CallStore`].
        call: CallId,
        /// How it ended.
        outcome: StoreOutcome,
    },
    /// A call to the cloud has ended.
    Cloud {
        /// The id from [`Action::CallCloud`].
        call: CallId,
        /// How it ended.
        outcome: CloudOutcome,
    },
    /// A call to a worker has ended.
    Worker {
        /// The id from [`Action::CallWorker`].
        call: CallId,
        /// How it ended.
        outcome: WorkerOutcome,
    },
    /// A frame arrived from another controller.
    Peer {
        /// The frame's header, which names the sender.
        header: FrameHeader,
        /// The kind that the header names.
        kind: FrameKind,
        /// The frame's payload.
        payload: Vec<u8>,
    },
    /// Time has passed. Due several times a second.
    Tick,
}

/// Something that the caller must do for the node.
#[derive(Debug)]
pub enum Action {
    /// Answer an HTTP request.
    Reply {
        /// The id from [`Event::Http`].
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Call the store, and report the outcome with [`Event::Store`].
    CallStore {
        /// Identifies the call in the event.
        call: CallId,
        /// What to send.
        request: StoreRequest,
        /// After this many seconds without an answer the outcome is unknown.
        timeout_s: f64,
    },
    /// Call the cloud, and report the outcome with [`Event::Cloud`].
    CallCloud {
        /// Identifies the call in the event.
        call: CallId,
        /// What to send.
        request: CloudRequest,
        /// After this many seconds without an answer the outcome is unknown.
        timeout_s: f64,
    },
    /// Call a worker, and report the outcome with [`Event::Worker`].
    CallWorker {
        /// Identifies the call in the event.
        call: CallId,
        /// The worker's address and what to send.
        request: WorkerRequest,
        /// After this many seconds without an answer the outcome is unknown.
        timeout_s: f64,
    },
    /// Send a frame to another controller. It may be lost.
    SendToPeer {
        /// The peer's index in the settings.
        peer: usize,
        /// The frame with its header.
        frame: Vec<u8>,
    },
}
