//! Requests to the cloud: rents, deletes and lists machines, and lists machine types.
//!
//! Which machines to rent or delete is decided elsewhere; this module issues the requests as the
//! cloud's limits allow, and applies the responses. The node takes a request with
//! [`Leader::next_cloud_request`], sends it and passes the outcome to
//! [`Leader::apply_cloud_outcome`].
//!
//! - [`queue`] holds the pending requests, the requests in flight, and when to back off;
//! - [`deletions`] sends the deletions, also while this node is between two terms;
//! - [`deleted_machines`] holds the machines whose deletion the cloud has confirmed;
//! - [`inventory`] compares the cloud's list with the machines that the leader knows;
//! - [`outcomes`] applies the other responses.

mod deleted_machines;
mod deletions;
mod inventory;
mod outcomes;
mod queue;

pub(in crate::leader) use queue::CloudRequestQueue;

use crate::cloud_api::CloudRequest;
use crate::leader::Leader;
use gladekeel_wire::cloud::CreateMachinesRequest;
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
            .or_else(|| self.cluster.next_delete_request(now))
            .or_else(|| self.next_rent_request(now).map(CloudRequest::Rent))
            .or_else(|| self.next_list_request(now))?;
        self.cluster.cloud.record_sent(&request);
        Some(request)
    }

    fn next_machine_types_request(&self, now: f64) -> Option<CloudRequest> {
        self.cluster.cloud.machine_types_due(now).then_some(CloudRequest::ListMachineTypes)
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
