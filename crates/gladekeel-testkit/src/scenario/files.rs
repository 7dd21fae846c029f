//! Running scenario files side by side.

use super::{ScenarioError, run};
use crate::simulation::TraceDigest;
use std::{
    fs, io,
    path::{Path, PathBuf},
    thread,
};

/// The directory of all scenario files, in directories by the kind of fault.
pub fn scenario_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

/// The name of a scenario: its path below the directory `scenarios`, without the extension.
pub fn scenario_name(path: &Path) -> String {
    let mut names: Vec<_> = path
        .with_extension("")
        .components()
        .map(|component| component.as_os_str().to_string_lossy().into_owned())
        .collect();
    if let Some(root) = names.iter().rposition(|name| name == "scenarios") {
        names.drain(..=root);
    }
    names.join("/")
}

/// The files in a directory and the directories below it, in no order.
///
/// # Errors
///
/// If a directory cannot be read.
pub fn files_below(directory: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            files.extend(files_below(&entry.path())?);
        } else {
            files.push(entry.path());
        }
    }
    Ok(files)
}

/// What came of one scenario file.
#[derive(Debug)]
pub struct FileResult {
    /// The scenario's name; see [`scenario_name`].
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
    let name = scenario_name(&path);
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{name}: {error}"));
    FileResult { name, outcome: run(&text) }
}
