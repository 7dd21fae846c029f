//! Requests to the cloud: rent and delete machines, list them and their types.
//!
//! Which machines to rent or delete is decided elsewhere; this module sends the requests as the
//! cloud's limits allow, and applies the responses. The node takes a request with
//! [`Leader::next_cloud_request`], sends it and passes the outcome to
//! [`Leader::apply_cloud_outcome`].
//!
//! - [`queue`] keeps what is to be requested, what is in flight, and when to back off;
//! - [`deleted_machines`] remembers machines whose deletion the cloud has confirmed;
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
use gladekeel_wire::cloud::{MAX_MACHINES_PER_DELETE_REQUEST, RentRequest};
use queue::NewRent;

impl Leader {
    /// The next request to send, if one is due: machine types first, then deletions, rents and
    /// the list.
    pub fn next_cloud_request(&mut self, now: f64) -> Option<CloudRequest> {
        if self.cluster.cloud.is_backing_off(now) {
            return None;
        }
        let request = self
            .next_machine_types_request(now)
            .or_else(|| self.next_delete_request(now))
            .or_else(|| self.next_rent_request(now).map(CloudRequest::Rent))
            .or_else(|| self.next_list_request(now))?;
        self.cluster.cloud.note_sent(&request);
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
        self.cluster.cloud.note_delete_sent(now);
        Some(CloudRequest::Delete(names))
    }

    /// The machines of the next deletion, those with tasks first, since these are lost or lose
    /// their lease. They get no more work from now on.
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

    fn next_rent_request(&mut self, now: f64) -> Option<RentRequest> {
        if let Some(rent) = self.cluster.cloud.next_rent_retry(now) {
            return Some(rent);
        }
        let NewRent { pool, count, number } = self.cluster.cloud.take_scale_out(now)?;
        let rent = RentRequest {
            // Token, number and the node's own random number: never used twice, and repeated
            // only with a retry of the same request.
            request_id: format!("gk-{}-{}-{:08x}", self.token, number, self.salt as u32),
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
