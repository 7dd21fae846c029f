//! The tokens of a scenario line: plain ones, `key=value` pairs, numbers and job names.

use super::LineError;
use gladekeel_wire::JobId;
use std::collections::BTreeMap;

/// The `key=value` tokens of a line.
#[derive(Debug, Default)]
pub(super) struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Whether the key is there.
    pub fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// The value of a key.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied()
    }

    /// The number of a key, if it is there.
    pub fn number(&self, key: &str) -> Result<Option<f64>, LineError> {
        self.text(key).map(number).transpose()
    }

    /// The number of a key, or a default.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, LineError> {
        Ok(self.number(key)?.unwrap_or(default))
    }

    /// All pairs in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.0.iter().map(|(key, value)| (*key, *value))
    }
}

/// Splits the `key=value` tokens of a text from the plain ones.
pub(super) fn split(text: &str) -> (Vec<&str>, KeyValues<'_>) {
    let mut plain = Vec::new();
    let mut pairs = KeyValues::default();
    for token in text.split_whitespace() {
        match token.split_once('=') {
            Some((key, value)) => {
                pairs.0.insert(key, value);
            }
            None => plain.push(token),
        }
    }
    (plain, pairs)
}

pub(super) fn number(text: &str) -> Result<f64, LineError> {
    text.parse().map_err(|_| LineError::unexpected("a number", text))
}

pub(super) fn job_id(text: &str) -> Result<JobId, LineError> {
    text.parse().map_err(|_| LineError::unexpected("a job's name", text))
}

/// Spells out names like `job-1..3`.
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
