//! How a fake worker executes commands.

use super::{FakeTask, FakeWorker, FindSpec, WorkerEvent};
use crate::stand_ins::resources::Resources;
use gladekeel_wire::{
    TaskId,
    job::JobSpec,
    worker::{Command, ExitCause, TaskState},
};
use std::collections::{BTreeMap, BTreeSet};

/// Positions of the tasks in a worker's list while the commands of one message are executed. The
/// list of tasks is searched only once for all commands, because a response about a gang may
/// contain hundreds of commands, for a machine with thousands of tasks.
struct TaskPositions {
    positions: BTreeMap<TaskId, Vec<usize>>,
    /// Positions of the tasks that the worker forgets; `positions` no longer contains them.
    forgotten: BTreeSet<usize>,
    /// Resources that no task uses; `None` until they are computed, and after a task
    /// has exited.
    free: Option<Resources>,
}

impl TaskPositions {
    fn of(tasks: &[FakeTask]) -> TaskPositions {
        let mut positions =
            TaskPositions { positions: BTreeMap::new(), forgotten: BTreeSet::new(), free: None };
        for (position, task) in tasks.iter().enumerate() {
            positions.add(&task.task, position);
        }
        positions
    }

    fn add(&mut self, task: &TaskId, position: usize) {
        self.positions.entry(task.clone()).or_default().push(position);
    }

    fn of_task(&self, task: &TaskId) -> &[usize] {
        self.positions.get(task).map_or(&[], Vec::as_slice)
    }

    fn of_attempt(&self, tasks: &[FakeTask], task: &TaskId, attempt: u64) -> Vec<usize> {
        let positions = self.of_task(task).iter().copied();
        positions.filter(|position| tasks[*position].attempt == attempt).collect()
    }

    fn forget(&mut self, task: &TaskId, position: usize) {
        if let Some(positions) = self.positions.get_mut(task) {
            positions.retain(|other| *other != position);
        }
        self.forgotten.insert(position);
    }
}

impl FakeWorker {
    /// Executes commands in their order; returns the resulting events.
    pub(super) fn execute(
        &mut self,
        now: f64,
        commands: &[Command],
        find_spec: &FindSpec<'_>,
    ) -> Vec<WorkerEvent> {
        if commands.is_empty() {
            return Vec::new();
        }
        let mut positions = TaskPositions::of(&self.tasks);
        let mut events = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    events.extend(self.start(now, task, *attempt, find_spec, &mut positions));
                }
                Command::Stop { task, attempt, grace_s } => {
                    for position in positions.of_attempt(&self.tasks, task, *attempt) {
                        events.extend(self.stop(now, position, *grace_s, &mut positions));
                    }
                }
                Command::Forget { task, attempt } => {
                    for position in positions.of_attempt(&self.tasks, task, *attempt) {
                        self.forget(task, position, &mut positions);
                    }
                }
            }
        }
        self.remove_tasks(&positions.forgotten);
        events
    }

    /// Starts a task or refuses the start. Returns an event only if the machine lacks resources.
    fn start(
        &mut self,
        now: f64,
        task: &TaskId,
        attempt: u64,
        find_spec: &FindSpec<'_>,
        positions: &mut TaskPositions,
    ) -> Option<WorkerEvent> {
        let same_task = positions.of_task(task);
        if same_task.iter().any(|position| self.tasks[*position].attempt == attempt) {
            return None;
        }
        self.changed = true;
        let other_attempt_runs =
            same_task.iter().any(|position| self.tasks[*position].state != TaskState::Exited);
        let free = *positions.free.get_or_insert_with(|| self.free());
        let spec = find_spec(task);
        let refusal = match &spec {
            None => Some(ExitCause::Unknown),
            Some(_) if other_attempt_runs => Some(ExitCause::Busy),
            Some(spec) if self.refuses_starts || !free.fits(spec) => {
                Some(ExitCause::InsufficientResources)
            }
            Some(_) => None,
        };
        let event = (refusal == Some(ExitCause::InsufficientResources))
            .then(|| WorkerEvent::StartRefused(task.clone()));
        let Some(spec) = spec.or_else(|| self.any_spec(positions)) else { return event };
        let (state, state_ends_at) = if refusal.is_some() {
            (TaskState::Exited, f64::MAX)
        } else {
            positions.free = Some(free.without(&spec));
            (TaskState::Fetching, now + self.fetch_s(&spec))
        };
        positions.add(task, self.tasks.len());
        self.tasks.push(FakeTask {
            task: task.clone(),
            attempt,
            spec,
            state,
            state_ends_at,
            cause: refusal,
            saved: None,
            stop_requested_at: None,
            completed_before: false,
        });
        event
    }

    fn stop(
        &mut self,
        now: f64,
        position: usize,
        grace_s: f64,
        positions: &mut TaskPositions,
    ) -> Option<WorkerEvent> {
        let task = &mut self.tasks[position];
        let mut event = None;
        if task.state != TaskState::Exited {
            self.changed = true;
            event = task.stop(now, grace_s);
        }
        if task.state == TaskState::Exited {
            positions.free = None;
        }
        event
    }

    fn forget(&mut self, task: &TaskId, position: usize, positions: &mut TaskPositions) {
        if self.tasks[position].state == TaskState::Exited {
            positions.forget(task, position);
            self.changed = true;
        }
    }

    fn remove_tasks(&mut self, forgotten: &BTreeSet<usize>) {
        let mut position = 0;
        self.tasks.retain(|_| {
            position += 1;
            !forgotten.contains(&(position - 1))
        });
    }

    /// Time to fetch the image of a job, in seconds: 1 s per GB, or 0 if the image is cached.
    fn fetch_s(&self, spec: &JobSpec) -> f64 {
        if self.cached_images.contains(&spec.image) { 0.0 } else { spec.image_gb }
    }

    /// The specification of an arbitrary task on the worker. It is the placeholder for a refused
    /// task whose own specification is unknown, because heartbeats must contain the refused task
    /// too.
    fn any_spec(&self, positions: &TaskPositions) -> Option<JobSpec> {
        let mut tasks = self.tasks.iter().enumerate();
        let kept = tasks.find(|(position, _)| !positions.forgotten.contains(position));
        kept.map(|(_, task)| task.spec.clone())
    }
}
