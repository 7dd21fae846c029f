//! Running a controller in this process.

use crate::error::CommandError;
use gladekeel_controller::shell;
use gladekeel_wire::settings::Settings;
use tokio::runtime::{Builder, LocalOptions};
use tracing::Level;

/// Environment variable that sets the log level: `error`, `warn`, `info` (the default) or `debug`.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Runs a controller until the process is killed. Returns only if the controller cannot start.
pub fn run(settings: Settings) -> Result<(), CommandError> {
    start_logging();
    // A local runtime is used instead of a `LocalSet`: each wake-up of a `LocalSet` writes to the
    // runtime's event socket, which costs two system calls per event.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(CommandError::Runtime)?;
    let seed = rand::random();
    Ok(runtime.block_on(shell::run(settings, seed))?)
}

fn start_logging() {
    tracing_subscriber::fmt()
        .with_max_level(log_level())
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

fn log_level() -> Level {
    match std::env::var(LOG_LEVEL_VARIABLE).as_deref() {
        Ok("error") => Level::ERROR,
        Ok("warn") => Level::WARN,
        Ok("debug") => Level::DEBUG,
        _ => Level::INFO,
    }
}
