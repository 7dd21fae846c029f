//! Reading and validating a settings file.

use gladekeel_wire::settings::{InvalidSetting, Settings};
use std::{
    fmt, io,
    path::{Path, PathBuf},
};

/// Why a settings file cannot be used. The error message is a single line.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    #[error("cannot read {}: {source}", .path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("{}{location}: {message}", .path.display())]
    Parse { path: PathBuf, location: Location, message: String },
    #[error("{}: {source}", .path.display())]
    Invalid { path: PathBuf, source: InvalidSetting },
}

/// The line number of a syntax error or of a value of the wrong type, if the line is known.
#[derive(Debug)]
pub struct Location(Option<usize>);

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.map_or(Ok(()), |line| write!(f, ":{line}"))
    }
}

/// Reads and validates a settings file.
pub fn load(path: &Path) -> Result<Settings, SettingsFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsFileError::Read { path: path.to_owned(), source })?;
    let settings: Settings =
        toml::from_str(&text).map_err(|error| parse_error(path, &text, &error))?;
    settings
        .check()
        .map_err(|source| SettingsFileError::Invalid { path: path.to_owned(), source })?;
    Ok(settings)
}

/// Describes a parse error with its line number and the text of that line.
fn parse_error(path: &Path, text: &str, error: &toml::de::Error) -> SettingsFileError {
    let line = error.span().map(|span| text[..span.start].matches('\n').count() + 1);
    let source_line = line.and_then(|line| text.lines().nth(line - 1)).unwrap_or("").trim();
    let message = if source_line.is_empty() {
        error.message().to_owned()
    } else {
        format!("{} (at `{source_line}`)", error.message())
    };
    SettingsFileError::Parse { path: path.to_owned(), location: Location(line), message }
}
