//! Tracks when a machine's worker was last seen, and whether it responds to direct commands.
//!
//! Heartbeats and responses to direct commands are recorded separately: only a heartbeat that
//! reaches a controller renews the worker's lease. A worker that responds to commands but whose
//! heartbeats are lost therefore still loses its tasks. A probe counts as a direct command here.

/// The number of consecutive direct commands without a response after which a machine is
/// unresponsive.
const MAX_UNANSWERED_COMMANDS: u32 = 2;

/// When a heartbeat last reached a controller, and the newest incarnation that sent one. Before the
/// first heartbeat, `at` is the time at which the machine became known.
#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    at: f64,
    incarnation: u64,
}

/// Whether a machine counts as unresponsive after a direct command without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responsiveness {
    /// The machine does not yet count as unresponsive; it is to be probed again.
    Unconfirmed,
    /// Several consecutive commands received no response.
    Unresponsive,
}

/// The liveness of a worker as the leader knows it. All times are in seconds on the node's clock.
#[derive(Debug)]
pub struct Liveness {
    /// When the machine became known to this process.
    known_since: f64,
    /// When the worker was last seen, by a heartbeat or a response to a direct command; `None` if
    /// it was never seen.
    last_seen: Option<f64>,
    last_heartbeat: LastHeartbeat,
    /// When the worker last responded to a direct command; `None` if it never has.
    last_direct_response: Option<f64>,
    /// Since when the worker has responded to direct commands while no heartbeat has arrived;
    /// `None` if it has not responded since its last heartbeat.
    responsive_without_heartbeats_since: Option<f64>,
    /// The number of consecutive direct commands without a response.
    unanswered_commands: u32,
    /// Since when the worker has counted as unresponsive; `None` while it counts as responsive.
    unresponsive_since: Option<f64>,
    /// Since when the machine has been suspect, because other machines responded while this one was
    /// unresponsive; `None` if it is not suspect.
    suspect_since: Option<f64>,
}

impl Liveness {
    /// Creates the state of a machine that becomes known now and has not been seen yet.
    pub fn new(now: f64) -> Liveness {
        Liveness {
            known_since: now,
            last_seen: None,
            last_heartbeat: LastHeartbeat { at: now, incarnation: 0 },
            last_direct_response: None,
            responsive_without_heartbeats_since: None,
            unanswered_commands: 0,
            unresponsive_since: None,
            suspect_since: None,
        }
    }

    /// Records a new message from the worker: either a heartbeat or the response to a direct
    /// command.
    pub fn record_message(&mut self, now: f64) {
        self.last_seen = Some(now);
        self.unresponsive_since = None;
        self.suspect_since = None;
    }

    /// Records that a heartbeat of the worker has reached a controller.
    pub fn record_heartbeat(&mut self, now: f64, incarnation: u64) {
        let incarnation = incarnation.max(self.last_heartbeat.incarnation);
        self.last_heartbeat = LastHeartbeat { at: now, incarnation };
        self.responsive_without_heartbeats_since = None;
    }

    /// Records that the worker has executed a direct command and responded.
    pub fn record_direct_response(&mut self, now: f64, incarnation: u64) {
        self.unanswered_commands = 0;
        self.last_direct_response = Some(now);
        self.responsive_without_heartbeats_since.get_or_insert(now);
        if self.last_heartbeat.incarnation == 0 {
            self.last_heartbeat.incarnation = incarnation;
        }
        self.unresponsive_since = None;
        self.suspect_since = None;
    }

    /// Records that the worker has refused a direct command. A refusal also proves that the worker
    /// responds.
    pub fn record_refusal(&mut self) {
        self.unanswered_commands = 0;
    }

    /// Records that a direct command received no response. Returns whether the worker now counts as
    /// unresponsive.
    pub fn record_unanswered_command(&mut self, now: f64) -> Responsiveness {
        self.unanswered_commands += 1;
        if self.unanswered_commands < MAX_UNANSWERED_COMMANDS {
            return Responsiveness::Unconfirmed;
        }
        self.unresponsive_since.get_or_insert(now);
        Responsiveness::Unresponsive
    }

    /// Records that other machines have responded while this one was unresponsive. Repeated calls
    /// keep the time of the first call.
    pub fn record_suspicion(&mut self, now: f64) {
        self.suspect_since.get_or_insert(now);
    }

    /// Whether the worker was ever seen by this process.
    pub fn was_seen(&self) -> bool {
        self.last_seen.is_some()
    }

    /// When the worker was last seen; `None` if this process has never seen it.
    pub fn last_seen(&self) -> Option<f64> {
        self.last_seen
    }

    /// When the worker was last seen or, if it was never seen, when the machine became known.
    pub fn last_seen_or_known_since(&self) -> f64 {
        self.last_seen.unwrap_or(self.known_since)
    }

    /// The time since the worker was last seen or, if it was never seen, since the machine became
    /// known, in seconds.
    pub fn since_last_seen_s(&self, now: f64) -> f64 {
        now - self.last_seen_or_known_since()
    }

    /// The time since the last heartbeat or since the worker was last seen, in seconds, whichever
    /// is longer.
    pub fn heartbeat_age_s(&self, now: f64) -> f64 {
        now - self.last_seen_or_known_since().min(self.last_heartbeat.at)
    }

    /// The newest incarnation from which a heartbeat has reached a controller. If there was no
    /// heartbeat yet, the incarnation of the first response to a direct command; 0 without either.
    pub fn last_heartbeat_incarnation(&self) -> u64 {
        self.last_heartbeat.incarnation
    }

    /// For how long the worker has responded to direct commands while no heartbeat has arrived, in
    /// seconds; 0 if it has not responded since its last heartbeat.
    pub fn responsive_without_heartbeats_s(&self, now: f64) -> f64 {
        self.responsive_without_heartbeats_since.map_or(0.0, |since| now - since)
    }

    /// When the worker last responded to a direct command; `None` if it never has.
    pub fn last_direct_response(&self) -> Option<f64> {
        self.last_direct_response
    }

    /// Since when the worker has counted as unresponsive; `None` while it counts as responsive.
    pub fn unresponsive_since(&self) -> Option<f64> {
        self.unresponsive_since
    }

    /// Whether the worker has been suspect for at least `min_suspect_s` seconds.
    pub fn is_suspect_for(&self, min_suspect_s: f64, now: f64) -> bool {
        self.suspect_since.is_some_and(|since| now - since >= min_suspect_s)
    }
}
