//! Resignation of a leader that no worker can reach.
//!
//! Such a leader cannot manage its workers, and workers may be able to reach another node. Each
//! consecutive resignation doubles both the time without messages after which this node resigns
//! again and the time for which this node is not a candidate. Otherwise nodes would keep passing
//! leadership around when the workers, not the leader, have failed.

use super::{Leadership, Role};
use crate::{
    leader::{TAKEOVER_REPORT_S, TimeWithoutMessages},
    node::{Node, outgoing_calls::StoreCallPurpose},
};
use gladekeel_store::StoreRequest;
use gladekeel_wire::settings::WorkerTimings;

/// Number of consecutive expected heartbeats, from all machines together, that a leader misses
/// before it counts as isolated.
const ISOLATED_AFTER_HEARTBEATS: f64 = 30.0;
/// Minimum time without messages from any machine before a leader counts as isolated. By then it
/// has had time to delete machines on which cancelled tasks may run.
const MIN_ISOLATED_AFTER_S: f64 = TAKEOVER_REPORT_S + 1.0;
/// Maximum amount by which the result of [`isolated_after_s`] exceeds a worker's heartbeat timeout.
const HEARTBEAT_TIMEOUT_SLACK_S: f64 = 2.0;
/// Time for which a node is not a candidate for leadership after its first resignation.
const CANDIDACY_PAUSE_S: f64 = 6.0;
/// Maximum number of times that the time without messages before a resignation and the pause in
/// candidacy after a resignation double.
const MAX_DOUBLINGS: u32 = 4;

/// Counts this node's resignations since it last received messages from workers as the leader.
#[derive(Debug, Default)]
pub(super) struct ResignationBackoff {
    consecutive: u32,
}

impl ResignationBackoff {
    fn factor(&self) -> f64 {
        f64::from(1 << self.consecutive.min(MAX_DOUBLINGS))
    }
}

/// Time without messages from any machine after which a leader of `machines` machines counts as
/// isolated. This time is shorter if there are more machines, because the time between two
/// heartbeats is shorter then.
fn isolated_after_s(workers: &WorkerTimings, machines: usize) -> f64 {
    let expected_s =
        ISOLATED_AFTER_HEARTBEATS * workers.heartbeat_interval_s / machines.max(1) as f64;
    let max_s = workers.heartbeat_timeout_s() + HEARTBEAT_TIMEOUT_SLACK_S;
    expected_s.clamp(MIN_ISOLATED_AFTER_S, max_s)
}

impl Leadership {
    /// Resigns if this node leads and no longer receives messages from any machine. Returns the
    /// request that revokes the lease of the leader key, or `None` if this node does not resign.
    fn resign_if_isolated(
        &mut self,
        now: f64,
        workers: &WorkerTimings,
        has_peers: bool,
    ) -> Option<StoreRequest> {
        let leader = self.leader()?;
        let TimeWithoutMessages { expected_machines: machines, since_last_seen_s } =
            leader.time_without_messages(now);
        let leading_s = now - leader.term_started_at();
        let limit_s = isolated_after_s(workers, machines);
        // Without a message in this term, the time without messages is counted from its beginning.
        let was_machine_seen = since_last_seen_s < leading_s;
        if was_machine_seen && since_last_seen_s < limit_s {
            self.resignations.consecutive = 0;
        }
        let extended_limit_s = limit_s * self.resignations.factor();
        if machines == 0
            || since_last_seen_s < extended_limit_s
            || leading_s < extended_limit_s
            || !has_peers
        {
            return None;
        }
        let request = self.election.resign(now, CANDIDACY_PAUSE_S * self.resignations.factor())?;
        tracing::warn!(
            machines,
            silent_s = since_last_seen_s,
            "resigned: no heartbeat of any worker arrives"
        );
        self.resignations.consecutive += 1;
        self.role = Role::Follower;
        Some(request)
    }
}

impl Node {
    /// Resigns if this node leads and no worker can reach it.
    ///
    /// A node does not resign while the store is unreachable: no other node could take over, and
    /// the machines on which cancelled tasks may run must still be deleted.
    pub(in crate::node) fn resign_if_isolated(&mut self, now: f64) {
        if !self.store.has_fresh_contact(now) {
            return;
        }
        let workers = &self.deployment.workers;
        let has_peers = !self.peers.is_empty();
        if let Some(request) = self.leadership.resign_if_isolated(now, workers, has_peers) {
            self.call_store(now, StoreCallPurpose::Election, request);
            self.store.request_read();
        }
    }
}
