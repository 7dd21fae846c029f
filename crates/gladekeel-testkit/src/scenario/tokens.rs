//! KeyValues of a line, and the numbers and names among them.

use gladekeel_wire::JobId;
use std::collections::BTreeMap;

/// The `key=value` words of a line.
pub(super) type KeyValues<'a> = BTreeMap<&'a str, &'a str>;

/// Splits `key=value` words from plain ones.
pub(super) fn split(text: &str) -> (Vec<&str>, KeyValues<'_>) {
    let mut plain = Vec::new();
    let mut pairs = BTreeMap::new();
    for word in text.split_whitespace() {
        match word.split_once('=') {
            Some((key, value)) => {
                pairs.insert(key, value);
            }
            None => plain.push(word),
        }
    }
    (plain, pairs)
}

pub(super) fn number(text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("not a number: {text}"))
}

pub(super) fn id(text: &str) -> Result<JobId, String> {
    text.parse().map_err(|error| format!("{error}"))
}

/// Names like `job-1..3`, spelled out.
pub(super) fn names(text: &str) -> Vec<String> {
    let range = text.split_once("..").and_then(|(first, last)| {
        let (stem, from) = first.rsplit_once('-')?;
        Some((stem, from.parse::<u32>().ok()?, last.parse::<u32>().ok()?))
    });
    match range {
        Some((stem, from, to)) => (from..=to).map(|n| format!("{stem}-{n}")).collect(),
        None => vec![text.to_owned()],
    }
}
