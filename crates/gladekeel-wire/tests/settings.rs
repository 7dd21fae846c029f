//! Parsing and validation of the settings file.

use gladekeel_wire::settings::{ObjectiveKind, Settings};

/// A valid settings file with a field that this version does not know.
const VALID: &str = r#"
    node = "n-0"
    site = "a"
    bind = "127.0.0.1:80"
    mesh_addr = "127.0.0.1:81"
    later = 1
    services = { cloud = "127.0.0.1:82", state = "127.0.0.1:83" }
    [[siblings]]
    node = "n-1"
    site = "b"
    peer_addr = "127.0.0.1:84"
    [deployment]
    count = 2
    teams = [{ name = "red", cpus = 8.0, cpus_max = 9.0 }]
    workers = { report_s = 3.0, lease_s = 30.0, cancel_s = 50.0 }
    state = { rps = 9.0, write_rps = 9.0, value_kb = 4.0, txn_ops = 8 }
    cloud = { rps = 4.0, list_lag_s = 6.0 }
    limits = { cpu_share = 0.2, ram_mb = 200.0, max_connections = 3000 }
"#;

/// Guards against a controller that starts with settings it cannot work with, and against errors
/// that do not tell the operator which field of the file is wrong.
#[test]
fn invalid_settings_are_rejected_with_the_path_of_the_field() {
    toml::from_str::<Settings>(VALID).unwrap().check().unwrap();
    for (from, to, field) in [
        ("node = \"n-0\"", "node = \"\"", "node"),
        ("node = \"n-1\"", "node = \"n-0\"", "siblings"),
        ("count = 2", "count = 3", "deployment.count"),
        ("cpus = 8.0", "cpus = -8.0", "deployment.teams"),
        ("report_s = 3.0", "report_s = 0.0", "deployment.workers.report_s"),
        ("lease_s = 30.0", "lease_s = inf", "deployment.workers.lease_s"),
        ("{ rps = 9.0", "{ rps = nan", "deployment.state.rps"),
        ("txn_ops = 8", "txn_ops = 0", "deployment.state.txn_ops"),
        ("txn_ops = 8", "txn_ops = 8, next = { rps = -1.0 }", "deployment.state.next.rps"),
        ("report_s = 3.0", "report_s = 3.0, gang_peer_s = 0.0", "deployment.workers.gang_peer_s"),
        ("list_lag_s = 6.0", "list_lag_s = -1.0", "deployment.cloud.list_lag_s"),
        ("max_connections = 3000", "max_connections = 3", "deployment.limits.max_connections"),
    ] {
        let text = VALID.replace(from, to);
        let settings: Settings = toml::from_str(&text).unwrap();
        assert_eq!(settings.check().unwrap_err().field, field, "{to}");
    }
    for (from, to) in [
        ("127.0.0.1:80", "localhost"),
        ("count = 2", "count = \"2\""),
        ("node = \"n-0\"", "node = 7"),
        ("cancel_s = 50.0", "cancelled = 50.0"),
    ] {
        assert!(toml::from_str::<Settings>(&VALID.replacen(from, to, 1)).is_err(), "{to}");
    }
}

/// Guards against a settings file that cannot be read because the platform has introduced an
/// objective that this version does not know.
#[test]
fn unknown_objective_kinds_are_accepted_and_known_ones_recognised() {
    for (name, kind) in [
        ("finished", ObjectiveKind::Completion),
        ("wait", ObjectiveKind::Start),
        ("deadline", ObjectiveKind::Deadline),
        ("guarantee", ObjectiveKind::Guarantee),
        ("later", ObjectiveKind::Other("later".to_owned())),
        ("Wait", ObjectiveKind::Other("Wait".to_owned())),
    ] {
        let objectives = format!("count = 2\nobjectives = [{{ kind = \"{name}\", times = 2.0 }}]");
        let text = VALID.replace("count = 2", &objectives);
        let settings: Settings = toml::from_str(&text).unwrap();
        settings.check().unwrap();
        let [objective] = &settings.deployment.objectives[..] else {
            panic!("expected a single objective")
        };
        assert_eq!((&objective.kind, objective.deadline_multiple), (&kind, Some(2.0)));
    }
}
