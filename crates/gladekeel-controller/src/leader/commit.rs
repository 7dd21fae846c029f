//! Writing the leader's decisions to the store.
//!
//! One transaction is under way at a time. It carries finishes before pages, so
//! that no task leaves its page before its finish is stored, and a task's new
//! place is decided only after its release from the old one has been stored.

use super::{Leader, Phase, model::Outcome as End};
use crate::{
    keys::{self, AssignRecord, AssignedTask, ProgressRecord},
    world::World,
};
use gladekeel_store::{Bucket, Outcome};
use gladekeel_wire::{
    JobId,
    cloud::MachineTypes,
    job::JobState,
    state::{Guard, Txn, Write},
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of a transaction; the store takes 64 KiB.
const MAX_TXN: usize = 56 * 1024;
/// Time between transactions: what comes in meanwhile goes together.
const GAP_S: f64 = 0.1;
/// Bytes of an assigned task in a page, at most.
const TASK_BYTES: usize = 120;
/// Bytes of a machine in a page without its tasks.
const MACHINE_BYTES: usize = 60;

/// A page of assignments.
#[derive(Debug, Default)]
pub(super) struct Page {
    version: u64,
    pub machines: BTreeSet<u32>,
    dirty: bool,
}

/// What is to be written, and what is under way.
#[derive(Debug, Default)]
pub(super) struct Commits {
    pub pages: Vec<Page>,
    /// Chunks of progress to write, by job.
    pub progress: BTreeSet<(u32, u32)>,
    /// Drain orders of machines that are gone, to clear away.
    pub drains: Vec<(String, u64)>,
    /// Machine types to write.
    pub types: Option<MachineTypes>,
    progress_versions: BTreeMap<JobId, BTreeMap<u32, u64>>,
    types_version: u64,
    sent: Option<Sent>,
    not_before: f64,
}

/// What a transaction under way contains.
#[derive(Debug, Default)]
struct Sent {
    fates: Vec<u32>,
    progress: Vec<(u32, u32)>,
    pages: Vec<(usize, BTreeSet<u64>)>,
    cleared: Vec<u32>,
    types: bool,
    writes: usize,
}

impl Commits {
    pub fn new(world: &World) -> Commits {
        let mut commits = Commits {
            types_version: world.types.as_ref().map_or(0, |(_, version)| *version),
            ..Commits::default()
        };
        for (page, (_, version)) in &world.pages {
            commits.page(*page).version = *version;
        }
        for (job, chunks) in &world.progress {
            let versions = chunks.iter().map(|(chunk, (_, version))| (*chunk, *version)).collect();
            commits.progress_versions.insert(job.clone(), versions);
        }
        commits
    }

    fn page(&mut self, page: usize) -> &mut Page {
        if self.pages.len() <= page {
            self.pages.resize_with(page + 1, Page::default);
        }
        &mut self.pages[page]
    }

    pub fn dirty_page(&mut self, page: usize) {
        self.page(page).dirty = true;
    }
}

/// A transaction in the making.
struct Draft {
    txn: Txn,
    sent: Sent,
    bytes: usize,
    max_ops: usize,
}

impl Draft {
    fn fits(&self, ops: usize) -> bool {
        self.txn.writes.len() + ops <= self.max_ops && self.bytes < MAX_TXN
    }

    fn guard(&mut self, key: String, version: u64) {
        self.bytes += key.len() + 40;
        self.txn.guards.push(Guard { key, version });
    }

    fn put<T: Serialize>(&mut self, key: String, version: u64, value: &T) {
        let value = serde_json::to_value(value).expect("stored types always serialise");
        self.bytes += key.len() + value.to_string().len() + 40;
        self.guard(key.clone(), version);
        self.txn.writes.push(Write::Put { key, value, lease: None });
    }

    fn delete(&mut self, key: String, version: u64) {
        self.bytes += key.len() + 20;
        self.guard(key.clone(), version);
        self.txn.writes.push(Write::Delete { key });
    }
}

impl Leader {
    /// A page with room for one more task of this machine, or none.
    pub(super) fn page_for(&mut self, machine: u32) -> Option<usize> {
        let cap = (self.params.state.value_kb * 1024.0) as usize;
        let own = self.know.machines.get(&machine)?.page;
        let size = |leader: &Leader, page: usize| -> usize {
            leader.commits.pages[page]
                .machines
                .iter()
                .filter_map(|m| leader.know.machines.get(m))
                .map(|m| MACHINE_BYTES + m.attempts.len() * TASK_BYTES)
                .sum()
        };
        if let Some(page) = own {
            return (size(self, page) + TASK_BYTES <= cap).then_some(page);
        }
        let page = (0..self.commits.pages.len())
            .find(|page| size(self, *page) + MACHINE_BYTES + TASK_BYTES <= cap * 2 / 3)
            .unwrap_or(self.commits.pages.len());
        self.commits.page(page).machines.insert(machine);
        self.know.machines.get_mut(&machine)?.page = Some(page);
        Some(page)
    }

    pub(super) fn build_commit(&mut self, now: f64, budget: &mut Bucket) -> Option<Txn> {
        if self.commits.sent.is_some() || self.fence || now < self.commits.not_before {
            return None;
        }
        let mut draft = Draft {
            txn: Txn::default(),
            sent: Sent::default(),
            bytes: 0,
            max_ops: self.params.state.txn_ops,
        };
        draft.guard(keys::LEADER.into(), self.token);
        let finishes_fit = self.draft_finishes(&mut draft);
        if finishes_fit {
            self.draft_pages(&mut draft);
            // Clearing away waits until the budget is plainly not needed.
            if draft.txn.writes.is_empty() && budget.has(now, 6.0) {
                self.draft_clearing(&mut draft);
            }
        }
        draft.sent.writes = draft.txn.writes.len();
        // Short of budget, wait: what gathers meanwhile makes the next one wider.
        if draft.txn.writes.is_empty() || !budget.take(now, draft.sent.writes as f64) {
            return None;
        }
        for (job, chunk) in &draft.sent.progress {
            self.commits.progress.remove(&(*job, *chunk));
        }
        for (page, _) in &draft.sent.pages {
            self.commits.pages[*page].dirty = false;
        }
        self.commits.not_before = now + GAP_S;
        self.commits.sent = Some(draft.sent);
        Some(draft.txn)
    }

    /// Adds finished jobs and progress; tells whether all of it fits.
    fn draft_finishes(&self, draft: &mut Draft) -> bool {
        let finished = self
            .jobs
            .iter()
            .filter(|(_, job)| job.fate.is_none() && job.done.count() == job.spec.tasks);
        for (ix, job) in finished {
            if !draft.fits(1) {
                return false;
            }
            draft.guard(keys::job(&job.id), job.version);
            draft.put(keys::fate(&job.id), 0, &JobState::Done);
            draft.sent.fates.push(*ix);
        }
        for (ix, chunk) in &self.commits.progress {
            let Some(job) = self.jobs.get(ix) else { continue };
            if job.over() {
                // Its final state says it all.
                draft.sent.progress.push((*ix, *chunk));
                continue;
            }
            if !draft.fits(1) {
                return false;
            }
            let record = ProgressRecord {
                done: job.done.chunk_hex(*chunk),
                restarted: job.restarted.chunk_hex(*chunk),
            };
            draft.put(
                keys::progress(&job.id, *chunk),
                self.progress_version(&job.id, *chunk),
                &record,
            );
            draft.sent.progress.push((*ix, *chunk));
        }
        true
    }

    fn progress_version(&self, job: &JobId, chunk: u32) -> u64 {
        let chunks = self.commits.progress_versions.get(job);
        chunks.and_then(|chunks| chunks.get(&chunk)).copied().unwrap_or(0)
    }

    fn draft_pages(&self, draft: &mut Draft) {
        for (page, state) in self.commits.pages.iter().enumerate().filter(|(_, p)| p.dirty) {
            if !draft.fits(1) {
                return;
            }
            let (record, listed) = self.page_record(state);
            draft.put(keys::assign(page), state.version, &record);
            draft.sent.pages.push((page, listed));
        }
    }

    fn page_record(&self, page: &Page) -> (AssignRecord, BTreeSet<u64>) {
        let (mut record, mut listed) = (AssignRecord::default(), BTreeSet::new());
        for machine in page.machines.iter().filter_map(|m| self.know.machines.get(m)) {
            let mut sessions: BTreeMap<u64, Vec<AssignedTask>> = BTreeMap::new();
            for id in &machine.attempts {
                let Some(attempt) = self.attempts.get(id) else { continue };
                if !matches!(attempt.phase, Phase::Releasing(_)) {
                    let job = self.job_names.name(attempt.job).clone();
                    sessions.entry(attempt.session).or_default().push((job, attempt.index, *id));
                    listed.insert(*id);
                }
            }
            for (session, tasks) in sessions {
                record.m.push((machine.name.clone(), session, tasks));
            }
        }
        (record, listed)
    }

    fn draft_clearing(&self, draft: &mut Draft) {
        if let Some(types) = &self.commits.types {
            draft.put(keys::TYPES.into(), self.commits.types_version, types);
            draft.sent.types = true;
        }
        for (machine, version) in &self.commits.drains {
            if draft.fits(1) {
                draft.delete(keys::drain(machine), *version);
            }
        }
        for (ix, job) in self.jobs.iter().filter(|(_, j)| j.fate.is_some() && j.assigned == 0) {
            let chunks = self.commits.progress_versions.get(&job.id);
            // Progress goes first, the job last, over several transactions if need be.
            for (chunk, version) in chunks.into_iter().flatten() {
                if !draft.fits(1) {
                    return;
                }
                draft.delete(keys::progress(&job.id, *chunk), *version);
            }
            if !draft.fits(1) {
                return;
            }
            draft.delete(keys::job(&job.id), job.version);
            draft.sent.cleared.push(*ix);
        }
    }

    /// Takes in what came of the transaction under way. Tells whether the store
    /// should be looked at at once.
    pub fn commit_answered(&mut self, now: f64, txn: &Txn, outcome: &Outcome) -> bool {
        let Some(sent) = self.commits.sent.take() else { return false };
        match outcome {
            Outcome::Committed(revision) => {
                self.committed(now, txn, sent, *revision);
                false
            }
            Outcome::Busy | Outcome::Refused => {
                // Not executed: the same changes go into the next transaction.
                self.undo(&sent);
                self.commits.not_before = now + 0.25;
                false
            }
            Outcome::Conflict(failed) => {
                let theirs =
                    |key: &String| key.starts_with(keys::FATE) || key.starts_with(keys::JOB);
                self.undo(&sent);
                self.commits.not_before = now + 0.25;
                // A job that was cancelled meanwhile is somebody else's write; anything
                // else means that the leader's picture of the store is wrong.
                self.fence |= failed.is_empty() || !failed.iter().all(theirs);
                true
            }
            _ => {
                // No answer: it may apply at any later time. A new token makes it fail
                // if it has not yet, and the store is read again after that.
                tracing::warn!("a commit had no answer; asking for a new token");
                self.undo(&sent);
                self.fence = true;
                true
            }
        }
    }

    fn undo(&mut self, sent: &Sent) {
        self.commits.progress.extend(sent.progress.iter().copied());
        for (page, _) in &sent.pages {
            self.commits.pages[*page].dirty = true;
        }
    }

    fn committed(&mut self, now: f64, txn: &Txn, sent: Sent, revision: u64) {
        self.know.counts.commits += 1;
        self.know.counts.writes += sent.writes as u64;
        for ix in &sent.fates {
            if let Some(job) = self.jobs.get_mut(ix) {
                job.fate = Some(JobState::Done);
                tracing::info!(
                    job = %job.id,
                    class = job.spec.class,
                    took_s = now - job.known_at,
                    deadline_s = job.spec.deadline_s,
                    "job done"
                );
            }
        }
        for write in &txn.writes {
            let Some(rest) = write.key().strip_prefix(keys::PROGRESS) else { continue };
            let Some((job, chunk)) = rest.rsplit_once('/') else { continue };
            let (Ok(job), Ok(chunk)) = (job.parse::<JobId>(), chunk.parse::<u32>()) else {
                continue;
            };
            let versions = self.commits.progress_versions.entry(job).or_default();
            match write {
                Write::Put { .. } => versions.insert(chunk, revision),
                Write::Delete { .. } => versions.remove(&chunk),
            };
        }
        for ix in sent.cleared {
            if let Some(job) = self.jobs.remove(&ix) {
                self.commits.progress_versions.remove(&job.id);
                self.commits.progress.retain(|(other, _)| *other != ix);
            }
        }
        if sent.types {
            self.commits.types_version = revision;
            self.commits.types = None;
        }
        for (page, listed) in sent.pages {
            self.commits.pages[page].version = revision;
            let attempts: Vec<u64> = self.commits.pages[page]
                .machines
                .iter()
                .filter_map(|m| self.know.machines.get(m))
                .flat_map(|m| m.attempts.iter().copied())
                .collect();
            for id in attempts {
                let Some(attempt) = self.attempts.get_mut(&id) else { continue };
                match attempt.phase {
                    Phase::Proposed if listed.contains(&id) => {
                        attempt.phase = Phase::Live;
                        self.direct_wanted.insert(attempt.machine);
                        self.know.counts.starts += 1;
                    }
                    Phase::Releasing(outcome) if !listed.contains(&id) => {
                        self.free(id, outcome, now)
                    }
                    _ => {}
                }
            }
        }
    }

    /// Drops a proposal that is in no transaction. Tells whether it did.
    pub(super) fn withdraw(&mut self, id: u64, now: f64) -> bool {
        let listed = self
            .commits
            .sent
            .as_ref()
            .is_some_and(|sent| sent.pages.iter().any(|(_, listed)| listed.contains(&id)));
        let proposed = self.attempts.get(&id).is_some_and(|a| a.phase == Phase::Proposed);
        if proposed && !listed {
            self.free(id, End::Again, now);
        }
        proposed && !listed
    }
}
