//! Requests from nodes to the store and the cloud.

use super::{Endpoint, Simulation};
use crate::stand_ins::cloud::CloudResponse;
use gladekeel_controller::{
    cloud_api::{CloudOutcome, CloudRequest},
    node::{CallId, Event},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use rand::Rng;
use std::ops::Range;

/// Time between the arrival of a delayed transaction at the store and its execution.
const COMMIT_DELAY_S: Range<f64> = 2.0..12.0;
/// Time between a request and its duplicate.
const DUPLICATE_DELAY_S: Range<f64> = 0.5..20.0;
/// How long the cloud takes to execute a request.
const CLOUD_DELAY_S: f64 = 0.1;

/// A request from a node to the store.
struct StoreCall {
    node: usize,
    incarnation: u64,
    call: CallId,
    request: StoreRequest,
    /// Whether the request is a second copy, which gets no response.
    is_duplicate: bool,
    response_dropped: bool,
}

impl Simulation {
    /// Sends a request from a node to the store. If no response arrives within `timeout_s`, the
    /// outcome is [`StoreOutcome::Unknown`].
    pub(super) fn call_store(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: StoreRequest,
        timeout_s: f64,
    ) {
        self.after(timeout_s, move |sim| {
            sim.handle_event(
                node,
                incarnation,
                Event::Store { call, outcome: StoreOutcome::Unknown },
            );
        });
        let is_commit = matches!(request, StoreRequest::Commit(_));
        if is_commit && self.draw_commit_delayed(node) {
            let delay_s = self.rng.random_range(COMMIT_DELAY_S);
            return self.deliver(&Endpoint::Node(node), &Endpoint::Store, move |sim| {
                sim.after(delay_s, move |sim| sim.execute_delayed_commit(request));
            });
        }
        let response_dropped =
            is_commit && self.occurs(self.message_faults.dropped_commit_response_share);
        for &is_duplicate in self.draw_copies() {
            let delay_s = if is_duplicate { self.rng.random_range(DUPLICATE_DELAY_S) } else { 0.0 };
            let delay_s = delay_s + self.draw_store_delay_s();
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

    /// Decides at random whether a transaction gets no response and is executed later. Returns
    /// false if the store is down or refuses requests from the node.
    fn draw_commit_delayed(&mut self, node: usize) -> bool {
        self.occurs(self.delayed_commit_share)
            && !self.store.down
            && !self.store.refused_nodes.contains(&node)
    }

    /// Decides at random whether a request to the store or the cloud is duplicated. Returns a flag
    /// for each copy to send; the flag is true for the duplicate.
    fn draw_copies(&mut self) -> &'static [bool] {
        let duplicated = self.rng.random::<f64>() < self.duplicated_request_share;
        if duplicated { &[false, true] } else { &[false] }
    }

    /// Executes a request in the store and sends the response, unless the response is lost.
    fn execute_store_call(&mut self, store_call: StoreCall) {
        let StoreCall { node, incarnation, call, request, is_duplicate, response_dropped } =
            store_call;
        let outcome = self.store.call(self.now, node, &request);
        if !is_duplicate && matches!(outcome, StoreOutcome::Committed(_)) {
            self.message_faults.commit_responses_dropped += u64::from(response_dropped);
            self.on_committed(node);
        }
        if self.store_responses_dropped || response_dropped || is_duplicate {
            return;
        }
        let delay_s = self.draw_store_delay_s();
        self.after(delay_s, move |sim| {
            sim.deliver(&Endpoint::Store, &Endpoint::Node(node), move |sim| {
                sim.handle_event(node, incarnation, Event::Store { call, outcome });
            });
        });
    }

    /// Counts a committed transaction towards `crash_after_commits`, if the node leads, and crashes
    /// the node when the count is reached.
    fn on_committed(&mut self, node: usize) {
        let Some((remaining, downtime_s)) = self.crash_after_commits else { return };
        if self.leader_node() != Some(node) {
            return;
        }
        self.crash_after_commits = (remaining > 1).then_some((remaining - 1, downtime_s));
        if remaining <= 1 {
            self.restart(node, downtime_s);
        }
    }

    /// Draws the delay in seconds that a slow store adds to a request or response.
    fn draw_store_delay_s(&mut self) -> f64 {
        if self.store_slowdown > 1.0 {
            (self.store_slowdown - 1.0) * self.draw_delay_s()
        } else {
            0.0
        }
    }

    /// Executes a transaction that the store received earlier, even if the store refuses requests
    /// from the node by now. An outage only delays the transaction.
    fn execute_delayed_commit(&mut self, request: StoreRequest) {
        if self.store.down {
            return self.after(1.0, move |sim| sim.execute_delayed_commit(request));
        }
        // No node has the index `usize::MAX`, and none waits for the response.
        self.store.call(self.now, usize::MAX, &request);
    }

    /// Sends a request from a node to the cloud. If no response arrives within `timeout_s`, the
    /// outcome is [`CloudOutcome::Unknown`].
    pub(super) fn call_cloud(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: CloudRequest,
        timeout_s: f64,
    ) {
        self.after(timeout_s, move |sim| {
            sim.handle_event(
                node,
                incarnation,
                Event::Cloud { call, outcome: CloudOutcome::Unknown },
            );
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
                            sim.handle_event(node, incarnation, Event::Cloud { call, outcome });
                        });
                    }
                });
            });
        }
    }

    /// Executes a request in the cloud: rented machines begin to boot at once, and deleted
    /// machines are removed at once.
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
