//! The catalog: maps the names of teams, zones, machine types and images to dense indices.
//!
//! Names are converted to indices where they enter the leader; the rest of the leader uses the
//! indices only. The indices stay the same when the leader takes a new fencing token, since the
//! cluster state outlives the token and refers to machine types, zones and images by index.

use gladekeel_sched::{
    DenseIndex, ImageIdx, Interner, MachineTypeIdx, Resources, TeamIdx, ZoneIdx,
};
use gladekeel_wire::{
    cloud::{MachineType, MachineTypes},
    settings::Deployment,
};

/// The names in use with their indices, and the machine types that the cloud offers.
#[derive(Debug, Default)]
pub(super) struct Catalog {
    /// Teams, in the order of the deployment file.
    pub teams: Interner<String, TeamIdx>,
    /// Zones that the deployment file, the cloud, jobs or machines name.
    pub zones: Interner<String, ZoneIdx>,
    /// Names of machine types, including types that the cloud does not offer.
    pub machine_type_names: Interner<String, MachineTypeIdx>,
    /// Container images of jobs.
    pub images: Interner<String, ImageIdx>,
    /// The machine types by index; `None` for types that are named but that the cloud does not
    /// offer.
    machine_types: Vec<Option<MachineType>>,
}

impl Catalog {
    /// Prepares the catalog for a new fencing token. Names keep their indices; the machine types
    /// are replaced by those in the store.
    pub fn renew(&mut self, deployment: &Deployment, machine_types: Option<&MachineTypes>) {
        for team in &deployment.teams {
            self.teams.intern(&team.name);
        }
        for zone in &deployment.zones {
            self.zones.intern(zone);
        }
        self.machine_types.fill(None);
        if let Some(machine_types) = machine_types {
            self.add_machine_types(machine_types);
        }
    }

    /// Adds machine types that the cloud offers, or updates them, for example their prices.
    pub fn add_machine_types(&mut self, machine_types: &MachineTypes) {
        for machine_type in &machine_types.types {
            let machine_type_idx = self.intern_machine_type(&machine_type.name);
            self.machine_types[machine_type_idx.position()] = Some(machine_type.clone());
            for zone in &machine_type.zones {
                self.zones.intern(zone);
            }
        }
    }

    /// Returns the index of a machine type, and adds the type if it is new. The cloud need not
    /// offer the type.
    pub fn intern_machine_type(&mut self, name: &str) -> MachineTypeIdx {
        let machine_type_idx = self.machine_type_names.intern(&name.to_owned());
        if self.machine_types.len() <= machine_type_idx.position() {
            self.machine_types.resize(machine_type_idx.position() + 1, None);
        }
        machine_type_idx
    }

    /// Returns the indices of all machine types, including types that the cloud does not offer.
    pub fn machine_type_indices(&self) -> impl Iterator<Item = MachineTypeIdx> + use<> {
        (0..self.machine_types.len()).map(MachineTypeIdx::from_position)
    }

    /// Returns the cloud's description of a machine type; `None` if the cloud does not offer it.
    pub fn machine_type(&self, machine_type_idx: MachineTypeIdx) -> Option<&MachineType> {
        self.machine_types.get(machine_type_idx.position())?.as_ref()
    }

    /// Returns the resources that tasks may use on a machine of this type; `None` if the cloud does
    /// not offer the type.
    pub fn capacity(&self, machine_type_idx: MachineTypeIdx) -> Option<Resources> {
        let machine_type = self.machine_type(machine_type_idx)?;
        Some(Resources::allocatable(machine_type.cpus, machine_type.gpus, machine_type.memory_gb))
    }
}
