//! Tracks whether a worker acts on the responses to its heartbeats.
//!
//! A worker applies a response before it sends its next heartbeat, so that the next heartbeat
//! shows whether the response arrived. During an inbound partition, heartbeats of the machine keep
//! arriving, but nothing that is sent to the machine takes effect. Such a machine must get no new
//! tasks, and its heartbeats must not make it count as alive.

use gladekeel_wire::worker::Command;
use std::collections::BTreeSet;

/// The number of consecutive responses without effect that suggests an inbound partition. The
/// machine is then deleted unless its worker responds to direct commands.
const MAX_MISSED_ACKS: u32 = 2;

/// The effects that the next heartbeat of a worker shows if the response to its previous heartbeat
/// arrived.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ExpectedEffects {
    /// Whether the response carried a fencing token that the worker had not yet seen.
    token_seen: bool,
    /// The attempt numbers in the start commands of the response.
    starts: Vec<u64>,
    /// The attempt numbers in the forget commands of the response.
    forgets: Vec<u64>,
}

impl ExpectedEffects {
    /// Returns the expected effects of a response with `commands`. `knows_token` says whether the
    /// worker had already seen this leader's token when it built the heartbeat.
    pub fn of_response(commands: &[Command], knows_token: bool) -> ExpectedEffects {
        let mut effects = ExpectedEffects { token_seen: !knows_token, ..Default::default() };
        for command in commands {
            match command {
                Command::Start { attempt, .. } => effects.starts.push(*attempt),
                Command::Forget { attempt, .. } => effects.forgets.push(*attempt),
                Command::Stop { .. } => {}
            }
        }
        effects
    }

    fn is_empty(&self) -> bool {
        !self.token_seen && self.starts.is_empty() && self.forgets.is_empty()
    }

    /// Whether a heartbeat that reports the attempts `reported_attempts` shows any of the effects.
    fn any_shown(&self, reported_attempts: &BTreeSet<u64>, knows_token: bool) -> bool {
        self.starts.iter().any(|attempt| reported_attempts.contains(attempt))
            || self.forgets.iter().any(|attempt| !reported_attempts.contains(attempt))
            || (self.token_seen && knows_token)
    }
}

/// Compares the responses to a worker's heartbeats with the heartbeats that follow them.
#[derive(Debug, Default)]
pub struct Acknowledgements {
    expected: ExpectedEffects,
    missed: u32,
}

impl Acknowledgements {
    /// Sets the effects that the next heartbeat is expected to show.
    pub fn expect(&mut self, effects: ExpectedEffects) {
        self.expected = effects;
    }

    /// Compares a heartbeat with the effects that it was expected to show.
    pub fn check_heartbeat(&mut self, reported_attempts: &BTreeSet<u64>, knows_token: bool) {
        let expected = std::mem::take(&mut self.expected);
        if expected.any_shown(reported_attempts, knows_token) {
            self.missed = 0;
        } else if !expected.is_empty() {
            self.missed += 1;
        }
    }

    /// Records a response to a direct command, which proves that messages reach the worker.
    pub fn confirm(&mut self) {
        self.missed = 0;
        self.expected = ExpectedEffects::default();
    }

    /// Records that the worker's lease has expired although its heartbeats arrived. The expiry
    /// counts as [`MAX_MISSED_ACKS`] responses without effect.
    pub fn record_expired_lease(&mut self) {
        self.missed = self.missed.max(MAX_MISSED_ACKS);
    }

    /// The number of consecutive responses to heartbeats that had no effect on the worker.
    pub fn missed(&self) -> u32 {
        self.missed
    }

    /// Whether several consecutive responses had no effect, which a single lost response does not
    /// explain.
    pub fn suggest_partition(&self) -> bool {
        self.missed >= MAX_MISSED_ACKS
    }
}
