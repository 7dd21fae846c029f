//! The commands that talk to a running service.

use gladekeel_http::{Client, ClientError, Reply};
use gladekeel_wire::{
    JobId,
    admin::{Machines, SettingsChange, Status, VersionedSettings},
    job::{ErrorBody, JobSpec, JobStatus},
};
use serde::de::DeserializeOwned;
use std::{
    collections::BTreeMap, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration,
};

/// How long an answer may take.
const LIMIT: Duration = Duration::from_secs(8);
/// Exit code when the service refuses, or something else fails.
const FAILED: u8 = 1;
/// Exit code for a command line that makes no sense, as clap has it.
const WRONG_USE: u8 = 2;
/// Exit code when the service cannot be reached.
const UNREACHABLE: u8 = 3;

/// Where the service is and how to print.
#[derive(clap::Args, Debug)]
pub struct Server {
    /// Address of any controller node.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8080", global = true)]
    pub server: SocketAddr,
    /// Print the service's JSON as it is.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Commands about jobs.
#[derive(clap::Subcommand, Debug)]
pub enum Jobs {
    /// Submit the job that a JSON file describes.
    Submit {
        /// The file.
        file: PathBuf,
    },
    /// Show a job's state.
    Show {
        /// The job.
        id: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        id: JobId,
    },
}

/// Commands about the operators' settings.
#[derive(clap::Subcommand, Debug)]
pub enum Settings {
    /// Show all settings.
    Get,
    /// Change settings, all of them or none.
    Set {
        /// What to change.
        #[arg(required = true, value_name = "NAME=VALUE", value_parser = pair)]
        values: Vec<(String, f64)>,
    },
}

fn pair(text: &str) -> Result<(String, f64), String> {
    let (name, value) = text.split_once('=').ok_or("expected NAME=VALUE")?;
    let value = value.parse().map_err(|_| format!("{value} is not a number"))?;
    Ok((name.to_owned(), value))
}

/// Reads a machine's name: what may stand in a path as it is.
pub fn machine_name(text: &str) -> Result<String, String> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if text.is_empty() || !text.bytes().all(is_allowed) {
        return Err("a name consists of letters, digits, '-', '_' and '.'".to_owned());
    }
    Ok(text.to_owned())
}

/// What went wrong, for the user.
pub struct Failure {
    message: String,
    code: u8,
}

impl Failure {
    /// A failure that is not about reaching the service.
    pub fn new(message: impl Into<String>) -> Failure {
        Failure { message: message.into(), code: FAILED }
    }

    /// A command line that makes no sense.
    pub fn wrong_use(message: impl Into<String>) -> Failure {
        Failure { message: message.into(), code: WRONG_USE }
    }

    /// No answer from this address.
    fn unreachable(server: SocketAddr, error: &ClientError) -> Failure {
        let message = match error {
            ClientError::NotSent(why) => {
                format!("cannot reach {server}: {why}; is a controller node running there?")
            }
            ClientError::NoAnswer(why) => {
                format!("no answer from {server}: {why}; it may or may not have been carried out")
            }
        };
        Failure { message, code: UNREACHABLE }
    }

    /// Prints it and returns the exit code.
    pub fn report(self) -> ExitCode {
        eprintln!("gladekeel: {}", self.message);
        ExitCode::from(self.code)
    }
}

impl Server {
    fn ask(&self, method: &str, path: &str, body: &[u8]) -> Result<Reply, Failure> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Failure::new(format!("cannot start: {error}")))?;
        let client = Client::new(self.server, 0);
        let reply = runtime
            .block_on(client.send(method, path, body, LIMIT))
            .map_err(|error| Failure::unreachable(self.server, &error))?;
        if reply.status < 300 {
            return Ok(reply);
        }
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let error =
            serde_json::from_slice::<ErrorBody>(&reply.body).map_or(text, |body| body.error);
        let again = if matches!(reply.status, 429 | 503) { "; try again" } else { "" };
        Err(Failure::new(format!("{} ({}){again}", error.trim(), reply.status)))
    }

    /// Asks and prints: the JSON itself, or what `show` makes of it.
    fn print<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        show: impl FnOnce(T) -> String,
    ) -> Result<(), Failure> {
        let reply = self.ask(method, path, body)?;
        let text = if self.json {
            String::from_utf8_lossy(&reply.body).into_owned()
        } else {
            show(read(&reply)?)
        };
        println!("{}", text.trim_end());
        Ok(())
    }
}

fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, Failure> {
    serde_json::from_slice(&reply.body)
        .map_err(|error| Failure::new(format!("an answer that cannot be read: {error}")))
}

fn job_line(status: JobStatus) -> String {
    let state = serde_json::to_value(status.state).unwrap_or_default();
    let counts = match (status.done, status.running) {
        (Some(done), Some(running)) => format!(", {done} tasks done, {running} running"),
        _ => String::new(),
    };
    format!("{}: {}{counts}", status.id, state.as_str().unwrap_or("unknown"))
}

/// `gladekeel jobs`.
pub fn jobs(server: &Server, command: &Jobs) -> Result<(), Failure> {
    match command {
        Jobs::Submit { file } => {
            let body = std::fs::read(file)
                .map_err(|error| Failure::new(format!("{}: {error}", file.display())))?;
            JobSpec::parse(&body)
                .map_err(|error| Failure::new(format!("{}: {error}", file.display())))?;
            server.print("POST", "/api/jobs", &body, job_line)
        }
        Jobs::Show { id } => server.print("GET", &format!("/api/jobs/{id}"), b"", job_line),
        Jobs::Cancel { id } => {
            server.print("POST", &format!("/api/jobs/{id}/cancel"), b"{}", job_line)
        }
    }
}

/// The part of an answer that lists settings.
#[derive(serde::Deserialize)]
struct SettingValues {
    settings: BTreeMap<String, f64>,
}

impl SettingValues {
    fn lines(self) -> String {
        self.settings.iter().map(|(name, value)| format!("{name} = {value}\n")).collect()
    }
}

/// `gladekeel settings`.
pub fn settings(server: &Server, command: &Settings) -> Result<(), Failure> {
    match command {
        Settings::Get => server.print("GET", "/admin/settings", b"", SettingValues::lines),
        Settings::Set { values } => {
            let stored: VersionedSettings = read(&server.ask("GET", "/admin/settings", b"")?)?;
            let settings = values.iter().map(|(name, value)| (name.clone(), (*value).into()));
            let change = SettingsChange { version: stored.version, settings: settings.collect() };
            let body = serde_json::to_vec(&change)
                .map_err(|error| Failure::new(format!("cannot send that: {error}")))?;
            server.print("PUT", "/admin/settings", &body, SettingValues::lines)
        }
    }
}

/// `gladekeel status`.
pub fn status(server: &Server) -> Result<(), Failure> {
    server.print("GET", "/admin/status", b"", |status: Status| {
        let seconds =
            |value: Option<f64>| value.map_or("never".into(), |s| format!("{s:.1} s ago"));
        let mut text = format!(
            "node {}, state service reached {}\nleader {}, token {}\n",
            status.node,
            seconds(status.store_contact_age_s),
            status.leader.as_deref().unwrap_or("none"),
            status.token
        );
        for node in status.nodes {
            text += &format!("node {}, heard {}\n", node.node, seconds(node.last_heartbeat_age_s));
        }
        for team in status.teams {
            text += &format!(
                "team {}: {} CPUs of {} guaranteed and {} at most; {} jobs, {} tasks waiting\n",
                team.team,
                team.cpus,
                team.guaranteed_cpus,
                team.limit_cpus,
                team.jobs,
                team.waiting
            );
        }
        match status.machines {
            None => text += "machines: ask the leader\n",
            Some(machines) => {
                let counts: Vec<String> =
                    machines.iter().map(|(state, count)| format!("{count} {state}")).collect();
                let counts = if counts.is_empty() { "none".to_owned() } else { counts.join(", ") };
                text += &format!("machines: {counts}\n");
            }
        }
        text
    })
}

/// `gladekeel machines`.
pub fn machines(server: &Server) -> Result<(), Failure> {
    server.print("GET", "/admin/machines", b"", |list: Machines| {
        let lines = list.machines.into_iter().map(|m| {
            format!(
                "{} {} {} {}{}, {} tasks\n",
                m.machine,
                m.state,
                m.machine_type.as_deref().unwrap_or("?"),
                m.zone.as_deref().unwrap_or("?"),
                if m.spot { " spot" } else { "" },
                m.tasks
            )
        });
        lines.collect()
    })
}

/// `gladekeel drain` and `undrain`.
pub fn drain(server: &Server, machine: &str, on: bool) -> Result<(), Failure> {
    let verb = if on { "drain" } else { "undrain" };
    server.print(
        "POST",
        &format!("/admin/machines/{machine}/{verb}"),
        b"",
        |_: serde_json::Value| {
            format!("{machine}: {}", if on { "draining" } else { "no longer draining" })
        },
    )
}
