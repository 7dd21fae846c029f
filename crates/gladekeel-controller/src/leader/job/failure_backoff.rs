//! When a job whose tasks fail is scheduled again.

use gladekeel_sched::MachineIdx;
use std::collections::BTreeSet;

/// Machines on which a job must have failed before the job is to blame rather than they.
const MIN_FAILED_MACHINES: usize = 2;
/// The longest backoff, in seconds.
const MAX_BACKOFF_S: f64 = 60.0;
/// The backoff doubles with each failure, up to this many times.
const MAX_DOUBLINGS: u32 = 6;

/// Failures of a job's tasks since the last one that completed, and the backoff that follows.
#[derive(Debug, Default)]
pub struct FailureBackoff {
    failures: u32,
    failed_on: BTreeSet<MachineIdx>,
    until: f64,
}

impl FailureBackoff {
    /// Whether the job must not be scheduled now.
    pub fn is_active(&self, now: f64) -> bool {
        now < self.until
    }

    /// Failures since a task was last completed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The machines on which tasks have failed since one was last completed.
    pub(in crate::leader) fn failed_on(&self) -> impl Iterator<Item = MachineIdx> {
        self.failed_on.iter().copied()
    }

    /// Records that a task was completed.
    pub(in crate::leader) fn record_completion(&mut self) {
        self.failures = 0;
        self.failed_on.clear();
    }

    /// Records that a task has failed on a machine.
    pub(in crate::leader) fn record_failure(&mut self, machine: MachineIdx) {
        self.failures += 1;
        self.failed_on.insert(machine);
    }

    /// Whether the failures are the job's own fault and not the machines'. A large job has tasks
    /// on faulty machines as well, but one that fails by itself has failed more often than the
    /// `unfinished` attempts that it has.
    pub(in crate::leader) fn is_job_faulty(&self, unfinished: u32) -> bool {
        self.failed_on.len() >= MIN_FAILED_MACHINES && self.failures > unfinished
    }

    /// Keeps the job from being scheduled for a time that doubles with each failure.
    pub(in crate::leader) fn back_off(&mut self, now: f64) {
        let backoff_s = f64::from(1 << self.failures.min(MAX_DOUBLINGS));
        self.until = now + backoff_s.min(MAX_BACKOFF_S);
    }

    /// Keeps the job from being scheduled before a time, whatever it was kept for until now.
    pub(in crate::leader) fn hold_until(&mut self, time: f64) {
        self.until = time;
    }
}
