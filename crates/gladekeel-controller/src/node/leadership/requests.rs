//! The leader's requests to the cloud and to workers.

use crate::node::Node;

impl Node {
    /// Sends as many of the leader's requests to the cloud as the rate limit allows.
    pub(in crate::node) fn send_cloud_requests(&mut self, now: f64) {
        let acquisition = self.leadership.acquisition_count();
        while self.rate_limits.cloud.can_take(now, 1.0) {
            let Some(request) = self.leadership.next_cloud_request(now) else { break };
            self.rate_limits.cloud.try_take(now, 1.0);
            self.actions.push(self.calls.call_cloud(acquisition, request));
        }
    }

    /// Sends the leader's commands and probes to workers. Tasks are started only while the
    /// view of the store is fresh.
    pub(in crate::node) fn send_worker_requests(&mut self, now: f64) {
        let may_start = self.store.has_fresh_contact(now);
        let Some(leader) = self.leadership.leader_mut() else { return };
        for _ in 0..self.calls.worker_call_budget(now) {
            let Some(request) = leader.next_worker_request(now, may_start) else { return };
            self.actions.push(self.calls.call_worker(now, request));
        }
    }
}
