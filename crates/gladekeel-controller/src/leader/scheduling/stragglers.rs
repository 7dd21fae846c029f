//! Straggler mitigation: stops running tasks on machines where all tasks are slow, and restarts
//! them elsewhere.

use crate::leader::{AssignmentPhase, Attempt, AttemptId, Job, Leader, Machine, StopReason};
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{
    JobIdx, MachineIdx,
    straggler::{self, RunningTask},
};
use gladekeel_wire::{job::JobKind, worker::TaskState};
use std::collections::{BTreeMap, HashMap};

/// Number of [`StragglerScan::next_batch`] calls in which the scan covers every machine once.
const CALLS_PER_SCAN: usize = 5;

/// Scans the machines in batches, one batch per call, since examining all running tasks in one
/// call would take too long.
#[derive(Debug, Default)]
pub(in crate::leader) struct StragglerScan {
    /// The machine at which the next batch begins.
    cursor: MachineIdx,
}

impl StragglerScan {
    /// Returns the next batch of machines and advances the cursor past it. After the last batch,
    /// the cursor returns to the first machine.
    fn next_batch(&mut self, machines: &BTreeMap<MachineIdx, Machine>) -> Vec<MachineIdx> {
        let batch_len = machines.len() / CALLS_PER_SCAN + 1;
        let mut rest = machines.range(self.cursor..).map(|(machine_idx, _)| *machine_idx);
        let batch = rest.by_ref().take(batch_len).collect();
        self.cursor = rest.next().unwrap_or_default();
        batch
    }
}

/// Running tasks as the input of straggler detection, with the ids of their attempts in the same
/// order.
#[derive(Default)]
struct RunningTasks {
    ids: Vec<AttemptId>,
    tasks: Vec<RunningTask>,
}

impl Leader {
    /// Stops stragglers among the running tasks on the next batch of machines.
    pub(in crate::leader) fn restart_stragglers(&mut self, now: f64, settings: &RuntimeSettings) {
        let machines = self.straggler_scan.next_batch(&self.cluster.machines);
        let running = self.running_tasks(now, &machines);
        for position in straggler::find_stragglers(&running.tasks, settings.straggler_multiple) {
            self.stop_straggler(running.ids[position], running.tasks[position].run_time_s);
        }
    }

    /// Returns the running tasks on `machines`.
    fn running_tasks(&self, now: f64, machines: &[MachineIdx]) -> RunningTasks {
        let mut running = RunningTasks::default();
        let mut medians_s: HashMap<JobIdx, Option<f64>> = HashMap::new();
        for id in machines.iter().flat_map(|machine| self.cluster.machines[machine].attempts()) {
            let Some(attempt) = self.attempts.get(*id) else { continue };
            let (Some(since), AssignmentPhase::Committed) = (attempt.running_since, attempt.phase)
            else {
                continue;
            };
            let Some(job) = self.jobs.get(&attempt.job) else { continue };
            let median_s = medians_s.entry(attempt.job).or_insert_with(|| job.run_times.median_s());
            running.ids.push(*id);
            running.tasks.push(RunningTask {
                machine: attempt.machine,
                run_time_s: now - since,
                median_s: *median_s,
                may_restart: may_restart(job, attempt),
            });
        }
        running
    }

    /// Stops a straggler, which had run for `run_time_s` seconds.
    fn stop_straggler(&mut self, id: AttemptId, run_time_s: f64) {
        self.attempts.update(id, |attempt| attempt.stop_reason = Some(StopReason::Straggler));
        let Some(attempt) = self.attempts.get(id) else { return };
        self.commands.request_commands(attempt.machine);
        tracing::info!(
            job = %self.job_names.name(attempt.job),
            task = attempt.task_index,
            machine = self.cluster.machine_names.name(attempt.machine),
            ran_s = run_time_s,
            reason = "straggler",
            "task stopped"
        );
    }
}

/// Whether a task may be restarted as a straggler. A task restarts as a straggler at most once, and
/// only if it belongs to an array, whose tasks do not depend on one another.
fn may_restart(job: &Job, attempt: &Attempt) -> bool {
    job.spec.kind == JobKind::Array
        && attempt.stop_reason.is_none()
        && !job.restarted.contains(attempt.task_index)
        && attempt.reported_state == Some(TaskState::Running)
}
