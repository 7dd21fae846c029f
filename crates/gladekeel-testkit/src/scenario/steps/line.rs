//! Splits a step into its tokens.

use crate::scenario::{
    LineError,
    tokens::{KeyValues, expand_names, job_id, number, split},
};
use gladekeel_wire::JobId;

/// The tokens of a step.
pub(super) struct Line<'a> {
    /// Text of the whole step.
    pub text: &'a str,
    /// Tokens without `=`, in their order; the first one is the step's verb.
    pub tokens: Vec<&'a str>,
    /// Tokens of the form `key=value`.
    pub options: KeyValues<'a>,
    /// The number after `for`: duration of the step in seconds; 0 without `for`.
    pub duration_s: f64,
}

impl<'a> Line<'a> {
    /// Splits the text of a step.
    pub fn parse(text: &'a str) -> Result<Line<'a>, LineError> {
        let (tokens, options) = split(text);
        let mut line = Line { text, tokens, options, duration_s: 0.0 };
        if let Some(index) = line.tokens.iter().position(|token| *token == "for") {
            line.duration_s = line.number(index + 1, "a number of seconds")?;
        }
        Ok(line)
    }

    /// Returns the token at an index. `expected` describes the token in errors.
    pub fn token(&self, index: usize, expected: &'static str) -> Result<&'a str, LineError> {
        self.tokens.get(index).copied().ok_or(LineError::Missing { expected })
    }

    /// Returns whether the token at an index equals `token`.
    pub fn has(&self, index: usize, token: &str) -> bool {
        self.tokens.get(index) == Some(&token)
    }

    /// Returns whether the token at an index starts with a prefix.
    pub fn has_prefix(&self, index: usize, prefix: &str) -> bool {
        self.tokens.get(index).is_some_and(|token| token.starts_with(prefix))
    }

    /// Returns the text that follows a prefix in the token at an index, or an error if the token
    /// does not have the prefix.
    pub fn after_prefix(
        &self,
        index: usize,
        prefix: &str,
        expected: &'static str,
    ) -> Result<&'a str, LineError> {
        let token = self.token(index, expected)?;
        token.strip_prefix(prefix).ok_or_else(|| LineError::unexpected(expected, token))
    }

    /// Returns the token at an index as a number.
    pub fn number(&self, index: usize, expected: &'static str) -> Result<f64, LineError> {
        number(self.token(index, expected)?)
    }

    /// Returns the jobs that the token at an index names.
    pub fn jobs(&self, index: usize) -> Result<Vec<JobId>, LineError> {
        let jobs = expand_names(self.token(index, "the names of jobs")?);
        jobs.iter().map(|name| job_id(name)).collect()
    }
}
