//! What a leader tells of its work: counts of jobs, states of machines, figures.

use super::Leader;
use crate::store_view::JobProgress as Display;
use gladekeel_sched::{DenseIndex, Interner};
use gladekeel_wire::{JobId, admin::MachineStatus};

impl Leader {
    /// The jobs whose counts have changed since this was last asked.
    pub fn take_counts(&mut self) -> Vec<(JobId, Display)> {
        let told = std::mem::take(&mut self.changed_progress);
        let jobs = told.iter().filter_map(|ix| Some((*ix, self.jobs.get(ix)?)));
        jobs.filter(|(_, job)| !job.is_finished())
            .map(|(ix, job)| {
                let running = self.attempts.of_job(ix).len() as u32;
                (job.id.clone(), Display { done: job.done.count(), running })
            })
            .collect()
    }

    /// Machines with their states.
    pub fn machine_status(&self, now: f64) -> Vec<MachineStatus> {
        self.cluster
            .machines
            .values()
            .filter(|machine| !machine.deleted)
            .map(|machine| MachineStatus {
                machine: machine.name.clone(),
                state: machine.state().into(),
                machine_type: name_of(&self.catalog.machine_type_names, machine.machine_type),
                zone: name_of(&self.catalog.zones, machine.zone),
                spot: machine.spot,
                tasks: machine.attempts.len(),
                quiet_s: machine.last_seen.map(|at| now - at),
            })
            .collect()
    }

    /// Segments of the log in use.
    pub fn log_segments(&self) -> usize {
        self.log_writer.segment_count()
    }

    /// Age of the oldest unfinished job.
    pub fn oldest_job_s(&self, now: f64) -> Option<f64> {
        let open = self.jobs.values().filter(|job| !job.is_finished());
        open.map(|job| now - job.submitted_at).max_by(f64::total_cmp)
    }

    /// Unfinished jobs: how many, and their tasks on no machine.
    pub fn queue(&self) -> (usize, u64) {
        let open = self.jobs.values().filter(|job| !job.is_finished());
        open.fold((0, 0), |(jobs, tasks), job| (jobs + 1, tasks + job.pending.len() as u64))
    }
}

fn name_of<I: DenseIndex>(names: &Interner<String, I>, index: Option<I>) -> Option<String> {
    index.map(|index| names.name(index).clone())
}
