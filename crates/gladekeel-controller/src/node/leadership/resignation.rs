//! Resignation of a leader that no worker can reach.
//!
//! Such a leader cannot do its work, and another node may be better placed. Each resignation in
//! a row doubles the patience before the next one and the time out of the election, so that
//! nodes do not pass leadership around while the workers are what has failed.

use super::{Leadership, Role};
use crate::{
    leader::HeartbeatSilence,
    node::{Node, outgoing_calls::StoreCallPurpose},
};
use gladekeel_store::StoreRequest;
use gladekeel_wire::settings::WorkerTimings;

/// A leader that misses this many heartbeats in a row counts as isolated.
const ISOLATED_AFTER_HEARTBEATS: f64 = 30.0;
/// A leader counts as isolated no earlier than after this long.
const MIN_ISOLATED_AFTER_S: f64 = 4.0;
/// How far beyond a worker's heartbeat timeout the limit may be.
const HEARTBEAT_TIMEOUT_SLACK_S: f64 = 2.0;
/// How long a node that resigned for the first time is no candidate.
const CANDIDACY_PAUSE_S: f64 = 6.0;
/// Patience and pause double at most this often.
const MAX_DOUBLINGS: u32 = 4;

/// Counts the resignations since a leader last had heartbeats.
#[derive(Debug, Default)]
pub(super) struct ResignationBackoff {
    consecutive: u32,
}

impl ResignationBackoff {
    fn factor(&self) -> f64 {
        f64::from(1 << self.consecutive.min(MAX_DOUBLINGS))
    }
}

/// For how long a leader of this many machines may be without any heartbeat. Of many machines
/// some heartbeats are due at any time, so the limit is lower for them.
fn isolated_after_s(workers: &WorkerTimings, machines: usize) -> f64 {
    let expected_s =
        ISOLATED_AFTER_HEARTBEATS * workers.heartbeat_interval_s / machines.max(1) as f64;
    let max_s = workers.heartbeat_timeout_s() + HEARTBEAT_TIMEOUT_SLACK_S;
    expected_s.clamp(MIN_ISOLATED_AFTER_S, max_s)
}

impl Leadership {
    /// Resigns if no machine's heartbeat arrives any more. Returns the request that gives up
    /// the lease of the leader key.
    fn resign_if_isolated(
        &mut self,
        now: f64,
        workers: &WorkerTimings,
        has_peers: bool,
    ) -> Option<StoreRequest> {
        let leader = self.leader()?;
        let HeartbeatSilence { expected_machines: machines, silent_s } = leader.silence(now);
        let led_s = now - leader.since();
        let limit_s = isolated_after_s(workers, machines);
        if silent_s < limit_s {
            self.resignations.consecutive = 0;
        }
        let patience_s = limit_s * self.resignations.factor();
        if machines == 0 || silent_s < patience_s || led_s < patience_s || !has_peers {
            return None;
        }
        let request = self.election.resign(now, CANDIDACY_PAUSE_S * self.resignations.factor())?;
        tracing::warn!(machines, silent_s, "resigned: no heartbeat of any worker arrives");
        self.resignations.consecutive += 1;
        self.role = Role::Follower;
        Some(request)
    }
}

impl Node {
    /// Resigns if this node leads and no worker can reach it.
    ///
    /// Not while the store is out of reach: no other node could take over, and somebody must
    /// delete the machines that hold cancelled tasks.
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
