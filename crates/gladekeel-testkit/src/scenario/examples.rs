//! Example settings, jobs and machine types, which scenarios and tests build on.

use gladekeel_wire::{
    cloud::MachineType,
    job::{JobKind, JobSpec, Priority},
    settings::Settings,
};

/// Timeouts of the tasks of a gang, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct GangTimes {
    /// How long a task waits for the other tasks of its gang to start.
    pub wait_s: f64,
    /// Longest time until a task detects that another task of its gang failed or stopped.
    pub exit_detection_s: f64,
}

impl Default for GangTimes {
    fn default() -> GangTimes {
        GangTimes { wait_s: 30.0, exit_detection_s: 4.0 }
    }
}

/// Returns the example settings of one node in a cluster of `nodes` nodes.
pub fn example_settings(node: usize, nodes: usize) -> Settings {
    settings_with(node, nodes, GangTimes::default(), "").expect("the example settings are valid")
}

/// Returns the example settings of one node, with the timeouts in `gang_times`. `announced_limits`
/// holds the lines of the table `state.next`, in TOML; the table is absent if the text is empty.
///
/// # Errors
///
/// Returns an error if the announced limits are not valid TOML, or not valid limits.
pub fn settings_with(
    node: usize,
    nodes: usize,
    gang_times: GangTimes,
    announced_limits: &str,
) -> Result<Settings, toml::de::Error> {
    let GangTimes { wait_s, exit_detection_s } = gang_times;
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
        gang_wait_s = {wait_s:?}
        gang_peer_s = {exit_detection_s:?}
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

/// Returns the example job: an array job of one task with normal priority, for the team `red`.
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

/// Returns the example machine type, which the cloud offers in `zones`.
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
