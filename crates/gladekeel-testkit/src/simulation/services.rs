//! Requests of nodes to the store and the cloud.

use super::{Endpoint, Simulation};
use crate::stand_ins::cloud::CloudResponse;
use gladekeel_controller::{
    cloud_api::{CloudOutcome, CloudRequest},
    node::{CallId, Event},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use rand::Rng;

impl Simulation {
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
        let delayed = self.delayed_commit_share > 0.0
            && matches!(request, StoreRequest::Commit(_))
            && self.rng.random::<f64>() < self.delayed_commit_share
            && !self.store.down
            && !self.store.refused_nodes.contains(&node);
        if delayed {
            let after_s = self.rng.random_range(2.0..12.0);
            return self.deliver(&Endpoint::Node(node), &Endpoint::Store, move |sim| {
                sim.after(after_s, move |sim| sim.execute_late(request));
            });
        }
        let response_lost = matches!(request, StoreRequest::Commit(_))
            && self.occurs(self.message_faults.lost_response_share);
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplicated_request_share);
        for copy in 0..copies {
            let request = request.clone();
            let extra = if copy == 0 { 0.0 } else { self.rng.random_range(0.5..20.0) };
            let extra = extra + self.store_delay();
            self.after(extra, move |sim| {
                sim.deliver(&Endpoint::Node(node), &Endpoint::Store, move |sim| {
                    let outcome = sim.store.call(sim.now, node, &request);
                    if copy == 0 && matches!(outcome, StoreOutcome::Committed(_)) {
                        sim.message_faults.responses_lost += u64::from(response_lost);
                        sim.committed(node);
                    }
                    if sim.store_responses_lost || response_lost || copy > 0 {
                        return;
                    }
                    let slow_s = sim.store_delay();
                    sim.after(slow_s, move |sim| {
                        sim.deliver(&Endpoint::Store, &Endpoint::Node(node), move |sim| {
                            sim.event(node, incarnation, Event::Store { call, outcome });
                        });
                    });
                });
            });
        }
    }

    /// A transaction of a node was committed.
    fn committed(&mut self, node: usize) {
        let Some((left, for_s)) = self.crash_after_commits else { return };
        if self.leading() != Some(node) {
            return;
        }
        self.crash_after_commits = (left > 1).then_some((left - 1, for_s));
        if left <= 1 {
            self.restart(node, for_s);
        }
    }

    /// What a slow store adds to the delay of a message.
    fn store_delay(&mut self) -> f64 {
        if self.store_slowdown > 1.0 { (self.store_slowdown - 1.0) * self.delay() } else { 0.0 }
    }

    /// Executes a transaction that the store received long ago: its node may be refused by now,
    /// and an outage only delays it.
    fn execute_late(&mut self, request: StoreRequest) {
        if self.store.down {
            return self.after(1.0, move |sim| sim.execute_late(request));
        }
        // Nobody waits for the answer.
        self.store.call(self.now, usize::MAX, &request);
    }

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
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplicated_request_share);
        for copy in 0..copies {
            let request = request.clone();
            let extra = if copy == 0 { 0.1 } else { self.rng.random_range(0.5..20.0) };
            self.after(extra, move |sim| {
                sim.deliver(&Endpoint::Node(node), &Endpoint::Cloud, move |sim| {
                    let CloudResponse { outcome, rented, deleted } =
                        sim.cloud.call(sim.now, &request);
                    for name in rented {
                        sim.boot(name);
                    }
                    for name in deleted {
                        sim.remove_worker(&name);
                    }
                    if copy == 0 {
                        sim.deliver(&Endpoint::Cloud, &Endpoint::Node(node), move |sim| {
                            sim.event(node, incarnation, Event::Cloud { call, outcome });
                        });
                    }
                });
            });
        }
    }
}
