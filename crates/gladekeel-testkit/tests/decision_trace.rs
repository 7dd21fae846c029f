//! Regression test of the nodes' behaviour: in a fixed set of scenarios, the nodes must take the
//! same actions, byte for byte and at the same times, as when `fixtures/decision_traces.txt` was
//! written. A change of the code that is meant to preserve behaviour must not change that file.
//!
//! If a change alters behaviour on purpose, its commit states what differs and replaces the
//! digests by the output of
//! `cargo run -p gladekeel-testkit --example decision_traces -- SCENARIO_FILE...`.

use gladekeel_testkit::scenario;
use std::path::PathBuf;

const FIXTURE: &str = include_str!("fixtures/decision_traces.txt");

/// Returns the name of each scenario in the fixture, with the expected digest of its run with each
/// seed.
fn expected_digests() -> Vec<(&'static str, Vec<&'static str>)> {
    let lines = FIXTURE.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let mut words = line.split_whitespace();
            let name = words.next().expect("each line begins with the name of a scenario");
            (name, words.collect())
        })
        .collect()
}

#[test]
fn actions_match_the_recorded_digests() {
    let expected = expected_digests();
    assert!(expected.iter().all(|(_, digests)| !digests.is_empty()));
    let directory = scenario::scenario_directory();
    let file = |(name, _): &(&str, _)| -> PathBuf { directory.join(format!("{name}.txt")) };
    let results = scenario::run_files(expected.iter().map(file).collect());
    let mut differing = Vec::new();
    for ((name, expected), result) in expected.iter().zip(results) {
        let found = result.outcome.unwrap_or_else(|failure| panic!("{name}: {failure}"));
        let found: Vec<String> = found.iter().map(ToString::to_string).collect();
        if found != *expected {
            differing.push(format!("{name} {}", found.join(" ")));
        }
    }
    assert!(
        differing.is_empty(),
        "digests differ from the recorded ones:\n{}",
        differing.join("\n")
    );
}

/// Guards against a digest that is the same for runs with different events, and against a digest
/// that changes when the same scenario is run again.
#[test]
fn digests_depend_only_on_the_events_and_their_times() {
    let world = "world seed=7 on_demand=2\n";
    let digests = |text: &str| scenario::run(&format!("{world}{text}")).unwrap();
    let first = digests("at 3 submit job-1 tasks=2 run_s=20\nuntil 30\n");
    assert_eq!(first, digests("at 3 submit job-1 tasks=2 run_s=20\nuntil 30\n"));
    assert_ne!(first, digests("at 3 submit job-1 tasks=3 run_s=20\nuntil 30\n"));
    assert_ne!(first, digests("at 3.5 submit job-1 tasks=2 run_s=20\nuntil 30\n"));
}
