//! Metrics that only the process can measure, in the text format that Prometheus reads.

use gladekeel_controller::{
    node::{Action, Event, Node},
    socket_budget::SocketUsage,
};

const SETTINGS: &str = r#"
    node = "n-0"
    site = "a"
    bind = "127.0.0.1:80"
    mesh_addr = "127.0.0.1:81"
    services = { cloud = "127.0.0.1:82", state = "127.0.0.1:83" }
    [deployment]
    count = 1
    workers = { report_s = 3.0, lease_s = 30.0, cancel_s = 50.0 }
    state = { rps = 9.0, write_rps = 9.0, value_kb = 4.0, txn_ops = 8 }
    cloud = { rps = 4.0, list_lag_s = 6.0 }
    limits = { cpu_share = 0.2, ram_mb = 200.0, max_connections = 3000 }
"#;

fn metrics(node: &mut Node) -> String {
    let path = "/metrics".to_owned();
    let event = Event::Http { id: 1, method: "GET".to_owned(), path, body: Vec::new() };
    let actions = node.handle(0.0, event);
    let text = actions.into_iter().find_map(|action| match action {
        Action::Reply { id: 1, reply } => Some(reply.body),
        _ => None,
    });
    String::from_utf8(text.expect("the node replies at once")).unwrap()
}

/// Guards against measurements of the process that are missing from the metrics or appear under
/// another name or label.
#[test]
fn scheduling_cycles_and_sockets_are_exposed() {
    let mut node = Node::new(toml::from_str(SETTINGS).unwrap(), 1, 0.0);
    for seconds in [0.25, 0.5, 0.25] {
        node.record_scheduling_cycle(seconds);
    }
    node.record_sockets(SocketUsage {
        users: 3,
        workers: 40,
        unclassified: 1,
        worker_calls: 5,
        peers: 4,
    });
    let text = metrics(&mut node);
    for line in [
        "# TYPE gladekeel_round_seconds summary",
        "gladekeel_round_seconds_sum 1",
        "gladekeel_round_seconds_count 3",
        "gladekeel_round_seconds_max 0.5",
        "gladekeel_sockets{use=\"users\"} 3",
        "gladekeel_sockets{use=\"workers\"} 40",
        "gladekeel_sockets{use=\"unknown\"} 1",
        "gladekeel_sockets{use=\"calls\"} 5",
        "gladekeel_sockets{use=\"mesh\"} 4",
        "gladekeel_sockets_limit 3000",
        "gladekeel_leading 0",
    ] {
        assert!(text.lines().any(|found| found == line), "no line {line:?} in\n{text}");
    }
}

/// Guards against samples that a Prometheus server cannot use: a sample without a `# TYPE` line,
/// or one whose value is not a number.
#[test]
fn every_sample_belongs_to_a_metric_with_a_type() {
    let mut node = Node::new(toml::from_str(SETTINGS).unwrap(), 1, 0.0);
    let text = metrics(&mut node);
    let typed_metrics: Vec<&str> =
        text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next()).collect();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let (sample, value) = line.rsplit_once(' ').unwrap();
        value.parse::<f64>().unwrap();
        let name = sample.split('{').next().unwrap();
        let base = name.trim_end_matches("_sum").trim_end_matches("_count");
        assert!(typed_metrics.contains(&base), "no `# TYPE` line for sample {line:?}");
    }
}
