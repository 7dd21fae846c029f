//! When the leader's periodic work is due.

use crate::runtime_settings::RuntimeSettings;

/// Ticks come many times a second; one that is later than this is a lag.
const LAG_S: f64 = 0.5;
/// An event brings a round forward, to this part of the time between rounds at the least.
const EARLY_ROUND_PART: f64 = 0.25;

/// When each kind of periodic work was done last.
#[derive(Debug)]
pub(super) struct Timers {
    round_at: f64,
    round_wanted: bool,
    upkeep_at: f64,
    ticked_at: f64,
    /// When this node was last late: it had more to do than it has time for.
    lagged_at: f64,
}

impl Timers {
    /// Timers that begin now, with a round as soon as one may be.
    pub fn new(now: f64) -> Timers {
        Timers { round_at: now, round_wanted: true, upkeep_at: now, ticked_at: now, lagged_at: now }
    }

    /// Records a tick, and whether it is late.
    pub fn tick(&mut self, now: f64) {
        if now - self.ticked_at > LAG_S {
            self.lagged_at = now;
        }
        self.ticked_at = now;
    }

    /// Whether this node was late within the last seconds.
    pub fn lagged_within(&self, seconds: f64, now: f64) -> bool {
        now - self.lagged_at < seconds
    }

    /// Asks for a round before its time: something has changed.
    pub fn request_cycle(&mut self) {
        self.round_wanted = true;
    }

    /// Whether a round is due; if so, it counts as done.
    pub fn cycle_due(&mut self, now: f64, options: &RuntimeSettings) -> bool {
        let since = now - self.round_at;
        let early = self.round_wanted && since >= options.cycle_interval_s * EARLY_ROUND_PART;
        let due = since >= options.cycle_interval_s || early;
        if due {
            self.round_at = now;
            self.round_wanted = false;
        }
        due
    }

    /// Whether the work that looks at every machine is due; if so, it counts as done.
    pub fn upkeep_due(&mut self, now: f64, options: &RuntimeSettings) -> bool {
        let due = now - self.upkeep_at >= options.cycle_interval_s;
        if due {
            self.upkeep_at = now;
        }
        due
    }
}
