//! The tasks that are on machines, and the CPUs and GPUs that these tasks use.

use crate::stand_ins::worker::MachineIdentity;
use gladekeel_wire::{JobId, TaskId, job::JobSpec};
use std::collections::BTreeMap;

/// The machine that a task is on.
#[derive(Debug, Clone)]
pub(super) struct TaskPlacement {
    /// Name of the machine.
    pub machine: String,
    zone: String,
}

/// CPUs and GPUs that a team's tasks use.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TeamUsage {
    pub cpus: f64,
    pub gpus: f64,
}

/// Number of tasks of a job in one zone and in all other zones, without the task that is being
/// placed.
pub(super) struct TasksByZone {
    pub same_zone: u32,
    pub other_zones: u32,
}

/// All tasks on machines, including those that wait for their gang.
#[derive(Debug, Default)]
pub(super) struct RunningTasks {
    placements: BTreeMap<TaskId, Vec<TaskPlacement>>,
    /// Number of tasks of each job in each zone.
    tasks_by_zone: BTreeMap<JobId, BTreeMap<String, u32>>,
    /// CPUs and GPUs that each team's tasks use, by team name.
    usage: BTreeMap<String, TeamUsage>,
}

impl RunningTasks {
    /// Adds a task that is on a machine from now on.
    pub fn add(&mut self, task: &TaskId, spec: &JobSpec, machine: &MachineIdentity) {
        let zones = self.tasks_by_zone.entry(task.job.clone()).or_default();
        *zones.entry(machine.zone.clone()).or_default() += 1;
        let placement = TaskPlacement { machine: machine.name.clone(), zone: machine.zone.clone() };
        self.placements.entry(task.clone()).or_default().push(placement);
        let usage = self.usage.entry(spec.team.clone()).or_default();
        usage.cpus += spec.cpus;
        usage.gpus += spec.gpus;
    }

    /// Removes a task from a machine.
    pub fn remove(&mut self, task: &TaskId, machine: &str, spec: Option<&JobSpec>) {
        let Some(placements) = self.placements.get_mut(task) else { return };
        let count_before = placements.len();
        if let Some(zones) = self.tasks_by_zone.get_mut(&task.job) {
            for placement in placements.iter().filter(|placement| placement.machine == machine) {
                zones.entry(placement.zone.clone()).and_modify(|count| *count -= 1);
            }
        }
        placements.retain(|placement| placement.machine != machine);
        if let Some(spec) = spec
            && let Some(usage) = self.usage.get_mut(&spec.team)
        {
            let removed = (count_before - placements.len()) as f64;
            usage.cpus -= spec.cpus * removed;
            usage.gpus -= spec.gpus * removed;
        }
        if placements.is_empty() {
            self.placements.remove(task);
        }
    }

    /// The placements of a task: at most one, unless [`Invariant::SingleExecution`] is violated.
    ///
    /// [`Invariant::SingleExecution`]: super::Invariant::SingleExecution
    pub fn of_task(&self, task: &TaskId) -> &[TaskPlacement] {
        self.placements.get(task).map_or(&[], Vec::as_slice)
    }

    /// The tasks of a job that are on machines, with their placements.
    pub fn of_job(&self, job: &JobId) -> impl Iterator<Item = (&TaskId, &Vec<TaskPlacement>)> {
        let first = TaskId { job: job.clone(), index: 0 };
        let last = TaskId { job: job.clone(), index: u32::MAX };
        self.placements.range(first..=last)
    }

    /// CPUs and GPUs that a team's tasks use.
    pub fn used_by_team(&self, team: &str) -> TeamUsage {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Counts the tasks of a job in `zone` and in all other zones, without the job's task `task`.
    pub fn other_tasks_by_zone(&self, task: &TaskId, zone: &str) -> TasksByZone {
        let Some(zones) = self.tasks_by_zone.get(&task.job) else {
            return TasksByZone { same_zone: 0, other_zones: 0 };
        };
        let own = self.of_task(task);
        let own_in_zone = own.iter().filter(|placement| placement.zone == zone).count() as u32;
        let in_zone = zones.get(zone).copied().unwrap_or(0);
        let all: u32 = zones.values().sum();
        TasksByZone {
            same_zone: in_zone - own_in_zone,
            other_zones: all - in_zone - (own.len() as u32 - own_in_zone),
        }
    }
}
