//! The log lines that nodes write at the default level.

use gladekeel_testkit::scenario::run;
use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};
use tracing_subscriber::fmt::MakeWriter;

/// Collects log lines in memory.
#[derive(Debug, Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = LogBuffer;

    fn make_writer(&'a self) -> LogBuffer {
        self.clone()
    }
}

/// Runs a scenario and returns the log of all its nodes.
fn log_of(scenario: &str) -> String {
    let buffer = LogBuffer::default();
    let subscriber = tracing_subscriber::fmt().with_ansi(false).with_writer(buffer.clone());
    tracing::subscriber::with_default(subscriber.finish(), || run(scenario)).unwrap();
    String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap()
}

fn count(log: &str, message: &str) -> usize {
    log.lines().filter(|line| line.contains(message)).count()
}

/// Guards against a log in which an operator cannot see who led and why an attempt was forgotten.
#[test]
fn takeovers_and_forgets_are_logged() {
    let log = log_of(
        "world on_demand=2\n\
         at 3 submit job-1 tasks=2 cpus=8 run_s=10\n\
         at 5 http PUT /admin/settings {\"version\":0,\"settings\":{\"idle_s\":400}} = 200\n\
         at 45 submit job-2 tasks=2 cpus=8 run_s=60\n\
         at 48 cancel job-2\n\
         at 55 crash leader for 10\n\
         until 80\n",
    );
    for message in [
        "leader key changed",
        "leader key removed",
        "takeover began",
        "assignment log read",
        "task exited before completion",
        "forget sent",
    ] {
        assert!(log.contains(message), "no line {message:?}:\n{log}");
    }
    // Each of three nodes sees the first leader; the restarted one sees its successor too.
    assert!(count(&log, "leader key changed") >= 5, "{log}");
}

/// Guards against a log that is flooded when many tasks end at once.
#[test]
fn lines_about_attempts_are_limited_in_a_wave_of_failures() {
    let log = log_of(
        "world on_demand=4 team_quota_factor=4\n\
         at 3 submit job-1 tasks=8 cpus=16 run_s=10\n\
         at 5 http PUT /admin/settings {\"version\":0,\"settings\":{\"idle_s\":400}} = 200\n\
         at 60 submit job-2 tasks=600 cpus=0.25 memory_gb=0.1 run_s=20 class=faulty\n\
         until 100\n",
    );
    let lines = count(&log, "task exited before completion")
        + count(&log, "forget sent")
        + count(&log, "attempt released")
        + count(&log, "task start refused");
    // 50 lines at once, and 5 lines a second of the 40 s after the submission.
    assert!((50..=250).contains(&lines), "{lines} lines about attempts");
    assert!(log.contains("log lines about attempts suppressed"), "nothing was suppressed");
}
