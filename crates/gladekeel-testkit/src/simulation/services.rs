//! Requests of nodes to the store and the cloud.

use super::{Endpoint, Simulation};
use crate::stand_ins::cloud::CloudResponse;
use gladekeel_controller::{
    cloud_api::{CloudOutcome, CloudRequest},
    node::{CallId, Event},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use rand::Rng;
use std::ops::Range;

/// How much later a delayed transaction is executed.
const COMMIT_DELAY_S: Range<f64> = 2.0..12.0;
/// How much later a duplicated request arrives.
const DUPLICATE_DELAY_S: Range<f64> = 0.5..20.0;
/// How long the cloud takes to execute a request.
const CLOUD_DELAY_S: f64 = 0.1;

/// A request of a node to the store.
struct StoreCall {
    node: usize,
    incarnation: u64,
    call: CallId,
    request: StoreRequest,
    /// A copy that arrives later; nobody waits for its response.
    is_duplicate: bool,
    response_dropped: bool,
}

impl Simulation {
    /// A node sends a request to the store.
    pub(super) fn call_store(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: StoreRequest,
        timeout_s: f64,
    ) {
        self.after(timeout_s, move |sim| {
            sim.event(node, incarnation, Event::Store { call, outcome: StoreOutcome::Unknown });
        });
        let is_commit = matches!(request, StoreRequest::Commit(_));
        if is_commit && self.draws_delayed_commit(node) {
            let delay_s = self.rng.random_range(COMMIT_DELAY_S);
            return self.deliver(&Endpoint::Node(node), &Endpoint::Store, move |sim| {
                sim.after(delay_s, move |sim| sim.execute_delayed_commit(request));
            });
        }
        let response_dropped =
            is_commit && self.occurs(self.message_faults.dropped_commit_response_share);
        for &is_duplicate in self.draw_copies() {
            let delay_s = if is_duplicate { self.rng.random_range(DUPLICATE_DELAY_S) } else { 0.0 };
            let delay_s = delay_s + self.store_delay();
            let request = request.clone();
            let call =
                StoreCall { node, incarnation, call, request, is_duplicate, response_dropped };
            self.after(delay_s, move |sim| {
                sim.deliver(&Endpoint::Node(node), &Endpoint::Store, move |sim| {
                    sim.execute_store_call(call);
                });
            });
        }
    }

    /// Whether a transaction gets no answer and is executed late.
    fn draws_delayed_commit(&mut self, node: usize) -> bool {
        self.occurs(self.delayed_commit_share)
            && !self.store.down
            && !self.store.refused_nodes.contains(&node)
    }

    /// The copies of a request to a service, by whether they are duplicates.
    fn draw_copies(&mut self) -> &'static [bool] {
        let duplicated = self.rng.random::<f64>() < self.duplicated_request_share;
        if duplicated { &[false, true] } else { &[false] }
    }

    /// The store executes a request and responds.
    fn execute_store_call(&mut self, store_call: StoreCall) {
        let StoreCall { node, incarnation, call, request, is_duplicate, response_dropped } =
            store_call;
        let outcome = self.store.call(self.now, node, &request);
        if !is_duplicate && matches!(outcome, StoreOutcome::Committed(_)) {
            self.message_faults.commit_responses_dropped += u64::from(response_dropped);
            self.committed(node);
        }
        if self.store_responses_dropped || response_dropped || is_duplicate {
            return;
        }
        let delay_s = self.store_delay();
        self.after(delay_s, move |sim| {
            sim.deliver(&Endpoint::Store, &Endpoint::Node(node), move |sim| {
                sim.event(node, incarnation, Event::Store { call, outcome });
            });
        });
    }

    /// A transaction of a node was committed.
    fn committed(&mut self, node: usize) {
        let Some((left, downtime_s)) = self.crash_after_commits else { return };
        if self.leader_node() != Some(node) {
            return;
        }
        self.crash_after_commits = (left > 1).then_some((left - 1, downtime_s));
        if left <= 1 {
            self.restart(node, downtime_s);
        }
    }

    /// What a slow store adds to the delay of a message.
    fn store_delay(&mut self) -> f64 {
        if self.store_slowdown > 1.0 { (self.store_slowdown - 1.0) * self.delay() } else { 0.0 }
    }

    /// Executes a transaction that the store received long ago: its node may be refused by now,
    /// and an outage only delays it.
    fn execute_delayed_commit(&mut self, request: StoreRequest) {
        if self.store.down {
            return self.after(1.0, move |sim| sim.execute_delayed_commit(request));
        }
        // Nobody waits for the answer.
        self.store.call(self.now, usize::MAX, &request);
    }

    /// A node sends a request to the cloud.
    pub(super) fn call_cloud(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: CloudRequest,
        timeout_s: f64,
    ) {
        self.after(timeout_s, move |sim| {
            sim.event(node, incarnation, Event::Cloud { call, outcome: CloudOutcome::Unknown });
        });
        for &is_duplicate in self.draw_copies() {
            let delay_s =
                if is_duplicate { self.rng.random_range(DUPLICATE_DELAY_S) } else { CLOUD_DELAY_S };
            let request = request.clone();
            self.after(delay_s, move |sim| {
                sim.deliver(&Endpoint::Node(node), &Endpoint::Cloud, move |sim| {
                    let outcome = sim.execute_cloud_request(&request);
                    if !is_duplicate {
                        sim.deliver(&Endpoint::Cloud, &Endpoint::Node(node), move |sim| {
                            sim.event(node, incarnation, Event::Cloud { call, outcome });
                        });
                    }
                });
            });
        }
    }

    /// The cloud executes a request; machines boot and go at once.
    fn execute_cloud_request(&mut self, request: &CloudRequest) -> CloudOutcome {
        let CloudResponse { outcome, rented, deleted } = self.cloud.call(self.now, request);
        for name in rented {
            self.boot(name);
        }
        for name in deleted {
            self.remove_worker(&name);
        }
        outcome
    }
}
