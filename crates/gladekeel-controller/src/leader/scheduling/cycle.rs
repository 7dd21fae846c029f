//! The scheduling cycle: binds pending tasks to machines.

use super::{
    binding::TaskBinding,
    cycle_input::{CycleInput, MachineScope, OVERDUE_AFTER_S},
};
use crate::leader::Leader;
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{JobIdx, cycle::Binding};
use std::collections::BTreeMap;

impl Leader {
    /// Runs a scheduling cycle and proposes the assignments that the cycle decides on.
    pub(in crate::leader) fn run_scheduling_cycle(&mut self, now: f64, settings: &RuntimeSettings) {
        self.cluster.counters.scheduling_cycles += 1;
        if self.jobs.values().all(|job| job.pending.is_empty()) {
            return;
        }
        // Full machines are included for an overdue gang, since the cycle checks whether the
        // machines could hold the gang if no other task were on them.
        let scope = if self.has_overdue_gang(now) { MachineScope::All } else { MachineScope::Free };
        let mut input = self.cycle_input(now, scope);
        let pending: u32 = input.cycle.jobs.iter().map(|job| job.pending).sum();
        let bindings = input.cycle.run(&settings.fair_share);
        self.cluster.counters.machines_examined += input.cycle.machines_examined;
        tracing::debug!(
            machines = input.machines.len(),
            pending,
            bound = bindings.len(),
            max_bindings = input.cycle.max_bindings,
            "scheduling cycle completed"
        );
        self.bind_all(&input, bindings, now);
        for job in self.jobs.values_mut().filter(|job| !job.is_finished()) {
            job.pending.record_unbound(now);
        }
    }

    /// Whether an unfinished gang has waited for longer than [`OVERDUE_AFTER_S`].
    fn has_overdue_gang(&self, now: f64) -> bool {
        self.jobs.values().any(|job| {
            job.is_gang() && !job.is_finished() && job.pending.waited_s(now) > OVERDUE_AFTER_S
        })
    }

    /// Binds tasks as a cycle has decided. The tasks of a gang get the same attempt number.
    fn bind_all(&mut self, input: &CycleInput, bindings: Vec<Binding>, now: f64) {
        let mut gang_attempts: BTreeMap<JobIdx, u64> = BTreeMap::new();
        for binding in bindings {
            let job = input.jobs[binding.job];
            let gang_attempt = input.cycle.jobs[binding.job]
                .gang
                .then(|| *gang_attempts.entry(job).or_insert_with(|| self.next_gang_attempt(job)));
            let machine = input.machines[binding.machine];
            self.bind(TaskBinding { job, machine, gang_attempt }, now);
        }
    }

    /// Returns the attempt number for the tasks of a gang that are bound in this cycle. If other
    /// tasks of the gang are already on machines, waiting for the missing ones, the new tasks
    /// share the attempt number of those tasks.
    fn next_gang_attempt(&mut self, job_idx: JobIdx) -> u64 {
        let gang = &self.jobs[&job_idx];
        if self.attempts.of_job(job_idx).is_empty() {
            self.attempt_numbers.reserve(gang.spec.tasks)
        } else {
            gang.gang_attempt
        }
    }
}
