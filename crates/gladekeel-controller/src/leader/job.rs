//! A job: its description, what has become of its tasks, and what that tells.

use super::{attempt::StopReason, catalog::Catalog};
use crate::{keys::Bits, world::StoredJob};
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
    pub team: u32,
    /// What a task takes.
    pub room: Resources,
    /// Its image.
    pub image: u32,
    /// Allowed kinds.
    pub kinds: Option<Vec<u32>>,
    /// The only allowed zone.
    pub zone: Option<u32>,
    /// Its final state, if the store has one.
    pub final_state: Option<JobState>,
    /// Another controller has committed its cancellation; the store has not told yet.
    pub called_off: bool,
    /// If it is cancelled: a time at which it was not so yet.
    pub cancelled_after: f64,
    /// Finished tasks.
    pub done: Bits,
    /// Tasks restarted for slowness.
    pub restarted: Bits,
    /// Tasks on no machine; restarts first.
    pub pending: VecDeque<u32>,
    /// How many of the first pending tasks are restarts.
    pub restarts: u32,
    /// The number that the tasks of a gang share, as long as any of them is on a machine.
    pub number: u64,
    /// How many of its tasks there are in each zone.
    pub by_zone: Vec<u32>,
    /// How many are on machines whose zone is not known.
    pub zone_unknown: u32,
    /// The newest segment of the log that tells a chunk's progress whole.
    pub progress_segment: BTreeMap<u32, u64>,
    /// Tasks that were stopped for others once: that must not go on for ever.
    pub displaced: Bits,
    /// When it was accepted, as far as known, on the leader's clock.
    pub known_at: f64,
    /// Since when it has had tasks that found no room.
    pub waits_since: Option<f64>,
    /// Finished runs, in seconds.
    pub runs: Vec<f64>,
    /// Failures since the last finish.
    pub failures: u32,
    /// Machines on which it failed since its last finish.
    pub failed_on: BTreeSet<u32>,
    /// Not placed before this time.
    pub hold_until: f64,
    /// No longer waits for machines that have its image: none could be freed.
    pub unhurried: bool,
}

impl Job {
    pub(super) fn new(
        catalog: &mut Catalog,
        id: JobId,
        stored: &StoredJob,
        team: u32,
        now: f64,
    ) -> Job {
        let spec = stored.spec.clone();
        Job {
            id,
            version: stored.version,
            team,
            room: Resources::requested(spec.cpus, spec.gpus, spec.memory_gb),
            image: catalog.images.intern(&spec.image),
            kinds: spec
                .machine_types
                .as_ref()
                .map(|types| types.iter().map(|t| catalog.kind(t)).collect()),
            zone: spec.zone.as_ref().map(|zone| catalog.zones.intern(zone)),
            final_state: None,
            called_off: false,
            cancelled_after: f64::NEG_INFINITY,
            pending: (0..spec.tasks).collect(),
            done: Bits::default(),
            restarted: Bits::default(),
            restarts: 0,
            number: 0,
            by_zone: Vec::new(),
            zone_unknown: 0,
            progress_segment: BTreeMap::new(),
            displaced: Bits::default(),
            known_at: now,
            waits_since: None,
            runs: Vec::new(),
            failures: 0,
            failed_on: BTreeSet::new(),
            hold_until: 0.0,
            unhurried: false,
            spec,
        }
    }

    /// Whether it is cancelled.
    pub fn cancelled(&self) -> bool {
        self.final_state == Some(JobState::Cancelled) || self.called_off
    }

    /// Whether its tasks run together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether it needs nothing more: final, or all of its tasks done.
    pub fn over(&self) -> bool {
        self.final_state.is_some() || self.called_off || self.done.count() == self.spec.tasks
    }

    /// Tasks that have not completed.
    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.count()
    }

    /// Counts attempts that came to a zone or left it.
    pub(super) fn count_zone(&mut self, zone: Option<u32>, change: i32) {
        let count = match zone {
            None => &mut self.zone_unknown,
            Some(zone) => {
                let zone = zone as usize;
                if self.by_zone.len() <= zone {
                    self.by_zone.resize(zone + 1, 0);
                }
                &mut self.by_zone[zone]
            }
        };
        *count = count.saturating_add_signed(change);
    }

    /// Takes the next task off the queue.
    pub(super) fn next_pending(&mut self) -> Option<u32> {
        self.restarts = self.restarts.saturating_sub(1);
        self.pending.pop_front()
    }

    /// Puts a task back: in front, since it has waited already.
    pub(super) fn requeue(&mut self, index: u32, restart: bool, now: f64) {
        if self.done.has(index) {
            return;
        }
        if restart {
            self.pending.push_front(index);
            self.restarts += 1;
        } else {
            self.pending.insert((self.restarts as usize).min(self.pending.len()), index);
        }
        self.waits_since.get_or_insert(now);
    }

    /// Remembers a finished run.
    pub(super) fn record_run(&mut self, seconds: f64) {
        if self.runs.len() < RUNS_KEPT {
            self.runs.push(seconds);
        } else {
            let at = self.done.count() as usize % RUNS_KEPT;
            self.runs[at] = seconds;
        }
    }

    /// How long after its submission the job should be complete: its deadline, the
    /// users' aim for its class, or else a few times what it runs.
    pub fn due_s(&self, params: &Deployment, run_s: f64) -> f64 {
        if self.spec.kind != JobKind::Array {
            // All of its tasks are wanted at once.
            return 0.0;
        }
        let aims = params
            .objectives
            .iter()
            .filter(|aim| aim.kind == "finished" && aim.class.as_deref() == Some(&self.spec.class));
        let aim = aims.filter_map(|aim| aim.within_s).min_by(f64::total_cmp);
        self.spec.deadline_s.or(aim).unwrap_or(4.0 * run_s)
    }

    /// Whether it should start sooner than its image can be fetched, by the users'
    /// aim for its class, and still may if a machine that has the image takes it.
    pub fn hurried(&self, params: &Deployment, fetch_s: f64, now: f64) -> bool {
        let aims = params
            .objectives
            .iter()
            .filter(|aim| aim.kind == "wait" && aim.class.as_deref() == Some(&self.spec.class));
        let within = aims.filter_map(|aim| aim.within_s).min_by(f64::total_cmp);
        !self.unhurried
            && within
                .is_some_and(|within| fetch_s > 0.6 * within && now - self.known_at < 0.5 * within)
    }

    /// Whether its users want its tasks to start within a time.
    pub fn has_start_aim(&self, params: &Deployment) -> bool {
        let mut aims = params.objectives.iter();
        aims.any(|aim| aim.kind == "wait" && aim.class.as_deref() == Some(&self.spec.class))
    }

    /// How long a task may take to save when it is stopped.
    pub fn grace(&self, why: StopReason) -> f64 {
        let at_once = match why {
            // Room made for others is wanted at once, and the victim was chosen for how
            // little it loses since its last checkpoint. A gang is stopped last.
            StopReason::Preempted => self.spec.kind != JobKind::Gang,
            StopReason::Cancelled | StopReason::Regroup | StopReason::Incomplete => true,
            StopReason::Slow | StopReason::Drained => false,
        };
        let saves = self.spec.checkpoint_interval_s > 0.0 && !at_once;
        // More than the task asks for, so that a slower save is not cut off.
        if saves { self.spec.checkpoint_write_s * 1.5 + 1.0 } else { 0.0 }
    }

    /// Median of its finished runs.
    pub fn median(&self) -> Option<f64> {
        straggler::median(&mut self.runs.clone())
    }
}
