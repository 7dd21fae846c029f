//! Deletions of machines. They are sent during a term, and between two terms of this node if a
//! cancellation deadline requires it ("Between two tokens" in `docs/safety.md`).

use super::outcomes::backoff_s;
use crate::{
    cloud_api::{CloudOutcome, CloudRequest},
    leader::ClusterState,
};
use gladekeel_sched::MachineIdx;
use gladekeel_wire::cloud::MAX_MACHINES_PER_DELETE_REQUEST;

impl ClusterState {
    /// Returns the next request that deletes machines during a term, if one is due.
    pub(in crate::leader) fn next_delete_request(&mut self, now: f64) -> Option<CloudRequest> {
        if !self.cloud.delete_due(now) {
            return None;
        }
        let machines = self.machines_to_delete();
        self.delete_request(now, machines)
    }

    /// Returns the next request to the cloud between two terms of this node, if one is due. Only
    /// machines whose deletion a cancellation deadline requires are deleted then.
    pub fn next_request_between_terms(&mut self, now: f64) -> Option<CloudRequest> {
        if self.cloud.is_backing_off(now) || !self.cloud.delete_due(now) {
            return None;
        }
        let machines = self.mark_due_cancellation_deletions(now);
        let request = self.delete_request(now, machines)?;
        self.cloud.record_sent(&request);
        Some(request)
    }

    /// Records that a request to delete machines has ended between two terms of this node, so that
    /// further deletions can be sent. The next term applies the outcome.
    pub fn record_delete_ended_between_terms(
        &mut self,
        now: f64,
        request: &CloudRequest,
        outcome: &CloudOutcome,
    ) {
        self.cloud.record_ended(request);
        match (request, outcome) {
            (CloudRequest::Delete(names), CloudOutcome::Deleted) => {
                self.drop_cancellation_deletions(names);
            }
            _ => self.cloud.back_off_until(now + backoff_s(outcome)),
        }
    }

    /// Returns the machines whose deletion is planned and not confirmed. Machines with tasks come
    /// first, since those machines are lost or about to lose their lease. A machine receives no new
    /// tasks once its deletion is planned.
    fn machines_to_delete(&self) -> Vec<MachineIdx> {
        let key = |machine_idx: &MachineIdx| {
            let machine = self.machines.get(machine_idx)?;
            machine.deletion.is_unconfirmed().then_some((machine.is_idle(), *machine_idx))
        };
        let mut to_delete: Vec<(bool, MachineIdx)> = self.leaving.iter().filter_map(key).collect();
        to_delete.sort_unstable();
        to_delete.into_iter().map(|(_, machine_idx)| machine_idx).collect()
    }

    /// Returns a request that deletes as many of these machines as a request may name, and marks
    /// their deletion as requested. `None` if there are none.
    fn delete_request(&mut self, now: f64, machines: Vec<MachineIdx>) -> Option<CloudRequest> {
        let mut names = Vec::new();
        for machine_idx in machines.into_iter().take(MAX_MACHINES_PER_DELETE_REQUEST) {
            if let Some(machine) = self.machines.get_mut(&machine_idx) {
                machine.deletion.request();
                names.push(machine.name.clone());
            }
        }
        if names.is_empty() {
            return None;
        }
        self.cloud.record_delete_sent(now);
        Some(CloudRequest::Delete(names))
    }
}
