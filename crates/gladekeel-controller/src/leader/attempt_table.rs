//! All attempts, with tallies by job and by machine.
//!
//! A gang may have a hundred thousand tasks. Whether it still waits, or whether all of it
//! is being stopped, is asked whenever one of its tasks ends, so these answers are kept
//! up to date with each change of an attempt instead of being worked out from all of them.

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

/// The attempts of one job.
#[derive(Debug, Default)]
pub(super) struct JobAttempts {
    ids: BTreeSet<AttemptId>,
    /// Proposed, not committed.
    uncommitted: u32,
    /// Being stopped.
    stopping: u32,
    /// Seen running, being stopped, or placed by an earlier leader.
    begun: u32,
    /// Committed, and not seen exited.
    unfinished: u32,
    /// How many there are on each machine.
    machines: BTreeMap<MachineIdx, u32>,
}

/// The attempts of a job that has none.
static NONE: JobAttempts = JobAttempts {
    ids: BTreeSet::new(),
    uncommitted: 0,
    stopping: 0,
    begun: 0,
    unfinished: 0,
    machines: BTreeMap::new(),
};

impl JobAttempts {
    /// Their ids, releasing ones included.
    pub fn ids(&self) -> &BTreeSet<AttemptId> {
        &self.ids
    }

    /// How many there are, releasing ones included.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there is none, not even a releasing one.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// How many are not committed yet.
    pub fn uncommitted(&self) -> u32 {
        self.uncommitted
    }

    /// How many are committed and were not seen to have exited.
    pub fn unfinished(&self) -> u32 {
        self.unfinished
    }

    /// Whether none has run or is being stopped, as far as known. Of what an earlier
    /// leader placed it is not known whether it has run.
    pub fn none_started(&self) -> bool {
        self.begun == 0
    }

    /// Whether each of them is being stopped.
    pub fn all_stopping(&self) -> bool {
        self.stopping as usize == self.ids.len()
    }

    /// The machines that they are on.
    pub fn machines(&self) -> impl Iterator<Item = MachineIdx> {
        self.machines.keys().copied()
    }
}

/// Every attempt that the leader counts as on a machine.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    all: BTreeMap<AttemptId, Attempt>,
    by_job: BTreeMap<JobIdx, JobAttempts>,
    /// By machine and image, how many wait for the image or have not been seen to run.
    not_run: BTreeMap<MachineIdx, BTreeMap<ImageIdx, u32>>,
    /// How often a single attempt was looked at.
    lookups: Cell<u64>,
}

impl AttemptTable {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// One of them.
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.lookups.set(self.lookups.get() + 1);
        self.all.get(&id)
    }

    /// All of them, by id.
    pub fn iter(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.lookups.set(self.lookups.get() + self.all.len() as u64);
        self.all.iter().map(|(id, attempt)| (*id, attempt))
    }

    /// Those of a job.
    pub fn of_job(&self, job: JobIdx) -> &JobAttempts {
        self.by_job.get(&job).unwrap_or(&NONE)
    }

    /// The ids of a job's attempts, to change them one by one.
    pub fn ids_of_job(&self, job: JobIdx) -> Vec<AttemptId> {
        self.of_job(job).ids.iter().copied().collect()
    }

    /// Images that attempts on a machine have not been seen to run with.
    pub fn images_not_yet_running(&self, machine: MachineIdx) -> impl Iterator<Item = ImageIdx> {
        self.not_run.get(&machine).into_iter().flat_map(|images| images.keys().copied())
    }

    /// Adds a new one.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.count(id, &attempt, Change::Add);
        self.all.insert(id, attempt);
    }

    /// Takes one away.
    pub fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.all.remove(&id)?;
        self.count(id, &attempt, Change::Remove);
        Some(attempt)
    }

    /// Changes one, by any of its fields but job, machine and image.
    pub fn update<R>(
        &mut self,
        id: AttemptId,
        change: impl FnOnce(&mut Attempt) -> R,
    ) -> Option<R> {
        self.lookups.set(self.lookups.get() + 1);
        let attempt = self.all.get_mut(&id)?;
        let before = Tally::of(attempt);
        let result = change(attempt);
        let (job, machine, image) = (attempt.job, attempt.machine, attempt.image);
        let after = Tally::of(attempt);
        if before != after {
            self.tally(job, before, Change::Remove);
            self.tally(job, after, Change::Add);
            if before.not_run != after.not_run {
                self.count_not_run(machine, image, before.not_run, Change::Remove);
                self.count_not_run(machine, image, after.not_run, Change::Add);
            }
        }
        Some(result)
    }

    /// How often a single attempt was looked at since this was last asked.
    pub fn take_lookups(&self) -> u64 {
        self.lookups.take()
    }

    fn count(&mut self, id: AttemptId, attempt: &Attempt, change: Change) {
        let tally = Tally::of(attempt);
        let of_job = self.by_job.entry(attempt.job).or_default();
        let on_machine = of_job.machines.entry(attempt.machine).or_default();
        change.apply(on_machine, true);
        if *on_machine == 0 {
            of_job.machines.remove(&attempt.machine);
        }
        match change {
            Change::Add => of_job.ids.insert(id),
            Change::Remove => of_job.ids.remove(&id),
        };
        self.tally(attempt.job, tally, change);
        self.count_not_run(attempt.machine, attempt.image, tally.not_run, change);
        if self.of_job(attempt.job).is_empty() {
            self.by_job.remove(&attempt.job);
        }
    }

    fn tally(&mut self, job: JobIdx, tally: Tally, change: Change) {
        let of_job = self.by_job.entry(job).or_default();
        change.apply(&mut of_job.uncommitted, tally.uncommitted);
        change.apply(&mut of_job.stopping, tally.stopping);
        change.apply(&mut of_job.begun, tally.begun);
        change.apply(&mut of_job.unfinished, tally.unfinished);
    }

    fn count_not_run(
        &mut self,
        machine: MachineIdx,
        image: ImageIdx,
        counts: bool,
        change: Change,
    ) {
        if !counts {
            return;
        }
        let images = self.not_run.entry(machine).or_default();
        let waiting = images.entry(image).or_default();
        change.apply(waiting, true);
        if *waiting == 0 {
            images.remove(&image);
        }
        if images.is_empty() {
            self.not_run.remove(&machine);
        }
    }
}

/// Whether an attempt joins the tallies or leaves them.
#[derive(Debug, Clone, Copy)]
enum Change {
    Add,
    Remove,
}

impl Change {
    fn apply(self, count: &mut u32, counts: bool) {
        match self {
            Change::Add => *count += u32::from(counts),
            Change::Remove => *count -= u32::from(counts),
        }
    }
}

/// In which tallies an attempt counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Tally {
    uncommitted: bool,
    stopping: bool,
    begun: bool,
    unfinished: bool,
    not_run: bool,
}

impl Tally {
    fn of(attempt: &Attempt) -> Tally {
        let exited = attempt.reported_state == Some(TaskState::Exited);
        let stopping = attempt.stop_reason.is_some();
        Tally {
            uncommitted: attempt.phase == AssignmentPhase::Proposed,
            stopping,
            begun: attempt.running_since.is_some() || stopping || attempt.recovered,
            unfinished: attempt.phase == AssignmentPhase::Committed && !exited,
            not_run: attempt.running_since.is_none() && !exited,
        }
    }
}
