//! Upcoming limits of the store are observed from the start.

use gladekeel_wire::settings::Settings;

const VALID: &str = r#"
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

/// Guards against a controller that exceeds a limit of the store because the limit was lowered at a
/// time that was not announced.
#[test]
fn lower_upcoming_limits_apply_from_the_start() {
    let store_limits = |next: &str| {
        let text = VALID.replace("txn_ops = 8", &format!("txn_ops = 8{next}"));
        toml::from_str::<Settings>(&text).unwrap().deployment.store
    };
    assert_eq!(store_limits("").lowest(), store_limits(""));
    let lowest =
        store_limits(", next = { value_kb = 2.0, write_rps = 99.0, txn_ops = 3, x = 1 }").lowest();
    assert_eq!((lowest.value_kb, lowest.write_rps, lowest.txn_ops, lowest.rps), (2.0, 9.0, 3, 9.0));
}
