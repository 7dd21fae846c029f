//! Parsing of tokens: `key=value` pairs, numbers, and names of jobs.

use super::LineError;
use gladekeel_wire::JobId;
use std::{collections::BTreeMap, ops::Range};

/// The `key=value` tokens of a line.
#[derive(Debug, Default)]
pub(super) struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Returns whether the key is present.
    pub fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Returns the value of a key as text, or `None` if the key is absent.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied()
    }

    /// Returns the value of a key as a number, or `None` if the key is absent.
    pub fn number(&self, key: &str) -> Result<Option<f64>, LineError> {
        self.text(key).map(number).transpose()
    }

    /// Returns the value of a key as a number, or the default if the key is absent.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, LineError> {
        Ok(self.number(key)?.unwrap_or(default))
    }

    /// Iterates over all pairs, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.0.iter().map(|(key, value)| (*key, *value))
    }
}

/// Splits a text at white space into plain tokens, in their order, and `key=value` tokens.
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

/// Parses a number.
pub(super) fn number(text: &str) -> Result<f64, LineError> {
    text.parse().map_err(|_| LineError::unexpected("a number", text))
}

/// Parses a range of numbers like `0.2..12`, which must not be empty.
pub(super) fn number_range(text: &str) -> Result<Range<f64>, LineError> {
    let unexpected = || LineError::unexpected("a range like 0.2..12", text);
    let (start, end) = text.split_once("..").ok_or_else(unexpected)?;
    let range = number(start)?..number(end)?;
    if range.is_empty() { Err(unexpected()) } else { Ok(range) }
}

/// Parses the name of a job.
pub(super) fn job_id(text: &str) -> Result<JobId, LineError> {
    text.parse().map_err(|_| LineError::unexpected("a job's name", text))
}

/// Expands a range like `job-1..3` to its names. Any other text is a single name.
pub(super) fn expand_names(text: &str) -> Vec<String> {
    let range = text.split_once("..").and_then(|(first, last)| {
        let (stem, from) = first.rsplit_once('-')?;
        Some((stem, from.parse::<u32>().ok()?, last.parse::<u32>().ok()?))
    });
    match range {
        Some((stem, from, to)) => (from..=to).map(|n| format!("{stem}-{n}")).collect(),
        None => vec![text.to_owned()],
    }
}
