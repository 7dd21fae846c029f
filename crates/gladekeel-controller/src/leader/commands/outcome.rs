//! Applies the outcomes of requests to workers to the leader's state.

use super::WorkerRequest;
use crate::leader::{
    AttemptId, Leader,
    machine::{DeletionReason, Responsiveness},
};
use gladekeel_sched::MachineIdx;
use gladekeel_wire::worker::{Heartbeat, TaskStatus};

/// For this many seconds after a late tick of this node, a missing response does not count against
/// a machine.
const LAG_GRACE_S: f64 = 3.0;

/// The outcome of a request to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerOutcome {
    /// The worker executed the request, and built this heartbeat afterwards.
    Done(Heartbeat),
    /// The worker refused the request, because the request is for another incarnation of the worker
    /// or because the worker has seen a higher fencing token.
    NotExecuted,
    /// The worker was not reached: it has not received the request, and never will.
    NotSent,
    /// There was no response. The worker may have executed the request, or may still execute it.
    Unknown,
}

impl Leader {
    /// Applies the outcome of a request that [`Leader::next_worker_request`] returned. Ignores the
    /// outcome if the request was built under another fencing token.
    pub fn on_worker_outcome(
        &mut self,
        now: f64,
        request: &WorkerRequest,
        outcome: &WorkerOutcome,
    ) {
        if request.token != self.token {
            return;
        }
        if request.is_probe() {
            self.commands.record_probe_outcome();
        }
        let Some(machine) = self.cluster.machines.get_mut(&request.machine) else { return };
        machine.commands.record_request_outcome();
        self.record_start_outcomes(now, request, outcome);
        match outcome {
            WorkerOutcome::Done(heartbeat) => self.on_response(now, request.machine, heartbeat),
            WorkerOutcome::NotExecuted => self.on_refusal(request.machine),
            WorkerOutcome::NotSent | WorkerOutcome::Unknown => {
                self.mark_stops_unsent(request.machine);
                self.on_no_response(now, request.machine);
            }
        }
    }

    /// Records that a worker refused a request. The refusal is a response, which shows that the
    /// worker receives messages.
    fn on_refusal(&mut self, machine_idx: MachineIdx) {
        let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { return };
        machine.liveness.record_refusal();
    }

    /// Marks the stops for a machine as not sent, so that they are retried. The stops in the
    /// request may be lost, and the heartbeat whose response would retry them may never arrive.
    fn mark_stops_unsent(&mut self, machine_idx: MachineIdx) {
        let Some(machine) = self.cluster.machines.get(&machine_idx) else { return };
        for id in machine.attempts() {
            if self.attempts.get(*id).is_some_and(|attempt| attempt.stop_reason.is_some()) {
                self.attempts.update(*id, |attempt| attempt.stops_sent = 0);
                self.commands.record_undelivered_stop(machine_idx);
            }
        }
    }

    /// Counts a missing response against the machine, unless a recent tick of this node was late,
    /// so that the node itself may have caused the timeout.
    fn on_no_response(&mut self, now: f64, machine_idx: MachineIdx) {
        if self.timers.had_late_tick_within(LAG_GRACE_S, now) {
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

    /// Applies the heartbeat with which a worker responded to a request.
    fn on_response(&mut self, now: f64, machine_idx: MachineIdx, heartbeat: &Heartbeat) {
        // The address may belong to another machine by now.
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

    /// Records that a machine was reached and receives messages.
    fn record_response(&mut self, now: f64, machine_idx: MachineIdx, heartbeat: &Heartbeat) {
        let Some(machine) = self.cluster.machines.get_mut(&machine_idx) else { return };
        machine.liveness.record_direct_response(now, heartbeat.incarnation);
        machine.acknowledgements.confirm();
    }

    /// Applies the statuses of the tasks that a response lists. A task that is missing from the
    /// response is not proven to be absent: the leader's response to a heartbeat may still be in
    /// transit to the worker and start the task.
    fn apply_listed_tasks(&mut self, now: f64, machine_idx: MachineIdx, heartbeat: &Heartbeat) {
        for status in &heartbeat.tasks {
            let id = self.attempt_id(status);
            if self.is_assigned_to(id, machine_idx, heartbeat.incarnation, status) {
                self.apply_task_status(now, id, status);
            }
        }
    }

    /// Whether a reported task is the task of attempt `id`, and the leader assigned this attempt to
    /// this machine and incarnation of its worker.
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
