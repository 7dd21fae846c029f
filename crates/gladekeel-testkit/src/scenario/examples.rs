//! Settings, jobs and machine types like the ones of the examples.

use gladekeel_wire::{
    cloud::MachineType,
    job::{JobKind, JobSpec, Priority},
    settings::Settings,
};

/// The settings of one node of the examples.
pub fn example_settings(node: usize, nodes: usize) -> Settings {
    settings_with(node, nodes, (30.0, 4.0), "").expect("the example settings are valid")
}

/// The example with these times of gangs, `gang_wait_s` and `gang_peer_s`, and these
/// lines in its table `state.next`.
pub fn settings_with(
    node: usize,
    nodes: usize,
    (gang_wait_s, gang_peer_s): (f64, f64),
    next: &str,
) -> Result<Settings, String> {
    let mut text = format!(
        r#"
        node = "node-{node}"
        site = "{zone}"
        bind = "127.0.0.1:80"
        mesh_addr = "127.0.0.1:81"
        unknown = "ignored"
        [services]
        cloud = "127.0.0.1:82"
        state = "127.0.0.1:83"
        [deployment]
        count = {nodes}
        zones = ["a", "b"]
        [[deployment.teams]]
        name = "red"
        cpus = 64.0
        cpus_max = 200.0
        [[deployment.teams]]
        name = "blue"
        cpus = 64.0
        cpus_max = 128.0
        [deployment.workers]
        report_s = 3.0
        lease_s = 30.0
        cancel_s = 50.0
        gang_wait_s = {gang_wait_s:?}
        gang_peer_s = {gang_peer_s:?}
        [deployment.state]
        rps = 90.0
        write_rps = 25.0
        value_kb = 4.0
        txn_ops = 8
        [deployment.cloud]
        rps = 6.0
        list_lag_s = 4.0
        [deployment.limits]
        cpu_share = 0.2
        ram_mb = 200.0
        max_connections = 3000
        "#,
        zone = ["a", "b"][node % 2],
    );
    for other in (0..nodes).filter(|other| *other != node) {
        let zone = ["a", "b"][other % 2];
        text.push_str(&format!(
            "[[siblings]]\nnode = \"node-{other}\"\nsite = \"{zone}\"\npeer_addr = \"127.0.0.1:81\"\n"
        ));
    }
    if !next.is_empty() {
        text.push_str(&format!("[deployment.state.next]\n{next}"));
    }
    toml::from_str(&text).map_err(|error| error.to_string())
}

/// A job like the ones of the examples.
pub fn example_job(id: &str) -> JobSpec {
    JobSpec {
        id: id.parse().expect("the example's id is valid"),
        class: "batch".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "img".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_write_s: 0.0,
        deadline_s: None,
    }
}

/// A machine type like the ones of the examples.
pub fn example_type(zones: Vec<String>) -> MachineType {
    MachineType {
        name: "m32".into(),
        cpus: 32.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: 2.0,
        spot_price: Some(0.7),
        boot_s: 20.0,
        zones,
    }
}
