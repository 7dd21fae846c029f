//! Errors of commands, with a one-line message for the user and an exit code.

use crate::settings_file::SettingsFileError;
use gladekeel_controller::shell::ListenError;
use gladekeel_http::{ConnectError, ExchangeError};
use gladekeel_wire::job::InvalidJob;
use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

/// Exit code of a command that the service refuses, or that fails for another reason.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line; clap uses the same code.
const EXIT_USAGE: u8 = 2;
/// Exit code of a command that got no response from the service.
const EXIT_NO_RESPONSE: u8 = 3;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("no settings file given: use --config FILE, or --help")]
    MissingConfig,
    #[error(transparent)]
    SettingsFile(#[from] SettingsFileError),
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error("{0}; is another process listening there?")]
    Listen(#[from] ListenError),
    #[error("cannot read {}: {source}", .path.display())]
    ReadFile { path: PathBuf, source: io::Error },
    #[error("{}: {source}", .path.display())]
    InvalidJob { path: PathBuf, source: InvalidJob },
    #[error("cannot reach {server}: {source}; is a controller running there?")]
    Unreachable { server: SocketAddr, source: ConnectError },
    #[error("no response from {server}: {source}; the command may or may not have been executed")]
    NoResponse { server: SocketAddr, source: ExchangeError },
    #[error("{message} ({status}){}", retry_hint(*.status))]
    Refused { status: u16, message: String },
    #[error("cannot parse the response of {server}: {source}; is it a controller of this version?")]
    UnreadableResponse { server: SocketAddr, source: serde_json::Error },
}

/// A hint to retry, for statuses of temporary refusals; empty for all other statuses.
fn retry_hint(status: u16) -> &'static str {
    if matches!(status, 429 | 503) { "; try again" } else { "" }
}

impl CommandError {
    /// The exit code of a process whose command failed with this error.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            CommandError::MissingConfig => EXIT_USAGE,
            CommandError::Unreachable { .. } | CommandError::NoResponse { .. } => EXIT_NO_RESPONSE,
            CommandError::SettingsFile(_)
            | CommandError::Runtime(_)
            | CommandError::Listen(_)
            | CommandError::ReadFile { .. }
            | CommandError::InvalidJob { .. }
            | CommandError::Refused { .. }
            | CommandError::UnreadableResponse { .. } => EXIT_FAILED,
        };
        ExitCode::from(code)
    }
}
