//! Takeover: a node that the leader key names reads the assignment log before it schedules.
//!
//! The log is read under the new token, so no other node can change it in the meantime. An attempt
//! that the log does not record as released is treated as running on its machine.

use super::Role;
use crate::{
    assignment_log::UnreadableSegment,
    cloud_api::{CloudOutcome, CloudRequest},
    keys,
    leader::{ClusterState, DecodedLog, Leader, LeaderTerm, LogRow},
    node::{Node, outgoing_calls::StoreCallPurpose},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::store::KeyValue;
use rand::Rng;

/// Pause after reading a page of the log has failed.
const PAGE_RETRY_S: f64 = 0.2;
/// Pause after the log was read completely but the leader's state could not be built from it.
const UNREADABLE_RETRY_S: f64 = 5.0;

/// Why a node cannot lead although the leader key names it. Scheduling without the unreadable
/// data would start tasks twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum TakeoverError {
    #[error("the key or value of a row of the assignment log is malformed")]
    MalformedRow,
    #[error("a segment of the assignment log cannot be decoded")]
    UnreadableSegment,
    #[error("the store holds assignments in a layout that this version cannot read")]
    LegacyAssignments,
    /// The assignment log's attempts of a job that cannot be read could not be attributed to any
    /// job.
    #[error("values of jobs in the store cannot be read")]
    UnreadableJobs,
}

impl From<UnreadableSegment> for TakeoverError {
    fn from(_: UnreadableSegment) -> TakeoverError {
        TakeoverError::UnreadableSegment
    }
}

/// What this node knew as the leader under a lower token, and keeps during a takeover under a
/// higher one.
#[derive(Debug)]
pub(super) struct PreviousTerm {
    cluster: ClusterState,
    /// Outcomes of calls to the cloud that were received during the takeover. `cluster` counts
    /// these calls as in flight until the outcomes are applied; no other event completes the calls.
    cloud_outcomes: Vec<DeferredCloudOutcome>,
}

/// The outcome of a call to the cloud that was received during a takeover, while there was no
/// leader to apply it.
#[derive(Debug)]
struct DeferredCloudOutcome {
    request: CloudRequest,
    outcome: CloudOutcome,
}

impl PreviousTerm {
    pub fn new(cluster: ClusterState) -> PreviousTerm {
        PreviousTerm { cluster, cloud_outcomes: Vec::new() }
    }
}

/// The progress of a takeover.
#[derive(Debug)]
pub(super) struct Takeover {
    token: u64,
    began_at: f64,
    /// The keys and values of the log that have been read so far.
    rows: Vec<KeyValue>,
    /// Whether a read of a page is in flight.
    in_flight: bool,
    /// No page is read before this time.
    not_before: f64,
    /// What this node knew as the leader under a lower token; `None` if it did not lead before the
    /// takeover.
    previous: Option<PreviousTerm>,
}

impl Takeover {
    /// Creates a takeover that has not read any page yet.
    pub fn new(token: u64, now: f64, previous: Option<PreviousTerm>) -> Takeover {
        Takeover {
            token,
            began_at: now,
            rows: Vec::new(),
            in_flight: false,
            not_before: now,
            previous,
        }
    }

    /// The fencing token under which this node takes over.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Abandons the takeover in favour of one under a higher token. Returns the state that the
    /// next takeover carries over.
    pub fn into_previous_term(self) -> Option<PreviousTerm> {
        self.previous
    }

    /// Returns the request to the cloud that is due during the takeover, if there is one. A takeover
    /// may last as long as an outage of the store.
    pub fn next_cloud_request(&mut self, now: f64) -> Option<CloudRequest> {
        self.previous.as_mut()?.cluster.next_request_between_terms(now)
    }

    /// Keeps the outcome of a call to the cloud, to be applied once the takeover has completed.
    pub fn defer_cloud_outcome(&mut self, now: f64, request: CloudRequest, outcome: CloudOutcome) {
        if let Some(previous) = &mut self.previous {
            if matches!(request, CloudRequest::Delete(_)) {
                previous.cluster.record_delete_ended_between_terms(now, &request, &outcome);
            }
            previous.cloud_outcomes.push(DeferredCloudOutcome { request, outcome });
        }
    }

    /// Returns the request for the next page of the log if it is due, and marks it as in flight.
    fn next_request(&mut self, now: f64) -> Option<StoreRequest> {
        if self.in_flight || now < self.not_before {
            return None;
        }
        self.in_flight = true;
        let after = self.rows.last().map(|row| row.key.clone());
        Some(StoreRequest::List { prefix: keys::ASSIGNMENT_LOG_PREFIX.into(), after })
    }

    /// Adds a page of the log. Returns all rows of the log if this page was the last one.
    fn on_page(&mut self, now: f64, outcome: StoreOutcome) -> Option<Vec<KeyValue>> {
        self.in_flight = false;
        let StoreOutcome::Page(page) = outcome else {
            self.not_before = now + PAGE_RETRY_S;
            return None;
        };
        self.rows.extend(page.entries);
        (!page.truncated).then(|| std::mem::take(&mut self.rows))
    }
}

/// Parses a key and value of the assignment log; `None` if the key or the value is malformed.
fn parse_row(row: KeyValue) -> Option<LogRow> {
    let slot = keys::parse_log_slot(&row.key)?;
    Some(LogRow { slot, version: row.version, text: row.value.as_str()?.to_owned() })
}

impl Node {
    /// Sends a read of the next page of the assignment log if a takeover needs it.
    pub(in crate::node) fn send_log_read(&mut self, now: f64) {
        let Role::TakingOver(takeover) = &mut self.leadership.role else { return };
        let token = takeover.token;
        if let Some(request) = takeover.next_request(now) {
            self.call_store(now, StoreCallPurpose::ReadAssignmentLog { token }, request);
        }
    }

    /// Applies a page of the assignment log. This node becomes the leader once the log is
    /// complete.
    pub(in crate::node) fn on_log_page(&mut self, now: f64, token: u64, outcome: StoreOutcome) {
        let Some(takeover) = self.leadership.takeover_under_mut(token) else { return };
        let Some(rows) = takeover.on_page(now, outcome) else { return };
        match self.decode_log(rows) {
            Ok(log) => self.complete_takeover(now, token, log),
            Err(error) => {
                let unreadable_keys = &self.store.view.unreadable;
                tracing::error!(%error, ?unreadable_keys, "takeover failed: scheduling nothing");
                if let Some(takeover) = self.leadership.takeover_under_mut(token) {
                    takeover.not_before = now + UNREADABLE_RETRY_S;
                }
            }
        }
    }

    /// Decodes the assignment log, and checks that the rest of the store can be read too.
    fn decode_log(&self, rows: Vec<KeyValue>) -> Result<DecodedLog, TakeoverError> {
        let view = &self.store.view;
        let rows: Option<Vec<LogRow>> = rows.into_iter().map(parse_row).collect();
        let rows = rows.ok_or(TakeoverError::MalformedRow)?;
        if view.has_legacy_assignments {
            return Err(TakeoverError::LegacyAssignments);
        }
        if !view.unreadable.is_empty() {
            return Err(TakeoverError::UnreadableJobs);
        }
        Ok(DecodedLog::decode(rows)?)
    }

    fn complete_takeover(&mut self, now: f64, token: u64, log: DecodedLog) {
        let Some(takeover) = self.leadership.takeover_under_mut(token) else { return };
        let read_s = now - takeover.began_at;
        let segments = log.segment_count();
        tracing::info!(token, segments, read_s, "assignment log read");
        let (cluster, cloud_outcomes) = match takeover.previous.take() {
            Some(previous) => (Some(previous.cluster), previous.cloud_outcomes),
            None => (None, Vec::new()),
        };
        let term = LeaderTerm {
            token,
            now,
            epoch: self.epoch,
            store_loaded_at: self.store.first_contact().unwrap_or(now),
            deployment: self.deployment.clone(),
            request_id_salt: self.rng.random(),
        };
        let mut leader = Leader::new(&self.store.view, log, term, cluster);
        for DeferredCloudOutcome { request, outcome } in cloud_outcomes {
            leader.apply_cloud_outcome(now, &request, outcome);
        }
        self.leadership.become_leader(leader);
    }
}
