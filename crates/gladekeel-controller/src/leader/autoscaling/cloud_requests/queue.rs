//! The queue of requests to the cloud.

use super::deleted_machines::DeletedMachines;
use crate::cloud_api::CloudRequest;
use crate::leader::autoscaling::machine_pool::MachinePool;
use gladekeel_wire::cloud::{
    CreateMachinesRequest, ListedMachine, MAX_MACHINES_PER_CREATE_REQUEST, MAX_MACHINES_PER_PAGE,
    MachinePage,
};
use std::collections::{BTreeSet, HashMap};

/// How long no machine is requested from a pool that had no capacity, in seconds.
const NO_CAPACITY_BACKOFF_S: f64 = 12.0;
/// Maximum number of rent requests without a final response.
const MAX_PENDING_RENTS: usize = 4;
/// Interval at which machine types and their prices are read.
const MACHINE_TYPES_INTERVAL_S: f64 = 60.0;
/// How soon machine types are read again after a failure, in seconds.
const MACHINE_TYPES_RETRY_S: f64 = 2.0;
/// Minimum interval between delete requests, so that they do not use up the rate limit that rent
/// requests need.
const DELETE_INTERVAL_S: f64 = 0.5;
/// Minimum interval between two reads of the cloud's list of machines.
const MIN_LIST_INTERVAL_S: f64 = 2.0;
/// Additional interval between two reads of the list of machines for each page after the first.
/// Without it, reads of long lists would use up the rate limit.
const LIST_INTERVAL_PER_PAGE_S: f64 = 2.0;

/// A rent request that has no final response yet.
#[derive(Debug)]
struct PendingRent {
    request: CreateMachinesRequest,
    pool: MachinePool,
    /// Whether the request was sent and its outcome is not known yet.
    in_flight: bool,
    /// When to send the request again if it is not in flight.
    retry_at: f64,
}

/// Machines to rent from a pool, for which no rent request was made yet.
#[derive(Debug, Clone, Copy)]
struct ScaleOut {
    pool: MachinePool,
    count: u32,
}

/// The content of a new rent request.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewRent {
    pub pool: MachinePool,
    pub count: u32,
    /// The number of the request, which differs from the numbers of all earlier requests.
    pub number: u64,
}

/// A kind of request to the cloud; at most one request of each kind is in flight at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ExclusiveRequestKind {
    MachineTypes,
    Delete,
    List,
}

impl ExclusiveRequestKind {
    /// Returns the kind of a request; `None` for rents, since several may be in flight.
    fn of(request: &CloudRequest) -> Option<ExclusiveRequestKind> {
        match request {
            CloudRequest::ListMachineTypes => Some(ExclusiveRequestKind::MachineTypes),
            CloudRequest::Rent(_) => None,
            CloudRequest::Delete(_) => Some(ExclusiveRequestKind::Delete),
            CloudRequest::ListMachines { .. } => Some(ExclusiveRequestKind::List),
        }
    }
}

/// The cloud's list of machines, read page by page.
#[derive(Debug, Default)]
struct MachineListing {
    /// The rows of those pages of the current list that were read so far.
    rows: Vec<ListedMachine>,
    /// Number of pages of the last complete list.
    pages: u32,
    /// When the last read of the list was completed or aborted; `None` before the first one.
    ended_at: Option<f64>,
}

/// The requests to the cloud that are pending or in flight, and the limits that delay them.
#[derive(Debug, Default)]
pub(in crate::leader) struct CloudRequestQueue {
    deleted: DeletedMachines,
    /// When each pool that had no capacity may be tried again.
    no_capacity_until: HashMap<MachinePool, f64>,
    pending_rents: Vec<PendingRent>,
    scale_outs: Vec<ScaleOut>,
    exclusive_in_flight: BTreeSet<ExclusiveRequestKind>,
    machine_types_read_at: Option<f64>,
    delete_sent_at: Option<f64>,
    listing: MachineListing,
    last_rent_number: u64,
    /// No request is sent before this time.
    backoff_until: f64,
}

/// Whether `interval_s` seconds have passed since the time `since`; true if `since` is `None`.
fn has_passed(since: Option<f64>, interval_s: f64, now: f64) -> bool {
    since.is_none_or(|since| now - since >= interval_s)
}

/// Deleted machines, and pools without capacity.
impl CloudRequestQueue {
    /// Whether the cloud has confirmed the machine's deletion.
    pub fn is_deletion_confirmed(&self, name: &str) -> bool {
        self.deleted.contains(name)
    }

    /// Records that the cloud has confirmed the deletion of a machine.
    pub(super) fn record_deleted(&mut self, name: &str, now: f64) {
        self.deleted.add(name, now);
    }

    /// Removes records of deletions that are so old that no late heartbeat or list can still name
    /// the machine.
    pub(super) fn expire_deletions(&mut self, now: f64) {
        self.deleted.expire(now);
    }

    /// Whether a rent from this pool may succeed, judged by the latest responses.
    pub fn may_have_capacity(&self, pool: MachinePool, now: f64) -> bool {
        self.no_capacity_until.get(&pool).is_none_or(|until| now >= *until)
    }

    /// Records that the cloud did not rent out all requested machines of a pool.
    pub(super) fn record_no_capacity(&mut self, pool: MachinePool, now: f64) {
        self.no_capacity_until.insert(pool, now + NO_CAPACITY_BACKOFF_S);
    }
}

/// Scale-outs and rent requests.
impl CloudRequestQueue {
    /// Queues a request for machines from a pool, which is sent as soon as the limits allow.
    pub fn request_scale_out(&mut self, pool: MachinePool, count: u32) {
        self.scale_outs.push(ScaleOut { pool, count });
    }

    /// Drops the scale-outs for which no rent request was made yet. Called each time before the
    /// autoscaler plans again.
    pub fn clear_scale_outs(&mut self) {
        self.scale_outs.clear();
    }

    /// Returns the pool and the number of machines of each rent request without a final response.
    pub fn pending_rents(&self) -> impl Iterator<Item = (MachinePool, u32)> {
        self.pending_rents.iter().map(|rent| (rent.pool, rent.request.count))
    }

    /// Returns the next rent request to retry, if one is due, and marks it as in flight. A retry
    /// repeats the identical request: if the cloud has executed the request although no response
    /// arrived, the retry gets the same machines.
    pub(super) fn next_rent_retry(&mut self, now: f64) -> Option<CreateMachinesRequest> {
        let is_due = |rent: &&mut PendingRent| !rent.in_flight && now >= rent.retry_at;
        let rent = self.pending_rents.iter_mut().find(is_due)?;
        rent.in_flight = true;
        Some(rent.request.clone())
    }

    /// Takes the next scale-out from the queue and returns the content of its rent request; `None`
    /// if no queued scale-out can be requested now or [`MAX_PENDING_RENTS`] requests are pending.
    /// Machines beyond the maximum of one request stay in the queue.
    pub(super) fn take_scale_out(&mut self, now: f64) -> Option<NewRent> {
        while self.pending_rents.len() < MAX_PENDING_RENTS {
            let ScaleOut { pool, count } = self.scale_outs.pop()?;
            if count == 0 || !self.may_have_capacity(pool, now) {
                continue;
            }
            if count > MAX_MACHINES_PER_CREATE_REQUEST {
                self.request_scale_out(pool, count - MAX_MACHINES_PER_CREATE_REQUEST);
            }
            self.last_rent_number += 1;
            let count = count.min(MAX_MACHINES_PER_CREATE_REQUEST);
            return Some(NewRent { pool, count, number: self.last_rent_number });
        }
        None
    }

    /// Adds a rent request that is being sent.
    pub(super) fn add_rent(&mut self, pool: MachinePool, request: CreateMachinesRequest) {
        self.pending_rents.push(PendingRent { request, pool, in_flight: true, retry_at: 0.0 });
    }

    /// Removes a rent request that has its final response, and returns its pool.
    pub(super) fn finish_rent(&mut self, request: &CreateMachinesRequest) -> Option<MachinePool> {
        let position = self.rent_position(request)?;
        Some(self.pending_rents.swap_remove(position).pool)
    }

    /// Schedules the retry of a rent request that has no final response.
    pub(super) fn retry_rent_at(&mut self, request: &CreateMachinesRequest, retry_at: f64) {
        if let Some(position) = self.rent_position(request) {
            let rent = &mut self.pending_rents[position];
            rent.in_flight = false;
            rent.retry_at = retry_at;
        }
    }

    fn rent_position(&self, request: &CreateMachinesRequest) -> Option<usize> {
        self.pending_rents.iter().position(|rent| rent.request.request_id == request.request_id)
    }
}

/// Requests that are due and requests in flight.
impl CloudRequestQueue {
    /// Whether no request may be sent now.
    pub(super) fn is_backing_off(&self, now: f64) -> bool {
        now < self.backoff_until
    }

    /// Delays all requests until this time.
    pub(super) fn back_off_until(&mut self, time: f64) {
        self.backoff_until = time;
    }

    /// Records that a request is sent.
    pub(super) fn record_sent(&mut self, request: &CloudRequest) {
        self.exclusive_in_flight.extend(ExclusiveRequestKind::of(request));
    }

    /// Records that a request has ended, with or without a response.
    pub(super) fn record_ended(&mut self, request: &CloudRequest) {
        if let Some(kind) = ExclusiveRequestKind::of(request) {
            self.exclusive_in_flight.remove(&kind);
        }
    }

    /// Whether no request of this kind is in flight.
    fn none_in_flight(&self, kind: ExclusiveRequestKind) -> bool {
        !self.exclusive_in_flight.contains(&kind)
    }

    /// Whether machine types should be read now.
    pub(super) fn machine_types_due(&self, now: f64) -> bool {
        self.none_in_flight(ExclusiveRequestKind::MachineTypes)
            && has_passed(self.machine_types_read_at, MACHINE_TYPES_INTERVAL_S, now)
    }

    /// Records that machine types were read.
    pub(super) fn record_machine_types_read(&mut self, now: f64) {
        self.machine_types_read_at = Some(now);
    }

    /// Schedules another read of the machine types after [`MACHINE_TYPES_RETRY_S`], because a read
    /// has failed.
    pub(super) fn retry_machine_types(&mut self, now: f64) {
        // Sets the time of the last read such that the regular interval ends at the retry.
        self.machine_types_read_at = Some(now - MACHINE_TYPES_INTERVAL_S + MACHINE_TYPES_RETRY_S);
    }

    /// Whether a delete request may be sent now.
    pub(super) fn delete_due(&self, now: f64) -> bool {
        self.none_in_flight(ExclusiveRequestKind::Delete)
            && has_passed(self.delete_sent_at, DELETE_INTERVAL_S, now)
    }

    /// Records that a delete request is sent.
    pub(super) fn record_delete_sent(&mut self, now: f64) {
        self.delete_sent_at = Some(now);
    }

    /// Whether a page of the list should be read now. The cloud's list may lag behind by
    /// `list_lag_s` seconds, so the interval between two reads of the list is at least that long.
    pub(super) fn list_due(&self, now: f64, list_lag_s: f64) -> bool {
        let further_pages = f64::from(self.listing.pages.max(1) - 1);
        let interval_s =
            list_lag_s.max(MIN_LIST_INTERVAL_S) + LIST_INTERVAL_PER_PAGE_S * further_pages;
        self.none_in_flight(ExclusiveRequestKind::List)
            && (!self.listing.rows.is_empty() || has_passed(self.listing.ended_at, interval_s, now))
    }

    /// Returns the machine after which the next page of the list begins; `None` for the first page.
    pub(super) fn next_list_page_after(&self) -> Option<String> {
        self.listing.rows.last().map(|row| row.name.clone())
    }

    /// Adds a page of the list. Returns the whole list if the page is the last one, else `None`.
    pub(super) fn add_list_page(
        &mut self,
        now: f64,
        page: MachinePage,
    ) -> Option<Vec<ListedMachine>> {
        self.listing.rows.extend(page.machines);
        if page.truncated {
            return None;
        }
        self.listing.ended_at = Some(now);
        self.listing.pages = self.listing.rows.len().div_ceil(MAX_MACHINES_PER_PAGE) as u32;
        Some(std::mem::take(&mut self.listing.rows))
    }

    /// Aborts the current read of the list, because a page could not be read.
    pub(super) fn abort_list(&mut self, now: f64) {
        self.listing.rows.clear();
        self.listing.ended_at = Some(now);
    }
}
