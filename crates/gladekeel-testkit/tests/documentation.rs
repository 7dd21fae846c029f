//! Checks that the pages under `docs/` name only scenarios, source files, functions, types and log
//! lines that exist. An on-call engineer searches for these log lines.

use gladekeel_testkit::scenario::scenario_directory;
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Prefixes of the store's keys, which have the form of a scenario name, but are not scenarios.
const STORE_KEY_PREFIXES: [&str; 2] = ["gk/", "gl/"];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the text of the page `docs/NAME`.
fn read_page(name: &str) -> String {
    let path = repository().join("docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the files in a directory and its subdirectories whose names end with `suffix`.
fn files_below(directory: &Path, suffix: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).expect("the directory can be listed") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            found.extend(files_below(&path, suffix));
        } else if path.to_string_lossy().ends_with(suffix) {
            found.push(path);
        }
    }
    found
}

/// Returns the source code of all packages, without their tests.
fn source_code() -> String {
    let crates = repository().join("crates");
    let packages = fs::read_dir(crates).expect("the packages can be listed");
    let mut code = String::new();
    for package in packages {
        let source_directory = package.expect("the entry can be read").path().join("src");
        for file in files_below(&source_directory, ".rs") {
            code += &fs::read_to_string(file).expect("source files are readable");
        }
    }
    code
}

/// Returns the text spans between backticks on a page.
fn code_spans(text: &str) -> impl Iterator<Item = &str> {
    text.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Whether a span has the form of a scenario name, `DIRECTORY/NAME`.
fn is_scenario_name(span: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let is_word = |word: &str| !word.is_empty() && word.bytes().all(is_allowed);
    let is_store_key = STORE_KEY_PREFIXES.iter().any(|prefix| span.starts_with(prefix));
    let parts = span.split_once('/').filter(|_| !is_store_key);
    parts.is_some_and(|(directory, name)| is_word(directory) && is_word(name))
}

#[test]
fn scenarios_that_the_pages_name_exist() {
    let mut names_found = 0;
    for name in ["safety.md", "design.md", "architecture.md", "limits.md", "operations.md"] {
        for span in code_spans(&read_page(name)).filter(|span| is_scenario_name(span)) {
            names_found += 1;
            let file = scenario_directory().join(format!("{span}.txt"));
            assert!(file.is_file(), "docs/{name} names a scenario that does not exist: {span}");
        }
    }
    assert!(
        names_found > 100,
        "only {names_found} scenario names found: are they still enclosed in backticks?"
    );
}

/// Returns the last segment of a Rust path such as `Node::handle` or `leader::scheduling`, or
/// `None` if the span is not a path of several segments.
fn last_segment(span: &str) -> Option<&str> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b':';
    let span = span.strip_suffix("()").unwrap_or(span);
    let is_path = span.contains("::") && span.bytes().all(is_allowed);
    is_path.then(|| span.rsplit("::").next().unwrap_or(span))
}

#[test]
fn code_that_the_pages_name_exists() {
    let code = source_code();
    let words: BTreeSet<&str> =
        code.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).collect();
    let mut names_found = 0;
    for name in ["architecture.md", "safety.md"] {
        for span in code_spans(&read_page(name)) {
            if let Some(segment) = last_segment(span) {
                names_found += 1;
                let defined = ["fn", "struct", "enum", "mod", "const", "type", "trait"]
                    .iter()
                    .any(|keyword| code.contains(&format!("{keyword} {segment}")));
                let is_variant = segment.starts_with(|c: char| c.is_ascii_uppercase());
                let found = defined || (words.contains(segment) && is_variant);
                assert!(found, "docs/{name} names an item that does not exist: {span}");
            } else if span.ends_with(".rs") {
                let path = repository().join("crates").join(span);
                assert!(path.is_file(), "docs/{name} names a file that does not exist: {span}");
            }
        }
    }
    assert!(
        names_found > 30,
        "only {names_found} paths of items found: are they still enclosed in backticks?"
    );
}

/// The second column of the on-call table holds the log lines that indicate a symptom.
#[test]
fn log_lines_of_the_on_call_table_are_written_by_the_code() {
    let code = source_code();
    let text = read_page("operations.md");
    let table = text.split("## On call").nth(1).expect("docs/operations.md has an on-call section");
    let rows = table.lines().skip_while(|line| !line.starts_with("| ---")).skip(1);
    let mut checked = 0;
    for row in rows.take_while(|line| line.starts_with('|')) {
        let column = row.split('|').nth(2).expect("each row of the table has a second column");
        for message in code_spans(column) {
            checked += 1;
            let literal = format!("\"{message}\"");
            assert!(
                code.contains(&literal),
                "docs/operations.md names a log line that does not exist: {message}"
            );
        }
    }
    assert!(checked > 15, "only {checked} log lines found in the on-call table");
}
