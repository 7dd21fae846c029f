//! A line of a scenario that says what happens, taken apart.

use crate::scenario::tokens::{KeyValues, id, names, number, split};
use gladekeel_wire::JobId;

/// A line's words.
pub(super) struct Line<'a> {
    /// The whole line.
    pub text: &'a str,
    /// KeyValues without `=`, in their order.
    pub plain: Vec<&'a str>,
    /// KeyValues of the form `key=value`.
    pub words: KeyValues<'a>,
    /// The number after `for`: how long it lasts.
    pub for_s: f64,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Result<Line<'a>, String> {
        let (plain, words) = split(text);
        let mut line = Line { text, plain, words, for_s: 0.0 };
        if let Some(index) = line.plain.iter().position(|word| *word == "for") {
            line.for_s = line.number_at(index + 1)?;
        }
        Ok(line)
    }

    /// The plain word at an index.
    pub fn at(&self, index: usize) -> Result<&'a str, String> {
        self.plain.get(index).copied().ok_or_else(|| "a word is missing".to_owned())
    }

    /// Whether the plain word at an index is this one.
    pub fn is(&self, index: usize, word: &str) -> bool {
        self.plain.get(index) == Some(&word)
    }

    /// The number at an index.
    pub fn number_at(&self, index: usize) -> Result<f64, String> {
        number(self.at(index)?)
    }

    /// The number of a `key=value` word, if there is one.
    pub fn given(&self, key: &str) -> Result<Option<f64>, String> {
        self.words.get(key).map(|text| number(text)).transpose()
    }

    /// The number of a `key=value` word, or 0.
    pub fn given_or_zero(&self, key: &str) -> Result<f64, String> {
        Ok(self.given(key)?.unwrap_or(0.0))
    }

    /// The jobs that the word at an index names.
    pub fn jobs(&self, index: usize) -> Result<Vec<JobId>, String> {
        names(self.at(index)?).iter().map(|name| id(name)).collect()
    }
}
