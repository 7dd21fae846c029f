//! Faults that affect single messages: a response is lost although its request was executed, a
//! direct command, which is sent outside heartbeat responses, is delayed or arrives a second time,
//! and a heartbeat is replayed when the next leader takes over.

use super::{Endpoint, RESPONSE_TIMEOUT_S, Simulation, requests::HttpRequest};
use gladekeel_controller::leader::{WorkerOutcome, WorkerRequest};
use gladekeel_wire::worker::{DirectCommands, Heartbeat};
use rand::Rng;
use std::ops::Range;

/// Time between the sending of a delayed direct command and its execution.
const COMMAND_DELAY_S: Range<f64> = 2.0..16.0;
/// Time between a takeover and the replay of the retained heartbeats.
const RETAINED_HEARTBEAT_DELAY_S: Range<f64> = 0.0..1.0;

/// A copy of a heartbeat that is sent when the next leader takes over.
#[derive(Debug)]
struct RetainedHeartbeat {
    from: Endpoint,
    request: HttpRequest,
}

/// Which direct commands arrive a second time, and when.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandCopies {
    /// Share of the executed and answered direct commands of which a copy arrives.
    pub share: f64,
    /// Time between the execution of the commands and the arrival of their copy, in seconds.
    pub delay_s: Range<f64>,
}

/// Shares of the messages that faults affect, and the number of messages affected so far.
#[derive(Debug, Default)]
pub struct MessageFaults {
    /// Which direct commands arrive a second time; `None` if none do. Nobody waits for the response
    /// to a copy.
    pub command_copies: Option<CommandCopies>,
    /// Number of copies of direct commands that a worker accepted, whether or not they had an
    /// effect.
    pub command_copies_executed: u64,
    /// Number of copies of direct commands that a worker refused because their fencing token was
    /// stale or because they named an earlier incarnation of the worker.
    pub command_copies_refused: u64,
    /// Share of the transactions that are committed at once and whose response is lost.
    pub dropped_commit_response_share: f64,
    /// Share of the direct commands that get no response and are executed once, later, if the
    /// worker then still accepts the commands' token and incarnation.
    pub delayed_command_share: f64,
    /// Share of the heartbeats of which a copy is sent to every node when the next leader takes
    /// over.
    pub replayed_heartbeat_share: f64,
    /// Number of committed transactions whose response was lost.
    pub commit_responses_dropped: u64,
    /// Number of delayed direct commands that were executed.
    pub commands_delayed: u64,
    /// Number of delayed direct commands that a worker refused because their fencing token was
    /// stale or because they named an earlier incarnation of the worker.
    pub commands_refused: u64,
    /// Number of copies of heartbeats that were sent when a leader took over.
    pub heartbeats_replayed: u64,
    retained_heartbeats: Vec<RetainedHeartbeat>,
}

impl Simulation {
    /// Returns true with probability `share`. Draws no random number if `share` is 0.
    pub(super) fn occurs(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    /// Executes direct commands later, without a response. If the machine hangs at that time, it
    /// executes the commands when it resumes; if it has an inbound partition, the commands are
    /// lost.
    pub(super) fn delay_command(&mut self, request: WorkerRequest) {
        let delay_s = self.rng.random_range(COMMAND_DELAY_S);
        self.after(delay_s, move |sim| {
            let Some(commands) = request.body else { return };
            if let Some(executed) = sim.receive_late_commands(&request.addr, commands) {
                sim.message_faults.commands_delayed += u64::from(executed);
                sim.message_faults.commands_refused += u64::from(!executed);
            }
        });
    }

    /// Sends a copy of executed direct commands later, with the probability that
    /// [`MessageFaults::command_copies`] specifies.
    pub(super) fn maybe_copy_commands(&mut self, addr: String, commands: DirectCommands) {
        let Some(CommandCopies { share, delay_s }) = self.message_faults.command_copies.clone()
        else {
            return;
        };
        if !self.occurs(share) {
            return;
        }
        let delay_s = self.rng.random_range(delay_s);
        self.after(delay_s, move |sim| {
            if let Some(executed) = sim.receive_late_commands(&addr, commands) {
                sim.message_faults.command_copies_executed += u64::from(executed);
                sim.message_faults.command_copies_refused += u64::from(!executed);
            }
        });
    }

    /// Passes direct commands to a worker to which nobody listens for a response. Returns whether
    /// the worker executed the commands; `None` if the commands are lost or the machine hangs, in
    /// which case it executes them when it resumes.
    fn receive_late_commands(&mut self, addr: &str, commands: DirectCommands) -> Option<bool> {
        let worker = self.workers.get_mut(addr)?;
        if worker.hung {
            worker.queued_commands.push(commands);
            return None;
        }
        if worker.inbound_partitioned {
            return None;
        }
        let outcome = self.execute_direct_commands(addr, &commands);
        Some(matches!(outcome, WorkerOutcome::Done(_)))
    }

    /// Retains a copy of a heartbeat, with probability `replayed_heartbeat_share`, to be replayed
    /// when the next leader takes over.
    pub(super) fn maybe_retain_heartbeat(&mut self, from: Endpoint, heartbeat: &Heartbeat) {
        if self.occurs(self.message_faults.replayed_heartbeat_share) {
            let request = HttpRequest::heartbeat(heartbeat);
            self.message_faults.retained_heartbeats.push(RetainedHeartbeat { from, request });
        }
    }

    /// Sends the retained heartbeats, unchanged, to every node. Called when a new leader takes
    /// over.
    pub(super) fn replay_retained_heartbeats(&mut self) {
        for RetainedHeartbeat { from, request } in
            std::mem::take(&mut self.message_faults.retained_heartbeats)
        {
            for node in 0..self.nodes.len() {
                self.message_faults.heartbeats_replayed += 1;
                let (from, request) = (from.clone(), request.clone());
                let delay_s = self.rng.random_range(RETAINED_HEARTBEAT_DELAY_S);
                self.after(delay_s, move |sim| {
                    sim.request(from, node, request, RESPONSE_TIMEOUT_S, |_, _| {});
                });
            }
        }
    }
}
