//! Users who ask at all nodes within milliseconds, and submit once more, as soon as one of
//! them has learned that a job was accepted, has ended or is cancelled.

use super::Simulation;
use gladekeel_wire::{JobId, job::JobState};
use rand::Rng;
use std::{collections::BTreeSet, ops::Range};

/// Time within which each look reaches its node.
const LOOK_WITHIN_S: Range<f64> = 0.0..0.05;
/// Looks at each node for one piece of news.
const LOOKS_AT_EACH_NODE: u32 = 3;
/// Part of the accepted jobs that are cancelled in the midst of the looks.
const CANCELLED_AT_ONCE: f64 = 0.2;

/// What users look at closely.
#[derive(Debug, Default)]
pub struct ReadYourWritesProbe {
    /// Until when they do.
    pub until: f64,
    /// Jobs of which users have learned that they are accepted, and that they are over.
    accepted: BTreeSet<JobId>,
    over: BTreeSet<JobId>,
    /// Looks that were taken.
    pub taken: u64,
}

impl Simulation {
    /// A user was told of a job: if that is news, it is looked at closely.
    pub(super) fn probe_after_news(&mut self, id: &JobId, status: u16, state: Option<JobState>) {
        if !matches!(status, 200 | 201) {
            return;
        }
        let is_over = state.is_some_and(JobState::is_final);
        let newly_accepted = self.read_your_writes.accepted.insert(id.clone());
        let newly_over = is_over && self.read_your_writes.over.insert(id.clone());
        let looks = self.now < self.read_your_writes.until;
        if !looks || !(newly_accepted || newly_over) {
            return;
        }
        for node in 0..self.nodes.len() {
            self.probe_node(node, id);
        }
        if !is_over && self.occurs(CANCELLED_AT_ONCE) {
            let (id, after_s) = (id.clone(), self.rng.random_range(LOOK_WITHIN_S));
            self.after(after_s, move |sim| sim.cancel(id));
        }
    }

    /// Several questions and a repeated submission to one node.
    fn probe_node(&mut self, node: usize, id: &JobId) {
        for _ in 0..LOOKS_AT_EACH_NODE {
            self.read_your_writes.taken += 1;
            let (id, after_s) = (id.clone(), self.rng.random_range(LOOK_WITHIN_S));
            self.after(after_s, move |sim| sim.poll_node(node, id));
        }
        let (id, after_s) = (id.clone(), self.rng.random_range(LOOK_WITHIN_S));
        self.after(after_s, move |sim| sim.submit_again_at(node, id));
    }
}
