//! Runs every file below `scenarios/`.
//!
//! `SCENARIO=TEXT` runs only the scenarios whose path contains the text, and prints the nodes' logs.
//! `SKIP_SCENARIOS=NAME,NAME` skips these scenarios, each named by its directory and file like
//! `failover/leader-crash`. Only `.ci/cargo-test` sets this variable, from the list of tests that
//! are known to fail.

use gladekeel_testkit::scenario::{files_below, run_files, scenario_directory, scenario_name};
use std::{
    io::{self, Write as _},
    path::PathBuf,
};

/// Returns the scenario files to run, sorted by path: the files whose path contains `only`, without
/// those whose scenario names are in `skipped`, a list that is separated by commas.
///
/// # Errors
///
/// Returns an error if `skipped` names a scenario that does not exist, or if no file remains.
fn select(mut files: Vec<PathBuf>, only: &str, skipped: &str) -> Result<Vec<PathBuf>, String> {
    let skipped: Vec<&str> = skipped.split(',').filter(|name| !name.is_empty()).collect();
    for name in &skipped {
        if !files.iter().any(|path| scenario_name(path) == *name) {
            return Err(format!("SKIP_SCENARIOS names an unknown scenario: {name}"));
        }
    }
    files.sort();
    files.retain(|path| path.to_string_lossy().contains(only));
    files.retain(|path| !skipped.contains(&scenario_name(path).as_str()));
    if files.is_empty() {
        return Err(format!("no scenario to run: SCENARIO={only:?}, SKIP_SCENARIOS={skipped:?}"));
    }
    Ok(files)
}

#[test]
fn all_scenarios() {
    // The nodes' logs are printed only if scenarios are selected.
    let only = std::env::var("SCENARIO").unwrap_or_default();
    if !only.is_empty() {
        tracing_subscriber::fmt().without_time().with_ansi(false).init();
    }
    let skipped = std::env::var("SKIP_SCENARIOS").unwrap_or_default();
    if !skipped.is_empty() {
        // The test harness captures the output of `eprintln` and hides it if the test passes.
        writeln!(io::stderr(), "scenarios skipped, known to fail: {skipped}").unwrap();
    }
    let files = files_below(&scenario_directory()).unwrap();
    let files = select(files, &only, &skipped).unwrap();
    let mut failed = Vec::new();
    for result in run_files(files) {
        if let Err(failure) = result.outcome {
            failed.push(format!("{}:\n{failure}", result.name));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}

/// Guards against skipping more scenarios than `SKIP_SCENARIOS` names, such as those that share a
/// directory or a prefix with a skipped one, and against a misspelt name without an error.
#[test]
fn only_named_scenarios_are_skipped() {
    let files = [
        "scenarios/outage/long.txt",
        "scenarios/outage/long-zone.txt",
        "scenarios/calm/long.txt",
        "scenarios/quiet.txt",
    ];
    let files = files.map(PathBuf::from).to_vec();
    let names = |only: &str, skipped: &str| {
        select(files.clone(), only, skipped)
            .map(|files| files.iter().map(|path| scenario_name(path)).collect::<Vec<_>>())
    };
    let all = ["calm/long", "outage/long-zone", "outage/long", "quiet"];
    assert_eq!(names("", "").unwrap(), all);
    assert_eq!(names("", "outage/long").unwrap(), ["calm/long", "outage/long-zone", "quiet"]);
    assert_eq!(names("", "outage/long,quiet").unwrap(), ["calm/long", "outage/long-zone"]);
    assert_eq!(names("/outage/long.txt", "").unwrap(), ["outage/long"]);
    assert!(names("", "long").is_err(), "the directory is part of the name");
    assert!(names("", "outage/lo").is_err());
    assert!(names("", "outage").is_err());
    assert!(names("/outage/long.txt", "outage/long").is_err());
}
