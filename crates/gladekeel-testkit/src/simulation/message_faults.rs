//! Faults that affect single messages: a response is lost although its request was executed, a
//! direct command, which is sent outside heartbeat responses, is delayed, and a heartbeat is
//! replayed when the next leader takes over.

use super::{Endpoint, RESPONSE_TIMEOUT_S, Simulation, requests::HttpRequest};
use gladekeel_controller::leader::{WorkerOutcome, WorkerRequest};
use gladekeel_wire::worker::Heartbeat;
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

/// Shares of the messages that faults affect, and the number of messages affected so far.
#[derive(Debug, Default)]
pub struct MessageFaults {
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
            let (Some(worker), Some(body)) = (sim.workers.get_mut(&request.addr), request.body)
            else {
                return;
            };
            if worker.hung {
                worker.queued_commands.push(body);
            } else if !worker.inbound_partitioned {
                let executed = matches!(
                    sim.execute_direct_commands(&request.addr, &body),
                    WorkerOutcome::Done(_)
                );
                sim.message_faults.commands_delayed += u64::from(executed);
                sim.message_faults.commands_refused += u64::from(!executed);
            }
        });
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
