//! The status that a leader publishes: progress of jobs, states of machines, values for metrics.

use super::{Job, Leader, Machine};
use crate::store_view::JobProgress;
use gladekeel_sched::{DenseIndex, Interner};
use gladekeel_wire::{JobId, admin::MachineStatus};

/// The number of unfinished jobs and of their pending tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// The number of unfinished jobs.
    pub jobs: usize,
    /// The number of tasks of unfinished jobs that are waiting for a machine.
    pub pending_tasks: u64,
}

impl Leader {
    /// Returns the progress of the unfinished jobs whose progress has changed since the last call.
    pub fn take_changed_progress(&mut self) -> Vec<(JobId, JobProgress)> {
        let changed = std::mem::take(&mut self.changed_progress);
        let jobs = changed.iter().filter_map(|job_idx| Some((*job_idx, self.jobs.get(job_idx)?)));
        jobs.filter(|(_, job)| !job.is_finished())
            .map(|(job_idx, job)| {
                let running = self.attempts.of_job(job_idx).len() as u32;
                (job.id.clone(), JobProgress { done: job.done.count(), running })
            })
            .collect()
    }

    /// The status of all machines that are not known to be deleted, as the admin API shows it.
    pub fn machine_status(&self, now: f64) -> Vec<MachineStatus> {
        self.cluster
            .machines
            .values()
            .filter(|machine| !machine.deletion.is_confirmed())
            .map(|machine| self.status_of(machine, now))
            .collect()
    }

    fn status_of(&self, machine: &Machine, now: f64) -> MachineStatus {
        MachineStatus {
            machine: machine.name.clone(),
            state: machine.condition().to_string(),
            machine_type: name_of(&self.catalog.machine_type_names, machine.machine_type),
            zone: name_of(&self.catalog.zones, machine.zone),
            spot: machine.spot,
            tasks: machine.attempts().len(),
            last_heartbeat_age_s: machine.liveness.last_seen().map(|at| now - at),
        }
    }

    /// The number of live segments of the assignment log, whose slots cannot be overwritten yet.
    pub fn log_segments(&self) -> usize {
        self.log_writer.segment_count()
    }

    /// The number of ended attempts that workers must not forget yet, since a copy of a direct start
    /// would run the task again.
    pub fn kept_ended_attempts(&self) -> usize {
        let kept =
            |machine: &Machine| machine.commands.starts.ended(|id| machine.attempts().contains(id));
        self.cluster.machines.values().map(kept).sum()
    }

    /// The time since the oldest unfinished job was submitted, in seconds; `None` if all jobs are
    /// finished.
    pub fn oldest_job_s(&self, now: f64) -> Option<f64> {
        self.unfinished_jobs().map(|job| now - job.submitted_at).max_by(f64::total_cmp)
    }

    /// Counts the unfinished jobs and their pending tasks.
    pub fn backlog(&self) -> Backlog {
        let empty = Backlog { jobs: 0, pending_tasks: 0 };
        self.unfinished_jobs().fold(empty, |backlog, job| Backlog {
            jobs: backlog.jobs + 1,
            pending_tasks: backlog.pending_tasks + job.pending.len() as u64,
        })
    }

    fn unfinished_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| !job.is_finished())
    }
}

fn name_of<I: DenseIndex>(names: &Interner<String, I>, index: Option<I>) -> Option<String> {
    index.map(|index| names.name(index).clone())
}
