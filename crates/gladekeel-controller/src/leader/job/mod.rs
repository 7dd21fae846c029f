//! A job: its specification and what the leader keeps of its tasks.
//!
//! Reconciliation adds jobs as they appear in the store and takes in the ends of their attempts;
//! scheduling binds their pending tasks. Attempts on machines are in the
//! [attempt table](super::attempt_table), not here.

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

/// A task is given this multiple of the time that its user expects it to save in, so that a
/// slower save is not cut off.
const CHECKPOINT_WRITE_FACTOR: f64 = 1.5;
/// What comes on top of it, for saves that take next to no time.
const CHECKPOINT_WRITE_MARGIN_S: f64 = 1.0;

/// A job that the store has, from its submission until its records are removed.
#[derive(Debug)]
pub struct Job {
    /// Its id, as the user chose it.
    pub id: JobId,
    /// What the user submitted.
    pub spec: Rc<JobSpec>,
    /// Version of its key in the store: the precondition of commits that change it.
    pub version: u64,
    /// The team whose quota its tasks use.
    pub team: TeamIdx,
    /// Resources that one task requests.
    pub task_request: Resources,
    /// The image that its tasks run.
    pub image: ImageIdx,
    /// Machine types that its tasks may use; `None` for any.
    pub machine_types: Option<Vec<MachineTypeIdx>>,
    /// The only zone that its tasks may use; `None` for any.
    pub zone: Option<ZoneIdx>,
    /// Its final state, once the store has one.
    pub final_state: Option<JobState>,
    /// Whether another controller has committed its cancellation and the store has not shown it
    /// yet.
    pub cancellation_pending: bool,
    /// If it is cancelled: a time on the leader's clock at which it was not yet. Its tasks must be
    /// off their machines within a deadline from the cancellation, whose own time is not known.
    pub cancelled_no_earlier_than: f64,
    /// Tasks that have completed.
    pub done: TaskBitmap,
    /// Tasks that were restarted as stragglers; none is a second time.
    pub restarted: TaskBitmap,
    /// Tasks that were preempted; none is a second time, or it might never complete.
    pub preempted: TaskBitmap,
    /// Tasks on no machine.
    pub pending: TaskQueue,
    /// Attempts on machines, by zone.
    pub zone_placement: ZonePlacement,
    /// The attempt number that a gang's tasks share, as long as any of them is on a machine.
    pub gang_attempt: u64,
    /// By page of its tasks, the newest segment of the assignment log that has the whole page's
    /// progress.
    pub progress_segments: BTreeMap<u32, u64>,
    /// When it was accepted, as far as known, on the leader's clock.
    pub submitted_at: f64,
    /// How long its tasks take.
    pub run_times: RunTimeHistory,
    /// When it may be scheduled again after failures.
    pub backoff: FailureBackoff,
    /// Whether it no longer waits for a machine that has its image: none could be freed.
    pub gave_up_on_cached_image: bool,
}

impl Job {
    /// A job as the store has it, with no task started. `now` stands in for the time of its
    /// submission until that is known.
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
            cancelled_no_earlier_than: f64::NEG_INFINITY,
            done: TaskBitmap::default(),
            restarted: TaskBitmap::default(),
            preempted: TaskBitmap::default(),
            pending: TaskQueue::of_new_job(spec.tasks),
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

    /// Whether it is cancelled, be it that only another controller knows so far.
    pub fn is_cancelled(&self) -> bool {
        self.final_state == Some(JobState::Cancelled) || self.cancellation_pending
    }

    /// Whether its tasks run together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether nothing of it may be started any more: it is final or cancelled, or all of its tasks
    /// are done. Some of a finished job's attempts may still be on machines.
    pub fn is_finished(&self) -> bool {
        self.final_state.is_some()
            || self.cancellation_pending
            || self.done.count() == self.spec.tasks
    }

    /// How many tasks have not completed.
    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.count()
    }

    /// Puts a task back in the queue whose attempt has ended, unless it is completed.
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

    /// Marks all tasks as done: those of a gang complete together.
    pub(super) fn mark_all_done(&mut self) {
        (0..self.spec.tasks).for_each(|task_index| _ = self.done.insert(task_index));
    }

    /// Marks all tasks as preempted: those of a gang are preempted together.
    pub(super) fn mark_all_preempted(&mut self) {
        (0..self.spec.tasks).for_each(|task_index| _ = self.preempted.insert(task_index));
    }

    /// Records how long a task has run that is about to be marked as done.
    pub(super) fn record_run_time(&mut self, run_s: f64) {
        self.run_times.record(run_s, self.done.count());
    }

    /// How many seconds a task gets to save its progress when it is stopped; 0 if it saves none.
    pub fn grace_period_s(&self, reason: StopReason) -> f64 {
        if self.spec.checkpoint_interval_s <= 0.0 || self.is_stopped_at_once(reason) {
            return 0.0;
        }
        self.spec.checkpoint_write_s * CHECKPOINT_WRITE_FACTOR + CHECKPOINT_WRITE_MARGIN_S
    }

    /// Whether a stop for this reason leaves no time to save.
    fn is_stopped_at_once(&self, reason: StopReason) -> bool {
        match reason {
            // The resources are needed at once, and the victim was chosen for how little it loses
            // since its last checkpoint. Gangs are preempted only when nothing else helps.
            StopReason::Preempted => !self.is_gang(),
            StopReason::Cancelled | StopReason::GangRestart | StopReason::GangIncomplete => true,
            StopReason::Straggler | StopReason::Drained => false,
        }
    }
}
