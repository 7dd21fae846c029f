//! Settings, jobs and machine types like the ones of the examples.

use gladekeel_wire::{
    cloud::MachineType,
    job::{JobKind, JobSpec, Priority},
    settings::Settings,
};

/// How long the tasks of a gang wait for one another, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct GangTimes {
    /// How long a task waits for the others to start.
    pub wait_s: f64,
    /// Within this time the tasks notice what happened to another one.
    pub peer_s: f64,
}

impl Default for GangTimes {
    fn default() -> GangTimes {
        GangTimes { wait_s: 30.0, peer_s: 4.0 }
    }
}

/// The settings of one node of the examples.
pub fn example_settings(node: usize, nodes: usize) -> Settings {
    settings_with(node, nodes, GangTimes::default(), "").expect("the example settings are valid")
}

/// The example settings with these times of gangs, and these lines in the table `state.next`
/// of announced limits.
///
/// # Errors
///
/// If the announced limits are not valid TOML or no limits.
pub fn settings_with(
    node: usize,
    nodes: usize,
    gang_times: GangTimes,
    announced_limits: &str,
) -> Result<Settings, toml::de::Error> {
    let GangTimes { wait_s: gang_wait_s, peer_s: gang_peer_s } = gang_times;
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
    if !announced_limits.is_empty() {
        text.push_str(&format!("[deployment.state.next]\n{announced_limits}"));
    }
    toml::from_str(&text)
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
