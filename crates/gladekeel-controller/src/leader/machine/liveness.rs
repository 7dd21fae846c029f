//! When a machine's worker was last seen, and whether it responds to direct commands.
//!
//! Heartbeats and responses to direct commands are recorded apart: only a heartbeat that reaches
//! a controller renews the worker's lease, so a worker that responds to commands but whose heartbeats
//! get lost will still lose its tasks.

/// Direct commands in a row without a response, after which a machine is unresponsive.
const MAX_UNANSWERED_COMMANDS: u32 = 2;

/// The newest heartbeat that reached a controller.
#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    at: f64,
    incarnation: u64,
}

/// Whether a machine counts as unresponsive after a command without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responsiveness {
    /// Not yet: it is to be probed again.
    Unconfirmed,
    /// Several commands in a row had no response.
    Unresponsive,
}

/// What is known of a worker's liveness. All times are on the leader's clock.
#[derive(Debug)]
pub struct Liveness {
    /// When the machine became known to this process.
    known_since: f64,
    /// When the worker was last seen: by a heartbeat, or a response to a direct command.
    last_seen: Option<f64>,
    last_heartbeat: LastHeartbeat,
    /// When the worker last responded to a direct command.
    last_probe_answer: Option<f64>,
    /// Since when it has responded to direct commands without sending heartbeats.
    answering_probes_since: Option<f64>,
    /// Direct commands in a row without a response.
    unanswered_commands: u32,
    /// Since when it has been unresponsive.
    unresponsive_since: Option<f64>,
    /// Since when other machines are known to have responded while it was unresponsive.
    suspect_since: Option<f64>,
}

impl Liveness {
    /// A machine that becomes known now and was not seen yet.
    pub fn new(now: f64) -> Liveness {
        Liveness {
            known_since: now,
            last_seen: None,
            last_heartbeat: LastHeartbeat { at: now, incarnation: 0 },
            last_probe_answer: None,
            answering_probes_since: None,
            unanswered_commands: 0,
            unresponsive_since: None,
            suspect_since: None,
        }
    }

    /// Records a new message of the worker, whether it is a heartbeat or the response to a
    /// direct command.
    pub fn record_message(&mut self, now: f64) {
        self.last_seen = Some(now);
        self.unresponsive_since = None;
        self.suspect_since = None;
    }

    /// Records that a heartbeat has reached a controller.
    pub fn record_heartbeat(&mut self, now: f64, incarnation: u64) {
        let incarnation = incarnation.max(self.last_heartbeat.incarnation);
        self.last_heartbeat = LastHeartbeat { at: now, incarnation };
        self.answering_probes_since = None;
    }

    /// Records the response to a direct command that was executed.
    pub fn record_probe_answer(&mut self, now: f64, incarnation: u64) {
        self.unanswered_commands = 0;
        self.last_probe_answer = Some(now);
        self.answering_probes_since.get_or_insert(now);
        if self.last_heartbeat.incarnation == 0 {
            self.last_heartbeat.incarnation = incarnation;
        }
        self.unresponsive_since = None;
        self.suspect_since = None;
    }

    /// Records that the worker has refused a direct command, which shows that it responds.
    pub fn record_refusal(&mut self) {
        self.unanswered_commands = 0;
    }

    /// Records that a direct command had no response.
    pub fn record_unanswered_command(&mut self, now: f64) -> Responsiveness {
        self.unanswered_commands += 1;
        if self.unanswered_commands < MAX_UNANSWERED_COMMANDS {
            return Responsiveness::Unconfirmed;
        }
        self.unresponsive_since.get_or_insert(now);
        Responsiveness::Unresponsive
    }

    /// Records that other machines have responded while this one was unresponsive.
    pub fn record_suspicion(&mut self, now: f64) {
        self.suspect_since.get_or_insert(now);
    }

    /// Whether the worker was ever seen by this process.
    pub fn was_seen(&self) -> bool {
        self.last_seen.is_some()
    }

    /// When the worker was last seen.
    pub fn last_seen(&self) -> Option<f64> {
        self.last_seen
    }

    /// From when its silence counts: it was last seen then, or became known.
    pub fn silent_since(&self) -> f64 {
        self.last_seen.unwrap_or(self.known_since)
    }

    /// For how long the worker has not been seen, in seconds.
    pub fn silent_s(&self, now: f64) -> f64 {
        now - self.silent_since()
    }

    /// For how long either no heartbeat or no message at all has arrived, in seconds.
    pub fn heartbeat_age_s(&self, now: f64) -> f64 {
        now - self.silent_since().min(self.last_heartbeat.at)
    }

    /// The newest incarnation of which a heartbeat has reached a controller.
    pub fn last_heartbeat_incarnation(&self) -> u64 {
        self.last_heartbeat.incarnation
    }

    /// For how long it has responded to direct commands without sending heartbeats.
    pub fn answering_probes_s(&self, now: f64) -> f64 {
        self.answering_probes_since.map_or(0.0, |since| now - since)
    }

    /// When the worker last responded to a direct command.
    pub fn last_probe_answer(&self) -> Option<f64> {
        self.last_probe_answer
    }

    /// Since when it has been unresponsive.
    pub fn unresponsive_since(&self) -> Option<f64> {
        self.unresponsive_since
    }

    /// Whether it has been suspect for so many seconds.
    pub fn is_suspect_for(&self, suspect_s: f64, now: f64) -> bool {
        self.suspect_since.is_some_and(|since| now - since >= suspect_s)
    }
}
