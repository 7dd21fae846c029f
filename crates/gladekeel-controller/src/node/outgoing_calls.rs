//! Calls to the store, the cloud and workers that are in flight.
//!
//! The event with the outcome of a call identifies the call by its id. If the tables of calls in
//! flight no longer contain the id, the call has already been resolved, for example by a read of
//! the store, and the outcome is dropped.

use super::{Action, RequestId, admin_requests::AdminChange, user_requests::UserWrite};
use crate::{cloud_api::CloudRequest, leader::WorkerRequest};
use gladekeel_store::StoreRequest;
use std::collections::BTreeMap;

/// Identifies a call of this node until its outcome is known.
pub type CallId = u64;

/// Timeout of reads of the store, operators' changes, election requests and marks of the revision
/// clock, which can simply be retried if they time out.
const STORE_READ_TIMEOUT_S: f64 = 1.5;
/// Timeout of users' and the leader's transactions, and of the takeover's reads of the log. It is
/// longer than the timeout of other calls because a transaction that has timed out is in doubt,
/// which costs a user another request and a leader a new token.
const STORE_WRITE_TIMEOUT_S: f64 = 4.0;
/// Timeout of calls to the cloud.
const CLOUD_TIMEOUT_S: f64 = 5.0;
/// Timeout of commands to a worker.
const WORKER_COMMAND_TIMEOUT_S: f64 = 3.0;
/// Timeout of probes that check whether a worker is alive.
const WORKER_PROBE_TIMEOUT_S: f64 = 1.5;
/// Maximum number of calls to workers in flight, not counting hung calls. One scheduling cycle may
/// place thousands of tasks, and sending all their commands at once would delay users' requests.
const WORKER_CALL_WINDOW: usize = 32;
/// Time without a response after which a call to a worker counts as hung.
const WORKER_CALL_HUNG_AFTER_S: f64 = 0.3;

/// Number of low bits of a call's id that count the calls of one process. The bits above them are
/// drawn at random when the process starts.
const CALL_COUNTER_BITS: u32 = 32;

/// The purpose of a call to the store, with the data needed to handle the outcome.
#[derive(Debug)]
pub(super) enum StoreCallPurpose {
    /// Bring the replica up to date.
    Read,
    /// Write users' changes.
    UserWrites(Vec<UserWrite>),
    /// Write an operator's change.
    AdminWrite {
        /// The operator's request.
        request: RequestId,
        /// The operator's change.
        change: AdminChange,
    },
    /// Commit the leader's decisions.
    LeaderCommit {
        /// The fencing token under which the commit was sent.
        token: u64,
    },
    /// Read the assignment log during a takeover.
    ReadAssignmentLog {
        /// The fencing token of the takeover.
        token: u64,
    },
    /// Look up whether a commit in doubt was applied.
    ConfirmCommit {
        /// The fencing token of the commit.
        token: u64,
    },
    /// Acquire, renew or release leadership.
    Election,
    /// Write a mark of the revision clock.
    RevisionMark,
}

impl StoreCallPurpose {
    fn timeout_s(&self) -> f64 {
        match self {
            StoreCallPurpose::UserWrites(_)
            | StoreCallPurpose::LeaderCommit { .. }
            | StoreCallPurpose::ReadAssignmentLog { .. } => STORE_WRITE_TIMEOUT_S,
            StoreCallPurpose::Read
            | StoreCallPurpose::AdminWrite { .. }
            | StoreCallPurpose::ConfirmCommit { .. }
            | StoreCallPurpose::Election
            | StoreCallPurpose::RevisionMark => STORE_READ_TIMEOUT_S,
        }
    }
}

/// A call to the store in flight.
#[derive(Debug)]
pub(super) struct StoreCall {
    pub purpose: StoreCallPurpose,
    pub request: StoreRequest,
    pub sent_at: f64,
}

/// A transaction in flight with users' writes.
pub(super) struct WritesInFlight<'a> {
    pub call: CallId,
    pub sent_at: f64,
    /// The writes whose users have not received a reply yet.
    pub writes: &'a mut Vec<UserWrite>,
}

/// A call to the cloud in flight.
#[derive(Debug)]
pub(super) struct CloudCall {
    /// The number of times that this process had acquired leadership when the call was sent: see
    /// [`Leadership::acquisition_count`](super::leadership::Leadership::acquisition_count).
    pub acquisition: u64,
    pub request: CloudRequest,
}

/// A call to a worker in flight.
#[derive(Debug)]
struct WorkerCall {
    request: WorkerRequest,
    sent_at: f64,
}

/// The tables of calls in flight.
#[derive(Debug)]
pub(super) struct OutgoingCalls {
    next_id: CallId,
    store: BTreeMap<CallId, StoreCall>,
    cloud: BTreeMap<CallId, CloudCall>,
    workers: BTreeMap<CallId, WorkerCall>,
    /// Maximum number of calls to workers in flight, including hung calls.
    max_worker_calls: usize,
    store_requests: u64,
    store_writes: u64,
}

impl OutgoingCalls {
    /// Creates empty tables for the process that drew `incarnation` at its start.
    /// `max_worker_calls` limits the calls to workers in flight.
    ///
    /// The ids of two processes of a node differ: a peer may respond to a heartbeat that an earlier
    /// process has relayed, and the response must not reach another worker.
    pub fn new(max_worker_calls: usize, incarnation: u64) -> OutgoingCalls {
        OutgoingCalls {
            next_id: incarnation << CALL_COUNTER_BITS,
            store: BTreeMap::new(),
            cloud: BTreeMap::new(),
            workers: BTreeMap::new(),
            max_worker_calls,
            store_requests: 0,
            store_writes: 0,
        }
    }

    /// Returns an id that no other call has. Relayed heartbeats take their ids from the same
    /// sequence.
    pub fn allocate_id(&mut self) -> CallId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Registers a call to the store and returns the action that sends it.
    pub fn call_store(
        &mut self,
        now: f64,
        purpose: StoreCallPurpose,
        request: StoreRequest,
    ) -> Action {
        let call = self.allocate_id();
        self.store_requests += 1;
        self.store_writes += request.write_count() as u64;
        let timeout_s = purpose.timeout_s();
        self.store.insert(call, StoreCall { purpose, request: request.clone(), sent_at: now });
        Action::CallStore { call, request, timeout_s }
    }

    /// Removes and returns a call to the store; `None` if the call has already been resolved.
    pub fn finish_store_call(&mut self, call: CallId) -> Option<StoreCall> {
        self.store.remove(&call)
    }

    /// The leader's commit in flight under this token, if there is one.
    pub fn leader_commit(&self, token: u64) -> Option<(CallId, &StoreCall)> {
        let is_commit = |call: &StoreCall| matches!(call.purpose, StoreCallPurpose::LeaderCommit { token: sent } if sent == token);
        self.store.iter().find(|(_, call)| is_commit(call)).map(|(id, call)| (*id, call))
    }

    /// The transactions in flight with users' writes.
    pub fn user_writes_mut(&mut self) -> impl Iterator<Item = WritesInFlight<'_>> {
        self.store.iter_mut().filter_map(|(id, call)| match &mut call.purpose {
            StoreCallPurpose::UserWrites(writes) => {
                Some(WritesInFlight { call: *id, sent_at: call.sent_at, writes })
            }
            _ => None,
        })
    }

    /// Removes a transaction with users' writes if the node has replied to the users of all its
    /// writes. Returns whether the transaction was removed.
    pub fn finish_if_no_writes_left(&mut self, call: CallId) -> bool {
        let is_empty = self.store.get(&call).is_some_and(
            |call| matches!(&call.purpose, StoreCallPurpose::UserWrites(writes) if writes.is_empty()),
        );
        is_empty && self.store.remove(&call).is_some()
    }

    /// Registers a call to the cloud and returns the action that sends it.
    pub fn call_cloud(&mut self, acquisition: u64, request: CloudRequest) -> Action {
        let call = self.allocate_id();
        self.cloud.insert(call, CloudCall { acquisition, request: request.clone() });
        Action::CallCloud { call, request, timeout_s: CLOUD_TIMEOUT_S }
    }

    /// Removes and returns a call to the cloud.
    pub fn finish_cloud_call(&mut self, call: CallId) -> Option<CloudCall> {
        self.cloud.remove(&call)
    }

    /// The number of further calls to workers that may be sent now.
    pub fn worker_call_budget(&self, now: f64) -> usize {
        let is_recent = |call: &&WorkerCall| now - call.sent_at < WORKER_CALL_HUNG_AFTER_S;
        let recent = self.workers.values().rev().take_while(is_recent).count();
        let in_window = WORKER_CALL_WINDOW.saturating_sub(recent);
        in_window.min(self.max_worker_calls.saturating_sub(self.workers.len()))
    }

    /// Registers a call to a worker and returns the action that sends it.
    pub fn call_worker(&mut self, now: f64, request: WorkerRequest) -> Action {
        let call = self.allocate_id();
        self.workers.insert(call, WorkerCall { request: request.clone(), sent_at: now });
        let is_command = request.body.is_some();
        let timeout_s = if is_command { WORKER_COMMAND_TIMEOUT_S } else { WORKER_PROBE_TIMEOUT_S };
        Action::CallWorker { call, request, timeout_s }
    }

    /// Removes a call to a worker and returns its request.
    pub fn finish_worker_call(&mut self, call: CallId) -> Option<WorkerRequest> {
        self.workers.remove(&call).map(|call| call.request)
    }

    /// Number of requests to the store since the process started.
    pub fn store_requests(&self) -> u64 {
        self.store_requests
    }

    /// Number of puts and deletes sent to the store since the process started.
    pub fn store_writes(&self) -> u64 {
        self.store_writes
    }
}
