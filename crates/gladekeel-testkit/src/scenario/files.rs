//! Finds scenario files and runs them in parallel.

use super::{ScenarioError, run};
use crate::simulation::TraceDigest;
use std::{
    fs, io,
    path::{Path, PathBuf},
    thread,
};

/// Returns the directory of all scenario files. Its subdirectories group them by topic, such as the
/// kind of fault.
pub fn scenario_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

/// Returns the name of a scenario: the path of its file below the directory `scenarios`, without
/// the extension.
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

/// Returns the paths of all files in a directory and its subdirectories, in no particular order.
///
/// # Errors
///
/// Returns an error if a directory cannot be read.
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

/// The result of running a scenario file.
#[derive(Debug)]
pub struct FileResult {
    /// The scenario's name; see [`scenario_name`].
    pub name: String,
    /// The digest of each seed's run, or the reason why the scenario did not pass.
    pub outcome: Result<Vec<TraceDigest>, ScenarioError>,
}

/// Runs scenario files, each in its own thread, and returns the results in the order of the files.
///
/// # Panics
///
/// Panics if a file cannot be read, or if a scenario panics.
pub fn run_files(files: Vec<PathBuf>) -> Vec<FileResult> {
    let threads: Vec<_> = files.into_iter().map(|path| thread::spawn(|| run_file(path))).collect();
    let results = threads.into_iter();
    results.map(|thread| thread.join().expect("a scenario does not panic")).collect()
}

/// Reads and runs one scenario file.
fn run_file(path: PathBuf) -> FileResult {
    let name = scenario_name(&path);
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{name}: {error}"));
    FileResult { name, outcome: run(&text) }
}
