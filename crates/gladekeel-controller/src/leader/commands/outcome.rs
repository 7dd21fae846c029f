//! What the outcome of a request tells of a worker.

use super::WorkerRequest;
use crate::leader::{
    AttemptId, Leader,
    machine::{DeletionReason, Responsiveness},
};
use gladekeel_sched::MachineIdx;
use gladekeel_wire::worker::{Heartbeat, TaskStatus};

/// For so long after this node has lagged, missing responses do not count against machines.
const LAG_GRACE_S: f64 = 3.0;

/// What came of a request to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerOutcome {
    /// Executed; the heartbeat was made afterwards.
    Done(Heartbeat),
    /// Refused by the worker: another incarnation, or a higher fencing token.
    NotExecuted,
    /// The worker was not reached: it has not received the request and never will.
    NotSent,
    /// No response: it may have been executed, or still be.
    Unknown,
}

impl Leader {
    /// Applies the outcome of a request that [`Leader::next_worker_request`] has returned.
    pub fn worker_answered(&mut self, now: f64, request: &WorkerRequest, outcome: &WorkerOutcome) {
        if request.token != self.token {
            return;
        }
        if request.is_probe() {
            self.commands.record_probe_outcome();
        }
        let Some(machine) = self.cluster.machines.get_mut(&request.machine) else { return };
        machine.commands.end_request();
        self.settle_starts(now, request, outcome);
        match outcome {
            WorkerOutcome::Done(heartbeat) => self.on_response(now, request.machine, heartbeat),
            WorkerOutcome::NotExecuted => self.on_refusal_to_execute(request.machine),
            WorkerOutcome::NotSent | WorkerOutcome::Unknown => {
                self.resend_stops(request.machine);
                self.on_no_response(now, request.machine);
            }
        }
    }

    /// A refusal is a response: the worker receives what is sent to it.
    fn on_refusal_to_execute(&mut self, machine_idx: MachineIdx) {
        let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { return };
        machine.liveness.record_refusal();
    }

    /// Marks the stops of a machine as not sent. Those in the request may be lost, and the
    /// heartbeat that would have them repeated may never come.
    fn resend_stops(&mut self, machine_idx: MachineIdx) {
        let Some(machine) = self.cluster.machines.get(&machine_idx) else { return };
        for id in machine.attempts() {
            if self.attempts.get(*id).is_some_and(|attempt| attempt.stop_reason.is_some()) {
                self.attempts.update(*id, |attempt| attempt.stops_sent = 0);
                self.commands.record_undelivered_stop(machine_idx);
            }
        }
    }

    /// Counts a request that had no response against its machine, unless this node was late itself.
    fn on_no_response(&mut self, now: f64, machine_idx: MachineIdx) {
        if self.timers.lagged_within(LAG_GRACE_S, now) {
            return;
        }
        let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { return };
        match machine.liveness.record_unanswered_command(now) {
            Responsiveness::Unconfirmed => self.commands.request_probe(machine_idx),
            Responsiveness::Unresponsive if machine.acknowledgements.suggest_partition() => {
                let reason = DeletionReason::InboundPartition;
                self.cluster.mark_for_deletion(now, machine_idx, reason);
            }
            Responsiveness::Unresponsive => {}
        }
    }

    /// Applies the heartbeat with which a worker has responded.
    fn on_response(&mut self, now: f64, machine_idx: MachineIdx, heartbeat: &Heartbeat) {
        // An address may by now be another machine's.
        let sender = self.cluster.machine_names.get(heartbeat.machine.as_str());
        if sender != Some(machine_idx) {
            return;
        }
        let is_newest = self.apply_heartbeat(now, heartbeat).is_some();
        self.record_response(now, machine_idx, heartbeat);
        if is_newest {
            self.apply_listed_tasks(now, machine_idx, heartbeat);
            self.commands.request_commands(machine_idx);
        }
    }

    /// Records that a machine was reached and receives what is sent to it.
    fn record_response(&mut self, now: f64, machine_idx: MachineIdx, heartbeat: &Heartbeat) {
        let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { return };
        machine.liveness.record_probe_answer(now, heartbeat.incarnation);
        machine.acknowledgements.confirm();
    }

    /// Applies the states of the tasks that a response lists. Those that it lacks prove nothing,
    /// since responses to heartbeats may still be under way and start them.
    fn apply_listed_tasks(&mut self, now: f64, machine_idx: MachineIdx, heartbeat: &Heartbeat) {
        for status in &heartbeat.tasks {
            let id = self.attempt_id(status);
            if self.is_assigned_to(id, machine_idx, heartbeat.incarnation, status) {
                self.apply_task_status(now, id, status);
            }
        }
    }

    /// Whether a listed task is the one that the leader has assigned under this id.
    fn is_assigned_to(
        &self,
        id: AttemptId,
        machine_idx: MachineIdx,
        incarnation: u64,
        status: &TaskStatus,
    ) -> bool {
        self.attempts.get(id).is_some_and(|attempt| {
            attempt.machine == machine_idx
                && attempt.incarnation == incarnation
                && attempt.task_index == status.task.index
                && self.job_names.name(attempt.job) == &status.task.job
        })
    }
}
