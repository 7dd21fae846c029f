//! Running scenario files side by side.

use super::{ScenarioError, run};
use crate::simulation::TraceDigest;
use std::{fs, path::PathBuf, thread};

/// What came of one scenario file.
#[derive(Debug)]
pub struct FileResult {
    /// The file's name without its directory and ending.
    pub name: String,
    /// The digest of each seed's run, or why the scenario did not pass.
    pub outcome: Result<Vec<TraceDigest>, ScenarioError>,
}

/// Runs scenario files, each in a thread of its own, and returns the results in their order.
///
/// # Panics
///
/// If a file cannot be read, or a scenario panics.
pub fn run_files(files: Vec<PathBuf>) -> Vec<FileResult> {
    let threads: Vec<_> = files.into_iter().map(|path| thread::spawn(|| run_file(path))).collect();
    let results = threads.into_iter();
    results.map(|thread| thread.join().expect("a scenario does not panic")).collect()
}

fn run_file(path: PathBuf) -> FileResult {
    let name = path.file_stem().expect("a scenario file has a name").to_string_lossy().into_owned();
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{name}: {error}"));
    FileResult { name, outcome: run(&text) }
}
