//! A probe for read-your-writes consistency: as soon as a response reports that a job is accepted,
//! done or cancelled, users query the job through all nodes and resubmit it, within milliseconds.

use super::{Simulation, users::ObservedResponse};
use gladekeel_wire::{JobId, job::JobState};
use rand::Rng;
use std::{collections::BTreeSet, ops::Range};

/// Time between the response that reports a new state and the requests of the probe.
const PROBE_DELAY_S: Range<f64> = 0.0..0.05;
/// Number of queries that each node gets for one new state.
const QUERIES_OF_EACH_NODE: u32 = 3;
/// Share of the newly accepted jobs that are cancelled while the queries are in flight.
const CANCELLED_SHARE: f64 = 0.2;

/// The read-your-writes probe: how long it is active, and which states it has probed.
#[derive(Debug, Default)]
pub struct ReadYourWritesProbe {
    /// Time until which new states are probed.
    pub until: f64,
    /// Jobs that users have observed as accepted.
    accepted: BTreeSet<JobId>,
    /// Jobs that users have observed in a final state.
    finished: BTreeSet<JobId>,
    /// Number of queries scheduled so far.
    pub queries: u64,
}

impl Simulation {
    /// Probes all nodes if a response reports a new state of a job; called for each response that a
    /// user receives.
    pub(super) fn probe_after_new_state(&mut self, id: &JobId, response: ObservedResponse) {
        if !matches!(response.status, 200 | 201) {
            return;
        }
        let is_final = response.state.is_some_and(JobState::is_final);
        let newly_accepted = self.read_your_writes.accepted.insert(id.clone());
        let newly_finished = is_final && self.read_your_writes.finished.insert(id.clone());
        let active = self.now < self.read_your_writes.until;
        if !active || !(newly_accepted || newly_finished) {
            return;
        }
        for node in 0..self.nodes.len() {
            self.probe_node(node, id);
        }
        if !is_final && self.occurs(CANCELLED_SHARE) {
            let (id, after_s) = (id.clone(), self.rng.random_range(PROBE_DELAY_S));
            self.after(after_s, move |sim| sim.cancel(id));
        }
    }

    /// Schedules several queries of a job and a resubmission of it through one node.
    fn probe_node(&mut self, node: usize, id: &JobId) {
        for _ in 0..QUERIES_OF_EACH_NODE {
            self.read_your_writes.queries += 1;
            let (id, after_s) = (id.clone(), self.rng.random_range(PROBE_DELAY_S));
            self.after(after_s, move |sim| sim.poll_node(node, id));
        }
        let (id, after_s) = (id.clone(), self.rng.random_range(PROBE_DELAY_S));
        self.after(after_s, move |sim| sim.resubmit_at(node, id));
    }
}
