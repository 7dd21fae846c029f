//! Runs every file under `scenarios/`.

use gladekeel_testkit::scenario;
use std::{fs, path::Path};

#[test]
fn all_scenarios() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    // One scenario alone shows the nodes' logs.
    let only = std::env::var("SCENARIO").unwrap_or_default();
    if !only.is_empty() {
        tracing_subscriber::fmt().without_time().with_ansi(false).init();
    }
    let mut files: Vec<_> = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files.retain(|path| path.to_string_lossy().contains(&only));
    assert!(!files.is_empty());
    let threads: Vec<_> = files
        .into_iter()
        .map(|path| {
            std::thread::spawn(move || {
                let name = path.file_stem().unwrap().to_string_lossy().into_owned();
                let result = scenario::run(&fs::read_to_string(&path).unwrap());
                (name, result.err().map(|failure| failure.to_string()))
            })
        })
        .collect();
    let mut failed = Vec::new();
    for thread in threads {
        let (name, failure) = thread.join().expect("a scenario does not panic");
        if let Some(failure) = failure {
            failed.push(format!("{name}:\n{failure}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n\n"));
}
