//! The commands: which calls each one makes, and what it prints.

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

/// `gladekeel check`.
pub fn check(config: &Path) -> Result<(), CommandError> {
    settings_file::load(config)?;
    println!("settings are fine");
    Ok(())
}

/// `gladekeel status`.
pub fn status(service: &ServiceArguments) -> Result<(), CommandError> {
    service.print(&Call::get("/admin/status"), output::status)
}

/// `gladekeel machines`.
pub fn machines(service: &ServiceArguments) -> Result<(), CommandError> {
    service.print(&Call::get("/admin/machines"), output::machines)
}

/// `gladekeel jobs`.
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

fn submit(service: &ServiceArguments, file: &Path) -> Result<(), CommandError> {
    let path = || file.to_owned();
    let body =
        std::fs::read(file).map_err(|source| CommandError::ReadFile { path: path(), source })?;
    JobSpec::parse(&body).map_err(|source| CommandError::InvalidJob { path: path(), source })?;
    service.print(&Call { method: "POST", path: "/api/jobs", body: &body }, output::job)
}

/// `gladekeel settings`.
pub fn settings(service: &ServiceArguments, command: &SettingsCommand) -> Result<(), CommandError> {
    match command {
        SettingsCommand::Get => service.print(&Call::get("/admin/settings"), output::settings),
        SettingsCommand::Set { values } => change_settings(service, values),
    }
}

/// Changes settings under the version that was read, so that a change that somebody else
/// makes meanwhile is not overwritten.
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

/// `gladekeel drain`.
pub fn drain(service: &ServiceArguments, machine: &MachineName) -> Result<(), CommandError> {
    let path = format!("/admin/machines/{machine}/drain");
    let call = Call { method: "POST", path: &path, body: b"" };
    service.print(&call, |_: serde_json::Value| format!("{machine}: draining"))
}

/// `gladekeel undrain`.
pub fn undrain(service: &ServiceArguments, machine: &MachineName) -> Result<(), CommandError> {
    let path = format!("/admin/machines/{machine}/undrain");
    let call = Call { method: "POST", path: &path, body: b"" };
    service.print(&call, |_: serde_json::Value| format!("{machine}: no longer draining"))
}
