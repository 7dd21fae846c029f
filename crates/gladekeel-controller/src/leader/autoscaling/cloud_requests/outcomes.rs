//! Applies the outcomes of requests to the cloud, except for the pages of the list of machines.

use crate::cloud_api::{CloudOutcome, CloudRequest};
use crate::leader::{Leader, Machine};
use gladekeel_wire::cloud::{CreateMachinesRequest, MachineType, MachineTypes};

/// How long no request is sent after the cloud's rate limit was exceeded, in seconds.
const RATE_LIMIT_BACKOFF_S: f64 = 0.5;
/// How long no request is sent after a failure other than an exceeded rate limit, in seconds.
const FAILURE_BACKOFF_S: f64 = 1.0;

/// How long no request is sent after a request has failed with this outcome, in seconds.
pub(super) fn backoff_s(outcome: &CloudOutcome) -> f64 {
    match outcome {
        CloudOutcome::RateLimited => RATE_LIMIT_BACKOFF_S,
        _ => FAILURE_BACKOFF_S,
    }
}

impl Leader {
    /// Applies the outcome of a request that [`Leader::next_cloud_request`] has returned.
    pub fn apply_cloud_outcome(&mut self, now: f64, request: &CloudRequest, outcome: CloudOutcome) {
        self.cluster.cloud.record_ended(request);
        match (request, outcome) {
            (CloudRequest::ListMachineTypes, CloudOutcome::Types(types)) => {
                self.apply_machine_types(now, types);
            }
            (CloudRequest::ListMachineTypes, _) => self.cluster.cloud.retry_machine_types(now),
            (CloudRequest::Rent(rent), outcome) => self.apply_rent_outcome(now, rent, outcome),
            (CloudRequest::Delete(names), CloudOutcome::Deleted) => {
                self.apply_deletion(now, names);
            }
            (CloudRequest::Delete(_), failure) => {
                self.cluster.cloud.back_off_until(now + backoff_s(&failure));
            }
            (CloudRequest::ListMachines { .. }, CloudOutcome::List(page)) => {
                self.apply_list_page(now, page);
            }
            (CloudRequest::ListMachines { .. }, _) => self.cluster.cloud.abort_list(now),
        }
    }

    /// Applies the outcome of a rent request. A failed request is retried unless the cloud has no
    /// capacity or has rejected the request.
    fn apply_rent_outcome(
        &mut self,
        now: f64,
        rent: &CreateMachinesRequest,
        outcome: CloudOutcome,
    ) {
        let cloud = &mut self.cluster.cloud;
        match outcome {
            CloudOutcome::Rented(names) => self.apply_rented(now, rent, names),
            CloudOutcome::NoCapacity | CloudOutcome::Rejected => {
                if let Some(pool) = cloud.finish_rent(rent) {
                    cloud.record_no_capacity(pool, now);
                }
            }
            failure => {
                let retry_at = now + backoff_s(&failure);
                cloud.back_off_until(retry_at);
                cloud.retry_rent_at(rent, retry_at);
            }
        }
    }

    /// Adds machines that were rented. If there are fewer than requested, the pool has no more
    /// capacity.
    fn apply_rented(&mut self, now: f64, rent: &CreateMachinesRequest, names: Vec<String>) {
        let Some(pool) = self.cluster.cloud.finish_rent(rent) else { return };
        tracing::info!(
            machine_type = rent.machine_type,
            zone = rent.zone,
            spot = rent.spot,
            requested = rent.count,
            rented = names.len(),
            "machines rented"
        );
        if names.len() < rent.count as usize {
            self.cluster.cloud.record_no_capacity(pool, now);
        }
        for name in names {
            self.cluster.counters.machines_rented += 1;
            let machine_idx = self.cluster.machine_names.intern(&name);
            let new_machine = || Machine::new(&name, now);
            let machine = self.cluster.machines.entry(machine_idx).or_insert_with(new_machine);
            machine.machine_type = Some(pool.machine_type);
            machine.spot = pool.purchase_model.is_spot();
            machine.existence_confirmed = true;
            self.set_zone(machine_idx, pool.zone);
        }
    }

    /// Updates the catalog with the cloud's machine types, and queues changed types to be written
    /// to the store.
    fn apply_machine_types(&mut self, now: f64, types: MachineTypes) {
        self.cluster.cloud.record_machine_types_read(now);
        let has_none = self.catalog.machine_type_names.is_empty();
        // The types are stored for a leader that begins to lead while the cloud is unavailable.
        if has_none || types.types.iter().any(|machine_type| self.has_changed(machine_type)) {
            self.log_writer.pending().set_machine_types(types.clone());
        }
        self.catalog.add_machine_types(&types);
        self.timers.request_cycle();
    }

    /// Whether a machine type is new or differs in anything but its spot price, which changes all
    /// the time.
    fn has_changed(&self, machine_type: &MachineType) -> bool {
        let without_spot_price = |t: &MachineType| MachineType { spot_price: None, ..t.clone() };
        let known = self.catalog.machine_type_names.get(machine_type.name.as_str());
        let known = known.and_then(|machine_type_idx| self.catalog.machine_type(machine_type_idx));
        known.map(without_spot_price) != Some(without_spot_price(machine_type))
    }

    /// Applies the cloud's confirmation that machines are deleted.
    fn apply_deletion(&mut self, now: f64, names: &[String]) {
        for name in names {
            let machine_idx = self.cluster.machine_names.get(name.as_str());
            let Some(machine_idx) = machine_idx else { continue };
            let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { continue };
            machine.deletion.confirm();
            self.cluster.counters.machines_deleted += 1;
            self.cluster.cloud.record_deleted(name, now);
        }
        self.timers.request_cycle();
        self.evacuate_leaving_machines(now);
    }
}
