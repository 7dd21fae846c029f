//! Machine types as the store holds them: in one value, or in several parts if they exceed the
//! size limit of a value.
//!
//! The leader splits the machine types into parts, and every node joins the parts. The machine
//! types count as unknown until every part can be read, because a node that knew only some of
//! them would reject jobs that fit the others. Earlier versions read part 0 only, and never wrote
//! machine types that need more than one part.

use gladekeel_wire::cloud::{MachineType, MachineTypes};
use std::{collections::BTreeMap, rc::Rc};

/// Upper bound of the size of a part's JSON without its machine types, in bytes.
const PART_OVERHEAD_BYTES: usize = 32;
/// Size of the separator between two machine types of a part, in bytes.
const SEPARATOR_BYTES: usize = 1;

/// A part of the machine types as the store holds it.
#[derive(Debug)]
struct StoredPart {
    /// The machine types of the part; `None` if this version cannot read the value.
    types: Option<MachineTypes>,
    /// The version of the part's key.
    version: u64,
}

/// The parts that the store holds, and the machine types that they form together.
#[derive(Debug, Default)]
pub struct StoredMachineTypes {
    parts: BTreeMap<u32, StoredPart>,
    all: Option<Rc<MachineTypes>>,
}

impl StoredMachineTypes {
    /// All machine types; `None` while part 0 does not exist or any part cannot be read.
    pub fn all(&self) -> Option<&MachineTypes> {
        self.all.as_deref()
    }

    /// The versions of the parts' keys, by the number of the part.
    pub fn versions(&self) -> BTreeMap<u32, u64> {
        self.parts.iter().map(|(number, part)| (*number, part.version)).collect()
    }

    /// Sets a part to its stored value. `types` is `None` if this version cannot read the value.
    pub fn set_part(&mut self, number: u32, types: Option<MachineTypes>, version: u64) {
        self.parts.insert(number, StoredPart { types, version });
        self.all = self.join().map(Rc::new);
    }

    /// Removes a part whose key no longer exists.
    pub fn remove_part(&mut self, number: u32) {
        self.parts.remove(&number);
        self.all = self.join().map(Rc::new);
    }

    fn join(&self) -> Option<MachineTypes> {
        if !self.parts.contains_key(&0) {
            return None;
        }
        let mut types = Vec::new();
        for part in self.parts.values() {
            types.extend_from_slice(&part.types.as_ref()?.types);
        }
        Some(MachineTypes { types })
    }
}

/// Splits machine types into parts of at most `max_bytes` of JSON each, and keeps their order.
/// Returns at least one part. A machine type that exceeds the limit forms a part of its own.
pub fn split_into_parts(types: &MachineTypes, max_bytes: usize) -> Vec<MachineTypes> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut part_bytes = PART_OVERHEAD_BYTES;
    for machine_type in &types.types {
        let type_bytes = json_bytes(machine_type) + SEPARATOR_BYTES;
        if part_bytes + type_bytes > max_bytes && !part.is_empty() {
            parts.push(MachineTypes { types: std::mem::take(&mut part) });
            part_bytes = PART_OVERHEAD_BYTES;
        }
        part.push(machine_type.clone());
        part_bytes += type_bytes;
    }
    parts.push(MachineTypes { types: part });
    parts
}

fn json_bytes(machine_type: &MachineType) -> usize {
    serde_json::to_string(machine_type).expect("wire types always serialise").len()
}
