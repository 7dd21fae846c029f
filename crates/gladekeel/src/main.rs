//! The gladekeel program.

use clap::{Args, Parser, Subcommand};
use gladekeel_wire::settings::Settings;
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// A cluster scheduler: runs users' jobs on machines rented from a cloud.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(flatten)]
    run: ConfigArg,
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
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match (cli.command, cli.run.config) {
        (Some(Command::Check { config }), _) => {
            load(&config).map(|_| println!("settings are fine"))
        }
        (None, Some(config)) => load(&config).and_then(serve),
        (None, None) => Err("no settings file: use --config FILE, or --help".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gladekeel: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks a settings file; errors are one line.
fn load(path: &Path) -> Result<Settings, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    let settings: Settings = toml::from_str(&text).map_err(|error| {
        let line = error.span().map(|span| text[..span.start].matches('\n').count() + 1);
        let at = line.map(|line| format!(":{line}")).unwrap_or_default();
        let snippet = line.and_then(|line| text.lines().nth(line - 1)).unwrap_or("").trim();
        let near = if snippet.is_empty() { String::new() } else { format!(" (at `{snippet}`)") };
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
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start: {error}"))?;
    let local = tokio::task::LocalSet::new();
    let seed = rand::random();
    local
        .block_on(&runtime, gladekeel_controller::shell::run(settings, seed))
        .map_err(|error| format!("cannot listen: {error}"))
}
