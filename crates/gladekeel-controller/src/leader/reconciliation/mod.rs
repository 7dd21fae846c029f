//! Reconciliation of the observed with the desired state.
//!
//! The desired state is the jobs in the store and the assignments that are committed in the
//! assignment log; workers' heartbeats say what runs. Their differences give the commands to
//! workers and the releases of attempts. An attempt is released only when there is proof
//! that it is off its machine ("A task is on one machine at most" in `docs/safety.md`).

pub(in crate::leader) mod attempts;
pub(in crate::leader) mod heartbeat;
pub(in crate::leader) mod job_changes;
pub(in crate::leader) mod release;
pub(in crate::leader) mod task_exit;
