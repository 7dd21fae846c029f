//! Commands that go to a worker at once instead of with its next report.
//!
//! A `run` sent this way that has no answer may be carried out at any later time
//! while token and session match. Until that is settled its attempt is neither
//! released for being absent nor forgotten; a new token settles it for good.

use super::{Leader, Machine, Phase};
use gladekeel_wire::{
    TaskId,
    worker::{Command, Direct, Report, TaskState},
};
use std::collections::BTreeMap;

/// Time after which an unanswered `run` is settled by a new token.
const LOOSE_S: f64 = 15.0;
/// A machine that was not heard of for this long is not sent anything directly.
const HEARD_S: f64 = 5.0;

/// A direct command under way.
#[derive(Debug, Clone)]
pub struct DirectCall {
    /// The worker's address.
    pub addr: String,
    /// What is sent.
    pub body: Direct,
    machine: u32,
    starts: Vec<u64>,
}

/// What came of it.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectOutcome {
    /// Executed; the report was made afterwards.
    Done(Report),
    /// Not executed, for certain.
    NotExecuted,
    /// No answer.
    Unknown,
}

impl Machine {
    /// Whether a `run` of this attempt that was sent directly may still arrive.
    pub(super) fn may_still_start(&self, attempt: u64) -> bool {
        self.open_starts.contains_key(&attempt)
    }
}

impl Leader {
    /// The next direct command, if one is due.
    pub fn next_direct(&mut self, now: f64, may_start: bool) -> Option<DirectCall> {
        while let Some(ix) = self.direct_wanted.pop_first() {
            if let Some(call) = self.direct_for(now, ix, may_start) {
                return Some(call);
            }
        }
        None
    }

    fn direct_for(&mut self, now: f64, ix: u32, may_start: bool) -> Option<DirectCall> {
        let ids = self.know.machines.get(&ix)?.attempts.clone();
        let numbers: BTreeMap<u64, u64> = ids
            .into_iter()
            .filter(|id| self.attempts.contains_key(id))
            .map(|id| (id, self.number(id)))
            .collect();
        let machine = self.know.machines.get_mut(&ix)?;
        let addr = machine.addr.clone()?;
        // A worker that has not seen this token yet reports soon anyway, and a
        // command for it would be settled by nothing but yet another token.
        if machine.direct_flying
            || machine.token != self.token
            || machine.gone
            || now - machine.quiet_since > HEARD_S
        {
            return None;
        }
        let may_start = may_start && !self.fence && !machine.leaving();
        let (mut commands, mut starts) = (Vec::new(), Vec::new());
        for (id, number) in &numbers {
            let Some(attempt) = self.attempts.get_mut(id) else { continue };
            if attempt.phase != Phase::Live || attempt.session != machine.newest.0 {
                continue;
            }
            let task =
                TaskId { job: self.job_names.name(attempt.job).clone(), index: attempt.index };
            if let Some(why) = attempt.stop {
                let there = matches!(attempt.seen, Some(TaskState::Fetching | TaskState::Running));
                if there && attempt.stop_sent == 0 {
                    attempt.stop_sent = 1;
                    let grace_s = self.jobs[&attempt.job].grace(why);
                    commands.push(Command::Stop { task, attempt: *number, grace_s });
                }
            } else if attempt.seen.is_none() && may_start && !attempt.sent {
                attempt.sent = true;
                machine.open_starts.insert(*id, None);
                starts.push(*id);
                commands.push(Command::Start { task, attempt: *number });
            }
        }
        if commands.is_empty() {
            return None;
        }
        commands.sort_by_key(|command| matches!(command, Command::Start { .. }));
        machine.direct_flying = true;
        let body = Direct { token: self.token, session: machine.newest.0, commands };
        Some(DirectCall { addr, body, machine: ix, starts })
    }

    /// Takes in what came of a direct command.
    pub fn direct_answered(&mut self, now: f64, call: &DirectCall, outcome: &DirectOutcome) {
        if call.body.token != self.token {
            return;
        }
        let Some(machine) = self.know.machines.get_mut(&call.machine) else { return };
        machine.direct_flying = false;
        for id in &call.starts {
            if *outcome == DirectOutcome::Unknown {
                machine.open_starts.entry(*id).and_modify(|since| *since = Some(now));
            } else {
                machine.open_starts.remove(id);
            }
        }
        let DirectOutcome::Done(report) = outcome else { return };
        if report.session != call.body.session || report.session != machine.newest.0 {
            return;
        }
        // What is there says something; what is absent does not, since answers to
        // reports may still be under way.
        for reported in &report.tasks {
            let id = self.attempt_of(reported);
            let known = self.attempts.get(&id).is_some_and(|attempt| {
                attempt.machine == call.machine
                    && attempt.index == reported.task.index
                    && self.job_names.name(attempt.job) == &reported.task.job
            });
            if known {
                self.on_reported(now, id, reported);
            }
        }
        self.direct_wanted.insert(call.machine);
    }

    /// Whether an unanswered `run` needs a new token: its job is cancelled, so that
    /// it must never start, or it has been open for long.
    pub(super) fn loose_start(&self, now: f64) -> bool {
        self.know.machines.values().filter(|machine| !machine.gone).any(|machine| {
            machine.open_starts.iter().any(|(id, since)| {
                let Some(since) = since else { return false };
                let attempt = self.attempts.get(id);
                let wanted = attempt.is_some_and(|attempt| attempt.stop.is_none());
                !wanted && now - since > 1.0 || now - since > LOOSE_S
            })
        })
    }
}
