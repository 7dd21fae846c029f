//! What the nodes do in a fixed set of scenarios is the same, byte for byte and at the same
//! times, as when `fixtures/decision_traces.txt` was written. A change of the code that is
//! meant to keep behaviour as it is must leave that file alone.
//!
//! A change of behaviour says in its commit what differs, and takes the new digests from
//! `cargo run -p gladekeel-testkit --example decision_traces -- SCENARIO_FILE...`.

use gladekeel_testkit::scenario;
use std::path::PathBuf;

const FIXTURE: &str = include_str!("fixtures/decision_traces.txt");

/// Scenario names and the digests of their runs, one for each seed.
fn expected_digests() -> Vec<(&'static str, Vec<&'static str>)> {
    let lines = FIXTURE.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let mut words = line.split_whitespace();
            let name = words.next().expect("a line begins with a scenario's name");
            (name, words.collect())
        })
        .collect()
}

#[test]
fn nodes_act_as_recorded() {
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
    assert!(differing.is_empty(), "other actions than recorded:\n{}", differing.join("\n"));
}

/// The digest tells one run from another, and a run from itself played anew does not differ.
#[test]
fn digests_depend_on_what_happens() {
    let world = "world seed=7 on_demand=2\n";
    let digests = |text: &str| scenario::run(&format!("{world}{text}")).unwrap();
    let one = digests("at 3 submit job-1 tasks=2 run_s=20\nuntil 30\n");
    assert_eq!(one, digests("at 3 submit job-1 tasks=2 run_s=20\nuntil 30\n"));
    assert_ne!(one, digests("at 3 submit job-1 tasks=3 run_s=20\nuntil 30\n"));
    assert_ne!(one, digests("at 3.5 submit job-1 tasks=2 run_s=20\nuntil 30\n"));
}
