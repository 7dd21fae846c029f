//! A job: its description, what has become of its tasks, and what that tells.

use super::{attempt::StopReason, catalog::Catalog};
use crate::{keys::TaskBitmap, store_view::StoredJob};
use gladekeel_sched::{DenseIndex, ImageIdx, MachineIdx, MachineTypeIdx, TeamIdx, ZoneIdx};
use gladekeel_sched::{Resources, straggler};
use gladekeel_wire::{
    JobId,
    job::{JobKind, JobSpec, JobState},
    settings::Deployment,
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

/// Finished runs that are kept to tell a job's median.
const RUNS_KEPT: usize = 64;

/// A job.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its description.
    pub spec: Rc<JobSpec>,
    /// Version of its key.
    pub version: u64,
    /// Its team.
    pub team: TeamIdx,
    /// What a task takes.
    pub task_request: Resources,
    /// Its image.
    pub image: ImageIdx,
    /// Allowed kinds.
    pub machine_types: Option<Vec<MachineTypeIdx>>,
    /// The only allowed zone.
    pub zone: Option<ZoneIdx>,
    /// Its final state, if the store has one.
    pub final_state: Option<JobState>,
    /// Another controller has committed its cancellation; the store has not told yet.
    pub cancellation_pending: bool,
    /// If it is cancelled: a time at which it was not so yet.
    pub cancelled_no_earlier_than: f64,
    /// Finished tasks.
    pub done: TaskBitmap,
    /// Tasks restarted for slowness.
    pub restarted: TaskBitmap,
    /// Tasks on no machine; restarts first.
    pub pending: VecDeque<u32>,
    /// How many of the first pending tasks are restarts.
    pub speculative_restarts: u32,
    /// The number that the tasks of a gang share, as long as any of them is on a machine.
    pub gang_attempt: u64,
    /// How many of its tasks there are in each zone.
    pub tasks_by_zone: Vec<u32>,
    /// How many are on machines whose zone is not known.
    pub tasks_in_unknown_zone: u32,
    /// The newest segment of the log that tells a chunk's progress whole.
    pub progress_segments: BTreeMap<u32, u64>,
    /// Tasks that were stopped for others once: that must not go on for ever.
    pub preempted: TaskBitmap,
    /// When it was accepted, as far as known, on the leader's clock.
    pub submitted_at: f64,
    /// Since when it has had tasks that found no room.
    pub waiting_since: Option<f64>,
    /// Finished runs, in seconds.
    pub run_times: Vec<f64>,
    /// Failures since the last finish.
    pub failures: u32,
    /// Machines on which it failed since its last finish.
    pub failed_on: BTreeSet<MachineIdx>,
    /// Not placed before this time.
    pub backoff_until: f64,
    /// No longer waits for machines that have its image: none could be freed.
    pub gave_up_on_cached_image: bool,
}

impl Job {
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
            pending: (0..spec.tasks).collect(),
            done: TaskBitmap::default(),
            restarted: TaskBitmap::default(),
            speculative_restarts: 0,
            gang_attempt: 0,
            tasks_by_zone: Vec::new(),
            tasks_in_unknown_zone: 0,
            progress_segments: BTreeMap::new(),
            preempted: TaskBitmap::default(),
            submitted_at: now,
            waiting_since: None,
            run_times: Vec::new(),
            failures: 0,
            failed_on: BTreeSet::new(),
            backoff_until: 0.0,
            gave_up_on_cached_image: false,
            spec,
        }
    }

    /// Whether it is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.final_state == Some(JobState::Cancelled) || self.cancellation_pending
    }

    /// Whether its tasks run together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether it needs nothing more: final, or all of its tasks done.
    pub fn is_finished(&self) -> bool {
        self.final_state.is_some()
            || self.cancellation_pending
            || self.done.count() == self.spec.tasks
    }

    /// Tasks that have not completed.
    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.count()
    }

    /// Counts attempts that came to a zone or left it.
    pub(super) fn count_zone(&mut self, zone: Option<ZoneIdx>, change: i32) {
        let count = match zone {
            None => &mut self.tasks_in_unknown_zone,
            Some(zone) => {
                let zone = zone.position();
                if self.tasks_by_zone.len() <= zone {
                    self.tasks_by_zone.resize(zone + 1, 0);
                }
                &mut self.tasks_by_zone[zone]
            }
        };
        *count = count.saturating_add_signed(change);
    }

    /// Takes the next task off the queue.
    pub(super) fn next_pending(&mut self) -> Option<u32> {
        self.speculative_restarts = self.speculative_restarts.saturating_sub(1);
        self.pending.pop_front()
    }

    /// Puts a task back: in front, since it has waited already.
    pub(super) fn requeue(&mut self, index: u32, restart: bool, now: f64) {
        if self.done.contains(index) {
            return;
        }
        if restart {
            self.pending.push_front(index);
            self.speculative_restarts += 1;
        } else {
            self.pending
                .insert((self.speculative_restarts as usize).min(self.pending.len()), index);
        }
        self.waiting_since.get_or_insert(now);
    }

    /// Remembers a finished run.
    pub(super) fn record_run(&mut self, seconds: f64) {
        if self.run_times.len() < RUNS_KEPT {
            self.run_times.push(seconds);
        } else {
            let at = self.done.count() as usize % RUNS_KEPT;
            self.run_times[at] = seconds;
        }
    }

    /// How long after its submission the job should be complete: its deadline, the
    /// users' aim for its class, or else a few times what it runs.
    pub fn time_allowed_s(&self, deployment: &Deployment, run_s: f64) -> f64 {
        if self.spec.kind != JobKind::Array {
            // All of its tasks are wanted at once.
            return 0.0;
        }
        let aims = deployment
            .objectives
            .iter()
            .filter(|aim| aim.kind == "finished" && aim.class.as_deref() == Some(&self.spec.class));
        let aim = aims.filter_map(|aim| aim.within_s).min_by(f64::total_cmp);
        self.spec.deadline_s.or(aim).unwrap_or(4.0 * run_s)
    }

    /// Whether it should start sooner than its image can be fetched, by the users'
    /// aim for its class, and still may if a machine that has the image takes it.
    pub fn requires_cached_image(&self, deployment: &Deployment, fetch_s: f64, now: f64) -> bool {
        let aims = deployment
            .objectives
            .iter()
            .filter(|aim| aim.kind == "wait" && aim.class.as_deref() == Some(&self.spec.class));
        let within = aims.filter_map(|aim| aim.within_s).min_by(f64::total_cmp);
        !self.gave_up_on_cached_image
            && within.is_some_and(|within| {
                fetch_s > 0.6 * within && now - self.submitted_at < 0.5 * within
            })
    }

    /// Whether its users want its tasks to start within a time.
    pub fn has_start_objective(&self, deployment: &Deployment) -> bool {
        let mut aims = deployment.objectives.iter();
        aims.any(|aim| aim.kind == "wait" && aim.class.as_deref() == Some(&self.spec.class))
    }

    /// How long a task may take to save when it is stopped.
    pub fn grace_period_s(&self, why: StopReason) -> f64 {
        let at_once = match why {
            // Room made for others is wanted at once, and the victim was chosen for how
            // little it loses since its last checkpoint. A gang is stopped last.
            StopReason::Preempted => self.spec.kind != JobKind::Gang,
            StopReason::Cancelled | StopReason::GangRestart | StopReason::GangIncomplete => true,
            StopReason::Straggler | StopReason::Drained => false,
        };
        let saves = self.spec.checkpoint_interval_s > 0.0 && !at_once;
        // More than the task asks for, so that a slower save is not cut off.
        if saves { self.spec.checkpoint_write_s * 1.5 + 1.0 } else { 0.0 }
    }

    /// Median of its finished runs.
    pub fn median_run_time_s(&self) -> Option<f64> {
        straggler::median(&mut self.run_times.clone())
    }
}
