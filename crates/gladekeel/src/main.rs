//! The `gladekeel` program, which runs a controller or a command that calls a running controller.

mod arguments;
mod commands;
mod controller;
mod error;
mod output;
mod service;
mod settings_file;

use arguments::{Cli, Command};
use clap::Parser;
use error::CommandError;
use std::process::ExitCode;

fn main() -> ExitCode {
    match execute(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gladekeel: {error}");
            error.exit_code()
        }
    }
}

fn execute(cli: Cli) -> Result<(), CommandError> {
    let service = &cli.service;
    match cli.command {
        Some(Command::Check { config }) => commands::check(&config),
        Some(Command::Status) => commands::status(service),
        Some(Command::Machines) => commands::machines(service),
        Some(Command::Jobs(command)) => commands::jobs(service, &command),
        Some(Command::Settings(command)) => commands::settings(service, &command),
        Some(Command::Drain { machine }) => commands::drain(service, &machine),
        Some(Command::Undrain { machine }) => commands::undrain(service, &machine),
        None => {
            let config = cli.controller.config.ok_or(CommandError::MissingConfig)?;
            controller::run(settings_file::load(&config)?)
        }
    }
}
