//! Commands that go to a worker at once instead of with its next report.
//!
//! A `run` sent this way that has no answer may be carried out at any later time
//! while token and incarnation match. Until that is settled its attempt is neither
//! released for being absent nor forgotten; a new token settles it for good.

use crate::leader::{Attempt, AttemptId, Leader, Machine, StopReason, machine::DeletionReason};
use gladekeel_sched::{JobIdx, MachineIdx};
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
pub(in crate::leader) struct CommandQueue {
    /// Machines for which there may be direct commands.
    wanted: BTreeSet<MachineIdx>,
    /// Gangs on all of whose machines there may be direct commands.
    gangs: BTreeSet<JobIdx>,
    /// Machines that are to be asked whether they are there.
    probes_wanted: BTreeSet<MachineIdx>,
    /// How many are being asked, and may be.
    probing: usize,
    max_probes: usize,
    /// Machines to which a direct `run` had no answer: it may still arrive.
    unsettled_starts: BTreeSet<MachineIdx>,
    /// Machines that did not get the stops that were sent to them directly.
    undelivered_stops: BTreeSet<MachineIdx>,
}

impl CommandQueue {
    /// An empty one, for so many calls at once.
    pub fn new(max_calls: usize) -> CommandQueue {
        CommandQueue {
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

    /// Has the commands sent that a machine is due, if there are any.
    pub fn request_commands(&mut self, machine: MachineIdx) {
        self.wanted.insert(machine);
    }

    /// Has the commands sent that each of these machines is due, if there are any.
    pub fn request_commands_on(&mut self, machines: impl IntoIterator<Item = MachineIdx>) {
        self.wanted.extend(machines);
    }

    /// Has the commands sent that the machines of a gang are due. Its machines are looked up
    /// when the next request is built, however often this was asked for.
    pub fn request_gang_commands(&mut self, gang: JobIdx) {
        self.gangs.insert(gang);
    }

    /// Has a machine probed: it is asked for a heartbeat.
    pub fn request_probe(&mut self, machine: MachineIdx) {
        self.probes_wanted.insert(machine);
    }

    /// Sends stops again that were not delivered.
    pub fn retry_undelivered_stops(&mut self) {
        self.wanted.append(&mut self.undelivered_stops);
    }
}

/// A request to a worker.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    /// The worker's address.
    pub addr: String,
    /// Commands, or none to ask for a report only.
    pub body: Option<DirectCommands>,
    token: u64,
    machine: MachineIdx,
    starts: Vec<AttemptId>,
}

/// What came of it.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerOutcome {
    /// Executed; the report was made afterwards.
    Done(Heartbeat),
    /// The worker refused it: another incarnation, or a higher token.
    NotExecuted,
    /// The worker was not reached.
    NotSent,
    /// No answer.
    Unknown,
}

impl Machine {
    /// Whether a `run` of this attempt that was sent directly may still arrive.
    pub(in crate::leader) fn may_still_start(&self, attempt: AttemptId) -> bool {
        self.unsettled_starts.contains_key(&attempt)
    }
}

impl Leader {
    /// The next direct command, if one is due.
    pub fn next_worker_request(&mut self, now: f64, may_start: bool) -> Option<WorkerRequest> {
        for job in std::mem::take(&mut self.commands.gangs) {
            self.commands.request_commands_on(self.attempts.of_job(job).machines());
        }
        while let Some(ix) = self.commands.wanted.pop_first() {
            if let Some(call) = self.direct_for(now, ix, may_start) {
                return Some(call);
            }
        }
        // Half of the calls at most ask: those of silent machines hang, and commands to
        // others must not wait for them.
        while self.commands.probing < self.commands.max_probes
            && let Some(ix) = self.commands.probes_wanted.pop_first()
        {
            if let Some(machine) = self.cluster.machines.get_mut(&ix)
                && !machine.command_in_flight
                && !machine.deleted
                && let Some(addr) = machine.addr.clone()
            {
                machine.command_in_flight = true;
                self.commands.probing += 1;
                let (token, starts) = (self.token, Vec::new());
                return Some(WorkerRequest { addr, body: None, token, machine: ix, starts });
            }
        }
        None
    }

    /// The commands that a machine should hear now, if there are any.
    fn direct_for(&mut self, now: f64, ix: MachineIdx, may_start: bool) -> Option<WorkerRequest> {
        let heard_s = self.deployment.workers.heartbeat_timeout_s();
        let machine = self.cluster.machines.get(&ix)?;
        if machine.command_in_flight || machine.deleted || now - machine.silent_since > heard_s {
            return None;
        }
        let addr = machine.addr.clone()?;
        let incarnation = machine.newest_message.0;
        let may_start =
            may_start && !self.needs_new_token && !machine.is_leaving() && machine.missed_acks == 0;
        let mut commands = Vec::new();
        let mut starts = Vec::new();
        for id in machine.attempts.clone() {
            if let Some(stop) = self.direct_stop(id, incarnation) {
                commands.push(stop);
            } else if may_start && let Some(start) = self.direct_start(id, incarnation) {
                commands.push(start);
                starts.push(id);
            }
        }
        let machine = self.cluster.machines.get_mut(&ix)?;
        if commands.is_empty() {
            if machine.missed_acks > 0 && machine.deletion_reason.is_none() {
                // It is asked whether it hears at all.
                self.commands.request_probe(ix);
            }
            return None;
        }
        machine.unsettled_starts.extend(starts.iter().map(|id| (*id, None)));
        machine.command_in_flight = true;
        commands.sort_by_key(|command| matches!(command, Command::Start { .. }));
        let token = self.token;
        let body = Some(DirectCommands { token, incarnation, commands });
        Some(WorkerRequest { addr, body, token, machine: ix, starts })
    }

    /// `halt` for an attempt that is to stop and has not been told.
    fn direct_stop(&mut self, id: AttemptId, incarnation: u64) -> Option<Command> {
        let attempt =
            self.attempts.get(id).filter(|attempt| attempt.is_committed_in(incarnation))?;
        let why = attempt.stop_reason?;
        let is_there = match attempt.reported_state? {
            TaskState::Fetching => why != StopReason::GangIncomplete,
            TaskState::Waiting | TaskState::Running => true,
            TaskState::Saving => why == StopReason::Cancelled,
            TaskState::Exited | TaskState::Other => false,
        };
        if !is_there || attempt.stops_sent > 0 {
            return None;
        }
        let task = self.task_of(attempt);
        let grace_s = self.jobs[&attempt.job].grace_period_s(why);
        self.attempts.update(id, |attempt| attempt.stops_sent = 1);
        Some(Command::Stop { task, attempt: self.reported_attempt(id), grace_s })
    }

    /// `run` for an attempt that is committed, a gang's with all of its others, and has not
    /// been sent.
    fn direct_start(&mut self, id: AttemptId, incarnation: u64) -> Option<Command> {
        let attempt =
            self.attempts.get(id).filter(|attempt| attempt.is_committed_in(incarnation))?;
        if attempt.stop_reason.is_some() || attempt.reported_state.is_some() || attempt.start_sent {
            return None;
        }
        let job = &self.jobs[&attempt.job];
        let is_part = job.is_gang() && self.attempts.of_job(attempt.job).uncommitted() > 0;
        if job.is_finished() || is_part {
            return None;
        }
        let task = self.task_of(attempt);
        self.attempts.update(id, |attempt| attempt.start_sent = true);
        Some(Command::Start { task, attempt: self.reported_attempt(id) })
    }

    fn task_of(&self, attempt: &Attempt) -> TaskId {
        TaskId { job: self.job_names.name(attempt.job).clone(), index: attempt.task_index }
    }

    /// Applies the outcome of a direct command.
    pub fn worker_answered(&mut self, now: f64, call: &WorkerRequest, outcome: &WorkerOutcome) {
        if call.token != self.token {
            return;
        }
        if call.body.is_none() {
            self.commands.probing = self.commands.probing.saturating_sub(1);
        }
        let Some(machine) = self.cluster.machines.get_mut(&call.machine) else { return };
        machine.command_in_flight = false;
        for id in &call.starts {
            if *outcome == WorkerOutcome::Unknown {
                machine.unsettled_starts.entry(*id).and_modify(|since| *since = Some(now));
                self.commands.unsettled_starts.insert(call.machine);
            } else {
                machine.unsettled_starts.remove(id);
            }
        }
        if matches!(outcome, WorkerOutcome::NotSent | WorkerOutcome::Unknown) {
            // A stop may have got lost, and the report that would bring another one may
            // never come.
            for id in &machine.attempts {
                if self.attempts.get(*id).is_some_and(|attempt| attempt.stop_reason.is_some()) {
                    self.attempts.update(*id, |attempt| attempt.stops_sent = 0);
                    self.commands.undelivered_stops.insert(call.machine);
                }
            }
        }
        match outcome {
            WorkerOutcome::Done(report) => self.on_direct_report(now, call, report),
            // It heard.
            WorkerOutcome::NotExecuted => machine.unanswered_commands = 0,
            // This node was late itself: that says nothing of the machine.
            _ if self.timers.lagged_within(LAG_COUNTS_S, now) => {}
            WorkerOutcome::NotSent | WorkerOutcome::Unknown => {
                machine.unanswered_commands += 1;
                if machine.unanswered_commands < MAX_UNANSWERED {
                    self.commands.request_probe(call.machine);
                } else {
                    machine.unresponsive_since.get_or_insert(now);
                }
                if machine.unanswered_commands >= MAX_UNANSWERED
                    && machine.missed_acks > 1
                    && machine.deletion_reason.is_none()
                {
                    tracing::info!(machine = machine.name, "hears nothing: deleted");
                    machine.deletion_reason = Some(DeletionReason::InboundPartition);
                    self.cluster.leaving.insert(call.machine);
                }
            }
        }
    }

    fn on_direct_report(&mut self, now: f64, call: &WorkerRequest, report: &Heartbeat) {
        // An address may by now be another machine's.
        let ours = self.cluster.machine_names.get(report.machine.as_str()) == Some(call.machine);
        if !ours {
            return;
        }
        let newer = self.apply_heartbeat(now, report).is_some();
        let Some(machine) = self.cluster.machines.get_mut(&call.machine) else { return };
        machine.unanswered_commands = 0;
        machine.last_probe_answer = Some(now);
        machine.answering_probes_since.get_or_insert(now);
        if machine.last_heartbeat.1 == 0 {
            machine.last_heartbeat.1 = report.incarnation;
        }
        machine.unresponsive_since = None;
        machine.suspect_since = None;
        // It was reached, so it hears.
        machine.missed_acks = 0;
        machine.expected_effects = Default::default();
        if !newer {
            return;
        }
        // What is there says something; what is absent does not, since answers to
        // reports may still be under way.
        for reported in &report.tasks {
            let id = self.attempt_id(reported);
            let known = self.attempts.get(id).is_some_and(|attempt| {
                attempt.machine == call.machine
                    && attempt.incarnation == report.incarnation
                    && attempt.task_index == reported.task.index
                    && self.job_names.name(attempt.job) == &reported.task.job
            });
            if known {
                self.apply_task_status(now, id, reported);
            }
        }
        self.commands.request_commands(call.machine);
    }

    /// Whether an unanswered `run` needs a new token: its job is cancelled, so that
    /// it must never start, or it has been open for long.
    pub(in crate::leader) fn has_unsettled_start(&mut self, now: f64) -> bool {
        let mut needed = false;
        self.commands.unsettled_starts.retain(|ix| {
            let Some(machine) = self.cluster.machines.get(ix).filter(|machine| !machine.deleted)
            else {
                return false;
            };
            let mut open = false;
            for (id, since) in &machine.unsettled_starts {
                let Some(since) = since else { continue };
                open = true;
                let job = self.attempts.get(*id).and_then(|attempt| self.jobs.get(&attempt.job));
                let wanted = job.is_some_and(|job| !job.is_cancelled());
                // A machine that is being deleted settles it by going.
                let settles = machine.deletion_requested && now - since < 2.0 * UNSETTLED_START_S;
                // A new token settles it by the machine's report under it: one that is
                // not heard would not bring that either.
                let heard = machine.silent_since > *since;
                needed |= heard
                    && !settles
                    && (!wanted && now - since > 1.0 || now - since > UNSETTLED_START_S);
            }
            open
        });
        needed
    }
}
