//! Runs scenario files and prints the digests of what the nodes send, in the format of
//! `tests/fixtures/decision_traces.txt`:
//!
//! ```text
//! cargo run -p gladekeel-testkit --example decision_traces -- crates/gladekeel-testkit/scenarios/*/*.txt
//! ```

use gladekeel_testkit::scenario;
use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let files = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let mut exit_code = ExitCode::SUCCESS;
    for result in scenario::run_files(files) {
        match result.outcome {
            Ok(digests) => {
                let digests: Vec<String> = digests.iter().map(ToString::to_string).collect();
                println!("{} {}", result.name, digests.join(" "));
            }
            Err(failure) => {
                eprintln!("{}: {failure}", result.name);
                exit_code = ExitCode::FAILURE;
            }
        }
    }
    exit_code
}
