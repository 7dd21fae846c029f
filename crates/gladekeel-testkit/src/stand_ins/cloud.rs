//! A fake cloud: machine types, rented machines, limited capacity and a list of machines that
//! lags behind.

use gladekeel_controller::cloud_api::{CloudOutcome, CloudRequest};
use gladekeel_wire::cloud::{
    CreateMachinesRequest, ListedMachine, MachinePage, MachineState, MachineType, MachineTypes,
};
use std::collections::{BTreeMap, BTreeSet};

/// Boot time of a machine whose type is unknown, in seconds.
const DEFAULT_BOOT_S: f64 = 30.0;

/// A machine that was rented, and that may have been deleted or reclaimed since.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    /// Type of the machine.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// When the machine was rented.
    pub rented_at: f64,
    /// When the machine has booted or will have booted; `None` if it never boots.
    pub booted_at: Option<f64>,
    /// When a controller deleted the machine or the cloud reclaimed the machine; `None` while the
    /// machine exists.
    pub removed_at: Option<f64>,
}

impl RentedMachine {
    /// The machine's entry in the list of machines, with the machine's state at the time `as_of`.
    fn listed(&self, name: &str, as_of: f64) -> ListedMachine {
        let up = self.booted_at.is_some_and(|booted_at| booted_at <= as_of);
        ListedMachine {
            name: name.to_owned(),
            // In the simulation, the address of a worker is the name of its machine. The list shows
            // the address once the machine has booted.
            addr: up.then(|| name.to_owned()),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            state: if up { MachineState::Running } else { MachineState::Booting },
            age_s: as_of - self.rented_at,
        }
    }
}

/// A request to rent machines, and the names of the machines that the request rented.
#[derive(Debug)]
struct Rental {
    /// Debug text of the request, to detect a different request with the same request id.
    request: String,
    machines: Vec<String>,
}

/// The outcome of a request, and the machines that the request rented or deleted.
#[derive(Debug)]
pub struct CloudResponse {
    /// Outcome that the controller receives.
    pub outcome: CloudOutcome,
    /// Names of the machines that the request rented; they begin to boot at once.
    pub rented: Vec<String>,
    /// Names of the machines that the request deleted.
    pub deleted: Vec<String>,
}

impl From<CloudOutcome> for CloudResponse {
    fn from(outcome: CloudOutcome) -> CloudResponse {
        CloudResponse { outcome, rented: Vec::new(), deleted: Vec::new() }
    }
}

/// A fake cloud.
#[derive(Debug)]
pub struct FakeCloud {
    /// Machine types that the cloud offers.
    pub types: Vec<MachineType>,
    /// Number of free machines, by zone and by whether they are spot machines.
    pub capacity: BTreeMap<(String, bool), u32>,
    /// All machines ever rented, by name.
    pub machines: BTreeMap<String, RentedMachine>,
    /// Whether there is an outage, during which the cloud refuses every request.
    pub down: bool,
    /// Age of the state that the list of machines shows, in seconds.
    pub list_lag_s: f64,
    /// How many of the machines that are rented next never boot.
    pub next_boots_to_fail: u32,
    /// Descriptions of requests that violate the protocol.
    pub protocol_errors: Vec<String>,
    rentals: BTreeMap<String, Rental>,
    machines_rented: u64,
}

impl FakeCloud {
    /// Creates a cloud without rented machines.
    pub fn new(
        types: Vec<MachineType>,
        capacity: BTreeMap<(String, bool), u32>,
        list_lag_s: f64,
    ) -> FakeCloud {
        FakeCloud {
            types,
            capacity,
            machines: BTreeMap::new(),
            down: false,
            list_lag_s,
            next_boots_to_fail: 0,
            protocol_errors: Vec::new(),
            rentals: BTreeMap::new(),
            machines_rented: 0,
        }
    }

    /// Executes a request.
    pub fn call(&mut self, now: f64, request: &CloudRequest) -> CloudResponse {
        if self.down {
            return CloudOutcome::Unavailable.into();
        }
        match request {
            CloudRequest::ListMachineTypes => {
                CloudOutcome::Types(MachineTypes { types: self.types.clone() }).into()
            }
            CloudRequest::Rent(rent) => self.rent(now, rent),
            CloudRequest::Delete(names) => self.delete(now, names),
            CloudRequest::ListMachines { after } => {
                CloudOutcome::List(self.list(now, after.as_deref())).into()
            }
        }
    }

    /// Rents machines. A repeated request gets the same machines.
    fn rent(&mut self, now: f64, rent: &CreateMachinesRequest) -> CloudResponse {
        let request = format!("{rent:?}");
        if let Some(rental) = self.rentals.get(&rent.request_id) {
            if rental.request != request {
                let error = format!("request id {} used for two requests", rent.request_id);
                self.protocol_errors.push(error);
            }
            return CloudOutcome::Rented(rental.machines.clone()).into();
        }
        let key = (rent.zone.clone(), rent.spot);
        let free = self.capacity.get(&key).copied().unwrap_or(0);
        let count = free.min(rent.count);
        if count == 0 {
            return CloudOutcome::NoCapacity.into();
        }
        self.capacity.insert(key, free - count);
        let machines: Vec<String> = (0..count).map(|_| self.rent_machine(now, rent)).collect();
        let rental = Rental { request, machines: machines.clone() };
        self.rentals.insert(rent.request_id.clone(), rental);
        let outcome = CloudOutcome::Rented(machines.clone());
        CloudResponse { outcome, rented: machines, deleted: Vec::new() }
    }

    /// Rents one machine; returns its name.
    fn rent_machine(&mut self, now: f64, rent: &CreateMachinesRequest) -> String {
        self.machines_rented += 1;
        let name = format!("n-{:06}", self.machines_rented);
        let never_boots = self.next_boots_to_fail > 0;
        self.next_boots_to_fail -= u32::from(never_boots);
        let machine_type = self.types.iter().find(|known| known.name == rent.machine_type);
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let machine = RentedMachine {
            machine_type: rent.machine_type.clone(),
            zone: rent.zone.clone(),
            spot: rent.spot,
            rented_at: now,
            booted_at: (!never_boots).then_some(now + boot_s),
            removed_at: None,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    fn delete(&mut self, now: f64, names: &[String]) -> CloudResponse {
        let deleted = names.iter().filter(|name| self.remove_machine(now, name)).cloned().collect();
        CloudResponse { outcome: CloudOutcome::Deleted, rented: Vec::new(), deleted }
    }

    /// Lists the machines whose names follow `after`, as they were `list_lag_s` ago.
    fn list(&self, now: f64, after: Option<&str>) -> MachinePage {
        let as_of = now - self.list_lag_s;
        let listed = self.machines.iter().filter(|(name, machine)| {
            after.is_none_or(|after| name.as_str() > after)
                && machine.rented_at <= as_of
                && machine.removed_at.is_none_or(|removed_at| removed_at > as_of)
        });
        let machines = listed.map(|(name, machine)| machine.listed(name, as_of)).collect();
        MachinePage { machines, truncated: false }
    }

    /// Removes a machine that is deleted or reclaimed, and makes its capacity free again. Returns
    /// whether the machine existed.
    pub fn remove_machine(&mut self, now: f64, name: &str) -> bool {
        let machine = self.machines.get_mut(name).filter(|machine| machine.removed_at.is_none());
        let Some(machine) = machine else { return false };
        machine.removed_at = Some(now);
        let key = (machine.zone.clone(), machine.spot);
        *self.capacity.entry(key).or_default() += 1;
        true
    }

    /// Names of the machines that exist.
    pub fn present(&self) -> BTreeSet<String> {
        let present = self.machines.iter().filter(|(_, machine)| machine.removed_at.is_none());
        present.map(|(name, _)| name.clone()).collect()
    }
}
