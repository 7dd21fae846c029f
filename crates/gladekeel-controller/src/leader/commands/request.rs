//! Selection of the direct commands that are due for a machine, and the requests that carry them.

use crate::leader::{Attempt, AttemptId, Leader, Machine, ReportedAttempt, StopReason};
use gladekeel_sched::MachineIdx;
use gladekeel_wire::{
    TaskId,
    worker::{Command, DirectCommands, TaskState},
};
use std::collections::BTreeSet;

/// A request to a worker. The worker responds with a heartbeat.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    /// The worker's address.
    pub addr: String,
    /// The commands; `None` for a probe, which only requests a heartbeat.
    pub body: Option<DirectCommands>,
    /// The fencing token under which the request was built. The outcome is ignored if the leader
    /// has a newer token when the outcome arrives.
    pub(super) token: u64,
    pub(super) machine: MachineIdx,
    /// The attempts that the request starts.
    pub(super) starts: Vec<ReportedAttempt>,
}

impl WorkerRequest {
    /// Whether the request is a probe, which carries no commands.
    pub(super) fn is_probe(&self) -> bool {
        self.body.is_none()
    }
}

/// Commands that are due for a machine.
#[derive(Default)]
struct DueCommands {
    commands: Vec<Command>,
    /// The attempts that the commands start.
    starts: Vec<(AttemptId, ReportedAttempt)>,
}

impl Leader {
    /// Returns the next request to a worker, if one is due: commands first, then probes. The caller
    /// sets `may_start` to false while no task may be started; the request then contains no starts.
    pub fn next_worker_request(&mut self, now: f64, may_start: bool) -> Option<WorkerRequest> {
        for gang in self.commands.take_gangs() {
            self.commands.request_commands_on(self.attempts.of_job(gang).machines());
        }
        while let Some(machine_idx) = self.commands.next_machine() {
            if let Some(request) = self.command_request(now, machine_idx, may_start) {
                return Some(request);
            }
        }
        while let Some(machine_idx) = self.commands.next_probe() {
            if let Some(request) = self.probe_request(machine_idx) {
                return Some(request);
            }
        }
        None
    }

    fn probe_request(&mut self, machine_idx: MachineIdx) -> Option<WorkerRequest> {
        let machine = self.cluster.machines.get_mut(&machine_idx)?;
        if machine.commands.is_in_flight() || machine.deletion.is_confirmed() {
            return None;
        }
        let addr = machine.addr.clone()?;
        machine.commands.begin_request(&[]);
        self.commands.record_probe_sent();
        Some(WorkerRequest {
            addr,
            body: None,
            token: self.token,
            machine: machine_idx,
            starts: Vec::new(),
        })
    }

    /// Builds the request with the commands that are due for a machine. Returns `None` if no
    /// command is due or no request can be sent to the machine now. A request to a machine that has
    /// not been seen for longer than the heartbeat timeout would hang, so such a machine is left to
    /// the failure detector.
    fn command_request(
        &mut self,
        now: f64,
        machine_idx: MachineIdx,
        may_start: bool,
    ) -> Option<WorkerRequest> {
        let timeout_s = self.deployment.workers.heartbeat_timeout_s();
        let machine = self.cluster.machines.get(&machine_idx)?;
        if machine.commands.is_in_flight()
            || machine.deletion.is_confirmed()
            || machine.liveness.since_last_seen_s(now) > timeout_s
        {
            return None;
        }
        let addr = machine.addr.clone()?;
        let incarnation = machine.newest_message.incarnation;
        let may_start =
            may_start && !self.token_renewal.is_required() && machine.may_receive_starts();
        let max_starts = if may_start { machine.commands.starts.room() } else { 0 };
        if machine.withholds_direct_starts() {
            self.commands.record_withheld_starts();
        }
        let attempts = machine.attempts().clone();
        let DueCommands { mut commands, starts } =
            self.due_commands(attempts, incarnation, max_starts);
        let machine = self.cluster.machines.get_mut(&machine_idx)?;
        if commands.is_empty() {
            if machine.acknowledgements.missed() > 0 && !machine.deletion.is_planned() {
                // The probe shows whether the machine receives any messages at all.
                self.commands.request_probe(machine_idx);
            }
            return None;
        }
        machine.commands.begin_request(&starts);
        self.cluster.counters.direct_starts += starts.len() as u64;
        commands.sort_by_key(|command| matches!(command, Command::Start { .. }));
        let token = self.token;
        let body = Some(DirectCommands { token, incarnation, commands });
        let starts = starts.into_iter().map(|(_, attempt)| attempt).collect();
        Some(WorkerRequest { addr, body, token, machine: machine_idx, starts })
    }

    /// Returns the commands that are due for the attempts on a machine: stops, and at most
    /// `max_starts` starts.
    fn due_commands(
        &mut self,
        attempts: BTreeSet<AttemptId>,
        incarnation: u64,
        max_starts: usize,
    ) -> DueCommands {
        let mut due = DueCommands::default();
        for id in attempts {
            if let Some(stop) = self.due_stop(id, incarnation) {
                due.commands.push(stop);
            } else if due.starts.len() < max_starts
                && let Some(start) = self.due_start(id, incarnation)
            {
                due.commands.push(start);
                due.starts.extend(self.as_reported(id).map(|attempt| (id, attempt)));
            }
        }
        due
    }

    /// Returns the stop for a committed attempt that has a stop reason, if the state of its task
    /// requires a stop and none was sent yet. Counts the stop as sent.
    fn due_stop(&mut self, id: AttemptId, incarnation: u64) -> Option<Command> {
        let attempt =
            self.attempts.get(id).filter(|attempt| attempt.is_committed_in(incarnation))?;
        let reason = attempt.stop_reason?;
        if attempt.stops_sent > 0 || !needs_stop(attempt.reported_state?, reason) {
            return None;
        }
        let task = self.task_id(attempt);
        let grace_s = self.jobs[&attempt.job].grace_period_s(reason);
        self.attempts.update(id, |attempt| attempt.stops_sent = 1);
        Some(Command::Stop { task, attempt: self.reported_attempt(id), grace_s })
    }

    /// Returns the start for a committed attempt, unless a direct start was sent before or an
    /// earlier leader assigned the attempt. A gang task is started only once all assignments of its
    /// gang are committed. Counts the start as sent.
    fn due_start(&mut self, id: AttemptId, incarnation: u64) -> Option<Command> {
        let attempt =
            self.attempts.get(id).filter(|attempt| attempt.is_committed_in(incarnation))?;
        if attempt.stop_reason.is_some()
            || attempt.reported_state.is_some()
            || attempt.no_direct_start
        {
            return None;
        }
        let job = &self.jobs[&attempt.job];
        let is_uncommitted = job.is_gang() && self.attempts.of_job(attempt.job).uncommitted() > 0;
        if job.is_finished() || is_uncommitted {
            return None;
        }
        let task = self.task_id(attempt);
        self.attempts.update(id, |attempt| attempt.no_direct_start = true);
        Some(Command::Start { task, attempt: self.reported_attempt(id) })
    }

    pub(in crate::leader) fn task_id(&self, attempt: &Attempt) -> TaskId {
        TaskId { job: self.job_names.name(attempt.job).clone(), index: attempt.task_index }
    }
}

impl Machine {
    /// Whether starts may be sent to the machine: it is not leaving the cluster, and its worker
    /// acts on the responses to its heartbeats.
    fn may_receive_starts(&self) -> bool {
        !self.is_leaving() && self.acknowledgements.missed() == 0
    }
}

/// Whether a stop for `reason` must be sent to a task in `state`.
fn needs_stop(state: TaskState, reason: StopReason) -> bool {
    match state {
        // The image fetch is left to complete, so that the next attempt of the gang finds the
        // image on the machine.
        TaskState::Fetching => reason != StopReason::GangIncomplete,
        TaskState::Waiting | TaskState::Running => true,
        // The task is already saving its progress. Only a cancellation stops the task before its
        // progress is saved.
        TaskState::Checkpointing => reason == StopReason::Cancelled,
        TaskState::Exited | TaskState::Other => false,
    }
}
