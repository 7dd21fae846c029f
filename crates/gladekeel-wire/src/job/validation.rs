//! Validation of submissions, so that no value that is out of range reaches the scheduler.

use super::{JobSpec, MAX_TASKS, json_names};

/// Maximum value of a resource amount or a duration; excludes infinite and implausible values.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum length of a class, team, image, zone or machine type, in bytes.
const MAX_NAME_LEN: usize = 200;
/// Maximum number of machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 200;

/// The reason why a submission is rejected.
#[derive(Debug, thiserror::Error)]
pub enum InvalidJob {
    /// The body is not a JSON object.
    #[error("not a job: not an object")]
    NotAnObject,
    /// The body is not the JSON of a job: it has a syntax error, or a field is missing or of the
    /// wrong type.
    #[error("not a job: {0}")]
    Json(#[source] serde_json::Error),
    /// The value of the field with this JSON name is out of range.
    #[error("field {0} is out of range")]
    Field(&'static str),
}

impl JobSpec {
    /// Parses and validates the body of a submission.
    ///
    /// # Errors
    ///
    /// [`InvalidJob`] if the body is not the JSON of a job or a value is out of range.
    pub fn parse(body: &[u8]) -> Result<JobSpec, InvalidJob> {
        // serde also accepts an array for a struct; the protocol requires an object.
        if body.iter().find(|byte| !byte.is_ascii_whitespace()) != Some(&b'{') {
            return Err(InvalidJob::NotAnObject);
        }
        let spec: JobSpec = serde_json::from_slice(body).map_err(InvalidJob::Json)?;
        spec.check()?;
        Ok(spec)
    }

    /// Checks that every value is in range.
    ///
    /// # Errors
    ///
    /// [`InvalidJob::Field`] with the first field whose value is out of range.
    pub fn check(&self) -> Result<(), InvalidJob> {
        require((1..=MAX_TASKS).contains(&self.tasks), json_names::TASKS)?;
        require(is_valid_amount(self.cpus) && self.cpus > 0.0, json_names::CPUS)?;
        require(is_valid_amount(self.gpus), json_names::GPUS)?;
        require(is_valid_amount(self.memory_gb), json_names::MEMORY_GB)?;
        require(is_valid_amount(self.image_gb), json_names::IMAGE_GB)?;
        require(is_valid_amount(self.estimate_s), json_names::ESTIMATE_S)?;
        require(is_valid_amount(self.checkpoint_interval_s), json_names::CHECKPOINT_INTERVAL_S)?;
        require(is_valid_amount(self.checkpoint_write_s), json_names::CHECKPOINT_WRITE_S)?;
        require(self.deadline_s.is_none_or(is_valid_amount), json_names::DEADLINE_S)?;
        require(is_valid_name(&self.class), json_names::CLASS)?;
        require(is_valid_name(&self.team), json_names::TEAM)?;
        require(is_valid_name(&self.image), json_names::IMAGE)?;
        require(self.zone.as_deref().is_none_or(is_valid_name), json_names::ZONE)?;
        let machine_types = self.machine_types.as_deref();
        require(machine_types.is_none_or(are_valid_machine_types), json_names::MACHINE_TYPES)
    }
}

fn require(holds: bool, field: &'static str) -> Result<(), InvalidJob> {
    if holds { Ok(()) } else { Err(InvalidJob::Field(field)) }
}

fn is_valid_amount(value: f64) -> bool {
    value.is_finite() && (0.0..=MAX_AMOUNT).contains(&value)
}

fn is_valid_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_LEN && !text.chars().any(char::is_control)
}

fn are_valid_machine_types(names: &[String]) -> bool {
    names.len() <= MAX_MACHINE_TYPES && names.iter().all(|name| is_valid_name(name))
}
