//! Names of teams, zones, machine types and images, as indices.

use gladekeel_sched::{DenseIndex, ImageIdx, MachineTypeIdx, TeamIdx, ZoneIdx};
use gladekeel_sched::{Interner, Resources};
use gladekeel_wire::{
    cloud::{MachineType, MachineTypes},
    settings::Deployment,
};
/// Names of teams, zones, types and images, as indices.
#[derive(Debug, Default)]
pub(super) struct Catalog {
    pub teams: Interner<String, TeamIdx>,
    pub zones: Interner<String, ZoneIdx>,
    pub machine_type_names: Interner<String, MachineTypeIdx>,
    pub images: Interner<String, ImageIdx>,
    /// By kind; none for kinds that jobs name but the cloud does not.
    pub machine_types: Vec<Option<MachineType>>,
}

impl Catalog {
    /// Gets ready for a new token. Names keep their indices, since what is known of machines
    /// goes on and speaks of kinds, zones and images by them.
    pub fn renew(&mut self, deployment: &Deployment, types: Option<&MachineTypes>) {
        for team in &deployment.teams {
            self.teams.intern(&team.name);
        }
        for zone in &deployment.zones {
            self.zones.intern(zone);
        }
        self.machine_types.fill(None);
        if let Some(types) = types {
            self.add_types(types);
        }
    }

    pub fn add_types(&mut self, types: &MachineTypes) {
        for machine_type in &types.types {
            let kind = self.intern_machine_type(&machine_type.name);
            self.machine_types[kind.position()] = Some(machine_type.clone());
            for zone in &machine_type.zones {
                self.zones.intern(zone);
            }
        }
    }

    pub fn intern_machine_type(&mut self, name: &str) -> MachineTypeIdx {
        let kind = self.machine_type_names.intern(&name.to_owned());
        if self.machine_types.len() <= kind.position() {
            self.machine_types.resize(kind.position() + 1, None);
        }
        kind
    }

    /// The indices of all machine types, those that only jobs name included.
    pub fn machine_type_indices(&self) -> impl Iterator<Item = MachineTypeIdx> + use<> {
        (0..self.machine_types.len()).map(MachineTypeIdx::from_position)
    }

    /// A kind's type, if the cloud has it.
    pub fn machine_type(&self, kind: MachineTypeIdx) -> Option<&MachineType> {
        self.machine_types.get(kind.position())?.as_ref()
    }

    /// What a machine of this kind offers.
    pub fn capacity(&self, kind: MachineTypeIdx) -> Option<Resources> {
        self.machine_type(kind).map(|t| Resources::allocatable(t.cpus, t.gpus, t.memory_gb))
    }
}
