//! What a leader tells of its work: progress of jobs, states of machines, figures for metrics.

use super::{Job, Leader, Machine};
use crate::store_view::JobProgress;
use gladekeel_sched::{DenseIndex, Interner};
use gladekeel_wire::{JobId, admin::MachineStatus};

/// Work that is not finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// Jobs that are not finished.
    pub jobs: usize,
    /// Tasks of them that are on no machine.
    pub pending_tasks: u64,
}

impl Leader {
    /// The progress of the unfinished jobs for which it has changed since this was last called.
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

    /// The machines that exist, for operators.
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

    /// How many segments of the assignment log are in use.
    pub fn log_segments(&self) -> usize {
        self.log_writer.segment_count()
    }

    /// How many seconds ago the oldest unfinished job was submitted; `None` if there is none.
    pub fn oldest_job_s(&self, now: f64) -> Option<f64> {
        self.unfinished_jobs().map(|job| now - job.submitted_at).max_by(f64::total_cmp)
    }

    /// The unfinished jobs and their pending tasks.
    pub fn backlog(&self) -> Backlog {
        let none = Backlog { jobs: 0, pending_tasks: 0 };
        self.unfinished_jobs().fold(none, |backlog, job| Backlog {
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
