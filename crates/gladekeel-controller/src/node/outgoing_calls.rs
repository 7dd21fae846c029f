//! Calls to the store, the cloud and workers that have not been answered yet.
//!
//! Each call gets an id, which its answer brings back. A call whose id is no longer in its
//! table has been settled by other means, and its answer is dropped.

use super::{Action, RequestId, admin_requests::AdminChange, user_requests::UserWrite};
use crate::{cloud_api::CloudRequest, leader::WorkerRequest};
use gladekeel_store::StoreRequest;
use std::collections::BTreeMap;

/// Identifies a call of this node until its answer arrives.
pub type CallId = u64;

/// Timeout of reads of the store, and of calls that are simply repeated if they fail.
const STORE_READ_TIMEOUT_S: f64 = 1.5;
/// Timeout of transactions and of the takeover's read of the log. A transaction without an
/// answer is in doubt, which costs a user another request and a leader a new token.
const STORE_WRITE_TIMEOUT_S: f64 = 4.0;
/// Timeout of calls to the cloud.
const CLOUD_TIMEOUT_S: f64 = 5.0;
/// Timeout of commands to a worker.
const WORKER_COMMAND_TIMEOUT_S: f64 = 3.0;
/// Timeout of probes that ask whether a worker is alive.
const WORKER_PROBE_TIMEOUT_S: f64 = 1.5;
/// Calls to workers in flight at once, hung ones not counted. One scheduling cycle may place
/// thousands of tasks: commands sent all at once would delay users' requests.
const WORKER_CALL_WINDOW: usize = 32;
/// A call to a worker without an answer for this long counts as hung.
const WORKER_CALL_HUNG_AFTER_S: f64 = 0.3;

/// Why the store was called, and what the answer is needed for.
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
        /// What it changes.
        change: AdminChange,
    },
    /// Commit the leader's decisions.
    LeaderCommit {
        /// The fencing token under which it was sent.
        token: u64,
    },
    /// Read the assignment log during a takeover.
    ReadAssignmentLog {
        /// The fencing token of the takeover.
        token: u64,
    },
    /// Look up whether a commit in doubt was made.
    ConfirmCommit {
        /// The fencing token of the commit.
        token: u64,
    },
    /// Acquire, renew or release leadership.
    Election,
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
            | StoreCallPurpose::Election => STORE_READ_TIMEOUT_S,
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

/// A transaction with users' writes in flight.
pub(super) struct WritesInFlight<'a> {
    pub call: CallId,
    pub sent_at: f64,
    /// The writes whose users have not been answered.
    pub writes: &'a mut Vec<UserWrite>,
}

/// A call to the cloud in flight.
#[derive(Debug)]
pub(super) struct CloudCall {
    /// The leadership that sent it: see
    /// [`Leadership::count`](super::leadership::Leadership::count).
    pub leadership: u64,
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
    /// Limit of calls to workers in flight, hung ones included.
    max_worker_calls: usize,
    store_requests: u64,
    store_writes: u64,
}

impl OutgoingCalls {
    /// No calls in flight.
    pub fn new(max_worker_calls: usize) -> OutgoingCalls {
        OutgoingCalls {
            next_id: 0,
            store: BTreeMap::new(),
            cloud: BTreeMap::new(),
            workers: BTreeMap::new(),
            max_worker_calls,
            store_requests: 0,
            store_writes: 0,
        }
    }

    /// An id that no other call has. Relayed heartbeats are numbered by the same ids.
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

    /// Removes a call to the store; `None` if it was settled before.
    pub fn finish_store_call(&mut self, call: CallId) -> Option<StoreCall> {
        self.store.remove(&call)
    }

    /// The leader's commit in flight under this token, if there is one.
    pub fn leader_commit(&self, token: u64) -> Option<(CallId, &StoreCall)> {
        let is_commit = |call: &StoreCall| matches!(call.purpose, StoreCallPurpose::LeaderCommit { token: sent } if sent == token);
        self.store.iter().find(|(_, call)| is_commit(call)).map(|(id, call)| (*id, call))
    }

    /// The transactions with users' writes in flight.
    pub fn user_writes_mut(&mut self) -> impl Iterator<Item = WritesInFlight<'_>> {
        self.store.iter_mut().filter_map(|(id, call)| match &mut call.purpose {
            StoreCallPurpose::UserWrites(writes) => {
                Some(WritesInFlight { call: *id, sent_at: call.sent_at, writes })
            }
            _ => None,
        })
    }

    /// Removes a transaction of users' writes if all of its writes have been answered.
    /// Returns whether it was removed.
    pub fn finish_if_no_writes_left(&mut self, call: CallId) -> bool {
        let is_empty = self.store.get(&call).is_some_and(
            |call| matches!(&call.purpose, StoreCallPurpose::UserWrites(writes) if writes.is_empty()),
        );
        is_empty && self.store.remove(&call).is_some()
    }

    /// Registers a call to the cloud and returns the action that sends it.
    pub fn call_cloud(&mut self, leadership: u64, request: CloudRequest) -> Action {
        let call = self.allocate_id();
        self.cloud.insert(call, CloudCall { leadership, request: request.clone() });
        Action::CallCloud { call, request, timeout_s: CLOUD_TIMEOUT_S }
    }

    /// Removes a call to the cloud.
    pub fn finish_cloud_call(&mut self, call: CallId) -> Option<CloudCall> {
        self.cloud.remove(&call)
    }

    /// How many more calls to workers may be sent now.
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

    /// Removes a call to a worker.
    pub fn finish_worker_call(&mut self, call: CallId) -> Option<WorkerRequest> {
        self.workers.remove(&call).map(|call| call.request)
    }

    /// Requests to the store since the process started.
    pub fn store_requests(&self) -> u64 {
        self.store_requests
    }

    /// Puts and deletes requested of the store since the process started.
    pub fn store_writes(&self) -> u64 {
        self.store_writes
    }
}
