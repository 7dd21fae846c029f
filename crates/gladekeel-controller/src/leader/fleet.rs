//! Renting, watching and returning machines.

use super::{Knowledge, Leader, Machine, Phase, ZoneView, standby::Gangs};
use crate::{
    cloud::{CloudCall, CloudOutcome},
    options::Options,
};
use gladekeel_sched::fleet::{Flow, Need, Sizer, Supply};
use gladekeel_wire::cloud::{
    MAX_DELETE, MAX_LIST, MAX_RENT, MachineList, MachineRow, MachineState, MachineTypes, Rent,
};
use gladekeel_wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// How long the names of deleted machines are remembered, against late reports and lists.
const TOMBSTONE_S: f64 = 600.0;
/// How long a type, zone and kind without capacity is left alone.
const NO_CAPACITY_S: f64 = 12.0;
/// How often prices are read.
const TYPES_EVERY_S: f64 = 60.0;
/// How long others of its zone answer while a machine does not answer: it is asked
/// at least once more meanwhile.
const SUSPECT_S: f64 = 2.5;
/// How long work that came tells of what will come.
const ARRIVALS_S: f64 = 60.0;
/// How often what machines cost is added up.
const SPEND_EVERY_S: f64 = 10.0;
/// Time that a deletion may take, with a cloud that is slow and asked for much.
const DELETE_S: f64 = 15.0;
/// A machine whose lease has run out and that answers, but has not reported for so many
/// times as long as its reports may take, reaches no controller.
const MUTE_REPORTS: f64 = 2.0;
/// A zone that is silent as a whole is given up so long before a cancellation that its
/// silence may have begun with must have ended.
const GIVE_UP_S: f64 = 8.0;
/// A machine that boots longer than this many times the usual time does not come.
const BOOT_MULTIPLE: f64 = 2.5;

/// A type, a zone, spot or not.
type Shelf = (u32, u32, bool);

/// A rental that has no final answer yet.
#[derive(Debug)]
struct Rental {
    rent: Rent,
    shelf: Shelf,
    flying: bool,
    /// Not repeated before this time.
    not_before: f64,
}

/// What the leader knows of the cloud.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    deleted: HashMap<String, f64>,
    /// The same in order, to forget the oldest ones.
    deleted_order: VecDeque<String>,
    empty_until: HashMap<Shelf, f64>,
    sizers: HashMap<(u32, bool), Sizer>,
    /// Work that came lately, by type and class, and as of when.
    arrived: BTreeMap<(u32, String), Flow>,
    /// Gangs that came lately and should start at once, by type and class.
    pub(super) gangs: BTreeMap<(u32, String), Gangs>,
    /// Ordinary machines to keep for them, by type.
    pub(super) standby: BTreeMap<u32, u32>,
    arrived_at: f64,
    /// Rentals under way or to be repeated, since they had no answer.
    rents: Vec<Rental>,
    /// Rentals decided and not yet asked for.
    wanted: Vec<(Shelf, u32)>,
    /// Kinds of requests under way.
    flying: BTreeSet<u8>,
    types_at: Option<f64>,
    delete_at: Option<f64>,
    /// Pages of the last list.
    pages: u32,
    list_at: Option<f64>,
    list: Vec<MachineRow>,
    /// Since when each zone has been within reach.
    reached_since: BTreeMap<Option<u32>, f64>,
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
fn lane(call: &CloudCall) -> Option<u8> {
    match call {
        CloudCall::Types => Some(TYPES),
        CloudCall::Rent(_) => None,
        CloudCall::Delete(_) => Some(DELETE),
        CloudCall::List { .. } => Some(LIST),
    }
}

impl Fleet {
    /// Whether the machine was deleted for certain.
    pub fn is_gone(&self, name: &str) -> bool {
        self.deleted.contains_key(name)
    }
}

impl Knowledge {
    /// The same leader under a new token. It has heard reports all the while, so
    /// silence goes on to count.
    pub(super) fn renew(&mut self) {
        for machine in self.machines.values_mut() {
            machine.attempts.clear();
            machine.used = Default::default();
            machine.awaited = Default::default();
            // Nothing under an older token can start once the worker has seen this one.
            machine.open_starts.clear();
            machine.direct_flying = false;
        }
    }
}

impl Leader {
    pub(super) fn next_cloud_call(&mut self, now: f64) -> Option<CloudCall> {
        if now < self.know.fleet.not_before {
            return None;
        }
        let fleet = &mut self.know.fleet;
        // Long lists are read less often: they would use up the calls.
        let list_s =
            self.params.cloud.list_lag_s.max(2.0) + 2.0 * f64::from(fleet.pages.max(1) - 1);
        let due = |at: Option<f64>, every: f64| at.is_none_or(|at| now - at >= every);
        let call = if due(fleet.types_at, TYPES_EVERY_S) && !fleet.flying.contains(&TYPES) {
            CloudCall::Types
        } else if !fleet.flying.contains(&DELETE)
            && due(fleet.delete_at, DELETE_EVERY_S)
            && let Some(names) = self.next_deletion()
        {
            self.know.fleet.delete_at = Some(now);
            CloudCall::Delete(names)
        } else if let Some(rent) = self.next_rent(now) {
            CloudCall::Rent(rent)
        } else if !self.know.fleet.flying.contains(&LIST)
            && (!self.know.fleet.list.is_empty() || due(self.know.fleet.list_at, list_s))
        {
            CloudCall::List { after: self.know.fleet.list.last().map(|row| row.name.clone()) }
        } else {
            return None;
        };
        self.know.fleet.flying.extend(lane(&call));
        Some(call)
    }

    /// The next machines to delete, if any, those with work first; marks that the
    /// request goes out.
    fn next_deletion(&mut self) -> Option<Vec<String>> {
        let wanted = |ix: &u32| {
            let machine = self.know.machines.get(ix)?;
            (machine.delete.is_some() && !machine.gone)
                .then_some((machine.attempts.is_empty(), *ix))
        };
        let mut wanted: Vec<(bool, u32)> = self.know.leaving.iter().filter_map(wanted).collect();
        wanted.sort_unstable();
        let mut names = Vec::new();
        for (_, ix) in wanted.into_iter().take(MAX_DELETE) {
            if let Some(machine) = self.know.machines.get_mut(&ix) {
                machine.delete_sent = true;
                names.push(machine.name.clone());
            }
        }
        (!names.is_empty()).then_some(names)
    }

    fn next_rent(&mut self, now: f64) -> Option<Rent> {
        let fleet = &mut self.know.fleet;
        // Without an answer the very same request is repeated: it may have been
        // carried out, and then the repeat gets the same machines.
        let again = |rental: &&mut Rental| !rental.flying && now >= rental.not_before;
        if let Some(rental) = fleet.rents.iter_mut().find(again) {
            rental.flying = true;
            return Some(rental.rent.clone());
        }
        while fleet.rents.len() < MAX_RENTALS {
            let (shelf, count) = fleet.wanted.pop()?;
            if count == 0 || fleet.empty_until.get(&shelf).is_some_and(|until| now < *until) {
                continue;
            }
            if count > MAX_RENT {
                fleet.wanted.push((shelf, count - MAX_RENT));
            }
            fleet.counter += 1;
            let rent = Rent {
                // Token, counter and the node's own random number: never used twice.
                request: format!("gk-{}-{}-{:08x}", self.token, fleet.counter, self.salt as u32),
                machine_type: self.catalog.kinds.name(shelf.0).clone(),
                zone: self.catalog.zones.name(shelf.1).clone(),
                spot: shelf.2,
                count: count.min(MAX_RENT),
            };
            fleet.rents.push(Rental { rent: rent.clone(), shelf, flying: true, not_before: 0.0 });
            return Some(rent);
        }
        None
    }

    /// Takes a rental off the list of those that have no final answer.
    fn rental(&mut self, rent: &Rent) -> Option<Rental> {
        let rents = &mut self.know.fleet.rents;
        let at = rents.iter().position(|rental| rental.rent.request == rent.request)?;
        Some(rents.swap_remove(at))
    }

    pub(super) fn on_cloud(&mut self, now: f64, call: &CloudCall, outcome: CloudOutcome) {
        if let Some(lane) = lane(call) {
            self.know.fleet.flying.remove(&lane);
        }
        match (call, outcome) {
            (CloudCall::Types, CloudOutcome::Types(types)) => self.on_types(now, types),
            (CloudCall::Rent(rent), CloudOutcome::Rented(names)) => {
                self.on_rented(now, rent, names)
            }
            (CloudCall::Rent(rent), CloudOutcome::NoCapacity | CloudOutcome::Bad) => {
                if let Some(rental) = self.rental(rent) {
                    self.know.fleet.empty_until.insert(rental.shelf, now + NO_CAPACITY_S);
                }
            }
            (CloudCall::Rent(rent), outcome) => {
                let wait_s = if outcome == CloudOutcome::Busy { 0.5 } else { 1.0 };
                self.know.fleet.not_before = now + wait_s;
                let request = &rent.request;
                let rents = &mut self.know.fleet.rents;
                if let Some(rental) = rents.iter_mut().find(|r| r.rent.request == *request) {
                    rental.flying = false;
                    rental.not_before = now + wait_s;
                }
            }
            (CloudCall::Delete(names), CloudOutcome::Deleted) => self.on_deleted(now, names),
            (CloudCall::List { .. }, CloudOutcome::List(page)) => self.on_list(now, page),
            (CloudCall::List { .. }, _) => {
                self.know.fleet.list.clear();
                self.know.fleet.list_at = Some(now);
            }
            (CloudCall::Types, _) => {
                self.know.fleet.types_at = Some(now - TYPES_EVERY_S + 2.0);
            }
            (_, CloudOutcome::Busy) => self.know.fleet.not_before = now + 0.5,
            _ => self.know.fleet.not_before = now + 1.0,
        }
    }

    fn on_types(&mut self, now: f64, types: MachineTypes) {
        self.know.fleet.types_at = Some(now);
        let first = self.catalog.kinds.is_empty();
        let stable = |t: &gladekeel_wire::cloud::MachineType| {
            let mut t = t.clone();
            t.spot_price = None;
            t
        };
        // Prices move all the time; the store has what a restarted node must know.
        let changed = types.types.iter().any(|t| {
            let known = self.catalog.kinds.get(t.name.as_str());
            let known = known.and_then(|kind| self.catalog.machine_type(kind));
            known.map(stable) != Some(stable(t))
        });
        if first || changed {
            self.commits.types = Some(types.clone());
        }
        self.catalog.learn(&types);
        self.round_wanted = true;
    }

    fn on_rented(&mut self, now: f64, rent: &Rent, names: Vec<String>) {
        let Some(Rental { shelf, .. }) = self.rental(rent) else { return };
        tracing::info!(
            kind = rent.machine_type,
            zone = rent.zone,
            spot = rent.spot,
            asked = rent.count,
            got = names.len(),
            "rented"
        );
        if names.len() < rent.count as usize {
            self.know.fleet.empty_until.insert(shelf, now + NO_CAPACITY_S);
        }
        for name in names {
            self.know.counts.rented += 1;
            let ix = self.know.machine_names.intern(&name);
            let machine = self.know.machines.entry(ix).or_insert_with(|| Machine::new(&name, now));
            machine.kind = Some(shelf.0);
            machine.spot = shelf.2;
            machine.vouched = true;
            self.learn_zone(ix, shelf.1);
        }
    }

    fn on_deleted(&mut self, now: f64, names: &[String]) {
        for name in names {
            let Some(ix) = self.know.machine_names.get(name.as_str()) else { continue };
            let Some(machine) = self.know.machines.get_mut(&ix) else { continue };
            machine.gone = true;
            self.know.counts.deleted += 1;
            self.know.fleet.deleted.insert(name.clone(), now);
            self.know.fleet.deleted_order.push_back(name.clone());
        }
        self.round_wanted = true;
        self.watch_machines(now);
    }

    fn on_list(&mut self, now: f64, page: MachineList) {
        self.know.fleet.list.extend(page.machines);
        if page.more {
            return;
        }
        self.know.fleet.list_at = Some(now);
        self.know.fleet.pages = self.know.fleet.list.len().div_ceil(MAX_LIST) as u32;
        let rows = std::mem::take(&mut self.know.fleet.list);
        let mut listed = BTreeSet::new();
        for row in rows {
            if self.know.fleet.is_gone(&row.name) {
                continue;
            }
            let ix = self.know.machine_names.intern(&row.name);
            listed.insert(ix);
            let machine = self.know.machines.entry(ix).or_insert_with(|| {
                tracing::info!(machine = row.name, "adopted from the list");
                let mut machine = Machine::new(&row.name, now);
                machine.born = now - row.age_s;
                machine
            });
            machine.kind = Some(self.catalog.kind(&row.machine_type));
            machine.spot = row.spot;
            machine.listed = true;
            machine.vouched = true;
            if machine.addr.is_none() {
                machine.addr = row.addr;
            }
            machine.missing = 0;
            machine.list_state = Some(row.state);
            if row.state == MachineState::Failed && machine.delete.is_none() {
                machine.delete = Some("failed");
                self.know.leaving.insert(ix);
            }
            let zone = self.catalog.zones.intern(&row.zone);
            self.learn_zone(ix, zone);
        }
        let late_s = self.params.workers.late_s();
        for (ix, machine) in &mut self.know.machines {
            // One that only the log tells of was up before this leader began.
            let was_listed = machine.listed || machine.born == f64::NEG_INFINITY;
            if was_listed && !listed.contains(ix) && now - machine.quiet_since > late_s {
                // Lists may be older than the one before: one of them proves little.
                machine.missing += 1;
                if machine.missing >= 2 && machine.delete.is_none() {
                    machine.delete = Some("no longer listed");
                    self.know.leaving.insert(*ix);
                }
            }
        }
    }

    /// Adds up what machines cost since the last time, by what they were doing.
    pub(super) fn count_spend(&mut self, now: f64) {
        if now - self.spend_at < SPEND_EVERY_S {
            return;
        }
        let hours = (now - self.spend_at).max(0.0) / 3600.0;
        self.spend_at = now;
        let spend = &mut self.know.counts.spend;
        for machine in self.know.machines.values().filter(|m| !m.gone) {
            let Some(kind) = machine.kind else { continue };
            let (Some(machine_type), Some(whole)) =
                (self.catalog.machine_type(kind), self.catalog.room(kind))
            else {
                continue;
            };
            let spot = machine_type.spot_price.filter(|_| machine.spot);
            let cost = spot.unwrap_or(machine_type.price) * hours;
            if machine.heard_at.is_none() {
                spend.boot += cost;
            } else if machine.attempts.is_empty() {
                spend.idle += cost;
            } else {
                let (mut running, mut waiting) = (0.0, 0.0);
                for attempt in machine.attempts.iter().filter_map(|id| self.attempts.get(*id)) {
                    let part = attempt.room.share_of(whole);
                    match attempt.seen {
                        Some(TaskState::Running) => running += part,
                        _ => waiting += part,
                    }
                }
                spend.running += cost * running;
                spend.waiting += cost * waiting;
                spend.gaps += cost * (1.0 - running - waiting).max(0.0);
            }
        }
        if now - self.spend_told >= 60.0 {
            self.spend_told = now;
            tracing::info!(?spend, machines = self.know.machines.len(), "spent so far");
        }
    }

    /// Decides which machines to rent and which to return.
    pub(super) fn size_fleet(&mut self, now: f64, options: &Options) {
        let fleet = &mut self.know.fleet;
        while let Some(name) = fleet.deleted_order.front()
            && fleet.deleted.get(name).is_none_or(|at| now - *at >= TOMBSTONE_S)
        {
            fleet.deleted.remove(name);
            fleet.deleted_order.pop_front();
        }
        let gone = self.know.leaving.iter().copied().filter(|ix| {
            self.know.machines.get(ix).is_some_and(|m| m.gone && m.attempts.is_empty())
        });
        for ix in gone.collect::<Vec<_>>() {
            self.know.machines.remove(&ix);
            self.know.leaving.remove(&ix);
        }
        self.know.fleet.wanted.clear();
        let fleet = &mut self.know.fleet;
        let weight = (-(now - fleet.arrived_at).max(0.0) / ARRIVALS_S).exp();
        fleet.arrived_at = now;
        fleet.arrived.values_mut().for_each(|flow| flow.machines *= weight);
        let mut needs = self.needs(now);
        for kind in 0..self.catalog.types.len() as u32 {
            let needs = needs.remove(&kind).unwrap_or_default();
            self.size_kind(now, options, kind, &needs);
        }
    }

    /// Deletes machines on which tasks of a cancelled job may outlast the time they have.
    /// Leases end most of what is out of reach in time, but a machine that hangs ends
    /// none, and what the cloud deletes is gone for certain.
    pub(super) fn end_cancelled(&mut self, now: f64) {
        let workers = &self.params.workers;
        // A new leader may not know when the user was told; the machines that it hears
        // are given time to say that they have stopped.
        let known_by = self.since + workers.late_s() + 2.0;
        let mut over = Vec::new();
        self.ending.retain(|ix| {
            let Some(job) = self.jobs.get(ix) else { return false };
            let until = match job.cancelled_after {
                f64::NEG_INFINITY => known_by,
                after => after + workers.cancel_s - DELETE_S,
            };
            if now >= until {
                let ids = self.attempts.of_job(*ix).ids();
                let attempts = ids.iter().filter_map(|id| self.attempts.get(*id));
                over.extend(attempts.filter(|a| a.phase == Phase::Live).map(|a| a.machine));
            }
            !self.attempts.of_job(*ix).is_empty()
        });
        for ix in over {
            let Some(machine) = self.know.machines.get_mut(&ix) else { continue };
            if machine.delete.is_none() && !machine.gone {
                tracing::info!(machine = machine.name, "may still run a cancelled task: deleted");
                machine.delete = Some("may still run a cancelled task");
                self.know.leaving.insert(ix);
            }
        }
    }

    /// Marks machines that are dead: silent, failed to boot, taken.
    pub(super) fn find_dead(
        &mut self,
        now: f64,
        options: &Options,
        own_zone: &str,
        heard_zones: &[&str],
    ) {
        let boots: BTreeMap<u32, f64> = self
            .catalog
            .types
            .iter()
            .enumerate()
            .filter_map(|(kind, t)| Some((kind as u32, t.as_ref()?.boot_s)))
            .collect();
        // A zone's silence must show well before a machine counts as dead.
        let heard_s = 0.6 * options.silent_s;
        let ask_s = self.params.workers.ask_s();
        let silent_s = options.silent_s;
        let mut zones: BTreeMap<Option<u32>, (usize, usize)> = BTreeMap::new();
        let mut answered: BTreeMap<Option<u32>, f64> = BTreeMap::new();
        for machine in self.know.machines.values().filter(|m| m.should_report()) {
            let (heard, all) = zones.entry(machine.zone).or_default();
            *all += 1;
            *heard += usize::from(now - machine.quiet_since < heard_s);
            if let Some(at) = machine.answered_at {
                let last = answered.entry(machine.zone).or_insert(at);
                *last = last.max(at);
            }
        }
        let any_answered = answered.values().copied().fold(f64::NEG_INFINITY, f64::max);
        self.reporting = zones.values().map(|(_, all)| all).sum();
        for (zone, (_, all)) in &zones {
            if let Some(zone) = zone {
                // One that was not heard of yet is given time.
                let new = ZoneView { reporting: 0, heard_at: now };
                self.zones.entry(*zone).or_insert(new).reporting = *all;
            }
        }
        let heard_any = zones.values().any(|(heard, _)| *heard > 0);
        let lease_s = self.params.workers.lease_s;
        let late_s = self.params.workers.late_s();
        let mute_s = MUTE_REPORTS * late_s + 4.0;
        let cut_s = (lease_s + 2.0 * silent_s).min(self.params.workers.cancel_s - GIVE_UP_S);
        // A zone is within reach if a machine there is heard, or if any machine is,
        // and the zone is the leader's own or a controller there is heard. Without
        // a single machine, the leader may be the one that is cut off.
        let joined = |zone: Option<u32>| {
            let name = zone.map(|zone| self.catalog.zones.name(zone).as_str());
            name.is_none_or(|name| name == own_zone || heard_zones.contains(&name))
        };
        let in_reach = |zone: Option<u32>| {
            zones.get(&zone).is_some_and(|(heard, _)| *heard > 0) || (heard_any && joined(zone))
        };
        let reached: BTreeSet<Option<u32>> =
            zones.keys().copied().filter(|zone| in_reach(*zone)).collect();
        // Silence counts only while the zone is within reach: right after a cut its
        // machines have been silent for long and are about to be heard again.
        let since = &mut self.know.fleet.reached_since;
        since.retain(|zone, _| reached.contains(zone));
        for zone in reached {
            since.entry(zone).or_insert(now);
        }
        for (ix, machine) in &mut self.know.machines {
            if machine.delete.is_some() || machine.gone {
                continue;
            }
            let quiet = now - machine.quiet_since;
            if machine.drained && machine.attempts.is_empty() {
                tracing::info!(machine = machine.name, "drained: returned");
                machine.delete = Some("drained");
                self.know.leaving.insert(*ix);
                continue;
            }
            let answers_s = machine.answers_since.map_or(0.0, |since| now - since);
            if answers_s > mute_s && quiet < late_s && machine.newest.0 > machine.reported.1 {
                // It answers, but its lease has run out: nobody hears its reports, and
                // it would lose every long task again and again.
                tracing::info!(machine = machine.name, quiet, "reports to nobody: deleted");
                machine.delete = Some("reports to nobody");
                self.know.leaving.insert(*ix);
            } else if machine.should_report() {
                let reached = self.know.fleet.reached_since.get(&machine.zone);
                let reached_s = reached.map_or(-1.0, |since| now - since);
                // Silence of a whole zone may be a cut, and its machines may be at
                // work behind it: only a long one is taken for their end.
                // A late one is asked; so is one that was up before this leader began, so
                // that its tasks are known before its next report.
                if quiet > ask_s || (machine.heard_at.is_none() && machine.was_up()) {
                    self.probes_wanted.insert(*ix);
                }
                // It may report to another node and be well, or a cut may have begun when
                // it was about to report, or no worker can be reached from here: its silence
                // counts only if it does not answer while others of its zone do.
                let others = machine.mute_since.is_some_and(|mute| {
                    answered.get(&machine.zone).is_some_and(|at| *at > mute)
                        || (any_answered > mute && joined(machine.zone))
                });
                if others {
                    machine.suspect_since.get_or_insert(now);
                }
                let dead = machine.suspect_since.is_some_and(|since| now - since >= SUSPECT_S);
                if (quiet.min(reached_s) > silent_s && dead)
                    || (heard_any && quiet > cut_s)
                    || quiet > 3.0 * lease_s
                {
                    tracing::info!(machine = machine.name, quiet, "silent: deleted");
                    machine.delete = Some("silent");
                    self.know.leaving.insert(*ix);
                }
            } else {
                let boot = machine.kind.and_then(|kind| boots.get(&kind)).copied().unwrap_or(60.0);
                // One that was up already has not reported to this leader yet; it may be
                // about to.
                if quiet > silent_s && now - machine.born > boot * BOOT_MULTIPLE + 10.0 {
                    tracing::info!(machine = machine.name, "never came up: deleted");
                    machine.delete = Some("never came up");
                    self.know.leaving.insert(*ix);
                }
            }
        }
    }

    /// A job has just come.
    pub(super) fn count_arrival(&mut self, ix: u32) {
        let Some(job) = self.jobs.get(&ix) else { return };
        let Some((kind, fits)) = self.kind_for(job) else { return };
        let run_s = self.expected_run(job);
        let work = f64::from(job.spec.tasks) / f64::from(fits) * run_s;
        let due_s = job.due_s(&self.params, run_s);
        let class = job.spec.class.clone();
        let flow = self.know.fleet.arrived.entry((kind, class)).or_default();
        let total = (flow.machines + work).max(1e-9);
        // Classes' due times differ from job to job: the mean by work.
        flow.due_s += (due_s - flow.due_s) * work / total;
        flow.machines = total;
        self.count_gang(ix, kind, work, fits);
    }

    /// What unfinished jobs need, by machine type; with it whether they may use
    /// spot machines.
    fn needs(&self, now: f64) -> BTreeMap<u32, Vec<(bool, Need)>> {
        let mut needs: BTreeMap<u32, Vec<(bool, Need)>> = BTreeMap::new();
        let mut left: Vec<_> = self.teams.iter().map(|team| team.limit).collect();
        for (ix, job) in self.jobs.iter().filter(|(_, job)| !job.over()) {
            let Some((kind, fits)) = self.kind_for(job) else { continue };
            let allowed = job.room.times_in(
                gladekeel_sched::Room { memory: i64::MAX / 4, ..left[job.team as usize] },
                job.remaining(),
            );
            left[job.team as usize] -= job.room * i64::from(allowed);
            let running = (self.attempts.of_job(*ix).len() as u32).min(allowed);
            let pending = if now < job.hold_until { 0 } else { allowed - running };
            let run_s = self.expected_run(job);
            let need = Need {
                pending: f64::from(pending) / f64::from(fits),
                running: f64::from(running) / f64::from(fits),
                run_s,
                left_s: job.due_s(&self.params, run_s) - (now - job.known_at),
                together: job.is_gang(),
            };
            needs.entry(kind).or_default().push((job.spec.spot, need));
        }
        needs
    }

    /// How long a machine fetches the job's image.
    pub(super) fn fetch_s(&self, job: &super::Job) -> f64 {
        let rate = self
            .kind_for(job)
            .and_then(|(kind, _)| self.catalog.machine_type(kind))
            .map_or(1.0, |t| t.fetch_gb_per_s);
        job.spec.image_gb / rate.max(0.01)
    }

    /// How long a task of the job runs: the owner's estimate, put right by what
    /// its class has shown.
    pub(super) fn expected_run(&self, job: &super::Job) -> f64 {
        let ratio = self.know.ratios.get(&job.spec.class).copied().unwrap_or(1.0);
        (job.spec.estimate_s * ratio).max(1.0)
    }

    /// The type on which a job's tasks cost least, and how many fit on one.
    fn kind_for(&self, job: &super::Job) -> Option<(u32, u32)> {
        let fitting = |kind: u32| -> Option<(f64, u32, u32)> {
            let machine_type = self.catalog.machine_type(kind)?;
            let fits = job.room.times_in(self.catalog.room(kind)?, 1000);
            let zone_fits = job
                .zone
                .is_none_or(|zone| machine_type.zones.contains(self.catalog.zones.name(zone)));
            (fits > 0 && zone_fits).then(|| (machine_type.price / f64::from(fits), kind, fits))
        };
        let all: Vec<u32> = (0..self.catalog.types.len() as u32).collect();
        job.kinds
            .as_ref()
            .unwrap_or(&all)
            .iter()
            .filter_map(|kind| fitting(*kind))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, kind, fits)| (kind, fits))
    }

    /// What there is of a type, and of its ordinary machines alone.
    fn supply(&self, now: f64, kind: u32, boot_s: f64, silent_s: f64) -> (Supply, Supply) {
        let (mut any, mut ordinary) = (Supply::default(), Supply::default());
        for machine in self.know.machines.values() {
            if machine.kind != Some(kind) || machine.leaving() {
                continue;
            }
            let age = now - machine.born;
            for supply in [Some(&mut any), (!machine.spot).then_some(&mut ordinary)] {
                let Some(supply) = supply else { continue };
                if machine.heard_at.is_some()
                    || (machine.was_up()
                        && (now - machine.quiet_since < silent_s
                            || machine.zone.is_some_and(|zone| self.is_quiet(zone, now))))
                {
                    supply.up += 1.0;
                } else if !machine.was_up() && age <= boot_s * 1.6 + 5.0 {
                    // One that boots unusually long is no longer counted on.
                    supply.booting.push((boot_s - age).max(5.0));
                }
            }
        }
        for Rental { rent, shelf, .. } in &self.know.fleet.rents {
            if shelf.0 == kind {
                let booting = vec![boot_s; rent.count as usize];
                any.booting.extend(&booting);
                if !shelf.2 {
                    ordinary.booting.extend(&booting);
                }
            }
        }
        (any, ordinary)
    }

    fn size_kind(&mut self, now: f64, options: &Options, kind: u32, needs: &[(bool, Need)]) {
        let Some(machine_type) = self.catalog.machine_type(kind) else { return };
        let boot_s = machine_type.boot_s;
        let zones: Vec<u32> = machine_type
            .zones
            .iter()
            .filter_map(|zone| self.catalog.zones.get(zone.as_str()))
            .collect();
        let may_spot = machine_type.spot_price.is_some();
        let (supply, supply_ordinary) = self.supply(now, kind, boot_s, options.silent_s);
        let all: Vec<Need> = needs.iter().map(|(_, need)| *need).collect();
        let no_spot: Vec<Need> =
            needs.iter().filter(|(spot, _)| !spot).map(|(_, need)| *need).collect();
        let fleet = &mut self.know.fleet;
        let flows: Vec<Flow> = fleet
            .arrived
            .iter()
            .filter(|((of, _), _)| *of == kind)
            .map(|(_, flow)| Flow { machines: flow.machines / ARRIVALS_S, ..*flow })
            .collect();
        let mut plan = |ordinary: bool, needs: &[Need], supply: &Supply| {
            let sizer = fleet.sizers.entry((kind, ordinary)).or_default();
            let flows = if ordinary { &[] } else { flows.as_slice() };
            sizer.plan(now, needs, supply, flows, boot_s, &options.sizing)
        };
        let any = plan(false, &all, &supply);
        let mut ordinary = plan(true, &no_spot, &supply_ordinary);
        let standby = fleet.standby.get(&kind).copied().unwrap_or(0);
        ordinary.need = ordinary.need.max(f64::from(standby));
        tracing::debug!(
            kind,
            up = supply.up,
            booting = supply.booting.len(),
            rent = any.rent,
            need = any.need,
            keep = any.keep,
            pending = all.iter().map(|need| need.pending).sum::<f64>(),
            running = all.iter().map(|need| need.running).sum::<f64>(),
            "fleet"
        );
        let mut by_zone: BTreeMap<(u32, bool), usize> = BTreeMap::new();
        for machine in self.know.machines.values() {
            if let Some(zone) = machine.zone.filter(|_| machine.kind == Some(kind)) {
                *by_zone.entry((zone, machine.spot)).or_default() += 1;
            }
        }
        let mut need = any.rent.ceil() as usize;
        let need_ordinary = (ordinary.rent.ceil() as usize).min(need.max(1));
        for spot in [true, false] {
            let share = if spot { need.saturating_sub(need_ordinary) } else { need };
            if share == 0 || (spot && !may_spot) {
                continue;
            }
            let mut open: Vec<u32> = zones
                .iter()
                .copied()
                .filter(|zone| {
                    let until = self.know.fleet.empty_until.get(&(kind, *zone, spot));
                    until.is_none_or(|until| now >= *until)
                })
                .collect();
            if open.is_empty() {
                continue;
            }
            // Spread over zones: the one that has fewest gets the most.
            open.sort_by_key(|zone| by_zone.get(&(*zone, spot)).copied().unwrap_or(0));
            let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
            for step in 0..share {
                *counts.entry(open[step % open.len()]).or_default() += 1;
            }
            for (zone, count) in counts {
                self.know.fleet.wanted.push(((kind, zone, spot), count));
            }
            if spot {
                // What spot machines cannot give, ordinary ones do in the next round.
                need = need_ordinary;
            }
        }
        // Ordinary machines go as soon as they are not needed; cheap ones stay for
        // what usually comes.
        let have = supply.up + supply.booting.len() as f64;
        let have_ordinary = supply_ordinary.up + supply_ordinary.booting.len() as f64;
        let over = |have: f64, bound: f64| (have - bound.round()).max(0.0) as usize;
        let spare_ordinary = over(have_ordinary, ordinary.need).min(over(have, any.need));
        let spare_spot = over(have, any.keep).saturating_sub(spare_ordinary);
        self.return_idle(now, options, kind, false, spare_ordinary);
        self.return_idle(now, options, kind, true, spare_spot);
    }

    fn return_idle(&mut self, now: f64, options: &Options, kind: u32, spot: bool, spare: usize) {
        let mut idle: Vec<(f64, u32)> = self
            .know
            .machines
            .iter()
            .filter(|(_, m)| {
                m.kind == Some(kind)
                    && m.spot == spot
                    && !m.leaving()
                    && !m.standby
                    && m.heard_at.is_some()
                    && m.attempts.is_empty()
                    && now - m.idle_since >= options.idle_s
                    // A minute is charged in any case.
                    && now - m.born >= 55.0
            })
            .map(|(ix, m)| (m.idle_since, *ix))
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, ix) in idle.into_iter().take(spare) {
            if let Some(machine) = self.know.machines.get_mut(&ix) {
                tracing::info!(machine = machine.name, spot, "idle: returned");
                machine.delete = Some("idle");
                self.know.leaving.insert(ix);
            }
        }
    }
}
