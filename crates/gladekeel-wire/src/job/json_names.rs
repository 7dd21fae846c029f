//! JSON names of the fields of a submission, for error messages: users know a field by the
//! name that they wrote. The names must equal the serde names of [`JobSpec`](super::JobSpec).

pub(super) const CLASS: &str = "rig";
pub(super) const TEAM: &str = "crew";
pub(super) const TASKS: &str = "pieces";
pub(super) const CPUS: &str = "vcpus";
pub(super) const GPUS: &str = "gpus";
pub(super) const MEMORY_GB: &str = "ram_gb";
pub(super) const IMAGE: &str = "pattern";
pub(super) const IMAGE_GB: &str = "size_gb";
pub(super) const MACHINE_TYPES: &str = "hulls";
pub(super) const ZONE: &str = "yard";
pub(super) const ESTIMATE_S: &str = "reckon_s";
pub(super) const CHECKPOINT_INTERVAL_S: &str = "mark_s";
pub(super) const CHECKPOINT_WRITE_S: &str = "stow_s";
pub(super) const DEADLINE_S: &str = "launch_s";
