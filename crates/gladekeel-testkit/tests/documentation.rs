//! The pages under `docs/` name only things that exist: scenarios, source files, functions and
//! types, and the log lines that an engineer on call searches for.

use gladekeel_testkit::scenario::scenario_directory;
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// What begins a key of the store, which has the form of a scenario's name.
const KEY_PREFIXES: [&str; 2] = ["gk/", "gl/"];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    let path = repository().join("docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// All files below a directory whose names have this ending.
fn files_below(directory: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).expect("the directory can be listed") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            found.extend(files_below(&path, ending));
        } else if path.to_string_lossy().ends_with(ending) {
            found.push(path);
        }
    }
    found
}

/// The code of all packages, tests left out.
fn sources() -> String {
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

/// The spans of a page that are set as code.
fn code_spans(text: &str) -> impl Iterator<Item = &str> {
    text.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Whether a span has the form of a scenario's name, `DIRECTORY/NAME`.
fn is_scenario_name(span: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let is_word = |word: &str| !word.is_empty() && word.bytes().all(is_allowed);
    let is_key = KEY_PREFIXES.iter().any(|prefix| span.starts_with(prefix));
    let parts = span.split_once('/').filter(|_| !is_key);
    parts.is_some_and(|(directory, name)| is_word(directory) && is_word(name))
}

#[test]
fn scenarios_that_the_pages_name_exist() {
    let mut named = 0;
    for name in ["safety.md", "design.md", "architecture.md", "limits.md", "operations.md"] {
        for span in code_spans(&page(name)).filter(|span| is_scenario_name(span)) {
            named += 1;
            let file = scenario_directory().join(format!("{span}.txt"));
            assert!(file.is_file(), "docs/{name} names no scenario: {span}");
        }
    }
    assert!(named > 100, "{named} scenarios named: are they still set as code?");
}

/// The last part of a path such as `Node::handle` or `leader::scheduling`.
fn last_segment(span: &str) -> Option<&str> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b':';
    let span = span.strip_suffix("()").unwrap_or(span);
    let is_path = span.contains("::") && span.bytes().all(is_allowed);
    is_path.then(|| span.rsplit("::").next().unwrap_or(span))
}

#[test]
fn code_that_the_pages_name_exists() {
    let code = sources();
    let words: BTreeSet<&str> =
        code.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).collect();
    let mut named = 0;
    for name in ["architecture.md", "safety.md"] {
        for span in code_spans(&page(name)) {
            if let Some(segment) = last_segment(span) {
                named += 1;
                let defined = ["fn", "struct", "enum", "mod", "const", "type", "trait"]
                    .iter()
                    .any(|keyword| code.contains(&format!("{keyword} {segment}")));
                let is_variant = segment.starts_with(|c: char| c.is_ascii_uppercase());
                let found = defined || (words.contains(segment) && is_variant);
                assert!(found, "docs/{name} names what is not in the code: {span}");
            } else if span.ends_with(".rs") {
                let path = repository().join("crates").join(span);
                assert!(path.is_file(), "docs/{name} names no file: {span}");
            }
        }
    }
    assert!(named > 30, "{named} functions and types named: are they still set as code?");
}

/// Rows of the on-call table hold the log line that shows a symptom in their second column.
#[test]
fn log_lines_of_the_on_call_table_are_written_by_the_code() {
    let code = sources();
    let text = page("operations.md");
    let table = text.split("## On call").nth(1).expect("there is an on-call section");
    let rows = table.lines().skip_while(|line| !line.starts_with("| ---")).skip(1);
    let mut checked = 0;
    for row in rows.take_while(|line| line.starts_with('|')) {
        let column = row.split('|').nth(2).expect("a row has a second column");
        for message in code_spans(column) {
            checked += 1;
            let literal = format!("\"{message}\"");
            assert!(code.contains(&literal), "no log line in the code: {message}");
        }
    }
    assert!(checked > 15, "{checked} log lines in the on-call table");
}
