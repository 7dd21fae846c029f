//! Builds the job that a `submit` step describes.

use super::{
    LineError,
    examples::example_job,
    tokens::{KeyValues, job_id, number},
};
use gladekeel_wire::job::{JobKind, JobSpec, Priority};

/// How long a task of a job with checkpoints takes to write one, in seconds.
const CHECKPOINT_WRITE_S: f64 = 2.0;

/// Returns the example job with this name, changed by the keys of a `submit` step.
pub(super) fn build_job(name: &str, fields: &KeyValues<'_>) -> Result<JobSpec, LineError> {
    job_id(name)?;
    let mut spec = example_job(name);
    for (key, value) in fields.iter() {
        set_field(&mut spec, key, value)?;
    }
    Ok(spec)
}

/// Sets the field of a job to which a key of a `submit` step corresponds.
fn set_field(spec: &mut JobSpec, key: &str, value: &str) -> Result<(), LineError> {
    match key {
        "tasks" => spec.tasks = number(value)? as u32,
        "cpus" => spec.cpus = number(value)?,
        "memory_gb" => spec.memory_gb = number(value)?,
        "run_s" => spec.estimate_s = number(value)?,
        "image_gb" => spec.image_gb = number(value)?,
        "image" => spec.image = value.into(),
        "team" => spec.team = value.into(),
        "class" => spec.class = value.into(),
        "checkpoint_interval_s" => {
            spec.checkpoint_interval_s = number(value)?;
            spec.checkpoint_write_s = CHECKPOINT_WRITE_S;
        }
        "zone" => spec.zone = Some(value.into()),
        "machine_type" => spec.machine_types = Some(vec![value.into()]),
        "single_zone" => spec.single_zone = value == "yes",
        "spread" => spec.spread = value == "yes",
        "spot" => spec.spot = value == "yes",
        "kind" => spec.kind = job_kind(value)?,
        "priority" => spec.priority = priority(value)?,
        // These keys set no field of the job. They determine how long its tasks run, and when the
        // job is submitted and cancelled; see `steps::users::submit`.
        "run_step_s" | "interval_s" | "cancelled_share" => {}
        other => return Err(LineError::unexpected("a key of submit", other)),
    }
    Ok(())
}

fn job_kind(text: &str) -> Result<JobKind, LineError> {
    match text {
        "gang" => Ok(JobKind::Gang),
        "service" => Ok(JobKind::Service),
        other => Err(LineError::unexpected("gang or service", other)),
    }
}

fn priority(text: &str) -> Result<Priority, LineError> {
    match text {
        "low" => Ok(Priority::Low),
        "normal" => Ok(Priority::Normal),
        "high" => Ok(Priority::High),
        "production" => Ok(Priority::Production),
        other => Err(LineError::unexpected("low, normal, high or production", other)),
    }
}
