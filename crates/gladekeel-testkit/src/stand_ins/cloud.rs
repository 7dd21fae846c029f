//! A stand-in for the cloud.

use gladekeel_controller::cloud_api::{CloudOutcome, CloudRequest};
use gladekeel_wire::cloud::{ListedMachine, MachinePage, MachineState, MachineType, MachineTypes};
use std::collections::{BTreeMap, BTreeSet};

/// A rented machine.
#[derive(Debug, Clone)]
pub struct Rented {
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or not.
    pub spot: bool,
    /// When it was rented.
    pub at: f64,
    /// When it is up; never if it does not boot.
    pub up_at: Option<f64>,
    /// When it went, and whether by itself or by the cloud.
    pub gone_at: Option<f64>,
}

/// The cloud.
#[derive(Debug)]
pub struct FakeCloud {
    /// Its machine types.
    pub types: Vec<MachineType>,
    /// Free machines by zone and spot.
    pub capacity: BTreeMap<(String, bool), u32>,
    /// All machines ever rented.
    pub machines: BTreeMap<String, Rented>,
    /// During an outage every request is refused.
    pub down: bool,
    /// How late the list is.
    pub lag_s: f64,
    /// The next this many machines do not boot.
    pub machines_not_booting: u32,
    /// What was asked of it that no client may ask.
    pub abuses: Vec<String>,
    rentals: BTreeMap<String, (String, Vec<String>)>,
    counter: u64,
}

impl FakeCloud {
    /// A cloud with one machine type.
    pub fn new(
        types: Vec<MachineType>,
        capacity: BTreeMap<(String, bool), u32>,
        lag_s: f64,
    ) -> FakeCloud {
        FakeCloud {
            types,
            capacity,
            machines: BTreeMap::new(),
            down: false,
            lag_s,
            machines_not_booting: 0,
            abuses: Vec::new(),
            rentals: BTreeMap::new(),
            counter: 0,
        }
    }

    /// Carries out a call. Returns the machines that came and those that went.
    pub fn call(
        &mut self,
        now: f64,
        call: &CloudRequest,
    ) -> (CloudOutcome, Vec<String>, Vec<String>) {
        let none = Vec::new;
        if self.down {
            return (CloudOutcome::Unavailable, none(), none());
        }
        match call {
            CloudRequest::ListMachineTypes => {
                let types = MachineTypes { types: self.types.clone() };
                (CloudOutcome::Types(types), none(), none())
            }
            CloudRequest::Rent(rent) => {
                let what = format!("{rent:?}");
                if let Some((before, names)) = self.rentals.get(&rent.request_id) {
                    if *before != what {
                        self.abuses.push(format!("charter {} used twice", rent.request_id));
                    }
                    return (CloudOutcome::Rented(names.clone()), none(), none());
                }
                let key = (rent.zone.clone(), rent.spot);
                let free = self.capacity.get(&key).copied().unwrap_or(0);
                let count = free.min(rent.count);
                if count == 0 {
                    return (CloudOutcome::NoCapacity, none(), none());
                }
                self.capacity.insert(key, free - count);
                let boot = self.types.iter().find(|t| t.name == rent.machine_type);
                let boot_s = boot.map_or(30.0, |t| t.boot_s);
                let mut names = Vec::new();
                for _ in 0..count {
                    self.counter += 1;
                    let name = format!("n-{:06}", self.counter);
                    let dud = self.machines_not_booting > 0;
                    self.machines_not_booting -= u32::from(dud);
                    self.machines.insert(
                        name.clone(),
                        Rented {
                            machine_type: rent.machine_type.clone(),
                            zone: rent.zone.clone(),
                            spot: rent.spot,
                            at: now,
                            up_at: (!dud).then_some(now + boot_s),
                            gone_at: None,
                        },
                    );
                    names.push(name);
                }
                self.rentals.insert(rent.request_id.clone(), (what, names.clone()));
                (CloudOutcome::Rented(names.clone()), names, none())
            }
            CloudRequest::Delete(names) => {
                let gone: Vec<String> =
                    names.iter().filter(|name| self.take(now, name)).cloned().collect();
                (CloudOutcome::Deleted, none(), gone)
            }
            CloudRequest::ListMachines { after } => {
                let then = now - self.lag_s;
                let rows = self.machines.iter().filter(|(name, m)| {
                    after.as_ref().is_none_or(|after| *name > after)
                        && m.at <= then
                        && m.gone_at.is_none_or(|gone| gone > then)
                });
                let machines = rows
                    .map(|(name, m)| {
                        let up = m.up_at.is_some_and(|up| up <= then);
                        ListedMachine {
                            name: name.clone(),
                            // Its worker's address here, known once it is up.
                            addr: up.then(|| name.clone()),
                            machine_type: m.machine_type.clone(),
                            zone: m.zone.clone(),
                            spot: m.spot,
                            state: if up { MachineState::Running } else { MachineState::Booting },
                            age_s: then - m.at,
                        }
                    })
                    .collect();
                (CloudOutcome::List(MachinePage { machines, truncated: false }), none(), none())
            }
        }
    }

    /// A machine goes; tells whether it was there.
    pub fn take(&mut self, now: f64, name: &str) -> bool {
        let Some(machine) = self.machines.get_mut(name).filter(|m| m.gone_at.is_none()) else {
            return false;
        };
        machine.gone_at = Some(now);
        let key = (machine.zone.clone(), machine.spot);
        *self.capacity.entry(key).or_default() += 1;
        true
    }

    /// Machines that are there.
    pub fn present(&self) -> BTreeSet<String> {
        let there = self.machines.iter().filter(|(_, m)| m.gone_at.is_none());
        there.map(|(name, _)| name.clone()).collect()
    }
}
