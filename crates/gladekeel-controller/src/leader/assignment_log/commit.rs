//! Builds the leader's transactions, and applies their outcomes to the leader's state.
//!
//! The leader's state reflects only committed transactions, never a transaction that was merely
//! sent. A transaction whose outcome is unknown may still be executed at any later time. The leader
//! then requires a new fencing token, which makes the transaction fail if it has not been executed
//! yet, and replays the log.

use super::writer::{CommitMarker, InFlightSegment, InFlightTransaction, LeaderRecords};
use crate::{
    assignment_log::AttemptOutcome,
    keys,
    leader::{
        AssignmentPhase, AttemptId, Job, Leader, StopReason, token_renewal::TokenRenewalReason,
    },
};
use gladekeel_sched::JobIdx;
use gladekeel_store::{StoreOutcome, TokenBucket};
use gladekeel_wire::{job::JobState, store::Transaction};
use std::collections::BTreeSet;

impl Leader {
    /// Returns the next transaction, if one is due. No transaction is due while a new fencing token
    /// is required.
    pub fn next_commit(&mut self, now: f64, budget: &mut TokenBucket) -> Option<Transaction> {
        if self.token_renewal.is_required() {
            return None;
        }
        let records = LeaderRecords {
            jobs: &self.jobs,
            job_names: &self.job_names,
            machine_names: &self.cluster.machine_names,
            attempts: &self.attempts,
        };
        self.log_writer.next_transaction(now, self.token, records, budget)
    }

    /// Makes the slots of old segments reusable, from the oldest segment up to, but not including,
    /// the first one that still holds the newest record of an attempt or of a job's progress.
    pub(in crate::leader) fn reclaim_log_slots(&mut self) {
        let records = LeaderRecords {
            jobs: &self.jobs,
            job_names: &self.job_names,
            machine_names: &self.cluster.machine_names,
            attempts: &self.attempts,
        };
        self.log_writer.reclaim_slots(records);
    }

    /// Returns the key and text that are in the store if and only if the transaction in flight was
    /// committed. `None` if no transaction is in flight, or if it contains no segment.
    pub fn commit_marker(&self) -> Option<&CommitMarker> {
        self.log_writer.commit_marker()
    }

    /// Applies the outcome of the transaction in flight. Returns whether the caller should read the
    /// store at once.
    pub fn on_commit_outcome(&mut self, now: f64, outcome: &StoreOutcome) -> bool {
        let Some(transaction) = self.log_writer.take_in_flight() else { return false };
        match outcome {
            StoreOutcome::Committed(revision) => {
                self.apply_commit(now, transaction, *revision);
                false
            }
            StoreOutcome::RateLimited | StoreOutcome::Unavailable => {
                self.log_writer.roll_back(now, transaction);
                false
            }
            // A commit attaches no key to a lease, so `LeaseNotFound` here means that the store
            // refused the transaction as too large: the store's limits are lower than the settings
            // say.
            StoreOutcome::LeaseNotFound => {
                self.log_writer.roll_back_oversized(now, transaction);
                false
            }
            StoreOutcome::Conflict(failed_keys) => {
                self.log_writer.roll_back(now, transaction);
                if !is_concurrent_user_write(failed_keys) {
                    self.token_renewal.require(TokenRenewalReason::UnexpectedConflict);
                }
                true
            }
            _ => {
                self.token_renewal.require(TokenRenewalReason::UnansweredCommit);
                true
            }
        }
    }

    fn apply_commit(&mut self, now: f64, transaction: InFlightTransaction, revision: u64) {
        self.cluster.counters.commits += 1;
        self.cluster.counters.writes += transaction.writes as u64;
        for job in &transaction.completed_jobs {
            self.apply_final_state_commit(now, *job);
        }
        for job in &transaction.removed_jobs {
            self.jobs.remove(job);
        }
        for segment in &transaction.segments {
            self.record_segment_commit(segment);
        }
        for id in &transaction.proposed {
            self.apply_assignment_commit(*id);
        }
        for id in &transaction.released {
            self.apply_release_commit(now, *id);
        }
        self.log_writer.apply_commit(transaction, revision);
        self.reclaim_log_slots();
    }

    fn apply_final_state_commit(&mut self, now: f64, job_idx: JobIdx) {
        let Some(job) = self.jobs.get_mut(&job_idx) else { return };
        job.final_state = Some(JobState::Done);
        if self.attempts.of_job(job_idx).is_empty() {
            self.log_writer.pending().add_removable_job(job_idx);
        }
        tracing::info!(
            job = %job.id,
            class = job.spec.class,
            took_s = now - job.submitted_at,
            deadline_s = job.spec.deadline_s,
            "job done"
        );
    }

    /// Records that a committed segment holds the newest record of its assignments and of the
    /// progress pages that it contains in whole.
    fn record_segment_commit(&mut self, committed: &InFlightSegment) {
        let sequence = committed.segment.sequence;
        for id in &committed.segment.attempts {
            self.attempts.update(*id, |attempt| attempt.segment = sequence);
        }
        for page in &committed.whole_pages {
            if let Some(job) = self.jobs.get_mut(&page.job) {
                job.progress_segments.insert(page.page, sequence);
            }
        }
    }

    /// Applies the commit of an assignment. The task may now be started; a gang task only once the
    /// whole gang is committed.
    fn apply_assignment_commit(&mut self, id: AttemptId) {
        let committed = self.attempts.update(id, |attempt| {
            attempt.phase = AssignmentPhase::Committed;
            (attempt.job, attempt.machine)
        });
        let Some((job_idx, machine)) = committed else { return };
        self.commands.request_commands(machine);
        self.cluster.counters.task_starts += 1;
        let is_gang = self.jobs.get(&job_idx).is_some_and(Job::is_gang);
        if is_gang && self.attempts.of_job(job_idx).uncommitted() == 0 {
            self.commands.request_commands_on(self.attempts.of_job(job_idx).machines());
        }
    }

    fn apply_release_commit(&mut self, now: f64, id: AttemptId) {
        let phase = self.attempts.get(id).map(|attempt| attempt.phase);
        if let Some(AssignmentPhase::Releasing(outcome)) = phase {
            self.remove_attempt(id, outcome, now);
        }
    }

    /// Withdraws the attempts in `ids` whose assignments are proposed but not part of the
    /// transaction in flight. A gang is placed as a whole or not at all: if one of its attempts is
    /// to be withdrawn, its other proposals are withdrawn too, and its committed attempts are
    /// stopped.
    pub(in crate::leader) fn withdraw_proposals(&mut self, ids: &[AttemptId], now: f64) {
        let mut gangs = BTreeSet::new();
        for id in ids {
            let Some(job_idx) = self.attempts.get(*id).map(|attempt| attempt.job) else { continue };
            if !self.jobs.get(&job_idx).is_some_and(Job::is_gang) {
                self.withdraw_proposal(*id, now);
            } else if gangs.insert(job_idx) {
                self.stop_gang(job_idx, StopReason::GangRestart);
                self.withdraw_proposal(*id, now);
                for other in self.attempts.ids_of_job(job_idx) {
                    self.withdraw_proposal(other, now);
                }
            }
        }
    }

    /// Removes an attempt if its assignment is proposed but not part of the transaction in flight.
    fn withdraw_proposal(&mut self, id: AttemptId, now: f64) {
        let phase = self.attempts.get(id).map(|attempt| attempt.phase);
        if phase == Some(AssignmentPhase::Proposed) && !self.log_writer.is_in_flight(id) {
            self.log_writer.pending().drop_proposal(id);
            self.remove_attempt(id, AttemptOutcome::Requeued, now);
        }
    }
}

/// Whether a conflict involves only keys that other nodes write for users and operators, for
/// example because a job was cancelled concurrently. Any other conflict means that the leader's
/// view of the store is wrong.
fn is_concurrent_user_write(failed_keys: &[String]) -> bool {
    const WRITTEN_BY_OTHERS: [&str; 3] =
        [keys::FINAL_STATE_PREFIX, keys::JOB_PREFIX, keys::DRAIN_PREFIX];
    let is_written_by_others =
        |key: &String| WRITTEN_BY_OTHERS.iter().any(|prefix| key.starts_with(prefix));
    !failed_keys.is_empty() && failed_keys.iter().all(is_written_by_others)
}
