//! Changes that wait to be committed.

use crate::leader::AttemptId;
use gladekeel_sched::JobIdx;
use gladekeel_wire::cloud::MachineTypes;
use std::collections::BTreeSet;

/// Changes that are decided or proved, and not yet known to be committed.
///
/// What a transaction in flight contains is still here, so that nothing is lost if it fails.
/// Other modules of the leader add to it; only a commit takes away, or a change that makes an
/// entry moot.
#[derive(Debug, Default)]
pub(in crate::leader) struct PendingWrites {
    /// Attempts to assign.
    pub(super) proposed: BTreeSet<AttemptId>,
    /// Attempts to release: each is proved to be off its machine.
    pub(super) released: BTreeSet<AttemptId>,
    /// Jobs whose tasks are all done, to be given their final state.
    pub(super) completed_jobs: BTreeSet<JobIdx>,
    /// Jobs with a final state and no attempt, whose keys are to be removed.
    pub(super) removable_jobs: BTreeSet<JobIdx>,
    /// Machines that are gone, whose drain orders are to be removed.
    pub(super) obsolete_drains: BTreeSet<String>,
    /// Machine types to store.
    pub(super) machine_types: Option<MachineTypes>,
}

impl PendingWrites {
    /// Adds an attempt that was bound to a machine.
    pub fn add_proposal(&mut self, id: AttemptId) {
        self.proposed.insert(id);
    }

    /// Drops a proposal, which must not be in flight.
    pub(in crate::leader::assignment_log) fn drop_proposal(&mut self, id: AttemptId) {
        self.proposed.remove(&id);
    }

    /// Adds an attempt that is proved to be off its machine.
    pub fn add_release(&mut self, id: AttemptId) {
        self.released.insert(id);
    }

    /// Adds a job whose tasks are all done.
    pub fn add_completed_job(&mut self, job: JobIdx) {
        self.completed_jobs.insert(job);
    }

    /// Drops a completed job that somebody else gave a final state.
    pub fn drop_completed_job(&mut self, job: JobIdx) {
        self.completed_jobs.remove(&job);
    }

    /// Adds a job that has a final state and no attempt.
    pub fn add_removable_job(&mut self, job: JobIdx) {
        self.removable_jobs.insert(job);
    }

    /// Drops a job from those to be removed: it has attempts after all.
    pub fn drop_removable_job(&mut self, job: JobIdx) {
        self.removable_jobs.remove(&job);
    }

    /// Adds the drain order of a machine that is gone.
    pub fn add_obsolete_drain(&mut self, machine: &str) {
        self.obsolete_drains.insert(machine.to_owned());
    }

    /// Sets the machine types to store, in place of any that wait.
    pub fn set_machine_types(&mut self, types: MachineTypes) {
        self.machine_types = Some(types);
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.proposed.is_empty()
            && self.released.is_empty()
            && self.completed_jobs.is_empty()
            && self.removable_jobs.is_empty()
            && self.obsolete_drains.is_empty()
            && self.machine_types.is_none()
    }
}
