//! Requests to the cloud: rentals, deletions, the list of machines and their types.
//!
//! What should be rented or returned is decided elsewhere; this module asks for it.

use crate::cloud_api::{CloudOutcome, CloudRequest};
use crate::leader::{
    Leader, Machine,
    machine::{DeletionReason, ProvisionedAt},
};
use gladekeel_sched::{MachineIdx, MachineTypeIdx, ZoneIdx};
use gladekeel_wire::cloud::{
    ListedMachine, MAX_MACHINES_PER_DELETE_REQUEST, MAX_MACHINES_PER_PAGE,
    MAX_MACHINES_PER_RENT_REQUEST, MachinePage, MachineState, MachineTypes, RentRequest,
};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// How long the names of deleted machines are remembered, against late reports and lists.
const TOMBSTONE_S: f64 = 600.0;
/// How long a type, zone and kind without capacity is left alone.
const NO_CAPACITY_S: f64 = 12.0;
/// How often prices are read.
const TYPES_EVERY_S: f64 = 60.0;

/// Machines of one type and zone, spot or not: what a rental asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(in crate::leader) struct MachinePool {
    /// The type.
    pub kind: MachineTypeIdx,
    /// The zone.
    pub zone: ZoneIdx,
    /// Spot or not.
    pub spot: bool,
}

/// A rental that has no final answer yet.
#[derive(Debug)]
struct Rental {
    rent: RentRequest,
    pool: MachinePool,
    in_flight: bool,
    /// Not repeated before this time.
    not_before: f64,
}

/// Requests to the cloud, under way and to be made, and what their answers told.
#[derive(Debug, Default)]
pub(in crate::leader) struct CloudRequestQueue {
    deleted: HashMap<String, f64>,
    /// The same in order, to forget the oldest ones.
    deleted_order: VecDeque<String>,
    empty_until: HashMap<MachinePool, f64>,
    /// Rentals under way or to be repeated, since they had no answer.
    rents: Vec<Rental>,
    /// Rentals decided and not yet asked for.
    wanted: Vec<(MachinePool, u32)>,
    /// Kinds of requests under way.
    in_flight: BTreeSet<u8>,
    types_at: Option<f64>,
    delete_at: Option<f64>,
    /// Pages of the last list.
    pages: u32,
    list_at: Option<f64>,
    list: Vec<ListedMachine>,
    counter: u64,
    not_before: f64,
}

/// Rentals under way at once.
const MAX_RENTALS: usize = 4;
/// Time between deletions, so that they leave calls for rentals.
const DELETE_EVERY_S: f64 = 0.5;

const TYPES: u8 = 0;
const DELETE: u8 = 2;
const LIST: u8 = 3;

/// Requests of which one is under way at a time.
fn lane(call: &CloudRequest) -> Option<u8> {
    match call {
        CloudRequest::ListMachineTypes => Some(TYPES),
        CloudRequest::Rent(_) => None,
        CloudRequest::Delete(_) => Some(DELETE),
        CloudRequest::ListMachines { .. } => Some(LIST),
    }
}

impl CloudRequestQueue {
    /// Whether the machine was deleted for certain.
    pub fn is_gone(&self, name: &str) -> bool {
        self.deleted.contains_key(name)
    }

    /// Whether rentals of these machines may succeed, as far as the last answers tell.
    pub fn may_have_capacity(&self, pool: MachinePool, now: f64) -> bool {
        self.empty_until.get(&pool).is_none_or(|until| now >= *until)
    }

    /// Rentals that have no final answer yet, with how many machines they ask for.
    pub fn open_rentals(&self) -> impl Iterator<Item = (MachinePool, u32)> {
        self.rents.iter().map(|rental| (rental.pool, rental.rent.count))
    }

    /// Machines to rent as soon as requests allow it.
    pub fn want(&mut self, pool: MachinePool, count: u32) {
        self.wanted.push((pool, count));
    }

    /// Drops what was wanted and not asked for yet: it is decided anew.
    pub fn clear_wanted(&mut self) {
        self.wanted.clear();
    }

    /// Forgets deletions of which no late report or list will speak any more.
    pub fn forget_old_deletions(&mut self, now: f64) {
        while let Some(name) = self.deleted_order.front()
            && self.deleted.get(name).is_none_or(|at| now - *at >= TOMBSTONE_S)
        {
            self.deleted.remove(name);
            self.deleted_order.pop_front();
        }
    }
}

impl Leader {
    pub(in crate::leader) fn next_cloud_call(&mut self, now: f64) -> Option<CloudRequest> {
        if now < self.cluster.cloud.not_before {
            return None;
        }
        let cloud = &mut self.cluster.cloud;
        // Long lists are read less often: they would use up the calls.
        let list_s =
            self.deployment.cloud.list_lag_s.max(2.0) + 2.0 * f64::from(cloud.pages.max(1) - 1);
        let due = |at: Option<f64>, every: f64| at.is_none_or(|at| now - at >= every);
        let call = if due(cloud.types_at, TYPES_EVERY_S) && !cloud.in_flight.contains(&TYPES) {
            CloudRequest::ListMachineTypes
        } else if !cloud.in_flight.contains(&DELETE)
            && due(cloud.delete_at, DELETE_EVERY_S)
            && let Some(names) = self.next_deletion()
        {
            self.cluster.cloud.delete_at = Some(now);
            CloudRequest::Delete(names)
        } else if let Some(rent) = self.next_rent(now) {
            CloudRequest::Rent(rent)
        } else if !self.cluster.cloud.in_flight.contains(&LIST)
            && (!self.cluster.cloud.list.is_empty() || due(self.cluster.cloud.list_at, list_s))
        {
            CloudRequest::ListMachines {
                after: self.cluster.cloud.list.last().map(|row| row.name.clone()),
            }
        } else {
            return None;
        };
        self.cluster.cloud.in_flight.extend(lane(&call));
        Some(call)
    }

    /// The next machines to delete, if any, those with work first; marks that the
    /// request goes out.
    fn next_deletion(&mut self) -> Option<Vec<String>> {
        let wanted = |ix: &MachineIdx| {
            let machine = self.cluster.machines.get(ix)?;
            machine.deletion.is_unconfirmed().then_some((machine.is_idle(), *ix))
        };
        let mut wanted: Vec<(bool, MachineIdx)> =
            self.cluster.leaving.iter().filter_map(wanted).collect();
        wanted.sort_unstable();
        let mut names = Vec::new();
        for (_, ix) in wanted.into_iter().take(MAX_MACHINES_PER_DELETE_REQUEST) {
            if let Some(machine) = self.cluster.machines.get_mut(&ix) {
                machine.deletion.request();
                names.push(machine.name.clone());
            }
        }
        (!names.is_empty()).then_some(names)
    }

    fn next_rent(&mut self, now: f64) -> Option<RentRequest> {
        let cloud = &mut self.cluster.cloud;
        // Without an answer the very same request is repeated: it may have been
        // carried out, and then the repeat gets the same machines.
        let again = |rental: &&mut Rental| !rental.in_flight && now >= rental.not_before;
        if let Some(rental) = cloud.rents.iter_mut().find(again) {
            rental.in_flight = true;
            return Some(rental.rent.clone());
        }
        while cloud.rents.len() < MAX_RENTALS {
            let (pool, count) = cloud.wanted.pop()?;
            if count == 0 || !cloud.may_have_capacity(pool, now) {
                continue;
            }
            if count > MAX_MACHINES_PER_RENT_REQUEST {
                cloud.want(pool, count - MAX_MACHINES_PER_RENT_REQUEST);
            }
            cloud.counter += 1;
            let rent = RentRequest {
                // Token, counter and the node's own random number: never used twice.
                request_id: format!("gk-{}-{}-{:08x}", self.token, cloud.counter, self.salt as u32),
                machine_type: self.catalog.machine_type_names.name(pool.kind).clone(),
                zone: self.catalog.zones.name(pool.zone).clone(),
                spot: pool.spot,
                count: count.min(MAX_MACHINES_PER_RENT_REQUEST),
            };
            cloud.rents.push(Rental { rent: rent.clone(), pool, in_flight: true, not_before: 0.0 });
            return Some(rent);
        }
        None
    }

    /// Takes a rental off the list of those that have no final answer.
    fn rental(&mut self, rent: &RentRequest) -> Option<Rental> {
        let rents = &mut self.cluster.cloud.rents;
        let at = rents.iter().position(|rental| rental.rent.request_id == rent.request_id)?;
        Some(rents.swap_remove(at))
    }

    pub(in crate::leader) fn on_cloud(
        &mut self,
        now: f64,
        call: &CloudRequest,
        outcome: CloudOutcome,
    ) {
        if let Some(lane) = lane(call) {
            self.cluster.cloud.in_flight.remove(&lane);
        }
        match (call, outcome) {
            (CloudRequest::ListMachineTypes, CloudOutcome::Types(types)) => {
                self.on_types(now, types);
            }
            (CloudRequest::Rent(rent), CloudOutcome::Rented(names)) => {
                self.on_rented(now, rent, names);
            }
            (CloudRequest::Rent(rent), CloudOutcome::NoCapacity | CloudOutcome::Rejected) => {
                if let Some(rental) = self.rental(rent) {
                    self.cluster.cloud.empty_until.insert(rental.pool, now + NO_CAPACITY_S);
                }
            }
            (CloudRequest::Rent(rent), outcome) => {
                let wait_s = if outcome == CloudOutcome::RateLimited { 0.5 } else { 1.0 };
                self.cluster.cloud.not_before = now + wait_s;
                let request = &rent.request_id;
                let rents = &mut self.cluster.cloud.rents;
                if let Some(rental) = rents.iter_mut().find(|r| r.rent.request_id == *request) {
                    rental.in_flight = false;
                    rental.not_before = now + wait_s;
                }
            }
            (CloudRequest::Delete(names), CloudOutcome::Deleted) => self.on_deleted(now, names),
            (CloudRequest::ListMachines { .. }, CloudOutcome::List(page)) => {
                self.on_list(now, page);
            }
            (CloudRequest::ListMachines { .. }, _) => {
                self.cluster.cloud.list.clear();
                self.cluster.cloud.list_at = Some(now);
            }
            (CloudRequest::ListMachineTypes, _) => {
                self.cluster.cloud.types_at = Some(now - TYPES_EVERY_S + 2.0);
            }
            (_, CloudOutcome::RateLimited) => self.cluster.cloud.not_before = now + 0.5,
            _ => self.cluster.cloud.not_before = now + 1.0,
        }
    }

    fn on_types(&mut self, now: f64, types: MachineTypes) {
        self.cluster.cloud.types_at = Some(now);
        let first = self.catalog.machine_type_names.is_empty();
        let stable = |t: &gladekeel_wire::cloud::MachineType| {
            let mut t = t.clone();
            t.spot_price = None;
            t
        };
        // Prices move all the time; the store has what a restarted node must know.
        let changed = types.types.iter().any(|t| {
            let known = self.catalog.machine_type_names.get(t.name.as_str());
            let known = known.and_then(|kind| self.catalog.machine_type(kind));
            known.map(stable) != Some(stable(t))
        });
        if first || changed {
            self.log_writer.pending().set_machine_types(types.clone());
        }
        self.catalog.add_machine_types(&types);
        self.timers.request_cycle();
    }

    fn on_rented(&mut self, now: f64, rent: &RentRequest, names: Vec<String>) {
        let Some(Rental { pool, .. }) = self.rental(rent) else { return };
        tracing::info!(
            kind = rent.machine_type,
            zone = rent.zone,
            spot = rent.spot,
            asked = rent.count,
            got = names.len(),
            "rented"
        );
        if names.len() < rent.count as usize {
            self.cluster.cloud.empty_until.insert(pool, now + NO_CAPACITY_S);
        }
        for name in names {
            self.cluster.counters.rented += 1;
            let ix = self.cluster.machine_names.intern(&name);
            let machine =
                self.cluster.machines.entry(ix).or_insert_with(|| Machine::new(&name, now));
            machine.machine_type = Some(pool.kind);
            machine.spot = pool.spot;
            machine.existence_confirmed = true;
            self.set_zone(ix, pool.zone);
        }
    }

    fn on_deleted(&mut self, now: f64, names: &[String]) {
        for name in names {
            let Some(ix) = self.cluster.machine_names.get(name.as_str()) else { continue };
            let Some(machine) = self.cluster.machines.get_mut(&ix) else { continue };
            machine.deletion.confirm();
            self.cluster.counters.deleted += 1;
            self.cluster.cloud.deleted.insert(name.clone(), now);
            self.cluster.cloud.deleted_order.push_back(name.clone());
        }
        self.timers.request_cycle();
        self.evacuate_leaving_machines(now);
    }

    fn on_list(&mut self, now: f64, page: MachinePage) {
        self.cluster.cloud.list.extend(page.machines);
        if page.truncated {
            return;
        }
        self.cluster.cloud.list_at = Some(now);
        self.cluster.cloud.pages =
            self.cluster.cloud.list.len().div_ceil(MAX_MACHINES_PER_PAGE) as u32;
        let rows = std::mem::take(&mut self.cluster.cloud.list);
        let mut listed = BTreeSet::new();
        for row in rows {
            if self.cluster.cloud.is_gone(&row.name) {
                continue;
            }
            let ix = self.cluster.machine_names.intern(&row.name);
            listed.insert(ix);
            let machine = self.cluster.machines.entry(ix).or_insert_with(|| {
                tracing::info!(machine = row.name, "adopted from the list");
                let mut machine = Machine::new(&row.name, now);
                machine.provisioned_at = ProvisionedAt::Time(now - row.age_s);
                machine
            });
            machine.machine_type = Some(self.catalog.intern_machine_type(&row.machine_type));
            machine.spot = row.spot;
            machine.existence_confirmed = true;
            if machine.addr.is_none() {
                machine.addr = row.addr;
            }
            machine.listing.record_listed(row.state);
            if row.state == MachineState::Failed {
                self.cluster.mark_for_deletion(now, ix, DeletionReason::Failed);
            }
            let zone = self.catalog.zones.intern(&row.zone);
            self.set_zone(ix, zone);
        }
        let late_s = self.deployment.workers.heartbeat_timeout_s();
        let mut gone = Vec::new();
        for (ix, machine) in &mut self.cluster.machines {
            let is_missing = machine.was_listed()
                && !listed.contains(ix)
                && machine.liveness.silent_s(now) > late_s;
            if is_missing && machine.listing.record_missing() {
                gone.push(*ix);
            }
        }
        for ix in gone {
            self.cluster.mark_for_deletion(now, ix, DeletionReason::NoLongerListed);
        }
    }
}
