//! Machine types in as many values as they need.

use gladekeel_controller::{
    keys,
    stored_types::{StoredTypes, split},
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

#[test]
fn what_fits_is_one_value_as_in_earlier_versions() {
    assert_eq!(split(&types(12), 2048), [types(12)]);
    assert_eq!(split(&types(0), 2048), [types(0)]);
}

#[test]
fn parts_keep_to_the_limit_and_together_are_all_types() {
    let all = types(30);
    let parts = split(&all, 1024);
    assert!(parts.len() > 1);
    for part in &parts {
        assert!(!part.types.is_empty());
        assert!(serde_json::to_string(part).unwrap().len() <= 1024);
    }
    let mut stored = StoredTypes::default();
    for (part, types) in parts.into_iter().enumerate().rev() {
        assert_eq!(stored.all(), None, "the types are known once the first part is");
        stored.set_part(part as u32, Some(types), 7);
    }
    assert_eq!(stored.all(), Some(&all));
    assert!(stored.versions().values().all(|version| *version == 7));
}

#[test]
fn a_part_that_cannot_be_read_leaves_no_types() {
    let mut stored = StoredTypes::default();
    stored.set_part(0, Some(types(2)), 5);
    stored.set_part(1, None, 6);
    assert_eq!(stored.all(), None);
    assert_eq!(stored.versions(), BTreeMap::from([(0, 5), (1, 6)]));
    stored.remove_part(1);
    assert_eq!(stored.all(), Some(&types(2)));
}

#[test]
fn keys_name_their_parts() {
    for part in [0, 1, 12] {
        assert_eq!(keys::parse_machine_types_part(&keys::machine_types_part(part)), Some(part));
    }
    assert_eq!(keys::machine_types_part(0), "gk/types");
    assert_eq!(keys::parse_machine_types_part("gk/typesetting"), None);
    assert_eq!(keys::parse_machine_types_part("gk/types/x"), None);
}
