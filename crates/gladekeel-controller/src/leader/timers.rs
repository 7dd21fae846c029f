//! When the leader's periodic work is due, and whether this node keeps up with it.

use crate::runtime_settings::RuntimeSettings;

/// Ticks come many times a second. After a longer gap this node counts as lagging.
const MAX_TICK_GAP_S: f64 = 0.5;
/// A requested scheduling cycle comes early, but not before this part of the cycle interval.
const MIN_CYCLE_INTERVAL_SHARE: f64 = 0.25;

/// When each kind of periodic work was last done.
#[derive(Debug)]
pub(super) struct Timers {
    last_cycle_at: f64,
    cycle_requested: bool,
    last_maintenance_at: f64,
    last_tick_at: f64,
    last_lag_at: f64,
}

impl Timers {
    /// Timers that begin now, with a scheduling cycle requested.
    pub fn new(now: f64) -> Timers {
        Timers {
            last_cycle_at: now,
            cycle_requested: true,
            last_maintenance_at: now,
            last_tick_at: now,
            last_lag_at: now,
        }
    }

    /// Records a tick, and whether it comes late.
    pub fn tick(&mut self, now: f64) {
        if now - self.last_tick_at > MAX_TICK_GAP_S {
            self.last_lag_at = now;
        }
        self.last_tick_at = now;
    }

    /// Whether this node has lagged within the last seconds; just after the start it counts as
    /// having lagged.
    pub fn lagged_within(&self, seconds: f64, now: f64) -> bool {
        now - self.last_lag_at < seconds
    }

    /// Asks for a scheduling cycle ahead of its time: something has changed that it may act on.
    pub fn request_cycle(&mut self) {
        self.cycle_requested = true;
    }

    /// Whether a scheduling cycle is due; if so, it counts as done.
    pub fn cycle_due(&mut self, now: f64, options: &RuntimeSettings) -> bool {
        let since_last_s = now - self.last_cycle_at;
        let min_interval_s = options.cycle_interval_s * MIN_CYCLE_INTERVAL_SHARE;
        let is_early = self.cycle_requested && since_last_s >= min_interval_s;
        let is_due = is_early || since_last_s >= options.cycle_interval_s;
        if is_due {
            self.last_cycle_at = now;
            self.cycle_requested = false;
        }
        is_due
    }

    /// Whether the work that looks at every machine is due; if so, it counts as done.
    pub fn maintenance_due(&mut self, now: f64, options: &RuntimeSettings) -> bool {
        let is_due = now - self.last_maintenance_at >= options.cycle_interval_s;
        if is_due {
            self.last_maintenance_at = now;
        }
        is_due
    }
}
