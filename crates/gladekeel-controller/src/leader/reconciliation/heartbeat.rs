//! Applies the heartbeats of workers to the leader's state, and builds the responses to them.
//!
//! Heartbeats may reach the leader by any path and in any order. The leader applies a heartbeat
//! only if it is newer than every message received from that worker so far. A task that is
//! missing from a heartbeat is proven to be off the machine only if the worker built the heartbeat
//! under this leader's fencing token.

use super::release::ReleaseProof;
use crate::leader::{
    AttemptId, AttemptOutcome, Leader, Machine, ReportedAttempt,
    machine::{ExpectedEffects, MessageOrder},
};
use gladekeel_sched::{MachineIdx, MachineTypeIdx};
use gladekeel_wire::worker::{Command, Heartbeat, HeartbeatResponse, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of commands in one response. The response must stay below 64 KiB.
const MAX_COMMANDS: usize = 400;

/// The fencing token under which the worker built a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatToken {
    /// The token of this leader. The worker has seen the token and refuses commands under older
    /// tokens. A worker has only one heartbeat in flight and applies responses in order, so the
    /// heartbeat also reflects every earlier response of this leader.
    Current,
    /// Another token. Commands or responses whose effects the heartbeat does not show may still be
    /// in transit to the worker.
    Other,
}

/// What a heartbeat shows about one attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskObservation<'a> {
    /// The reported status of the task; `None` if the task is not on the machine.
    pub reported: Option<&'a TaskStatus>,
    /// The fencing token under which the worker built the heartbeat.
    pub token: HeartbeatToken,
    /// Whether the leader may start tasks now.
    pub may_start: bool,
}

/// What a heartbeat reports about an attempt that is assigned to the sender's machine.
enum AttemptReport<'a> {
    /// The heartbeat gives no evidence about the attempt, since the two belong to different
    /// incarnations of the worker. Either the attempt's incarnation is the earlier one and the
    /// attempt is being released, or the heartbeat's is, because the heartbeat was delayed.
    NotCovered,
    /// The task is not on the machine.
    Absent,
    /// The task is on the machine and has this status.
    Present(&'a TaskStatus),
}

impl Machine {
    /// Applies a message that is newer than every message received from the worker so far.
    fn apply_message(&mut self, now: f64, message: &Heartbeat, machine_type: MachineTypeIdx) {
        let order = MessageOrder::from(message);
        if order.incarnation > self.newest_message.incarnation {
            self.commands.starts.clear();
            if self.liveness.was_seen() {
                self.acknowledgements.record_expired_lease();
            }
        }
        self.newest_message = order;
        self.liveness.record_message(now);
        self.listing.record_seen();
        self.machine_type = Some(machine_type);
        self.spot = message.spot;
        self.addr = Some(message.addr.clone());
    }

    /// Records when the cloud will reclaim the machine. Returns whether this is the first
    /// termination notice for the machine.
    fn record_termination_notice(&mut self, now: f64, notice_s: f64) -> bool {
        let is_first_notice = self.termination_at.is_none();
        if is_first_notice {
            tracing::info!(machine = self.name, notice_s, "spot termination notice received");
        }
        self.termination_at = Some(now + notice_s);
        is_first_notice
    }
}

impl Leader {
    /// Applies a heartbeat and returns the response to send to the worker. The caller sets
    /// `may_start` to false while the last contact with the store is too old to start tasks.
    pub fn on_heartbeat(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        may_start: bool,
    ) -> HeartbeatResponse {
        let mut response = HeartbeatResponse { token: self.token, commands: Vec::new() };
        let Some(machine_idx) = self.apply_heartbeat(now, heartbeat) else { return response };
        self.record_heartbeat(now, heartbeat);
        let token = self.heartbeat_token(heartbeat);
        let mut reported: BTreeMap<ReportedAttempt, &TaskStatus> =
            heartbeat.tasks.iter().map(|task| (task.into(), task)).collect();
        self.check_acknowledgement(machine_idx, token, &reported);
        let commands = &mut response.commands;
        for id in self.attempts_on(machine_idx) {
            let status = match self.take_report(id, heartbeat, &mut reported) {
                AttemptReport::NotCovered => continue,
                AttemptReport::Absent => None,
                AttemptReport::Present(status) => Some(status),
            };
            let observation = TaskObservation { reported: status, token, may_start };
            self.reconcile_attempt(now, id, observation, commands);
        }
        for status in reported.into_values() {
            let id = self.attempt_id(status);
            self.reconcile_unassigned_task(now, machine_idx, id, status, token, commands);
        }
        sort_and_limit_commands(commands);
        self.cluster.counters.count_heartbeat_commands(commands);
        if let Some(machine) = self.cluster.machines.get_mut(&machine_idx) {
            let knows_token = token == HeartbeatToken::Current;
            machine.acknowledgements.expect(ExpectedEffects::of_response(commands, knows_token));
        }
        // It may now be possible to send direct commands that were withheld. If no command is due,
        // a machine that missed acknowledgements is probed to see whether messages reach the
        // machine.
        self.commands.request_commands(machine_idx);
        response
    }

    /// The time since the last heartbeat of a machine, in seconds; infinite if none is known.
    pub fn heartbeat_age_s(&self, now: f64, machine: &str) -> f64 {
        let machine_idx = self.cluster.machine_names.get(machine);
        let machine = machine_idx.and_then(|idx| self.cluster.machines.get(&idx));
        let heard = machine.filter(|machine| machine.liveness.last_heartbeat_incarnation() > 0);
        heard.map_or(f64::INFINITY, |machine| machine.liveness.heartbeat_age_s(now))
    }

    /// Records that a heartbeat has reached this controller. While the leader may not renew
    /// leases, nothing else about the heartbeat is recorded.
    pub fn record_heartbeat(&mut self, now: f64, heartbeat: &Heartbeat) {
        let machine_idx = self.cluster.machine_names.get(heartbeat.machine.as_str());
        if let Some(machine) = machine_idx.and_then(|idx| self.cluster.machines.get_mut(&idx)) {
            machine.liveness.record_heartbeat(now, heartbeat.incarnation);
        }
    }

    /// Applies what a heartbeat reports about its machine; the response to a direct command
    /// contains a heartbeat too. Returns the machine, or `None` if the heartbeat is not newer than
    /// every message received from the worker so far, or if the machine's deletion is confirmed.
    pub(in crate::leader) fn apply_heartbeat(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
    ) -> Option<MachineIdx> {
        if self.cluster.cloud.is_deletion_confirmed(&heartbeat.machine) {
            return None;
        }
        let machine_idx = self.cluster.machine_names.intern(&heartbeat.machine);
        let machine_type = self.catalog.intern_machine_type(&heartbeat.machine_type);
        let zone = self.catalog.zones.intern(&heartbeat.zone);
        let machine = self.cluster.machines.entry(machine_idx).or_insert_with(|| {
            tracing::info!(machine = heartbeat.machine, "unknown machine adopted from heartbeat");
            Machine::new(&heartbeat.machine, now)
        });
        if MessageOrder::from(heartbeat) <= machine.newest_message {
            return None;
        }
        if !machine.liveness.was_seen() {
            self.timers.request_cycle();
        }
        machine.apply_message(now, heartbeat, machine_type);
        machine.existence_confirmed |= heartbeat.token == self.token;
        self.failure_detector.record_message(zone, now);
        if let Some(notice_s) = heartbeat.termination_notice_s {
            if machine.record_termination_notice(now, notice_s) {
                self.timers.request_cycle();
            }
            self.cluster.leaving.insert(machine_idx);
        }
        self.release_earlier_incarnations(now, machine_idx, heartbeat.incarnation);
        self.set_zone(machine_idx, zone);
        Some(machine_idx)
    }

    /// Releases the attempts of earlier incarnations. They are off the machine, since a worker
    /// kills and forgets all tasks before it starts a new incarnation.
    fn release_earlier_incarnations(
        &mut self,
        now: f64,
        machine_idx: MachineIdx,
        incarnation: u64,
    ) {
        for id in self.attempts_on(machine_idx) {
            if self.attempts.get(id).is_some_and(|attempt| attempt.incarnation < incarnation) {
                self.release(now, id, AttemptOutcome::Requeued, ReleaseProof::NewIncarnation);
            }
        }
    }

    /// Returns a copy of the set of attempts on a machine, so that the caller can change the
    /// attempts while it iterates.
    fn attempts_on(&self, machine_idx: MachineIdx) -> BTreeSet<AttemptId> {
        let machine = self.cluster.machines.get(&machine_idx);
        machine.map(|machine| machine.attempts().clone()).unwrap_or_default()
    }

    fn heartbeat_token(&self, heartbeat: &Heartbeat) -> HeartbeatToken {
        if heartbeat.token == self.token { HeartbeatToken::Current } else { HeartbeatToken::Other }
    }

    /// Checks whether a heartbeat shows the effects of the response to the previous heartbeat.
    fn check_acknowledgement(
        &mut self,
        machine_idx: MachineIdx,
        token: HeartbeatToken,
        reported: &BTreeMap<ReportedAttempt, &TaskStatus>,
    ) {
        let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { return };
        let reported_attempts = reported.values().map(|task| task.attempt).collect();
        let knows_token = token == HeartbeatToken::Current;
        machine.acknowledgements.check_heartbeat(&reported_attempts, knows_token);
    }

    /// Returns what a heartbeat reports about an attempt on its machine, and removes the status of
    /// the attempt from `reported`.
    fn take_report<'a>(
        &self,
        id: AttemptId,
        heartbeat: &Heartbeat,
        reported: &mut BTreeMap<ReportedAttempt, &'a TaskStatus>,
    ) -> AttemptReport<'a> {
        let (Some(attempt), Some(key)) = (self.attempts.get(id), self.as_reported(id)) else {
            return AttemptReport::NotCovered;
        };
        if attempt.incarnation != heartbeat.incarnation {
            reported.remove(&key);
            return AttemptReport::NotCovered;
        }
        let is_same_job =
            |status: &&TaskStatus| self.job_names.name(attempt.job) == &status.task.job;
        let Some(status) = reported.get(&key).copied().filter(is_same_job) else {
            return AttemptReport::Absent;
        };
        reported.remove(&key);
        AttemptReport::Present(status)
    }
}

/// Sorts the commands of a response into immediate stops, graceful stops, forgets and starts, and
/// drops those beyond [`MAX_COMMANDS`]. Dropped commands are retried with the next response.
fn sort_and_limit_commands(commands: &mut Vec<Command>) {
    commands.sort_by_key(|command| match command {
        Command::Stop { grace_s, .. } => u8::from(*grace_s > 0.0),
        Command::Forget { .. } => 2,
        Command::Start { .. } => 3,
    });
    commands.truncate(MAX_COMMANDS);
}
