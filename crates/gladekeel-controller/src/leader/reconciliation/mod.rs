//! Reconciliation: workers' heartbeats and the store's changes against the assignments that the
//! leader holds, and the commands and releases that follow from the difference.

pub(in crate::leader) mod heartbeat;
pub(in crate::leader) mod job_changes;
pub(in crate::leader) mod release;
pub(in crate::leader) mod task_exit;
