//! A probe for read-your-writes: users query all nodes within milliseconds, and submit once
//! more, as soon as one of them has learned that a job was accepted, has ended or is cancelled.

use super::{Simulation, users::Answer};
use gladekeel_wire::{JobId, job::JobState};
use rand::Rng;
use std::{collections::BTreeSet, ops::Range};

/// Within this time of the news the requests are sent.
const PROBE_WITHIN_S: Range<f64> = 0.0..0.05;
/// Queries of each node for one piece of news.
const QUERIES_OF_EACH_NODE: u32 = 3;
/// Share of the accepted jobs that are cancelled while the queries are in flight.
const CANCELLED_SHARE: f64 = 0.2;

/// Which jobs are probed, and until when.
#[derive(Debug, Default)]
pub struct ReadYourWritesProbe {
    /// Until when news are followed by a probe.
    pub until: f64,
    /// Jobs of which users have learned that they are accepted, and that they are over.
    accepted: BTreeSet<JobId>,
    over: BTreeSet<JobId>,
    /// Queries that were sent.
    pub queries: u64,
}

impl Simulation {
    /// A user got a response about a job: if it brings news, all nodes are queried.
    pub(super) fn probe_after_new_state(&mut self, id: &JobId, answer: Answer) {
        if !matches!(answer.status, 200 | 201) {
            return;
        }
        let is_over = answer.state.is_some_and(JobState::is_final);
        let newly_accepted = self.read_your_writes.accepted.insert(id.clone());
        let newly_over = is_over && self.read_your_writes.over.insert(id.clone());
        let active = self.now < self.read_your_writes.until;
        if !active || !(newly_accepted || newly_over) {
            return;
        }
        for node in 0..self.nodes.len() {
            self.probe_node(node, id);
        }
        if !is_over && self.occurs(CANCELLED_SHARE) {
            let (id, after_s) = (id.clone(), self.rng.random_range(PROBE_WITHIN_S));
            self.after(after_s, move |sim| sim.cancel(id));
        }
    }

    /// Several questions and a repeated submission to one node.
    fn probe_node(&mut self, node: usize, id: &JobId) {
        for _ in 0..QUERIES_OF_EACH_NODE {
            self.read_your_writes.queries += 1;
            let (id, after_s) = (id.clone(), self.rng.random_range(PROBE_WITHIN_S));
            self.after(after_s, move |sim| sim.poll_node(node, id));
        }
        let (id, after_s) = (id.clone(), self.rng.random_range(PROBE_WITHIN_S));
        self.after(after_s, move |sim| sim.resubmit_at(node, id));
    }
}
