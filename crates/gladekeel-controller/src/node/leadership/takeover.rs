//! Takeover: a node that the leader key names reads the assignment log before it decides.
//!
//! The log is read under the new token, so nobody else can change it meanwhile. Every attempt
//! that it does not release counts as on its machine.

use super::Role;
use crate::{
    assignment_log::UnreadableSegment,
    cloud_api::{CloudOutcome, CloudRequest},
    keys,
    leader::{ClusterState, Leader, LeaderTerm, LogRow},
    node::{Node, outgoing_calls::StoreCallPurpose},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::store::KeyValue;
use rand::Rng;

/// Pause after a page of the log could not be read.
const PAGE_RETRY_S: f64 = 0.2;
/// Pause after the log was read whole and could not be understood.
const UNREADABLE_RETRY_S: f64 = 5.0;

/// Why a node cannot lead although the leader key names it. Scheduling without what cannot be
/// read would start tasks twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum TakeoverError {
    #[error("the key or value of a row of the assignment log is malformed")]
    MalformedRow,
    #[error("a segment of the assignment log cannot be decoded")]
    UnreadableSegment,
    #[error("the store holds assignments in a layout that this version cannot read")]
    LegacyAssignments,
    /// Attempts of such a job would count as attempts of none.
    #[error("values of jobs in the store cannot be read")]
    UnreadableJobs,
}

impl From<UnreadableSegment> for TakeoverError {
    fn from(_: UnreadableSegment) -> TakeoverError {
        TakeoverError::UnreadableSegment
    }
}

/// What this node knows from leading under a lower token.
#[derive(Debug)]
pub(super) struct PreviousTerm {
    cluster: ClusterState,
    /// Outcomes of calls to the cloud that arrived between the two tokens. `cluster` counts
    /// these calls as in flight, and nothing else would ever end that.
    cloud_outcomes: Vec<HeldCloudOutcome>,
}

/// The outcome of a call to the cloud that no leader was there to apply.
#[derive(Debug)]
struct HeldCloudOutcome {
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
    /// Rows of the log that were read so far.
    rows: Vec<KeyValue>,
    in_flight: bool,
    /// No page is read before this time.
    not_before: f64,
    previous: Option<PreviousTerm>,
}

impl Takeover {
    /// A takeover that has read nothing yet.
    pub fn new(token: u64, now: f64, previous: Option<PreviousTerm>) -> Takeover {
        Takeover { token, rows: Vec::new(), in_flight: false, not_before: now, previous }
    }

    /// The fencing token under which this node takes over.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Gives up the takeover, for one under a higher token.
    pub fn into_previous_term(self) -> Option<PreviousTerm> {
        self.previous
    }

    /// Keeps the outcome of a call to the cloud for the leader that is about to be built.
    pub fn hold_cloud_outcome(&mut self, request: CloudRequest, outcome: CloudOutcome) {
        if let Some(previous) = &mut self.previous {
            previous.cloud_outcomes.push(HeldCloudOutcome { request, outcome });
        }
    }

    /// The request for the next page of the log, if it is due.
    fn next_request(&mut self, now: f64) -> Option<StoreRequest> {
        if self.in_flight || now < self.not_before {
            return None;
        }
        self.in_flight = true;
        let after = self.rows.last().map(|row| row.key.clone());
        Some(StoreRequest::List { prefix: keys::ASSIGNMENT_LOG_PREFIX.into(), after })
    }

    /// Adds a page of the log. Returns all rows after the last page.
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

/// Parses a row of the assignment log.
fn parse_row(row: KeyValue) -> Option<LogRow> {
    let slot = keys::parse_log_slot(&row.key)?;
    Some(LogRow { slot, version: row.version, text: row.value.as_str()?.to_owned() })
}

impl Node {
    /// Reads the next page of the assignment log if a takeover is waiting for it.
    pub(in crate::node) fn send_log_read(&mut self, now: f64) {
        let Role::TakingOver(takeover) = &mut self.leadership.role else { return };
        let token = takeover.token;
        if let Some(request) = takeover.next_request(now) {
            self.call_store(now, StoreCallPurpose::ReadAssignmentLog { token }, request);
        }
    }

    /// Applies a page of the assignment log, and leads once the log is complete.
    pub(in crate::node) fn on_log_page(&mut self, now: f64, token: u64, outcome: StoreOutcome) {
        let Some(takeover) = self.leadership.takeover_under_mut(token) else { return };
        let Some(rows) = takeover.on_page(now, outcome) else { return };
        let previous = takeover.previous.take();
        let salt = self.rng.random();
        match self.build_leader(now, token, rows, previous, salt) {
            Ok(leader) => self.leadership.begin_to_lead(leader),
            Err(error) => {
                let unreadable_keys = &self.store.view.unreadable;
                tracing::error!(%error, ?unreadable_keys, "takeover failed: scheduling nothing");
                if let Some(takeover) = self.leadership.takeover_under_mut(token) {
                    takeover.not_before = now + UNREADABLE_RETRY_S;
                }
            }
        }
    }

    fn build_leader(
        &self,
        now: f64,
        token: u64,
        rows: Vec<KeyValue>,
        previous: Option<PreviousTerm>,
        salt: u64,
    ) -> Result<Leader, TakeoverError> {
        let view = &self.store.view;
        let rows: Option<Vec<LogRow>> = rows.into_iter().map(parse_row).collect();
        let rows = rows.ok_or(TakeoverError::MalformedRow)?;
        if view.has_legacy_assignments {
            return Err(TakeoverError::LegacyAssignments);
        }
        if !view.unreadable.is_empty() {
            return Err(TakeoverError::UnreadableJobs);
        }
        let (cluster, cloud_outcomes) = match previous {
            Some(previous) => (Some(previous.cluster), previous.cloud_outcomes),
            None => (None, Vec::new()),
        };
        let deployment = self.deployment.clone();
        let term = LeaderTerm { token, now, epoch: self.epoch, deployment, salt };
        let mut leader = Leader::new(view, rows, term, cluster)?;
        for HeldCloudOutcome { request, outcome } in cloud_outcomes {
            leader.apply_cloud_outcome(now, &request, outcome);
        }
        Ok(leader)
    }
}
