//! A job: its specification and the state of its tasks, as the leader keeps them.
//!
//! Reconciliation adds jobs as they appear in the store and applies the outcomes of their attempts;
//! scheduling binds their pending tasks. The [attempt table](super::attempt_table) holds their
//! attempts on machines.

mod failure_backoff;
mod objectives;
mod run_time_history;
mod task_queue;
mod zone_placement;

use super::{
    attempt::{AttemptOutcome, StopReason},
    catalog::Catalog,
};
use crate::{store_view::StoredJob, task_bitmap::TaskBitmap};
pub use failure_backoff::FailureBackoff;
use gladekeel_sched::ZoneIdx;
use gladekeel_sched::{ImageIdx, MachineTypeIdx, Resources, TeamIdx};
use gladekeel_wire::{
    JobId,
    job::{JobKind, JobSpec, JobState},
};
pub use run_time_history::RunTimeHistory;
use std::{collections::BTreeMap, rc::Rc};
pub use task_queue::TaskQueue;
pub use zone_placement::ZonePlacement;

/// A stopped task gets this multiple of its expected checkpoint write time to save its progress, so
/// that a slower write is not cut off.
const CHECKPOINT_WRITE_FACTOR: f64 = 1.5;
/// Seconds that a stopped task gets on top of [`CHECKPOINT_WRITE_FACTOR`] times the expected write
/// time, for checkpoints that take almost no time to write.
const CHECKPOINT_WRITE_MARGIN_S: f64 = 1.0;

/// A job in the store, from its submission until its records are removed.
#[derive(Debug)]
pub struct Job {
    /// Id of the job, as chosen by the user.
    pub id: JobId,
    /// Specification that the user submitted.
    pub spec: Rc<JobSpec>,
    /// Version of the job's key in the store. A commit that changes the key requires that the store
    /// still has this version.
    pub version: u64,
    /// Team whose quota the job's tasks use.
    pub team: TeamIdx,
    /// Resources that one task requests.
    pub task_request: Resources,
    /// Image that the tasks run.
    pub image: ImageIdx,
    /// Machine types that the tasks may use; `None` allows any.
    pub machine_types: Option<Vec<MachineTypeIdx>>,
    /// The only zone that the tasks may use; `None` allows any.
    pub zone: Option<ZoneIdx>,
    /// Final state of the job; `None` until the store holds a final state.
    pub final_state: Option<JobState>,
    /// Whether this node or another controller has committed the job's cancellation and this
    /// leader's view of the store does not show the cancellation yet.
    pub cancellation_pending: bool,
    /// For a cancelled job, the time on the node's clock at which the period begins within which
    /// the tasks must be off their machines; `None` if no such time is known. The exact
    /// time of the cancellation is not known: the value is a time at which the job was not
    /// cancelled yet or, if this node committed the cancellation for a user, the time of the
    /// store's response.
    pub cancelled_no_earlier_than: Option<f64>,
    /// Tasks that have completed.
    pub done: TaskBitmap,
    /// Tasks that were restarted as stragglers; no task is restarted a second time.
    pub restarted: TaskBitmap,
    /// Tasks that were preempted. No task is preempted a second time, since it might then never
    /// complete.
    pub preempted: TaskBitmap,
    /// Tasks that wait to be bound to a machine.
    pub pending: TaskQueue,
    /// Number of attempts on machines, by zone.
    pub zone_placement: ZonePlacement,
    /// Attempt number that a gang's tasks share while any of these tasks is on a machine.
    pub gang_attempt: u64,
    /// For each page of the job's tasks, the newest segment of the assignment log that records the
    /// progress of the whole page.
    pub progress_segments: BTreeMap<u32, u64>,
    /// Time at which the job was accepted, in seconds on the node's clock; if that is not known,
    /// the time at which the leader added the job.
    pub submitted_at: f64,
    /// Run times of the job's completed tasks.
    pub run_times: RunTimeHistory,
    /// Failures of the job's tasks, and when the job may be scheduled again.
    pub backoff: FailureBackoff,
    /// Whether the job no longer waits for a machine that has its image, because no such machine
    /// could be freed.
    pub gave_up_on_cached_image: bool,
}

impl Job {
    /// Creates a job from its record in the store, with no task started. `now` is used as the time
    /// of submission until the actual time is known.
    pub(super) fn new(
        catalog: &mut Catalog,
        id: JobId,
        stored: &StoredJob,
        team: TeamIdx,
        now: f64,
    ) -> Job {
        let spec = stored.spec.clone();
        Job {
            id,
            version: stored.version,
            team,
            task_request: Resources::requested(spec.cpus, spec.gpus, spec.memory_gb),
            image: catalog.images.intern(&spec.image),
            machine_types: spec
                .machine_types
                .as_ref()
                .map(|types| types.iter().map(|t| catalog.intern_machine_type(t)).collect()),
            zone: spec.zone.as_ref().map(|zone| catalog.zones.intern(zone)),
            final_state: None,
            cancellation_pending: false,
            cancelled_no_earlier_than: None,
            done: TaskBitmap::default(),
            restarted: TaskBitmap::default(),
            preempted: TaskBitmap::default(),
            pending: TaskQueue::for_new_job(spec.tasks),
            zone_placement: ZonePlacement::default(),
            gang_attempt: 0,
            progress_segments: BTreeMap::new(),
            submitted_at: now,
            run_times: RunTimeHistory::default(),
            backoff: FailureBackoff::default(),
            gave_up_on_cached_image: false,
            spec,
        }
    }

    /// Whether the job is cancelled, including a cancellation that another controller has committed
    /// and that this leader has not seen in the store yet.
    pub fn is_cancelled(&self) -> bool {
        self.final_state == Some(JobState::Cancelled) || self.cancellation_pending
    }

    /// Whether the job is a gang, whose tasks run all together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether no further task of the job may be started, because the job is in a final state or
    /// cancelled or all of its tasks are done. Some attempts of a finished job may still be on
    /// machines.
    pub fn is_finished(&self) -> bool {
        self.final_state.is_some()
            || self.cancellation_pending
            || self.done.count() == self.spec.tasks
    }

    /// Returns the number of tasks that have not completed.
    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.count()
    }

    /// Puts a task whose attempt has ended back into the queue, unless the task has completed.
    pub(super) fn requeue(&mut self, task_index: u32, outcome: AttemptOutcome, now: f64) {
        if self.done.contains(task_index) {
            return;
        }
        match outcome {
            AttemptOutcome::Done => {}
            AttemptOutcome::Restarted => self.pending.requeue_restart(task_index, now),
            AttemptOutcome::Requeued => self.pending.requeue(task_index, now),
        }
    }

    /// Marks all tasks of a gang as done, since they complete together.
    pub(super) fn mark_all_done(&mut self) {
        (0..self.spec.tasks).for_each(|task_index| _ = self.done.insert(task_index));
    }

    /// Marks all tasks of a gang as preempted, since they are preempted together.
    pub(super) fn mark_all_preempted(&mut self) {
        (0..self.spec.tasks).for_each(|task_index| _ = self.preempted.insert(task_index));
    }

    /// Records the run time of a completed task, which the caller has not yet marked as done.
    pub(super) fn record_run_time(&mut self, run_s: f64) {
        self.run_times.record(run_s, self.done.count());
    }

    /// Returns the time that a task gets to save its progress when it is stopped, in seconds; 0 if
    /// the task writes no checkpoints or if a stop for this reason leaves no time.
    pub fn grace_period_s(&self, reason: StopReason) -> f64 {
        if self.spec.checkpoint_interval_s <= 0.0 || self.is_stopped_at_once(reason) {
            return 0.0;
        }
        self.spec.checkpoint_write_s * CHECKPOINT_WRITE_FACTOR + CHECKPOINT_WRITE_MARGIN_S
    }

    /// Whether a task that is stopped for this reason gets no time to save its progress.
    fn is_stopped_at_once(&self, reason: StopReason) -> bool {
        match reason {
            // The resources are needed at once, and the preempted task was chosen because it loses
            // little progress since its last checkpoint. A gang gets time to save its progress,
            // since a gang is preempted only when nothing else helps.
            StopReason::Preempted => !self.is_gang(),
            StopReason::Cancelled | StopReason::GangRestart | StopReason::GangIncomplete => true,
            StopReason::Straggler | StopReason::Drained => false,
        }
    }
}
