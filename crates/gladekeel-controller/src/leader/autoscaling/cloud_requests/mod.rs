//! Requests to the cloud: rents, deletes and lists machines, and lists machine types.
//!
//! Which machines to rent or delete is decided elsewhere; this module issues the requests as the
//! cloud's limits allow, and applies the responses. The node takes a request with
//! [`Leader::next_cloud_request`], sends it and passes the outcome to
//! [`Leader::apply_cloud_outcome`].
//!
//! - [`queue`] holds the pending requests, the requests in flight, and when to back off;
//! - [`deleted_machines`] holds the machines whose deletion the cloud has confirmed;
//! - [`inventory`] compares the cloud's list with the machines that the leader knows;
//! - [`outcomes`] applies the other responses.

mod deleted_machines;
mod inventory;
mod outcomes;
mod queue;

pub(in crate::leader) use queue::CloudRequestQueue;

use crate::cloud_api::CloudRequest;
use crate::leader::Leader;
use gladekeel_sched::MachineIdx;
use gladekeel_wire::cloud::{CreateMachinesRequest, MAX_MACHINES_PER_DELETE_REQUEST};
use queue::NewRent;

impl Leader {
    /// Returns the next request to send, if one is due. The order of precedence is machine types,
    /// deletions, rents, list of machines. The caller must pass the outcome of the request to
    /// [`Leader::apply_cloud_outcome`].
    pub fn next_cloud_request(&mut self, now: f64) -> Option<CloudRequest> {
        if self.cluster.cloud.is_backing_off(now) {
            return None;
        }
        let request = self
            .next_machine_types_request(now)
            .or_else(|| self.next_delete_request(now))
            .or_else(|| self.next_rent_request(now).map(CloudRequest::Rent))
            .or_else(|| self.next_list_request(now))?;
        self.cluster.cloud.record_sent(&request);
        Some(request)
    }

    fn next_machine_types_request(&self, now: f64) -> Option<CloudRequest> {
        self.cluster.cloud.machine_types_due(now).then_some(CloudRequest::ListMachineTypes)
    }

    fn next_delete_request(&mut self, now: f64) -> Option<CloudRequest> {
        if !self.cluster.cloud.delete_due(now) {
            return None;
        }
        let names = self.take_machines_to_delete();
        if names.is_empty() {
            return None;
        }
        self.cluster.cloud.record_delete_sent(now);
        Some(CloudRequest::Delete(names))
    }

    /// Returns the names of the machines for the next delete request, and marks their deletion as
    /// requested. Machines with tasks come first, since those machines are lost or about to lose
    /// their lease. A machine receives no new tasks once its deletion is planned.
    fn take_machines_to_delete(&mut self) -> Vec<String> {
        let key = |machine_idx: &MachineIdx| {
            let machine = self.cluster.machines.get(machine_idx)?;
            machine.deletion.is_unconfirmed().then_some((machine.is_idle(), *machine_idx))
        };
        let mut to_delete: Vec<(bool, MachineIdx)> =
            self.cluster.leaving.iter().filter_map(key).collect();
        to_delete.sort_unstable();
        let mut names = Vec::new();
        for (_, machine_idx) in to_delete.into_iter().take(MAX_MACHINES_PER_DELETE_REQUEST) {
            if let Some(machine) = self.cluster.machines.get_mut(&machine_idx) {
                machine.deletion.request();
                names.push(machine.name.clone());
            }
        }
        names
    }

    /// Returns a rent request whose retry is due or, if there is none, a new rent request for the
    /// next scale-out.
    fn next_rent_request(&mut self, now: f64) -> Option<CreateMachinesRequest> {
        if let Some(rent) = self.cluster.cloud.next_rent_retry(now) {
            return Some(rent);
        }
        let NewRent { pool, count, number } = self.cluster.cloud.take_scale_out(now)?;
        let rent = CreateMachinesRequest {
            // The fencing token, the request's number and the node's random number make the id
            // unique. Only a retry of the same request has the same id.
            request_id: format!("gk-{}-{}-{:08x}", self.token, number, self.request_id_salt as u32),
            machine_type: self.catalog.machine_type_names.name(pool.machine_type).clone(),
            zone: self.catalog.zones.name(pool.zone).clone(),
            spot: pool.purchase_model.is_spot(),
            count,
        };
        self.cluster.cloud.add_rent(pool, rent.clone());
        Some(rent)
    }

    fn next_list_request(&self, now: f64) -> Option<CloudRequest> {
        let list_lag_s = self.deployment.cloud.list_lag_s;
        self.cluster.cloud.list_due(now, list_lag_s).then(|| CloudRequest::ListMachines {
            after: self.cluster.cloud.next_list_page_after(),
        })
    }
}
