//! Backoff of jobs whose tasks fail: determines when such a job may be scheduled again.

use gladekeel_sched::MachineIdx;
use std::collections::BTreeSet;

/// Number of machines on which a job's tasks must have failed before the failures are attributed to
/// the job rather than to the machines.
const MIN_FAILED_MACHINES: usize = 2;
/// The longest backoff, in seconds.
const MAX_BACKOFF_S: f64 = 60.0;
/// Maximum number of doublings of the backoff, which doubles with each failure.
const MAX_DOUBLINGS: u32 = 6;

/// Failures of a job's tasks since its last completed task, and the resulting backoff.
#[derive(Debug, Default)]
pub struct FailureBackoff {
    failures: u32,
    failed_on: BTreeSet<MachineIdx>,
    /// Time at which the backoff ends, in seconds on the node's clock.
    ends_at: f64,
}

impl FailureBackoff {
    /// Whether the job must not be scheduled at `now`.
    pub fn is_active(&self, now: f64) -> bool {
        now < self.ends_at
    }

    /// Returns the number of failures since the job's last completed task.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the machines on which tasks have failed since the job's last completed task.
    pub(in crate::leader) fn failed_on(&self) -> impl Iterator<Item = MachineIdx> {
        self.failed_on.iter().copied()
    }

    /// Records that a task has completed.
    pub(in crate::leader) fn record_completion(&mut self) {
        self.failures = 0;
        self.failed_on.clear();
    }

    /// Records that a task has failed on a machine.
    pub(in crate::leader) fn record_failure(&mut self, machine: MachineIdx) {
        self.failures += 1;
        self.failed_on.insert(machine);
    }

    /// Whether the failures are caused by the job and not by the machines. Failures on several
    /// machines are not sufficient, since a large job may have tasks on several faulty machines:
    /// the failures must also outnumber the job's `unfinished` attempts.
    pub(in crate::leader) fn is_job_faulty(&self, unfinished: u32) -> bool {
        self.failed_on.len() >= MIN_FAILED_MACHINES && self.failures > unfinished
    }

    /// Starts a backoff whose length doubles with each failure, up to [`MAX_BACKOFF_S`].
    pub(in crate::leader) fn back_off(&mut self, now: f64) {
        let backoff_s = f64::from(1 << self.failures.min(MAX_DOUBLINGS));
        self.ends_at = now + backoff_s.min(MAX_BACKOFF_S);
    }

    /// Prevents the job from being scheduled before `time`, and replaces any earlier backoff.
    pub(in crate::leader) fn delay_until(&mut self, time: f64) {
        self.ends_at = time;
    }
}
