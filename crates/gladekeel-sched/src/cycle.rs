//! The scheduling cycle: decides which pending tasks go to which machines.
//!
//! The leader fills a [`SchedulingCycle`] with a snapshot and calls [`SchedulingCycle::run`], which
//! returns [`Binding`]s; the leader then commits each binding to the store before it starts the
//! task. Afterwards, [`preemption`](crate::preemption) uses the cycle as updated by `run` to decide
//! which running tasks to stop for tasks that are still pending.
//!
//! Rules: no team exceeds its limit, the constraints of every job hold, and a gang is placed whole
//! or not at all. Tasks are placed in this order: speculative restarts, overdue jobs, tasks within
//! their team's guarantee, tasks within their job's fair share, and finally tasks that borrow
//! leftover resources.

mod binder;
mod gang;
mod state;

pub use state::SchedulingCycle;

use crate::{candidate_index::CandidateIndex, fair_share::FairShare};
use binder::Binder;

/// A decision to run a job's next task on a machine. Job and machine are identified by their
/// positions in the lists of the [`SchedulingCycle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Binding {
    /// Position of the job in [`SchedulingCycle::jobs`].
    pub job: usize,
    /// Position of the machine in [`SchedulingCycle::machines`].
    pub machine: usize,
}

impl SchedulingCycle {
    /// Binds pending tasks to machines, up to [`SchedulingCycle::max_bindings`], and returns the
    /// bindings. A single gang may exceed that maximum, since it is bound whole. The cycle's
    /// machines, teams and jobs are updated to reflect the bindings.
    pub fn run(&mut self, fair_share: &FairShare) -> Vec<Binding> {
        let order = self.job_order();
        let allocations = self.task_allocations(fair_share);
        let pending_jobs = self.jobs.iter().filter(|job| job.pending > 0);
        let candidates = CandidateIndex::new(&self.machines, pending_jobs);
        let mut binder = Binder::new(self, candidates);
        binder.run(fair_share, &order, &allocations);
        let (bindings, examined) = binder.finish();
        self.machines_examined += examined;
        bindings
    }
}
