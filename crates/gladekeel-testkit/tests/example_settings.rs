//! Validity of the example settings from which scenarios are built.

use gladekeel_testkit::scenario::{GangTimes, settings_with};

#[test]
fn example_settings_with_gang_times_and_announced_limits_are_valid() {
    let gang_times = GangTimes { wait_s: 50.0, exit_detection_s: 4.0 };
    let announced_limits = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 18.0\n";
    let settings = settings_with(0, 3, gang_times, announced_limits).unwrap();
    settings.check().unwrap();
    assert!(settings_with(0, 3, gang_times, "value_kb = = 2\n").is_err());
}
