//! The gladekeel program: a controller node, and the commands that talk to one.

mod client;

use clap::{Args, Parser, Subcommand};
use client::Failure;
use gladekeel_wire::settings::Settings;
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};
use tokio::runtime::LocalOptions;

/// A cluster scheduler: runs users' jobs on machines rented from a cloud.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(flatten)]
    run: ConfigArg,
    #[command(flatten)]
    server: client::Server,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Args)]
struct ConfigArg {
    /// Settings file; run a controller node with it.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and say what is wrong with it.
    Check {
        /// The settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Show who leads, and how nodes, teams and machines are.
    Status,
    /// List the machines; ask the leader.
    Machines,
    /// Submit, show and cancel jobs.
    #[command(subcommand)]
    Jobs(client::Jobs),
    /// Show and change the operators' settings.
    #[command(subcommand)]
    Settings(client::Settings),
    /// Give a machine no more work and return it once it is empty.
    Drain {
        /// The machine.
        #[arg(value_parser = client::machine_name)]
        machine: String,
    },
    /// Take back a `drain`.
    Undrain {
        /// The machine.
        #[arg(value_parser = client::machine_name)]
        machine: String,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let server = &cli.server;
    let result = match cli.command {
        Some(Command::Check { config }) => {
            load(&config).map(|_| println!("settings are fine")).map_err(Failure::new)
        }
        Some(Command::Status) => client::status(server),
        Some(Command::Machines) => client::machines(server),
        Some(Command::Jobs(command)) => client::jobs(server, &command),
        Some(Command::Settings(command)) => client::settings(server, &command),
        Some(Command::Drain { machine }) => client::drain(server, &machine, true),
        Some(Command::Undrain { machine }) => client::drain(server, &machine, false),
        None => match cli.run.config {
            Some(config) => load(&config).and_then(serve).map_err(Failure::new),
            None => Err(Failure::wrong_use("no settings file: use --config FILE, or --help")),
        },
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

/// Reads and checks a settings file; errors are one line.
fn load(path: &Path) -> Result<Settings, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    let settings: Settings = toml::from_str(&text).map_err(|error| {
        let line = error.span().map(|span| text[..span.start].matches('\n').count() + 1);
        let at = line.map(|line| format!(":{line}")).unwrap_or_default();
        let source = line.and_then(|line| text.lines().nth(line - 1)).unwrap_or("").trim();
        let near = if source.is_empty() { String::new() } else { format!(" (at `{source}`)") };
        format!("{name}{at}: {}{near}", error.message())
    })?;
    settings.check().map_err(|error| format!("{name}: {error}"))?;
    Ok(settings)
}

fn serve(settings: Settings) -> Result<(), String> {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("warn") => tracing::Level::WARN,
        Ok("debug") => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    // Not a `LocalSet` on a runtime: each wake of one writes to the runtime's event socket,
    // which costs two system calls an event.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(|error| format!("cannot start: {error}"))?;
    let seed = rand::random();
    runtime
        .block_on(gladekeel_controller::shell::run(settings, seed))
        .map_err(|error| format!("cannot listen: {error}"))
}
