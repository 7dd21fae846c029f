//! Commands that go to a worker at once instead of with its next report.
//!
//! A `run` sent this way that has no answer may be carried out at any later time
//! while token and session match. Until that is settled its attempt is neither
//! released for being absent nor forgotten; a new token settles it for good.

use super::{Attempt, AttemptId, Leader, Machine, StopReason, machine::DeletionReason};
use gladekeel_wire::{
    TaskId,
    worker::{Command, DirectCommands, Heartbeat, TaskState},
};
use std::collections::BTreeSet;

/// Time after which an unanswered `run` is settled by a new token.
const UNSETTLED_START_S: f64 = 15.0;
/// Requests in a row without an answer, after which a silent machine counts as dead and
/// one that showed nothing of the answers to its reports as one that hears nothing.
const MAX_UNANSWERED: u32 = 2;

/// After a lag of this node, for so long missing answers do not count.
const LAG_COUNTS_S: f64 = 3.0;

/// Direct requests that are to be made, and what is open of those that were.
#[derive(Debug)]
pub(super) struct DirectQueue {
    /// Machines for which there may be direct commands.
    pub wanted: BTreeSet<u32>,
    /// Gangs on all of whose machines there may be direct commands.
    pub gangs: BTreeSet<u32>,
    /// Machines that are to be asked whether they are there.
    pub probes_wanted: BTreeSet<u32>,
    /// How many are being asked, and may be.
    probing: usize,
    max_probes: usize,
    /// Machines to which a direct `run` had no answer: it may still arrive.
    unsettled_starts: BTreeSet<u32>,
    /// Machines that did not get the stops that were sent to them directly.
    undelivered_stops: BTreeSet<u32>,
}

impl DirectQueue {
    /// An empty one, for so many calls at once.
    pub fn new(max_calls: usize) -> DirectQueue {
        DirectQueue {
            wanted: BTreeSet::new(),
            gangs: BTreeSet::new(),
            probes_wanted: BTreeSet::new(),
            probing: 0,
            // Calls to silent machines hang: they must leave room for commands to others.
            max_probes: max_calls / 2,
            unsettled_starts: BTreeSet::new(),
            undelivered_stops: BTreeSet::new(),
        }
    }

    /// Sends stops again that were not delivered.
    pub fn retry_stops(&mut self) {
        self.wanted.append(&mut self.undelivered_stops);
    }
}

/// A request to a worker.
#[derive(Debug, Clone)]
pub struct DirectCall {
    /// The worker's address.
    pub addr: String,
    /// Commands, or none to ask for a report only.
    pub body: Option<DirectCommands>,
    token: u64,
    machine: u32,
    starts: Vec<AttemptId>,
}

/// What came of it.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectOutcome {
    /// Executed; the report was made afterwards.
    Done(Heartbeat),
    /// The worker refused it: another session, or a higher token.
    NotExecuted,
    /// The worker was not reached.
    NotSent,
    /// No answer.
    Unknown,
}

impl Machine {
    /// Whether a `run` of this attempt that was sent directly may still arrive.
    pub(super) fn may_still_start(&self, attempt: AttemptId) -> bool {
        self.open_starts.contains_key(&attempt)
    }
}

impl Leader {
    /// The next direct command, if one is due.
    pub fn next_direct(&mut self, now: f64, may_start: bool) -> Option<DirectCall> {
        for job in std::mem::take(&mut self.direct.gangs) {
            self.direct.wanted.extend(self.attempts.of_job(job).machines());
        }
        while let Some(ix) = self.direct.wanted.pop_first() {
            if let Some(call) = self.direct_for(now, ix, may_start) {
                return Some(call);
            }
        }
        // Half of the calls at most ask: those of silent machines hang, and commands to
        // others must not wait for them.
        while self.direct.probing < self.direct.max_probes
            && let Some(ix) = self.direct.probes_wanted.pop_first()
        {
            if let Some(machine) = self.cluster.machines.get_mut(&ix)
                && !machine.direct_in_flight
                && !machine.gone
                && let Some(addr) = machine.addr.clone()
            {
                machine.direct_in_flight = true;
                self.direct.probing += 1;
                let (token, starts) = (self.token, Vec::new());
                return Some(DirectCall { addr, body: None, token, machine: ix, starts });
            }
        }
        None
    }

    /// The commands that a machine should hear now, if there are any.
    fn direct_for(&mut self, now: f64, ix: u32, may_start: bool) -> Option<DirectCall> {
        let heard_s = self.params.workers.heartbeat_timeout_s();
        let machine = self.cluster.machines.get(&ix)?;
        if machine.direct_in_flight || machine.gone || now - machine.quiet_since > heard_s {
            return None;
        }
        let addr = machine.addr.clone()?;
        let session = machine.newest.0;
        let may_start =
            may_start && !self.fence && !machine.leaving() && machine.unheard_answers == 0;
        let mut commands = Vec::new();
        let mut starts = Vec::new();
        for id in machine.attempts.clone() {
            if let Some(stop) = self.direct_stop(id, session) {
                commands.push(stop);
            } else if may_start && let Some(start) = self.direct_start(id, session) {
                commands.push(start);
                starts.push(id);
            }
        }
        let machine = self.cluster.machines.get_mut(&ix)?;
        if commands.is_empty() {
            if machine.unheard_answers > 0 && machine.delete.is_none() {
                // It is asked whether it hears at all.
                self.direct.probes_wanted.insert(ix);
            }
            return None;
        }
        machine.open_starts.extend(starts.iter().map(|id| (*id, None)));
        machine.direct_in_flight = true;
        commands.sort_by_key(|command| matches!(command, Command::Start { .. }));
        let token = self.token;
        let body = Some(DirectCommands { token, incarnation: session, commands });
        Some(DirectCall { addr, body, token, machine: ix, starts })
    }

    /// `halt` for an attempt that is to stop and has not been told.
    fn direct_stop(&mut self, id: AttemptId, session: u64) -> Option<Command> {
        let attempt = self.attempts.get(id).filter(|attempt| attempt.is_live_in(session))?;
        let why = attempt.stop?;
        let is_there = match attempt.seen? {
            TaskState::Fetching => why != StopReason::Incomplete,
            TaskState::Waiting | TaskState::Running => true,
            TaskState::Saving => why == StopReason::Cancelled,
            TaskState::Exited | TaskState::Other => false,
        };
        if !is_there || attempt.stop_sent > 0 {
            return None;
        }
        let task = self.task_of(attempt);
        let grace_s = self.jobs[&attempt.job].grace(why);
        self.attempts.update(id, |attempt| attempt.stop_sent = 1);
        Some(Command::Stop { task, attempt: self.reported_attempt(id), grace_s })
    }

    /// `run` for an attempt that is committed, a gang's with all of its others, and has not
    /// been sent.
    fn direct_start(&mut self, id: AttemptId, session: u64) -> Option<Command> {
        let attempt = self.attempts.get(id).filter(|attempt| attempt.is_live_in(session))?;
        if attempt.stop.is_some() || attempt.seen.is_some() || attempt.sent {
            return None;
        }
        let job = &self.jobs[&attempt.job];
        let is_part = job.is_gang() && self.attempts.of_job(attempt.job).uncommitted() > 0;
        if job.over() || is_part {
            return None;
        }
        let task = self.task_of(attempt);
        self.attempts.update(id, |attempt| attempt.sent = true);
        Some(Command::Start { task, attempt: self.reported_attempt(id) })
    }

    fn task_of(&self, attempt: &Attempt) -> TaskId {
        TaskId { job: self.job_names.name(attempt.job).clone(), index: attempt.index }
    }

    /// Applies the outcome of a direct command.
    pub fn direct_answered(&mut self, now: f64, call: &DirectCall, outcome: &DirectOutcome) {
        if call.token != self.token {
            return;
        }
        if call.body.is_none() {
            self.direct.probing = self.direct.probing.saturating_sub(1);
        }
        let Some(machine) = self.cluster.machines.get_mut(&call.machine) else { return };
        machine.direct_in_flight = false;
        for id in &call.starts {
            if *outcome == DirectOutcome::Unknown {
                machine.open_starts.entry(*id).and_modify(|since| *since = Some(now));
                self.direct.unsettled_starts.insert(call.machine);
            } else {
                machine.open_starts.remove(id);
            }
        }
        if matches!(outcome, DirectOutcome::NotSent | DirectOutcome::Unknown) {
            // A stop may have got lost, and the report that would bring another one may
            // never come.
            for id in &machine.attempts {
                if self.attempts.get(*id).is_some_and(|attempt| attempt.stop.is_some()) {
                    self.attempts.update(*id, |attempt| attempt.stop_sent = 0);
                    self.direct.undelivered_stops.insert(call.machine);
                }
            }
        }
        match outcome {
            DirectOutcome::Done(report) => self.on_direct_report(now, call, report),
            // It heard.
            DirectOutcome::NotExecuted => machine.unanswered = 0,
            // This node was late itself: that says nothing of the machine.
            _ if self.timers.lagged_within(LAG_COUNTS_S, now) => {}
            DirectOutcome::NotSent | DirectOutcome::Unknown => {
                machine.unanswered += 1;
                if machine.unanswered < MAX_UNANSWERED {
                    self.direct.probes_wanted.insert(call.machine);
                } else {
                    machine.mute_since.get_or_insert(now);
                }
                if machine.unanswered >= MAX_UNANSWERED
                    && machine.unheard_answers > 1
                    && machine.delete.is_none()
                {
                    tracing::info!(machine = machine.name, "hears nothing: deleted");
                    machine.delete = Some(DeletionReason::HearsNothing);
                    self.cluster.leaving.insert(call.machine);
                }
            }
        }
    }

    fn on_direct_report(&mut self, now: f64, call: &DirectCall, report: &Heartbeat) {
        // An address may by now be another machine's.
        let ours = self.cluster.machine_names.get(report.machine.as_str()) == Some(call.machine);
        if !ours {
            return;
        }
        let newer = self.apply_report(now, report).is_some();
        let Some(machine) = self.cluster.machines.get_mut(&call.machine) else { return };
        machine.unanswered = 0;
        machine.answered_at = Some(now);
        machine.answers_since.get_or_insert(now);
        if machine.reported.1 == 0 {
            machine.reported.1 = report.incarnation;
        }
        machine.mute_since = None;
        machine.suspect_since = None;
        // It was reached, so it hears.
        machine.unheard_answers = 0;
        machine.awaited = Default::default();
        if !newer {
            return;
        }
        // What is there says something; what is absent does not, since answers to
        // reports may still be under way.
        for reported in &report.tasks {
            let id = self.attempt_id(reported);
            let known = self.attempts.get(id).is_some_and(|attempt| {
                attempt.machine == call.machine
                    && attempt.session == report.incarnation
                    && attempt.index == reported.task.index
                    && self.job_names.name(attempt.job) == &reported.task.job
            });
            if known {
                self.on_reported(now, id, reported);
            }
        }
        self.direct.wanted.insert(call.machine);
    }

    /// Whether an unanswered `run` needs a new token: its job is cancelled, so that
    /// it must never start, or it has been open for long.
    pub(super) fn has_unsettled_start(&mut self, now: f64) -> bool {
        let mut needed = false;
        self.direct.unsettled_starts.retain(|ix| {
            let Some(machine) = self.cluster.machines.get(ix).filter(|machine| !machine.gone)
            else {
                return false;
            };
            let mut open = false;
            for (id, since) in &machine.open_starts {
                let Some(since) = since else { continue };
                open = true;
                let job = self.attempts.get(*id).and_then(|attempt| self.jobs.get(&attempt.job));
                let wanted = job.is_some_and(|job| !job.cancelled());
                // A machine that is being deleted settles it by going.
                let settles = machine.delete_sent && now - since < 2.0 * UNSETTLED_START_S;
                // A new token settles it by the machine's report under it: one that is
                // not heard would not bring that either.
                let heard = machine.quiet_since > *since;
                needed |= heard
                    && !settles
                    && (!wanted && now - since > 1.0 || now - since > UNSETTLED_START_S);
            }
            open
        });
        needed
    }
}
