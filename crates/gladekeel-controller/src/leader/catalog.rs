//! Names of teams, zones, machine types and images as dense indices.
//!
//! Names are turned into indices where they enter the leader; everything else in it uses the
//! indices. They stay the same when the leader takes a new token, since the cluster state that
//! outlives it refers to machine types, zones and images by them.

use gladekeel_sched::{
    DenseIndex, ImageIdx, Interner, MachineTypeIdx, Resources, TeamIdx, ZoneIdx,
};
use gladekeel_wire::{
    cloud::{MachineType, MachineTypes},
    settings::Deployment,
};

/// The names in use, and the machine types that the cloud offers.
#[derive(Debug, Default)]
pub(super) struct Catalog {
    /// Teams, in the order of the deployment file.
    pub teams: Interner<String, TeamIdx>,
    pub zones: Interner<String, ZoneIdx>,
    pub machine_type_names: Interner<String, MachineTypeIdx>,
    pub images: Interner<String, ImageIdx>,
    /// By index; `None` for those that jobs name but the cloud does not offer.
    machine_types: Vec<Option<MachineType>>,
}

impl Catalog {
    /// Prepares the catalog for a new token: names keep their indices, machine types are those
    /// that the store has.
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

    /// Adds machine types that the cloud offers, or their new prices.
    pub fn add_machine_types(&mut self, machine_types: &MachineTypes) {
        for machine_type in &machine_types.types {
            let machine_type_idx = self.intern_machine_type(&machine_type.name);
            self.machine_types[machine_type_idx.position()] = Some(machine_type.clone());
            for zone in &machine_type.zones {
                self.zones.intern(zone);
            }
        }
    }

    /// The index of a machine type, whether the cloud offers it or not.
    pub fn intern_machine_type(&mut self, name: &str) -> MachineTypeIdx {
        let machine_type_idx = self.machine_type_names.intern(&name.to_owned());
        if self.machine_types.len() <= machine_type_idx.position() {
            self.machine_types.resize(machine_type_idx.position() + 1, None);
        }
        machine_type_idx
    }

    /// The indices of all machine types, those that only jobs name included.
    pub fn machine_type_indices(&self) -> impl Iterator<Item = MachineTypeIdx> + use<> {
        (0..self.machine_types.len()).map(MachineTypeIdx::from_position)
    }

    /// What the cloud says of a machine type, if it offers it.
    pub fn machine_type(&self, machine_type_idx: MachineTypeIdx) -> Option<&MachineType> {
        self.machine_types.get(machine_type_idx.position())?.as_ref()
    }

    /// The resources that tasks may use on a machine of this type.
    pub fn capacity(&self, machine_type_idx: MachineTypeIdx) -> Option<Resources> {
        let machine_type = self.machine_type(machine_type_idx)?;
        Some(Resources::allocatable(machine_type.cpus, machine_type.gpus, machine_type.memory_gb))
    }
}
