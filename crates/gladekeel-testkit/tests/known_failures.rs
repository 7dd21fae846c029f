//! `.ci/cargo-test` and its list of tests that are known to fail, on a small package of
//! its own: two tests that pass, two that fail, and a scenario runner with two files.

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

/// A list under which the package passes.
const COMPLETE: &str = "tests::bad | a fault | #1\n\
    tests::bad_too | another fault | #2\n\
    scenario:weather/stormy | bad weather | #3\n";

struct Outcome {
    passed: bool,
    output: String,
}

/// Runs the script on the package with this list, or without a file.
fn run(directory: &str, list: Option<&str>, environment: &[(&str, &str)]) -> Outcome {
    let package = package(directory);
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

fn package(directory: &str) -> PathBuf {
    let package = Path::new(env!("CARGO_TARGET_TMPDIR")).join("known-failures").join(directory);
    let scenarios = package.join("crates/gladekeel-testkit/scenarios");
    // A file that an earlier run has left must not count as a scenario.
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

fn assert_fails(directory: &str, list: &str, message: &str) {
    let outcome = run(directory, Some(list), &[]);
    assert!(!outcome.passed, "{list}: {}", outcome.output);
    assert!(outcome.output.contains(message), "{list}: {}", outcome.output);
}

#[test]
fn listed_tests_are_printed_and_passed_over() {
    let outcome = run("complete", Some(COMPLETE), &[("SCENARIO", "calm")]);
    assert!(outcome.passed, "{}", outcome.output);
    for line in [
        "known to fail, fails: tests::bad (a fault; #1)",
        "known to fail, fails: scenario:weather/stormy (bad weather; #3)",
        "test tests::good ... ok",
    ] {
        assert!(outcome.output.contains(line), "{line}: {}", outcome.output);
    }
    let last = outcome.output.lines().rfind(|line| line.starts_with("test result"));
    assert!(last.unwrap().starts_with("test result: ok. 1 passed"), "{}", outcome.output);
}

#[test]
fn only_listed_tests_are_passed_over() {
    for list in [None, Some(""), Some("\n")] {
        let outcome = run("empty", list, &[("SKIP_SCENARIOS", "weather/stormy")]);
        assert!(!outcome.passed);
        assert!(outcome.output.contains("test tests::bad ... FAILED"), "{}", outcome.output);
    }
    // The name of one test begins that of another; the scenario is left.
    assert_fails("empty", "tests::bad | a fault | #1", "test tests::bad_too ... FAILED");
    let tests: String = COMPLETE.lines().take(2).map(|line| format!("{line}\n")).collect();
    assert_fails("empty", &tests, "test all_scenarios ... FAILED");
}

#[test]
fn listed_tests_must_exist_and_fail() {
    for (test, message) in [
        ("tests::good", "passes or is ignored, take it off the list: tests::good"),
        ("tests::ignored", "passes or is ignored"),
        ("scenario:calm", "passes or is ignored, take it off the list: scenario:calm"),
        ("bad", "no such test: bad"),
        ("tests::none", "no such test: tests::none"),
        ("scenario:stormy", "no such scenario: scenario:stormy"),
        ("scenario:none", "no such scenario: scenario:none"),
    ] {
        assert_fails("stale", &format!("{test} | a cause | #1\n"), message);
    }
    let list = "tests::aborts | a cause | #1";
    let outcome = run("stale", Some(list), &[("ABORT", "1")]);
    assert!(!outcome.passed);
    assert!(outcome.output.contains("did not run to its end: tests::aborts"), "{}", outcome.output);
}

#[test]
fn the_list_is_short_and_well_formed() {
    for line in ["tests::bad", "tests::bad | a fault", "tests::bad | | #1", " | a | #1", "a|b|c|d"]
    {
        assert_fails("malformed", &format!("{line}\n"), "malformed, expected");
    }
    assert_fails("malformed", &COMPLETE.replace("bad_too", "bad"), "listed twice: tests::bad");
    let four = format!("{COMPLETE}tests::good | a fourth | #4\n");
    assert_fails("malformed", &four, "lists 4 tests, at most 3 may be");
}
