//! Upcoming limits of the store are kept from the start.

use gladekeel_wire::settings::Settings;

const GOOD: &str = r#"
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

#[test]
fn upcoming_limits_are_kept_from_the_start() {
    let settings = |next: &str| {
        let text = GOOD.replace("txn_ops = 8", &format!("txn_ops = 8{next}"));
        toml::from_str::<Settings>(&text).unwrap().deployment.store
    };
    assert_eq!(settings("").lowest(), settings(""));
    let kept =
        settings(", next = { value_kb = 2.0, write_rps = 99.0, txn_ops = 3, x = 1 }").lowest();
    assert_eq!((kept.value_kb, kept.write_rps, kept.txn_ops, kept.rps), (2.0, 9.0, 3, 9.0));
}
