//! Tests of the script `.ci/cargo-test` and of its list of tests that are known to fail,
//! `KNOWN-RED.txt`. Each test writes a small package and runs the script on it. The package has two
//! tests that pass (one of them aborts if `ABORT` is set), two that fail, one that is ignored, and
//! a scenario runner with two scenarios, of which one fails.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

const MANIFEST: &str = r#"
[package]
name = "sample"
version = "0.1.0"
edition = "2024"
[lib]
doctest = false
[workspace]
"#;

const SOURCE: &str = r#"
#[cfg(test)]
mod tests {
    #[test]
    fn good() {}
    #[test]
    fn bad() { panic!("a fault") }
    #[test]
    fn bad_too() { panic!("another fault") }
    #[test]
    #[ignore]
    fn ignored() { panic!("not run") }
    #[test]
    fn aborts() { if std::env::var("ABORT").is_ok() { std::process::abort() } }
}
"#;

/// A scenario runner whose scenario `calm` passes and whose scenario `weather/stormy` fails.
const RUNNER: &str = r#"
#[test]
fn all_scenarios() {
    let only = std::env::var("SCENARIO").unwrap_or_default();
    let skipped = std::env::var("SKIP_SCENARIOS").unwrap_or_default();
    for name in ["calm", "weather/stormy"] {
        let selected = format!("scenarios/{name}.txt").contains(&only);
        if selected && !skipped.split(',').any(|skip| skip == name) {
            assert_eq!(name, "calm");
        }
    }
}
"#;

/// A `KNOWN-RED.txt` that lists all failing tests of the package, so that the script succeeds.
const COMPLETE_LIST: &str = "tests::bad | cargo test, no seed | a fault | #1\n\
    tests::bad_too | cargo test, no seed | another fault | #2\n\
    scenario:weather/stormy | cargo test, seed 7 | bad weather | #3\n";

struct Outcome {
    passed: bool,
    output: String,
}

/// Writes the package and runs the script on it, with `list` as the text of `KNOWN-RED.txt`, or
/// without that file if `list` is `None`. Tests that run in parallel must use different
/// directories.
fn run_script(directory: &str, list: Option<&str>, environment: &[(&str, &str)]) -> Outcome {
    let package = write_package(directory);
    if let Some(list) = list {
        fs::write(package.join("KNOWN-RED.txt"), list).unwrap();
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/cargo-test");
    let output = Command::new(script)
        .current_dir(&package)
        .env("CARGO_TARGET_DIR", package.join("target"))
        .env_remove("RUSTFLAGS")
        .envs(environment.iter().copied())
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    Outcome { passed: output.status.success(), output: String::from_utf8_lossy(&text).into_owned() }
}

/// Writes the package without `KNOWN-RED.txt` and returns its path.
fn write_package(directory: &str) -> PathBuf {
    let package = Path::new(env!("CARGO_TARGET_TMPDIR")).join("known-failures").join(directory);
    let scenarios = package.join("crates/gladekeel-testkit/scenarios");
    // Removes the scenario files of earlier runs, because the script accepts every scenario that
    // has a file.
    let _ = fs::remove_dir_all(&scenarios);
    for path in [package.join("src"), package.join("tests"), scenarios.join("weather")] {
        fs::create_dir_all(path).unwrap();
    }
    fs::write(package.join("Cargo.toml"), MANIFEST).unwrap();
    fs::write(package.join("src/lib.rs"), SOURCE).unwrap();
    fs::write(package.join("tests/scenarios.rs"), RUNNER).unwrap();
    for name in ["calm", "weather/stormy"] {
        fs::write(scenarios.join(format!("{name}.txt")), "").unwrap();
    }
    let _ = fs::remove_file(package.join("KNOWN-RED.txt"));
    package
}

/// Asserts that the script fails with `list` as `KNOWN-RED.txt` and that its output contains
/// `message`.
fn assert_fails(directory: &str, list: &str, message: &str) {
    let outcome = run_script(directory, Some(list), &[]);
    assert!(!outcome.passed, "{list}: {}", outcome.output);
    assert!(outcome.output.contains(message), "{list}: {}", outcome.output);
}

/// Guards against a run that fails because of a listed test, and against listed failures that go
/// unnoticed because the script does not print them. The environment variable `SCENARIO` must not
/// restrict which scenarios are run.
#[test]
fn listed_failures_are_printed_and_do_not_fail_the_run() {
    let outcome = run_script("complete", Some(COMPLETE_LIST), &[("SCENARIO", "calm")]);
    assert!(outcome.passed, "{}", outcome.output);
    for line in [
        "known to fail, fails: tests::bad (cargo test, no seed; a fault; #1)",
        "known to fail, fails: scenario:weather/stormy (cargo test, seed 7; bad weather; #3)",
        "test tests::good ... ok",
    ] {
        assert!(outcome.output.contains(line), "{line}: {}", outcome.output);
    }
    let last_result = outcome.output.lines().rfind(|line| line.starts_with("test result"));
    assert!(last_result.unwrap().starts_with("test result: ok. 1 passed"), "{}", outcome.output);
}

/// Guards against skipping a failing test that is not listed: with an absent or empty list, with a
/// listed test whose name is a prefix of the failing one, and with a scenario that is not listed.
#[test]
fn failures_that_are_not_listed_fail_the_run() {
    for list in [None, Some(""), Some("\n")] {
        let outcome = run_script("empty", list, &[("SKIP_SCENARIOS", "weather/stormy")]);
        assert!(!outcome.passed);
        assert!(outcome.output.contains("test tests::bad ... FAILED"), "{}", outcome.output);
    }
    // `tests::bad` is a prefix of `tests::bad_too`.
    assert_fails(
        "empty",
        "tests::bad | cargo test | a fault | #1",
        "test tests::bad_too ... FAILED",
    );
    // Both tests are listed, but not the failing scenario.
    let tests: String = COMPLETE_LIST.lines().take(2).map(|line| format!("{line}\n")).collect();
    assert_fails("empty", &tests, "test all_scenarios ... FAILED");
}

/// Guards against a script that accepts an outdated list: a listed test passes, is ignored, aborts
/// the test process or does not exist.
#[test]
fn listed_tests_that_do_not_fail_or_do_not_exist_fail_the_run() {
    for (test, message) in [
        ("tests::good", "passes or is ignored, take it off the list: tests::good"),
        ("tests::ignored", "passes or is ignored"),
        ("scenario:calm", "passes or is ignored, take it off the list: scenario:calm"),
        ("bad", "no such test: bad"),
        ("tests::none", "no such test: tests::none"),
        ("scenario:stormy", "no such scenario: scenario:stormy"),
        ("scenario:none", "no such scenario: scenario:none"),
    ] {
        assert_fails("stale", &format!("{test} | cargo test | a fault | #1\n"), message);
    }
    let list = "tests::aborts | cargo test | a fault | #1";
    let outcome = run_script("stale", Some(list), &[("ABORT", "1")]);
    assert!(!outcome.passed);
    assert!(outcome.output.contains("did not run to its end: tests::aborts"), "{}", outcome.output);
}

/// Guards against a script that accepts a list with malformed lines, with a test that is named
/// twice, or with more than three tests.
#[test]
fn a_malformed_or_too_long_list_fails_the_run() {
    for line in [
        "tests::bad",
        "tests::bad | a fault",
        "tests::bad | a fault | #1",
        "tests::bad | cargo test | a fault |",
        "tests::bad | cargo test | | #1",
        "tests::bad | | a fault | #1",
        " | cargo test | a fault | #1",
        "tests::bad | cargo test | a fault | #1 | more",
        "tests::bad | cargo test | a fault | #1 |",
    ] {
        assert_fails("malformed", &format!("{line}\n"), "malformed, expected");
    }
    assert_fails("malformed", &COMPLETE_LIST.replace("bad_too", "bad"), "listed twice: tests::bad");
    let four = format!("{COMPLETE_LIST}tests::good | cargo test | a fourth | #4\n");
    assert_fails("malformed", &four, "lists 4 tests, at most 3 may be");
}
