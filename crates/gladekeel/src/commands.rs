//! The subcommands: the calls to the service that each one makes, and the output that it prints.

use crate::{
    arguments::{JobCommand, MachineName, ServiceArguments, SettingAssignment, SettingsCommand},
    error::CommandError,
    output,
    service::Call,
    settings_file,
};
use gladekeel_wire::{
    admin::{SettingsChange, VersionedSettings},
    job::JobSpec,
};
use std::path::Path;

/// Runs `gladekeel check`.
pub fn check(config: &Path) -> Result<(), CommandError> {
    settings_file::load(config)?;
    println!("settings are fine");
    Ok(())
}

/// Runs `gladekeel status`.
pub fn status(service: &ServiceArguments) -> Result<(), CommandError> {
    service.print(&Call::get("/admin/status"), output::status)
}

/// Runs `gladekeel machines`.
pub fn machines(service: &ServiceArguments) -> Result<(), CommandError> {
    service.print(&Call::get("/admin/machines"), output::machines)
}

/// Runs a subcommand of `gladekeel jobs`.
pub fn jobs(service: &ServiceArguments, command: &JobCommand) -> Result<(), CommandError> {
    match command {
        JobCommand::Submit { file } => submit(service, file),
        JobCommand::Show { id } => {
            service.print(&Call::get(&format!("/api/jobs/{id}")), output::job)
        }
        JobCommand::Cancel { id } => {
            let path = format!("/api/jobs/{id}/cancel");
            service.print(&Call { method: "POST", path: &path, body: b"{}" }, output::job)
        }
    }
}

/// Validates a job file locally, and submits it unchanged.
fn submit(service: &ServiceArguments, file: &Path) -> Result<(), CommandError> {
    let owned_path = || file.to_owned();
    let body = std::fs::read(file)
        .map_err(|source| CommandError::ReadFile { path: owned_path(), source })?;
    JobSpec::parse(&body)
        .map_err(|source| CommandError::InvalidJob { path: owned_path(), source })?;
    service.print(&Call { method: "POST", path: "/api/jobs", body: &body }, output::job)
}

/// Runs a subcommand of `gladekeel settings`.
pub fn settings(service: &ServiceArguments, command: &SettingsCommand) -> Result<(), CommandError> {
    match command {
        SettingsCommand::Get => service.print(&Call::get("/admin/settings"), output::settings),
        SettingsCommand::Set { values } => change_settings(service, values),
    }
}

/// Changes settings, provided that their version has not changed since they were read, so that a
/// concurrent change by another operator is not overwritten.
fn change_settings(
    service: &ServiceArguments,
    values: &[SettingAssignment],
) -> Result<(), CommandError> {
    let stored: VersionedSettings = service.fetch(&Call::get("/admin/settings"))?;
    let values = values.iter().map(|setting| (setting.name.clone(), setting.value.into()));
    let change = SettingsChange { version: stored.version, settings: values.collect() };
    let body = serde_json::to_vec(&change).expect("wire types always serialise");
    service.print(&Call { method: "PUT", path: "/admin/settings", body: &body }, output::settings)
}

/// Runs `gladekeel drain`.
pub fn drain(service: &ServiceArguments, machine: &MachineName) -> Result<(), CommandError> {
    let path = format!("/admin/machines/{machine}/drain");
    let call = Call { method: "POST", path: &path, body: b"" };
    service.print(&call, |_: serde_json::Value| format!("{machine}: draining"))
}

/// Runs `gladekeel undrain`.
pub fn undrain(service: &ServiceArguments, machine: &MachineName) -> Result<(), CommandError> {
    let path = format!("/admin/machines/{machine}/undrain");
    let call = Call { method: "POST", path: &path, body: b"" };
    service.print(&call, |_: serde_json::Value| format!("{machine}: no longer draining"))
}
