//! Reconciliation of the observed state with the desired state.
//!
//! The desired state consists of the jobs in the store and the assignments committed in the
//! assignment log. The observed state comes from the workers' heartbeats. Where the two differ,
//! the leader sends commands to workers or releases attempts. An attempt is released only once
//! there is proof that its task is off the machine ("A task is on one machine at most" in
//! `docs/safety.md`).

pub(in crate::leader) mod attempts;
pub(in crate::leader) mod heartbeat;
pub(in crate::leader) mod job_changes;
pub(in crate::leader) mod release;
pub(in crate::leader) mod task_exit;
