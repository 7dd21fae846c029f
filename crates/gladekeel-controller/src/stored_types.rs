//! Machine types as the store holds them: in one value, or in several where the limit of a
//! value is too small for all. Versions before this one know the first value only; they
//! could not have written more.

use gladekeel_wire::cloud::{MachineType, MachineTypes};
use std::{collections::BTreeMap, rc::Rc};

/// Bytes of a value around the types in it.
const AROUND_TYPES: usize = 32;

/// The parts that were read, and all types together.
#[derive(Debug, Default)]
pub struct StoredTypes {
    /// By number; none where a part cannot be read.
    parts: BTreeMap<u32, (Option<MachineTypes>, u64)>,
    all: Option<Rc<MachineTypes>>,
}

impl StoredTypes {
    /// All types, if every part could be read.
    pub fn all(&self) -> Option<&MachineTypes> {
        self.all.as_deref()
    }

    /// The versions of the parts' keys.
    pub fn versions(&self) -> BTreeMap<u32, u64> {
        self.parts.iter().map(|(part, (_, version))| (*part, *version)).collect()
    }

    /// Takes over a part as it is now stored, or that there is none.
    pub fn apply(&mut self, part: u32, stored: Option<(Option<MachineTypes>, u64)>) {
        match stored {
            Some(stored) => self.parts.insert(part, stored),
            None => self.parts.remove(&part),
        };
        let has_first = self.parts.contains_key(&0);
        let parts = self.parts.values().map(|(types, _)| Some(types.as_ref()?.types.clone()));
        let parts = parts.collect::<Option<Vec<Vec<MachineType>>>>();
        self.all = parts
            .filter(|_| has_first)
            .map(|parts| Rc::new(MachineTypes { types: parts.concat() }));
    }
}

/// Divides types into parts of at most so many bytes each, in their order. There is one
/// part at least, and one type in each.
pub fn split(types: &MachineTypes, most_bytes: usize) -> Vec<MachineTypes> {
    let mut parts = vec![MachineTypes { types: Vec::new() }];
    let mut bytes = AROUND_TYPES;
    for machine_type in &types.types {
        let json = serde_json::to_string(machine_type).expect("wire types always serialise");
        let more = json.len() + 1;
        let is_full = bytes + more > most_bytes;
        let last = parts.last_mut().expect("there is one at least");
        if is_full && !last.types.is_empty() {
            parts.push(MachineTypes { types: vec![machine_type.clone()] });
            bytes = AROUND_TYPES + more;
        } else {
            last.types.push(machine_type.clone());
            bytes += more;
        }
    }
    parts
}
