//! The table of all attempts, with counts by job and by machine.
//!
//! A gang may have a hundred thousand tasks, and each time one of its tasks ends, the leader checks
//! whether the gang has started or is being stopped as a whole. The counts for these checks are
//! therefore updated with each change of an attempt instead of being computed from all attempts,
//! and attempts change only through [`AttemptTable::update`].

use super::{
    AttemptId,
    attempt::{AssignmentPhase, Attempt},
};
use gladekeel_sched::{ImageIdx, JobIdx, MachineIdx};
use gladekeel_wire::worker::TaskState;
use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};

/// The attempts of one job, including attempts that are being released.
#[derive(Debug, Default)]
pub(super) struct JobAttempts {
    ids: BTreeSet<AttemptId>,
    /// Number of attempts that are proposed but not committed.
    uncommitted: u32,
    /// Number of attempts that are being stopped.
    stopping: u32,
    /// Number of attempts that were seen running, are being stopped, or were made by an earlier
    /// leader.
    started: u32,
    /// Number of attempts that are committed and not reported as exited.
    unfinished: u32,
    /// Number of attempts on each machine; machines without any are absent.
    machines: BTreeMap<MachineIdx, u32>,
}

/// The value that [`AttemptTable::of_job`] returns for a job without attempts.
static NO_ATTEMPTS: JobAttempts = JobAttempts {
    ids: BTreeSet::new(),
    uncommitted: 0,
    stopping: 0,
    started: 0,
    unfinished: 0,
    machines: BTreeMap::new(),
};

impl JobAttempts {
    /// The ids of the job's attempts.
    pub fn ids(&self) -> &BTreeSet<AttemptId> {
        &self.ids
    }

    /// How many attempts the job has.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether the job has no attempts, so that none of its tasks is on a machine.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// How many attempts are proposed but not committed.
    pub fn uncommitted(&self) -> u32 {
        self.uncommitted
    }

    /// How many attempts are committed and not reported as exited.
    pub fn unfinished(&self) -> u32 {
        self.unfinished
    }

    /// Whether no attempt has run or is being stopped. An attempt that an earlier leader made
    /// counts as started, since this leader does not know whether it has run.
    pub fn none_started(&self) -> bool {
        self.started == 0
    }

    /// Whether every attempt of the job is being stopped.
    pub fn all_stopping(&self) -> bool {
        self.stopping as usize == self.ids.len()
    }

    /// The machines that the job has attempts on, each machine once.
    pub fn machines(&self) -> impl Iterator<Item = MachineIdx> {
        self.machines.keys().copied()
    }
}

/// All attempts, each from the proposal of its assignment until the commit of its release.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    all: BTreeMap<AttemptId, Attempt>,
    by_job: BTreeMap<JobIdx, JobAttempts>,
    /// Number of attempts that were not seen running or exited yet, by machine and image.
    not_yet_running: BTreeMap<MachineIdx, BTreeMap<ImageIdx, u32>>,
    /// Number of attempts looked up since [`AttemptTable::take_lookups`] was last called.
    lookups: Cell<u64>,
}

impl AttemptTable {
    /// The number of attempts of all jobs.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns the attempt with this id, if there is one.
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.lookups.set(self.lookups.get() + 1);
        self.all.get(&id)
    }

    /// Iterates over all attempts in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.lookups.set(self.lookups.get() + self.all.len() as u64);
        self.all.iter().map(|(id, attempt)| (*id, attempt))
    }

    /// Returns the attempts of a job.
    pub fn of_job(&self, job: JobIdx) -> &JobAttempts {
        self.by_job.get(&job).unwrap_or(&NO_ATTEMPTS)
    }

    /// Returns a copy of the ids of a job's attempts, so that the caller can change the attempts
    /// one by one.
    pub fn ids_of_job(&self, job: JobIdx) -> Vec<AttemptId> {
        self.of_job(job).ids.iter().copied().collect()
    }

    /// Returns the images of a machine's attempts that were not seen running or exited yet; each
    /// image is returned once.
    pub fn images_not_yet_running(&self, machine: MachineIdx) -> impl Iterator<Item = ImageIdx> {
        self.not_yet_running.get(&machine).into_iter().flat_map(|images| images.keys().copied())
    }

    /// Adds a new attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.update_index(id, &attempt, Change::Add);
        self.all.insert(id, attempt);
    }

    /// Removes and returns the attempt with this id, if there is one.
    pub fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.all.remove(&id)?;
        self.update_index(id, &attempt, Change::Remove);
        Some(attempt)
    }

    /// Changes an attempt and returns the result of the change; `None` if there is no such attempt.
    /// The change must not modify the attempt's job, machine or image, by which the attempt is
    /// indexed.
    pub fn update<R>(
        &mut self,
        id: AttemptId,
        change: impl FnOnce(&mut Attempt) -> R,
    ) -> Option<R> {
        self.lookups.set(self.lookups.get() + 1);
        let attempt = self.all.get_mut(&id)?;
        let before = Categories::of(attempt);
        let result = change(attempt);
        let (job, machine, image) = (attempt.job, attempt.machine, attempt.image);
        let after = Categories::of(attempt);
        if before != after {
            self.count_in_job(job, before, Change::Remove);
            self.count_in_job(job, after, Change::Add);
        }
        if before.not_yet_running != after.not_yet_running {
            let change = if after.not_yet_running { Change::Add } else { Change::Remove };
            self.count_not_yet_running(machine, image, change);
        }
        Some(result)
    }

    /// Returns the number of lookups of attempts since the last call, and resets it to 0.
    pub fn take_lookups(&self) -> u64 {
        self.lookups.take()
    }

    /// Adds an attempt to the index of its job and to all counts, or removes the attempt from the
    /// index and the counts.
    fn update_index(&mut self, id: AttemptId, attempt: &Attempt, change: Change) {
        let of_job = self.by_job.entry(attempt.job).or_default();
        let on_machine = of_job.machines.entry(attempt.machine).or_default();
        change.apply(on_machine);
        if *on_machine == 0 {
            of_job.machines.remove(&attempt.machine);
        }
        match change {
            Change::Add => of_job.ids.insert(id),
            Change::Remove => of_job.ids.remove(&id),
        };
        let categories = Categories::of(attempt);
        self.count_in_job(attempt.job, categories, change);
        if categories.not_yet_running {
            self.count_not_yet_running(attempt.machine, attempt.image, change);
        }
        if self.of_job(attempt.job).is_empty() {
            self.by_job.remove(&attempt.job);
        }
    }

    /// Adds an attempt in these categories to the counts of its job, or subtracts the attempt from
    /// those counts.
    fn count_in_job(&mut self, job: JobIdx, categories: Categories, change: Change) {
        let of_job = self.by_job.entry(job).or_default();
        change.apply_if(categories.uncommitted, &mut of_job.uncommitted);
        change.apply_if(categories.stopping, &mut of_job.stopping);
        change.apply_if(categories.started, &mut of_job.started);
        change.apply_if(categories.unfinished, &mut of_job.unfinished);
    }

    /// Changes the number of attempts on a machine that were not seen running or exited yet.
    fn count_not_yet_running(&mut self, machine: MachineIdx, image: ImageIdx, change: Change) {
        let images = self.not_yet_running.entry(machine).or_default();
        let attempts = images.entry(image).or_default();
        change.apply(attempts);
        if *attempts == 0 {
            images.remove(&image);
        }
        if images.is_empty() {
            self.not_yet_running.remove(&machine);
        }
    }
}

/// Whether an attempt is added to counts or removed from them.
#[derive(Debug, Clone, Copy)]
enum Change {
    Add,
    Remove,
}

impl Change {
    fn apply(self, count: &mut u32) {
        match self {
            Change::Add => *count += 1,
            Change::Remove => *count -= 1,
        }
    }

    fn apply_if(self, is_counted: bool, count: &mut u32) {
        if is_counted {
            self.apply(count);
        }
    }
}

/// Which counts of the [`AttemptTable`] include an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Categories {
    uncommitted: bool,
    stopping: bool,
    started: bool,
    unfinished: bool,
    not_yet_running: bool,
}

impl Categories {
    fn of(attempt: &Attempt) -> Categories {
        let has_exited = attempt.reported_state == Some(TaskState::Exited);
        let is_stopping = attempt.stop_reason.is_some();
        Categories {
            uncommitted: attempt.phase == AssignmentPhase::Proposed,
            stopping: is_stopping,
            started: attempt.running_since.is_some() || is_stopping || attempt.recovered,
            unfinished: attempt.phase == AssignmentPhase::Committed && !has_exited,
            not_yet_running: attempt.running_since.is_none() && !has_exited,
        }
    }
}
