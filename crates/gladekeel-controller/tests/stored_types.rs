//! Machine types that are stored in one or more parts.

use gladekeel_controller::{
    keys,
    stored_types::{StoredMachineTypes, split_into_parts},
};
use gladekeel_wire::cloud::{MachineType, MachineTypes};
use std::collections::BTreeMap;

fn types(count: usize) -> MachineTypes {
    let machine_type = |number| MachineType {
        name: format!("type-{number}"),
        cpus: 32.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: 2.0,
        spot_price: Some(0.7),
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    };
    MachineTypes { types: (0..count).map(machine_type).collect() }
}

/// Guards against machine types that earlier versions cannot read, because these versions read
/// part 0 only.
#[test]
fn types_that_fit_into_one_value_are_not_split() {
    assert_eq!(split_into_parts(&types(12), 2048), [types(12)]);
    assert_eq!(split_into_parts(&types(0), 2048), [types(0)]);
}

/// Guards against parts that the store refuses as too large, and against a node that knows only
/// some of the machine types and rejects jobs that fit the others.
#[test]
fn parts_respect_the_size_limit_and_join_to_all_types() {
    let all = types(30);
    let parts = split_into_parts(&all, 1024);
    assert!(parts.len() > 1);
    for part in &parts {
        assert!(!part.types.is_empty());
        assert!(serde_json::to_string(part).unwrap().len() <= 1024);
    }
    let mut stored = StoredMachineTypes::default();
    for (part, types) in parts.into_iter().enumerate().rev() {
        assert_eq!(stored.all(), None, "no types are known before part 0 is set");
        stored.set_part(part as u32, Some(types), 7);
    }
    assert_eq!(stored.all(), Some(&all));
    assert!(stored.versions().values().all(|version| *version == 7));
}

/// Guards against a node that ignores a part that it cannot read, and then rejects jobs that fit
/// a machine type in that part.
#[test]
fn types_are_unknown_while_a_part_is_unreadable() {
    let mut stored = StoredMachineTypes::default();
    stored.set_part(0, Some(types(2)), 5);
    stored.set_part(1, None, 6);
    assert_eq!(stored.all(), None);
    assert_eq!(stored.versions(), BTreeMap::from([(0, 5), (1, 6)]));
    stored.remove_part(1);
    assert_eq!(stored.all(), Some(&types(2)));
}

/// Guards against parts that are read under a different number than the one under which they were
/// written, and against other keys that are mistaken for the key of a part.
#[test]
fn keys_of_parts_parse_to_the_part_numbers() {
    for part in [0, 1, 12] {
        assert_eq!(keys::parse_machine_types_part(&keys::machine_types_part(part)), Some(part));
    }
    assert_eq!(keys::machine_types_part(0), "gk/types");
    assert_eq!(keys::parse_machine_types_part("gk/typesetting"), None);
    assert_eq!(keys::parse_machine_types_part("gk/types/x"), None);
}
