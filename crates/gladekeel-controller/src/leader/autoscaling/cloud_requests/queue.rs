//! The queue of requests to the cloud.

use super::deleted_machines::DeletedMachines;
use crate::cloud_api::CloudRequest;
use crate::leader::autoscaling::machine_pool::MachinePool;
use gladekeel_wire::cloud::{
    ListedMachine, MAX_MACHINES_PER_PAGE, MAX_MACHINES_PER_RENT_REQUEST, MachinePage, RentRequest,
};
use std::collections::{BTreeSet, HashMap};

/// How long nothing is requested from a pool that had no capacity.
const NO_CAPACITY_BACKOFF_S: f64 = 12.0;
/// The maximum of rent requests without a final response.
const MAX_PENDING_RENTS: usize = 4;
/// The interval at which machine types and their prices are read.
const MACHINE_TYPES_INTERVAL_S: f64 = 60.0;
/// After a failure they are read again sooner.
const MACHINE_TYPES_RETRY_S: f64 = 2.0;
/// The least interval between delete requests, so that they leave requests for rents.
const DELETE_INTERVAL_S: f64 = 0.5;
/// The least interval between two lists.
const MIN_LIST_INTERVAL_S: f64 = 2.0;
/// What each further page of the list adds to the interval: long lists would use up the requests.
const LIST_INTERVAL_PER_PAGE_S: f64 = 2.0;

/// A rent request that has no final response yet.
#[derive(Debug)]
struct PendingRent {
    request: RentRequest,
    pool: MachinePool,
    in_flight: bool,
    retry_at: f64,
}

/// Machines to rent.
#[derive(Debug, Clone, Copy)]
struct ScaleOut {
    pool: MachinePool,
    count: u32,
}

/// A rent request to make.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewRent {
    pub pool: MachinePool,
    pub count: u32,
    /// Differs from that of all earlier ones.
    pub number: u64,
}

/// Requests of which one is in flight at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestLane {
    MachineTypes,
    Delete,
    List,
}

impl RequestLane {
    /// The lane of a request; rents have none, since several may be in flight.
    fn of(request: &CloudRequest) -> Option<RequestLane> {
        match request {
            CloudRequest::ListMachineTypes => Some(RequestLane::MachineTypes),
            CloudRequest::Rent(_) => None,
            CloudRequest::Delete(_) => Some(RequestLane::Delete),
            CloudRequest::ListMachines { .. } => Some(RequestLane::List),
        }
    }
}

/// The cloud's list of machines, read page by page.
#[derive(Debug, Default)]
struct MachineListing {
    /// The rows of the pages so far.
    rows: Vec<ListedMachine>,
    /// Pages of the last complete list.
    pages: u32,
    /// When a list was last completed or given up.
    ended_at: Option<f64>,
}

/// Requests to the cloud: to be made and in flight, and what limits them.
#[derive(Debug, Default)]
pub(in crate::leader) struct CloudRequestQueue {
    deleted: DeletedMachines,
    no_capacity_until: HashMap<MachinePool, f64>,
    pending_rents: Vec<PendingRent>,
    scale_outs: Vec<ScaleOut>,
    lanes_in_flight: BTreeSet<RequestLane>,
    machine_types_read_at: Option<f64>,
    delete_sent_at: Option<f64>,
    listing: MachineListing,
    rents_numbered: u64,
    /// No request is made before this time.
    backoff_until: f64,
}

/// Whether an interval has passed since a time, if there was one.
fn has_passed(since: Option<f64>, interval_s: f64, now: f64) -> bool {
    since.is_none_or(|since| now - since >= interval_s)
}

/// What has become of machines and pools.
impl CloudRequestQueue {
    /// Whether the machine's deletion is confirmed.
    pub fn is_gone(&self, name: &str) -> bool {
        self.deleted.contains(name)
    }

    /// Notes that the deletion of a machine is confirmed.
    pub(super) fn note_deleted(&mut self, name: &str, now: f64) {
        self.deleted.add(name, now);
    }

    /// Forgets deletions that no late heartbeat or list can name any more.
    pub(super) fn forget_old_deletions(&mut self, now: f64) {
        self.deleted.forget_old(now);
    }

    /// Whether a rent from this pool may succeed, as far as the last responses say.
    pub fn may_have_capacity(&self, pool: MachinePool, now: f64) -> bool {
        self.no_capacity_until.get(&pool).is_none_or(|until| now >= *until)
    }

    /// Notes that a pool had fewer machines than requested.
    pub(super) fn note_no_capacity(&mut self, pool: MachinePool, now: f64) {
        self.no_capacity_until.insert(pool, now + NO_CAPACITY_BACKOFF_S);
    }
}

/// Scale-out and rents.
impl CloudRequestQueue {
    /// Requests machines from a pool, as soon as limits allow it.
    pub fn request_scale_out(&mut self, pool: MachinePool, count: u32) {
        self.scale_outs.push(ScaleOut { pool, count });
    }

    /// Drops scale-outs for which no rent request was made yet: they are decided anew.
    pub fn clear_scale_outs(&mut self) {
        self.scale_outs.clear();
    }

    /// Rents that have no final response yet, with how many machines they request.
    pub fn pending_rents(&self) -> impl Iterator<Item = (MachinePool, u32)> {
        self.pending_rents.iter().map(|rent| (rent.pool, rent.request.count))
    }

    /// The next rent request to retry. Without a response the very same request is repeated: it
    /// may have been carried out, and then the retry gets the same machines.
    pub(super) fn next_rent_retry(&mut self, now: f64) -> Option<RentRequest> {
        let is_due = |rent: &&mut PendingRent| !rent.in_flight && now >= rent.retry_at;
        let rent = self.pending_rents.iter_mut().find(is_due)?;
        rent.in_flight = true;
        Some(rent.request.clone())
    }

    /// The next rent request to make, if there may be one more. What exceeds the maximum of a
    /// request stays in the queue.
    pub(super) fn take_scale_out(&mut self, now: f64) -> Option<NewRent> {
        while self.pending_rents.len() < MAX_PENDING_RENTS {
            let ScaleOut { pool, count } = self.scale_outs.pop()?;
            if count == 0 || !self.may_have_capacity(pool, now) {
                continue;
            }
            if count > MAX_MACHINES_PER_RENT_REQUEST {
                self.request_scale_out(pool, count - MAX_MACHINES_PER_RENT_REQUEST);
            }
            self.rents_numbered += 1;
            let count = count.min(MAX_MACHINES_PER_RENT_REQUEST);
            return Some(NewRent { pool, count, number: self.rents_numbered });
        }
        None
    }

    /// Adds a rent request that is sent now.
    pub(super) fn add_rent(&mut self, pool: MachinePool, request: RentRequest) {
        self.pending_rents.push(PendingRent { request, pool, in_flight: true, retry_at: 0.0 });
    }

    /// Ends a rent that has a final response, and returns its pool.
    pub(super) fn finish_rent(&mut self, request: &RentRequest) -> Option<MachinePool> {
        let position = self.rent_position(request)?;
        Some(self.pending_rents.swap_remove(position).pool)
    }

    /// Lets a rent that has no final response be retried after a while.
    pub(super) fn retry_rent_at(&mut self, request: &RentRequest, retry_at: f64) {
        if let Some(position) = self.rent_position(request) {
            let rent = &mut self.pending_rents[position];
            rent.in_flight = false;
            rent.retry_at = retry_at;
        }
    }

    fn rent_position(&self, request: &RentRequest) -> Option<usize> {
        self.pending_rents.iter().position(|rent| rent.request.request_id == request.request_id)
    }
}

/// What is due and what is in flight.
impl CloudRequestQueue {
    /// Whether no request may be made now.
    pub(super) fn is_backing_off(&self, now: f64) -> bool {
        now < self.backoff_until
    }

    /// Makes no request before this time.
    pub(super) fn back_off_until(&mut self, time: f64) {
        self.backoff_until = time;
    }

    /// Notes that a request is sent.
    pub(super) fn note_sent(&mut self, request: &CloudRequest) {
        self.lanes_in_flight.extend(RequestLane::of(request));
    }

    /// Notes that a request has ended, with a response or without.
    pub(super) fn note_ended(&mut self, request: &CloudRequest) {
        if let Some(lane) = RequestLane::of(request) {
            self.lanes_in_flight.remove(&lane);
        }
    }

    fn is_free(&self, lane: RequestLane) -> bool {
        !self.lanes_in_flight.contains(&lane)
    }

    /// Whether machine types should be read now.
    pub(super) fn machine_types_due(&self, now: f64) -> bool {
        self.is_free(RequestLane::MachineTypes)
            && has_passed(self.machine_types_read_at, MACHINE_TYPES_INTERVAL_S, now)
    }

    /// Notes that machine types were read.
    pub(super) fn note_machine_types_read(&mut self, now: f64) {
        self.machine_types_read_at = Some(now);
    }

    /// Lets machine types that could not be read be read again soon.
    pub(super) fn retry_machine_types(&mut self, now: f64) {
        // As if they had been read so long ago that they are due when the retry is.
        self.machine_types_read_at = Some(now - MACHINE_TYPES_INTERVAL_S + MACHINE_TYPES_RETRY_S);
    }

    /// Whether a delete request may be made now.
    pub(super) fn delete_due(&self, now: f64) -> bool {
        self.is_free(RequestLane::Delete) && has_passed(self.delete_sent_at, DELETE_INTERVAL_S, now)
    }

    /// Notes that a delete request is sent.
    pub(super) fn note_delete_sent(&mut self, now: f64) {
        self.delete_sent_at = Some(now);
    }

    /// Whether a page of the list should be read now. Lists may be as old as `list_lag_s`.
    pub(super) fn list_due(&self, now: f64, list_lag_s: f64) -> bool {
        let further_pages = f64::from(self.listing.pages.max(1) - 1);
        let interval_s =
            list_lag_s.max(MIN_LIST_INTERVAL_S) + LIST_INTERVAL_PER_PAGE_S * further_pages;
        self.is_free(RequestLane::List)
            && (!self.listing.rows.is_empty() || has_passed(self.listing.ended_at, interval_s, now))
    }

    /// The machine after which the next page of the list begins.
    pub(super) fn next_list_page_after(&self) -> Option<String> {
        self.listing.rows.last().map(|row| row.name.clone())
    }

    /// Takes a page of the list; returns the whole list with the last page.
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

    /// Gives up a list of which a page could not be read.
    pub(super) fn abort_list(&mut self, now: f64) {
        self.listing.rows.clear();
        self.listing.ended_at = Some(now);
    }
}
