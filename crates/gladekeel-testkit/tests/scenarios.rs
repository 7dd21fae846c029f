//! Runs every file under `scenarios/`.
//!
//! `SCENARIO=TEXT` runs those whose path contains the text, with the nodes' logs.
//! `SKIP_SCENARIOS=NAME,NAME` passes over these; only `.ci/cargo-test` sets it, from the
//! list of tests that are known to fail.

use gladekeel_testkit::scenario;
use std::{
    fs,
    io::{self, Write as _},
    path::{Path, PathBuf},
};

fn name(path: &Path) -> String {
    path.file_stem().expect("a file has a name").to_string_lossy().into_owned()
}

/// The files to run: those whose path contains `only`, without those that `skipped` names.
/// An unknown name in `skipped` is an error.
fn select(mut files: Vec<PathBuf>, only: &str, skipped: &str) -> Result<Vec<PathBuf>, String> {
    let skipped: Vec<&str> = skipped.split(',').filter(|name| !name.is_empty()).collect();
    for wanted in &skipped {
        if !files.iter().any(|path| name(path) == *wanted) {
            return Err(format!("no such scenario: {wanted}"));
        }
    }
    files.sort();
    files.retain(|path| path.to_string_lossy().contains(only));
    files.retain(|path| !skipped.contains(&name(path).as_str()));
    if files.is_empty() {
        return Err("no scenario is left".to_owned());
    }
    Ok(files)
}

#[test]
fn all_scenarios() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    // One scenario alone shows the nodes' logs.
    let only = std::env::var("SCENARIO").unwrap_or_default();
    if !only.is_empty() {
        tracing_subscriber::fmt().without_time().with_ansi(false).init();
    }
    let skipped = std::env::var("SKIP_SCENARIOS").unwrap_or_default();
    if !skipped.is_empty() {
        // Not `eprintln`, which the test harness keeps to itself when a test passes.
        writeln!(io::stderr(), "scenarios passed over, known to fail: {skipped}").unwrap();
    }
    let files = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path()).collect();
    let files = select(files, &only, &skipped).unwrap();
    let mut failed = Vec::new();
    for result in scenario::run_files(files) {
        if let Err(failure) = result.outcome {
            failed.push(format!("{}:\n{failure}", result.name));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}

#[test]
fn only_named_scenarios_are_passed_over() {
    let files = ["s/gap.txt", "s/gap-zone.txt", "s/quiet.txt"].map(PathBuf::from).to_vec();
    let names = |only: &str, skipped: &str| {
        select(files.clone(), only, skipped)
            .map(|files| files.iter().map(|path| name(path)).collect::<Vec<_>>())
    };
    assert_eq!(names("", "").unwrap(), ["gap-zone", "gap", "quiet"]);
    assert_eq!(names("", "gap").unwrap(), ["gap-zone", "quiet"]);
    assert_eq!(names("", "gap,quiet").unwrap(), ["gap-zone"]);
    assert_eq!(names("/gap.txt", "").unwrap(), ["gap"]);
    assert!(names("", "ga").is_err());
    assert!(names("/gap.txt", "gap").is_err());
}
