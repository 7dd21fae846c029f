//! Tests of the scenario runner: runs with several seeds, and error messages.

use gladekeel_testkit::scenario;

/// Guards against a scenario with several seeds of which only some are run, and against a failure
/// that does not state its seed.
#[test]
fn every_seed_is_run_and_failures_state_their_seed() {
    let text = "world seeds=4..6\nuntil 5\nexpect leaders >= 1\nexpect leaders = 9\n";
    let failure = scenario::run(text).unwrap_err().to_string();
    for seed in 4..=6 {
        assert!(failure.contains(&format!("seed {seed}: line 4: leaders is 1")), "{failure}");
    }
    assert!(!failure.contains("line 3"), "{failure}");
}

/// Guards against an invalid line that is ignored, and against an error that does not state the
/// line, what was expected and what was found.
#[test]
fn an_invalid_line_is_an_error() {
    for (line, expected) in [
        ("at 5 crash", "line 2: expected a node, found the end of the line"),
        ("at 5 fly", "line 2: expected a step, found \"fly\""),
        ("at soon send_invalid_bytes", "line 2: expected a number, found \"soon\""),
        ("expect job-1 happy", "line 2: expected the state of a job, found \"happy\""),
        ("expect leaders < 2", "line 2: expected one of >=, <= and =, found \"<\""),
        ("expect heroes >= 2", "line 2: expected a quantity, found \"heroes\""),
        ("wait 5", "line 2: expected one of world, at, until and expect, found \"wait\""),
    ] {
        let error = scenario::run(&format!("world on_demand=1\n{line}\n")).unwrap_err();
        assert_eq!(error.to_string(), expected, "{line}");
    }
    let error = scenario::run("until 5\n").unwrap_err().to_string();
    assert_eq!(error, "line 1: expected `world` first, found \"until\"");
}
