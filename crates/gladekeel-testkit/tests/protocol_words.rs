//! Checks that the code and the documentation use the terms of the field. The themed words of the
//! platform's protocol may occur only where the protocol's JSON is written out.
//!
//! The check searches identifiers (each part of `snake_case` and `CamelCase`), comments and string
//! literals of Rust files, and the prose of Markdown pages. The glossary maps the words to the
//! terms that the code uses.

use std::{
    fmt, fs,
    path::{Path, PathBuf},
};

/// Words of the protocol and some of their inflections. Words of the protocol that are also
/// ordinary English or Rust (`path`, `entry`, `write`, `rows`, `order`, `try`, `build`, `pattern`,
/// `mark`, `launch`, `full`, `busy`, `siblings`, `endpoint`) are not in the list, because the check
/// could not distinguish them from the usual meaning.
const PROTOCOL_WORDS: &str = "
    berth berths hull hulls yard yards driftwood charter charters rig rigs crew crews
    ensemble ensembles urgency piece pieces scatter scattered reckon reckons reckoned stow
    stows stowed helm helms tally tallies harbor harbors mooring moorings logline loglines
    mark_s launch_s slack_s mates_gone name_id";

/// `trim` is a state in the protocol and also a method of `str`. It is allowed only as the name of
/// a function that is called.
const TRIM: &str = "trim";

/// `watch` is the incarnation of a worker in the protocol, and also the store's mechanism that
/// delivers changes. It is not allowed in files about workers and heartbeats.
const WATCH: &str = "watch";
/// Parts of the paths of files about workers and heartbeats.
const FILES_WITHOUT_WATCH: [&str; 3] = ["worker", "heartbeat", "incarnation"];

/// `piece` is a task in the protocol, and also ordinary English in prose ("resources that become
/// free in small pieces"). Outside the crate that documents the protocol, the check finds the word
/// only in code and literals, not in comments.
const PIECES: [&str; 2] = ["piece", "pieces"];

/// Sources of the only crate whose serde attributes may contain the protocol's field names.
const WIRE_SOURCES: &str = "crates/gladekeel-wire/src/";

/// Files whose string literals may contain names of JSON fields, because error messages cite a
/// field by the name that the user wrote.
const FILES_WITH_JSON_NAMES: [&str; 1] = ["crates/gladekeel-wire/src/job/json_names.rs"];

/// Directories of test code, whose string literals may contain the protocol's JSON. Only words
/// between quotation marks, like names and values in JSON, are allowed there.
const TEST_CODE: [&str; 3] = ["/tests/", "/examples/", "crates/gladekeel-testkit/src/"];

/// The path of this file, which is not checked because it contains the list of the words.
const THIS_FILE: &str = "crates/gladekeel-testkit/tests/protocol_words.rs";

/// Pages that are not checked: the glossary, which maps the words to terms, and historical records,
/// which are not rewritten.
const EXEMPT_PAGES: [&str; 3] = ["docs/glossary.md", "docs/incidents/", "CHANGELOG.md"];

/// A word of the protocol in a place where it is not allowed.
#[derive(Debug, PartialEq)]
struct Finding {
    file: String,
    line: usize,
    word: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: `{}`", self.file, self.line, self.word)
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum FragmentKind {
    Code,
    Comment,
    /// A string literal, with its quotation marks.
    Literal,
    /// The content of `#[serde(...)]`.
    SerdeAttribute,
}

/// A part of a Rust source file.
#[derive(Debug, PartialEq)]
struct Fragment {
    kind: FragmentKind,
    line: usize,
    text: String,
}

/// Splits a Rust source file into code, comments, literals and serde attributes.
fn fragments(source: &str) -> Vec<Fragment> {
    let mut fragments: Vec<Fragment> = Vec::new();
    let (mut rest, mut line) = (source, 1);
    while !rest.is_empty() {
        let (kind, len) = next_fragment(rest);
        let (text, after) = rest.split_at(len);
        fragments.push(Fragment { kind, line, text: text.to_owned() });
        line += text.matches('\n').count();
        rest = after;
    }
    fragments
}

/// Returns the kind and the length in bytes of the fragment that the text starts with.
fn next_fragment(rest: &str) -> (FragmentKind, usize) {
    if rest.starts_with("//") {
        return (FragmentKind::Comment, rest.find('\n').unwrap_or(rest.len()));
    }
    if rest.starts_with("/*") {
        return (FragmentKind::Comment, rest.find("*/").map_or(rest.len(), |end| end + 2));
    }
    if rest.starts_with("#[serde(") {
        return (FragmentKind::SerdeAttribute, rest.find(")]").map_or(rest.len(), |end| end + 2));
    }
    if let Some(len) = literal_len(rest) {
        return (FragmentKind::Literal, len);
    }
    if let Some(len) = char_literal_len(rest) {
        return (FragmentKind::Code, len);
    }
    // Consumes a whole identifier, so that its last letter is not taken for the prefix of a
    // literal; otherwise one character.
    let identifier = rest.find(|c: char| !is_word_char(c)).unwrap_or(rest.len());
    let first = rest.chars().next().map_or(1, char::len_utf8);
    (FragmentKind::Code, identifier.max(first))
}

/// Returns the length in bytes of the string literal that the text starts with, or `None` if the
/// text starts with something else.
fn literal_len(rest: &str) -> Option<usize> {
    let unprefixed = rest.trim_start_matches(['b', 'c']);
    let prefix = rest.len() - unprefixed.len();
    if prefix > 1 {
        return None;
    }
    if let Some(raw) = unprefixed.strip_prefix('r') {
        let hashes = raw.len() - raw.trim_start_matches('#').len();
        let body = raw[hashes..].strip_prefix('"')?;
        let end = format!("\"{}", "#".repeat(hashes));
        return Some(prefix + 1 + hashes + 1 + body.find(&end)? + end.len());
    }
    let body = unprefixed.strip_prefix('"')?;
    let mut escaped = false;
    for (at, c) in body.char_indices() {
        match c {
            '"' if !escaped => return Some(prefix + 1 + at + 1),
            _ => escaped = c == '\\' && !escaped,
        }
    }
    None
}

/// Returns the length in bytes of the character literal that the text starts with, or `None` if the
/// text starts with something else, such as a lifetime.
fn char_literal_len(rest: &str) -> Option<usize> {
    let body = rest.strip_prefix('\'')?;
    if let Some(escape) = body.strip_prefix('\\') {
        let after_escaped = escape.chars().next()?.len_utf8();
        return Some(2 + after_escaped + escape[after_escaped..].find('\'')? + 1);
    }
    let c = body.chars().next()?;
    body[c.len_utf8()..].starts_with('\'').then_some(2 + c.len_utf8())
}

fn is_word_char(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// Returns the identifiers and words of a text, each with the byte offset at which it starts.
fn words(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.match_indices(is_word_char).filter_map(move |(start, _)| {
        let starts_word = !text[..start].ends_with(is_word_char);
        let len = text[start..].find(|c| !is_word_char(c)).unwrap_or(text.len() - start);
        starts_word.then(|| (start, &text[start..start + len]))
    })
}

/// Returns the parts of an identifier in lower case. `HelmToken` and `helm_token` have the same
/// parts.
fn identifier_parts(word: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut previous_is_lower = false;
    for c in word.chars() {
        if c == '_' || (c.is_uppercase() && previous_is_lower) {
            parts.push(String::new());
        }
        previous_is_lower = c.is_lowercase() || c.is_numeric();
        if c != '_'
            && let Some(part) = parts.last_mut()
        {
            part.extend(c.to_lowercase());
        }
    }
    parts
}

/// Returns the word of the protocol that an identifier equals or has as a part, if any.
fn protocol_word(word: &str) -> Option<&'static str> {
    let whole = word.to_lowercase();
    let parts = identifier_parts(word);
    PROTOCOL_WORDS.split_whitespace().chain([TRIM, WATCH]).find(|listed| {
        whole == **listed || (*listed != TRIM && parts.iter().any(|part| part == listed))
    })
}

/// Whether the word at `start` is enclosed in quotation marks, which may be escaped.
fn is_quoted(text: &str, start: usize, word: &str) -> bool {
    let after = &text[start + word.len()..];
    text[..start].ends_with('"') && (after.starts_with('"') || after.starts_with("\\\""))
}

/// Whether `word`, which starts at the offset `start` of the fragment at `index`, is allowed there.
fn is_allowed(file: &str, fragments: &[Fragment], index: usize, start: usize, word: &str) -> bool {
    let fragment = &fragments[index];
    let in_test_code = TEST_CODE.iter().any(|directory| file.contains(directory));
    match fragment.kind {
        FragmentKind::SerdeAttribute => file.starts_with(WIRE_SOURCES),
        FragmentKind::Literal if FILES_WITH_JSON_NAMES.contains(&file) => true,
        FragmentKind::Literal => in_test_code && is_quoted(&fragment.text, start, word),
        FragmentKind::Code => {
            let next = fragments.get(index + 1).map(|next| next.text.as_str());
            word == TRIM && next == Some("(")
        }
        FragmentKind::Comment => {
            let is_english = PIECES.contains(&word) && !file.starts_with(WIRE_SOURCES);
            is_english || (in_test_code && is_in_backticks(&fragment.text, start, word))
        }
    }
}

/// Whether the word at `start` is enclosed in backticks, like a key of the scenario language or of
/// the protocol that a comment quotes.
fn is_in_backticks(text: &str, start: usize, word: &str) -> bool {
    text[..start].ends_with('`') && text[start + word.len()..].starts_with('`')
}

/// Whether a listed word is `watch`, in a file where it can only mean a watch of the store.
fn is_store_watch(file: &str, listed: &str) -> bool {
    listed == WATCH && !FILES_WITHOUT_WATCH.iter().any(|part| file.contains(part))
}

/// Returns the words of the protocol that are not allowed in a Rust source file.
fn findings_in_rust(file: &str, source: &str) -> Vec<Finding> {
    let fragments = fragments(source);
    let mut findings = Vec::new();
    for (index, fragment) in fragments.iter().enumerate() {
        for (start, word) in words(&fragment.text) {
            let Some(listed) = protocol_word(word) else { continue };
            if is_store_watch(file, listed) || is_allowed(file, &fragments, index, start, word) {
                continue;
            }
            let line = fragment.line + fragment.text[..start].matches('\n').count();
            findings.push(Finding { file: file.to_owned(), line, word: word.to_owned() });
        }
    }
    findings
}

/// Whether the word at `start` is a part of a hyphenated name, such as the name of a site.
fn is_hyphenated(text: &str, start: usize, word: &str) -> bool {
    text[..start].ends_with('-') || text[start + word.len()..].starts_with('-')
}

/// Returns the words of the protocol that are not allowed in a Markdown page. Allowed are words in
/// backticks or code blocks, which quote the protocol, and parts of hyphenated names.
fn findings_in_page(file: &str, text: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut in_block = false;
    for (index, line) in text.lines().enumerate() {
        if line.trim_start().starts_with("```") {
            in_block = !in_block;
        }
        if in_block {
            continue;
        }
        for prose in line.split('`').step_by(2) {
            let found = words(prose)
                .filter(|(start, word)| !is_hyphenated(prose, *start, word))
                .filter(|(_, word)| protocol_word(word).is_some_and(is_unambiguous));
            findings.extend(found.map(|(_, word)| Finding {
                file: file.to_owned(),
                line: index + 1,
                word: word.to_owned(),
            }));
        }
    }
    findings
}

/// Whether a word of the protocol has no ordinary meaning in prose.
fn is_unambiguous(listed: &str) -> bool {
    listed != WATCH && !PIECES.contains(&listed)
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

/// Returns the files at or below a path that have the extension `extension`, sorted by name.
fn files_below(path: &Path, extension: &str) -> Vec<PathBuf> {
    if path.is_file() {
        let matches = path.extension().is_some_and(|found| found == extension);
        return if matches { vec![path.to_owned()] } else { Vec::new() };
    }
    let mut entries: Vec<PathBuf> =
        fs::read_dir(path).unwrap().map(|entry| entry.unwrap().path()).collect();
    entries.sort();
    entries.iter().flat_map(|entry| files_below(entry, extension)).collect()
}

/// Reads the files at or below `paths` that have the extension `extension`. Returns the path within
/// the repository and the text of each file.
fn read_files(paths: &[&str], extension: &str) -> Vec<(String, String)> {
    let root = repository();
    let files = paths.iter().flat_map(|path| files_below(&root.join(path), extension));
    files
        .map(|file| {
            let name = file.strip_prefix(&root).unwrap().to_str().unwrap().to_owned();
            (name, fs::read_to_string(&file).unwrap())
        })
        .collect()
}

fn assert_no_findings(findings: &[Finding]) {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    assert!(
        findings.is_empty(),
        "words of the protocol in place of the field's terms (see docs/glossary.md):\n{}",
        lines.join("\n")
    );
}

#[test]
fn rust_code_uses_the_terms_of_the_field() {
    let sources = read_files(&["crates"], "rs");
    assert!(sources.len() > 50, "only {} source files found", sources.len());
    let checked = sources.iter().filter(|(file, _)| file != THIS_FILE);
    let findings: Vec<Finding> =
        checked.flat_map(|(file, source)| findings_in_rust(file, source)).collect();
    assert_no_findings(&findings);
}

#[test]
fn pages_use_the_terms_of_the_field() {
    let pages = read_files(&["README.md", "CONTRIBUTING.md", "docs"], "md");
    assert!(pages.len() > 3, "only {} pages found", pages.len());
    let is_exempt = |file: &str| EXEMPT_PAGES.iter().any(|exempt| file.starts_with(exempt));
    let checked = pages.iter().filter(|(file, _)| !is_exempt(file));
    let findings: Vec<Finding> =
        checked.flat_map(|(file, text)| findings_in_page(file, text)).collect();
    assert_no_findings(&findings);
}

/// Guards against a check that overlooks words of the protocol where they are not allowed.
#[test]
fn misplaced_words_are_found() {
    let product = "crates/gladekeel-sched/src/cycle.rs";
    let wire = "crates/gladekeel-wire/src/worker.rs";
    let test = "crates/gladekeel-wire/tests/worker.rs";
    for (file, source) in [
        (product, "let helm = 1;"),
        (product, "struct HelmToken;"),
        (product, "fn of_crew() {}"),
        (product, "let next_mark_s = 1.0;\nlet mark_s = 1.0;"),
        (product, "/// Moves a berth.\nfn f() {}"),
        (product, "/* the yard */"),
        (product, "let quote = '\"'; // the yard\nlet other = '\"';"),
        (product, "info!(\"driftwood lost\");"),
        (product, "let name = \"pieces\";"),
        (product, "#[serde(rename = \"rig\")]"),
        (product, "let trim = 1;"),
        (product, "// Its trim is known."),
        (wire, "/// The watch of the worker."),
        (wire, "let watch = 1;"),
        (test, "// a berth"),
        (product, "// `driftwood`"),
        (wire, "/// State of a piece."),
        (test, "assert!(ok, \"the piece is lost\");"),
        (test, "fn rig() {}"),
    ] {
        let found = findings_in_rust(file, source).len();
        assert_eq!(found, 1, "{file}: {source}");
    }
    assert_eq!(findings_in_page("docs/design.md", "A berth and a `berth`.").len(), 1);
    let [finding] = &findings_in_rust(product, "\n\"a\n yard\"")[..] else {
        panic!("expected exactly one finding")
    };
    assert_eq!(finding.to_string(), "crates/gladekeel-sched/src/cycle.rs:3: `yard`");
}

/// Guards against a check that rejects words in places where they are allowed.
#[test]
fn words_in_allowed_places_are_accepted() {
    let product = "crates/gladekeel-store/src/replica.rs";
    let wire = "crates/gladekeel-wire/src/worker.rs";
    let test = "crates/gladekeel-wire/tests/worker.rs";
    for (file, source) in [
        (product, "text.trim(); text.trim_start(); right; origin; shipyardless"),
        (product, "/// Follows the store's watch.\nlet watch = 1; WatchEvent"),
        (product, "let original: &'static str = \"a pattern\";"),
        (product, "// Resources become free in small pieces."),
        (test, "//! `scatter`: tasks run in several zones."),
        (wire, "#[serde(rename = \"berth\", default)]"),
        ("crates/gladekeel-wire/src/job/json_names.rs", "const TASKS: &str = \"pieces\";"),
        (test, "let text = r#\"{\"piece\":\"job-1/1\",\"trim\":\"running\"}\"#;"),
        (test, "(\"\\\"pieces\\\":16\", \"\\\"pieces\\\":0\")"),
    ] {
        assert_eq!(findings_in_rust(file, source), [], "{file}: {source}");
    }
    let page = "`berth`\n```json\n{\"berth\": 1}\n```\nThe store's watch at bahir-hull-lean.";
    assert_eq!(findings_in_page("docs/design.md", page), []);
}
