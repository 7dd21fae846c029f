//! Names and ranges of runtime settings, and changes that are applied as a whole or not at all.

use gladekeel_controller::runtime_settings::RuntimeSettings;
use gladekeel_wire::settings::WorkerTimings;
use serde_json::{Value, json};
use std::collections::BTreeMap;

fn defaults() -> RuntimeSettings {
    RuntimeSettings::defaults(&WorkerTimings {
        heartbeat_interval_s: 10.0,
        lease_s: 45.0,
        cancellation_deadline_s: 65.0,
        gang_wait_s: 30.0,
        gang_exit_detection_s: 4.0,
    })
}

/// Guards against defaults that are out of range, and against changes that are accepted although
/// the setting is unknown or the value is out of range.
#[test]
fn values_round_trip_and_invalid_changes_are_rejected() {
    let settings = defaults();
    assert_eq!(
        settings.with_values(&settings.values()),
        Ok(settings.clone()),
        "all defaults are in range"
    );
    let change =
        |name: &str, value| settings.with_values(&BTreeMap::from([(name.to_owned(), value)]));
    assert_eq!(change("beta", 1.5).unwrap().fair_share.beta, 1.5);
    let error = |name: &str, value| change(name, value).unwrap_err().to_string();
    assert_eq!(error("beta", 2.5), "beta: must be a number from 1.01 to 2");
    assert!(change("beta", f64::NAN).is_err());
    assert!(change("beta", f64::INFINITY).is_err());
    assert!(error("gamma", 1.0).starts_with("gamma: no such setting; there are beta, epsilon,"));
}

/// Guards against an error that does not name the setting and its range, as was once the case for
/// a value that is not a number.
#[test]
fn an_error_for_a_value_of_the_wrong_type_names_the_setting_and_its_range() {
    let settings = defaults();
    let change = |values: Value| {
        let values: BTreeMap<String, Value> = serde_json::from_value(values).unwrap();
        settings.with_json(&values).map_err(|error| error.to_string())
    };
    let changed = change(json!({"beta": 2, "idle_s": 7.5})).unwrap();
    assert_eq!((changed.fair_share.beta, changed.idle_timeout_s), (2.0, 7.5));
    for value in [json!("1.5"), json!(null), json!([1.5]), json!({}), json!(true), json!(-1)] {
        let error = change(json!({"beta": 1.5, "round_s": value})).unwrap_err();
        assert_eq!(error, "round_s: must be a number from 0.2 to 30");
    }
    assert!(change(json!({"gamma": "x"})).unwrap_err().starts_with("gamma: no such setting"));
    assert_eq!(change(json!({})).unwrap_err(), "settings: must name at least one setting");
}
