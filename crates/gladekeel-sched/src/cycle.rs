//! The scheduling cycle: decides which pending tasks go to which machines.
//!
//! The leader fills a [`SchedulingCycle`] with a snapshot and calls [`SchedulingCycle::run`],
//! which returns [`Binding`]s; the leader then commits each binding to the store before it
//! starts the task. [`preemption`](crate::preemption) uses the cycle as `run` has left it to
//! decide what to stop for the tasks that are still pending.
//!
//! Rules: no team beyond its limit; constraints of jobs hold; a gang is placed whole or not at
//! all. What goes first: speculative restarts, overdue jobs, what teams are guaranteed, fair
//! shares, then what is left over.

mod binder;
mod gang;
mod state;

pub use state::SchedulingCycle;

use crate::{candidate_index::CandidateIndex, fair_share::FairShare};
use binder::Binder;

/// The decision that a job's next task goes to a machine. Both are positions in the cycle's
/// lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Binding {
    /// Position of the job.
    pub job: usize,
    /// Position of the machine.
    pub machine: usize,
}

impl SchedulingCycle {
    /// Binds pending tasks to machines, up to [`SchedulingCycle::max_bindings`]; a gang may
    /// exceed that, since it is bound whole. The cycle's machines, teams and jobs are updated
    /// to what holds with the bindings.
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
