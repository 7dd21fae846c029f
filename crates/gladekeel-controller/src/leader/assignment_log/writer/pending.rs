//! Changes that are waiting to be committed.

use crate::leader::AttemptId;
use gladekeel_sched::JobIdx;
use gladekeel_wire::cloud::MachineTypes;
use std::collections::BTreeSet;

/// Changes that are not yet known to be committed: decisions of the leader, and releases of
/// attempts that are proven to be off their machines.
///
/// The contents of a transaction in flight remain pending, so that nothing is lost if the
/// transaction fails. Other modules of the leader add entries. An entry is removed only by a
/// commit, or by a change that makes the entry obsolete.
#[derive(Debug, Default)]
pub(in crate::leader) struct PendingWrites {
    /// Proposed attempts whose assignments are to be written.
    pub(super) proposed: BTreeSet<AttemptId>,
    /// Attempts whose releases are to be written. Each attempt is proven to be off its machine.
    pub(super) released: BTreeSet<AttemptId>,
    /// Jobs whose tasks are all done, and whose final state is to be written.
    pub(super) completed_jobs: BTreeSet<JobIdx>,
    /// Jobs with a final state and no attempt, whose keys are to be removed.
    pub(super) removable_jobs: BTreeSet<JobIdx>,
    /// Names of machines that no longer exist, and whose drain orders are to be removed.
    pub(super) obsolete_drains: BTreeSet<String>,
    /// Machine types to store; `None` if they are not to be written.
    pub(super) machine_types: Option<MachineTypes>,
}

impl PendingWrites {
    /// Adds an attempt that was bound to a machine and whose assignment is to be written.
    pub fn add_proposal(&mut self, id: AttemptId) {
        self.proposed.insert(id);
    }

    /// Drops a proposed attempt. Its assignment must not be part of the transaction in flight.
    pub(in crate::leader::assignment_log) fn drop_proposal(&mut self, id: AttemptId) {
        self.proposed.remove(&id);
    }

    /// Adds an attempt that is proven to be off its machine and is to be released.
    pub fn add_release(&mut self, id: AttemptId) {
        self.released.insert(id);
    }

    /// Adds a job whose tasks are all done and whose final state is to be written.
    pub fn add_completed_job(&mut self, job: JobIdx) {
        self.completed_jobs.insert(job);
    }

    /// Drops a completed job that already has a final state in the store, for example because
    /// another node has written it.
    pub fn drop_completed_job(&mut self, job: JobIdx) {
        self.completed_jobs.remove(&job);
    }

    /// Adds a job that has a final state and no attempt, and whose key is to be removed.
    pub fn add_removable_job(&mut self, job: JobIdx) {
        self.removable_jobs.insert(job);
    }

    /// Drops a job from the jobs whose keys are to be removed, since the job still has attempts.
    pub fn drop_removable_job(&mut self, job: JobIdx) {
        self.removable_jobs.remove(&job);
    }

    /// Adds the drain order of a machine that no longer exists.
    pub fn add_obsolete_drain(&mut self, machine: &str) {
        self.obsolete_drains.insert(machine.to_owned());
    }

    /// Sets the machine types to store, replacing any that are pending.
    pub fn set_machine_types(&mut self, types: MachineTypes) {
        self.machine_types = Some(types);
    }

    /// Whether no change is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.proposed.is_empty()
            && self.released.is_empty()
            && self.completed_jobs.is_empty()
            && self.removable_jobs.is_empty()
            && self.obsolete_drains.is_empty()
            && self.machine_types.is_none()
    }
}
