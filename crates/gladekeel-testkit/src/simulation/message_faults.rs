//! Faults of single messages: an answer that is lost although its request was carried
//! out, a direct command that arrives late, a report that arrives once more when the next
//! leader begins.

use super::{ANSWER_S, Endpoint, Simulation};
use gladekeel_controller::leader::{WorkerOutcome, WorkerRequest};
use gladekeel_wire::worker::Heartbeat;
use rand::Rng;
use std::ops::Range;

/// How late a delayed direct command is carried out.
const COMMAND_DELAY_S: Range<f64> = 2.0..16.0;
/// How long after a leader's first decision the kept reports reach the nodes.
const RETAINED_HEARTBEAT_DELAY_S: Range<f64> = 0.0..1.0;

/// A copy of a report that waits for the next leader.
#[derive(Debug)]
struct RetainedHeartbeat {
    from: Endpoint,
    body: Vec<u8>,
}

/// Shares of messages that meet a fault, and the reports that wait for theirs.
#[derive(Debug, Default)]
pub struct MessageFaults {
    /// Part of the transactions that are made at once and whose answer is lost.
    pub lost_response_share: f64,
    /// Part of the direct commands that get no answer and are carried out once, later, if
    /// token and session still match then.
    pub delayed_command_share: f64,
    /// Part of the reports of which a copy reaches every node when the next leader begins.
    pub retained_heartbeat_share: f64,
    /// Transactions made whose answer was lost.
    pub responses_lost: u64,
    /// Direct commands that were carried out late.
    pub commands_delayed: u64,
    /// Those that came under an old token or to a later session.
    pub commands_refused: u64,
    /// Copies of reports that reached a node when a leader began.
    pub heartbeats_released: u64,
    retained_heartbeats: Vec<RetainedHeartbeat>,
}

impl Simulation {
    /// Draws whether what happens to this share of all cases happens now.
    pub(super) fn occurs(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    /// Carries out a direct command much later, without an answer. A machine that hangs
    /// then executes it when it goes on.
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
                let executed = matches!(sim.direct(&request.addr, &body), WorkerOutcome::Done(_));
                sim.message_faults.commands_delayed += u64::from(executed);
                sim.message_faults.commands_refused += u64::from(!executed);
            }
        });
    }

    /// Keeps a copy of a report for the next leader, if it is one of that share.
    pub(super) fn maybe_retain_heartbeat(&mut self, from: Endpoint, report: &Heartbeat) {
        if self.occurs(self.message_faults.retained_heartbeat_share) {
            let body = serde_json::to_vec(report).unwrap_or_default();
            self.message_faults.retained_heartbeats.push(RetainedHeartbeat { from, body });
        }
    }

    /// A new leader begins: the kept reports arrive at every node, as old as they are.
    pub(super) fn release_retained_heartbeats(&mut self) {
        for RetainedHeartbeat { from, body } in
            std::mem::take(&mut self.message_faults.retained_heartbeats)
        {
            for node in 0..self.nodes.len() {
                self.message_faults.heartbeats_released += 1;
                let (from, body) = (from.clone(), body.clone());
                let delay_s = self.rng.random_range(RETAINED_HEARTBEAT_DELAY_S);
                self.after(delay_s, move |sim| {
                    let request = ("POST", "/checkin".to_owned(), body);
                    sim.request(from, node, request, ANSWER_S, |_, _| {});
                });
            }
        }
    }
}
