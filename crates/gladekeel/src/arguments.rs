//! The arguments of the command line: subcommands, flags and their values.

use clap::{Args, Parser, Subcommand};
use gladekeel_wire::JobId;
use std::{fmt, net::SocketAddr, path::PathBuf, str::FromStr};

/// A cluster scheduler: runs users' jobs on machines that it creates in a cloud.
#[derive(Parser)]
#[command(version, about)]
pub struct Cli {
    #[command(flatten)]
    pub controller: ControllerArguments,
    #[command(flatten)]
    pub service: ServiceArguments,
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// How to run a controller.
#[derive(Args)]
pub struct ControllerArguments {
    /// Run a controller with this settings file.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

/// Which service to call, and how to print its responses.
#[derive(Args)]
pub struct ServiceArguments {
    /// Address of any controller.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8080", global = true)]
    pub server: SocketAddr,
    /// Print the JSON of the response unchanged.
    #[arg(long, global = true)]
    pub json: bool,
}

#[derive(Subcommand)]
pub enum Command {
    /// Validate a settings file.
    Check {
        /// Settings file to validate.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Show the leader, the controllers, usage by team and the number of machines.
    Status,
    /// List the machines; only the leader can list them.
    Machines,
    /// Submit, show and cancel jobs.
    #[command(subcommand)]
    Jobs(JobCommand),
    /// Show and change runtime settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Cordon a machine: assign no new tasks to it, and delete it once it is empty.
    Drain {
        /// Name of the machine.
        machine: MachineName,
    },
    /// Make a drained machine schedulable again.
    Undrain {
        /// Name of the machine.
        machine: MachineName,
    },
}

/// Subcommands of `gladekeel jobs`.
#[derive(Subcommand)]
pub enum JobCommand {
    /// Submit a job.
    Submit {
        /// JSON file that describes the job.
        file: PathBuf,
    },
    /// Show the state of a job.
    Show {
        /// Id of the job.
        id: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// Id of the job.
        id: JobId,
    },
}

/// Subcommands of `gladekeel settings`.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Show all settings.
    Get,
    /// Change settings: either all changes are applied or none.
    Set {
        /// New values of settings.
        #[arg(required = true, value_name = "NAME=VALUE")]
        values: Vec<SettingAssignment>,
    },
}

/// A new value of a runtime setting, written as `NAME=VALUE`.
#[derive(Debug, Clone)]
pub struct SettingAssignment {
    pub name: String,
    pub value: f64,
}

/// Why a text cannot be parsed as a [`SettingAssignment`].
#[derive(Debug, thiserror::Error)]
pub enum InvalidAssignment {
    #[error("expected NAME=VALUE")]
    NoEqualsSign,
    #[error("{0} is not a number")]
    NotANumber(String),
}

impl FromStr for SettingAssignment {
    type Err = InvalidAssignment;

    fn from_str(text: &str) -> Result<Self, InvalidAssignment> {
        let (name, value) = text.split_once('=').ok_or(InvalidAssignment::NoEqualsSign)?;
        let value = value.parse().map_err(|_| InvalidAssignment::NotANumber(value.to_owned()))?;
        Ok(SettingAssignment { name: name.to_owned(), value })
    }
}

/// The name of a machine, restricted to characters that need no escaping in a URL path.
#[derive(Debug, Clone)]
pub struct MachineName(String);

/// The error for a text that is not a [`MachineName`].
#[derive(Debug, thiserror::Error)]
#[error("a machine name consists of one or more letters, digits, '-', '_' and '.'")]
pub struct InvalidMachineName;

impl FromStr for MachineName {
    type Err = InvalidMachineName;

    fn from_str(text: &str) -> Result<Self, InvalidMachineName> {
        let is_allowed =
            |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        if text.is_empty() || !text.bytes().all(is_allowed) {
            return Err(InvalidMachineName);
        }
        Ok(MachineName(text.to_owned()))
    }
}

impl fmt::Display for MachineName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
