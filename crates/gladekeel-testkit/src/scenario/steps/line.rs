//! A step, taken apart into its tokens.

use crate::scenario::{
    LineError,
    tokens::{KeyValues, job_id, names, number, split},
};
use gladekeel_wire::JobId;

/// A step's tokens.
pub(super) struct Line<'a> {
    /// The whole step.
    pub text: &'a str,
    /// Tokens without `=`, in their order.
    pub tokens: Vec<&'a str>,
    /// Tokens of the form `key=value`.
    pub options: KeyValues<'a>,
    /// The number after `for`: how long it lasts. 0 without one.
    pub duration_s: f64,
}

impl<'a> Line<'a> {
    /// Takes a step apart.
    pub fn parse(text: &'a str) -> Result<Line<'a>, LineError> {
        let (tokens, options) = split(text);
        let mut line = Line { text, tokens, options, duration_s: 0.0 };
        if let Some(index) = line.tokens.iter().position(|token| *token == "for") {
            line.duration_s = line.number(index + 1, "a number of seconds")?;
        }
        Ok(line)
    }

    /// The token at an index.
    pub fn token(&self, index: usize, expected: &'static str) -> Result<&'a str, LineError> {
        self.tokens.get(index).copied().ok_or(LineError::Missing { expected })
    }

    /// Whether the token at an index is this one.
    pub fn has(&self, index: usize, token: &str) -> bool {
        self.tokens.get(index) == Some(&token)
    }

    /// Whether the token at an index starts with this prefix.
    pub fn has_prefix(&self, index: usize, prefix: &str) -> bool {
        self.tokens.get(index).is_some_and(|token| token.starts_with(prefix))
    }

    /// What follows the prefix of the token at an index.
    pub fn after_prefix(
        &self,
        index: usize,
        prefix: &str,
        expected: &'static str,
    ) -> Result<&'a str, LineError> {
        let token = self.token(index, expected)?;
        token.strip_prefix(prefix).ok_or_else(|| LineError::unexpected(expected, token))
    }

    /// The number at an index.
    pub fn number(&self, index: usize, expected: &'static str) -> Result<f64, LineError> {
        number(self.token(index, expected)?)
    }

    /// The jobs that the token at an index names.
    pub fn jobs(&self, index: usize) -> Result<Vec<JobId>, LineError> {
        let jobs = names(self.token(index, "the names of jobs")?);
        jobs.iter().map(|name| job_id(name)).collect()
    }
}
