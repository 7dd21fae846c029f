//! Timers of the leader's periodic steps, and detection of late ticks on this node.

use crate::runtime_settings::RuntimeSettings;

/// A tick counts as late if it comes more than this many seconds after the previous tick. Ticks are
/// due many times a second.
const MAX_TICK_GAP_S: f64 = 0.5;
/// Maximum time between two checks for failed machines and cancellation deadlines, in seconds. The
/// cycle interval, which operators may raise, must not delay them.
const MAX_FAILURE_CHECK_INTERVAL_S: f64 = 1.0;
/// A requested scheduling cycle runs early, but not before this fraction of the cycle interval has
/// passed since the previous cycle.
const MIN_CYCLE_INTERVAL_FRACTION: f64 = 0.25;

/// The times at which the periodic steps last ran, in seconds on the node's clock.
#[derive(Debug)]
pub(super) struct Timers {
    last_cycle_at: f64,
    cycle_requested: bool,
    last_maintenance_at: f64,
    last_failure_check_at: f64,
    last_tick_at: f64,
    last_late_tick_at: f64,
}

impl Timers {
    /// Creates timers that start now, with a scheduling cycle requested.
    pub fn new(now: f64) -> Timers {
        Timers {
            last_cycle_at: now,
            cycle_requested: true,
            last_maintenance_at: now,
            last_failure_check_at: now,
            last_tick_at: now,
            last_late_tick_at: now,
        }
    }

    /// Records a tick, and whether the tick is late.
    pub fn tick(&mut self, now: f64) {
        if now - self.last_tick_at > MAX_TICK_GAP_S {
            self.last_late_tick_at = now;
        }
        self.last_tick_at = now;
    }

    /// Whether a tick of this node was late within the last `seconds` seconds. The beginning of the
    /// term counts as a late tick.
    pub fn had_late_tick_within(&self, seconds: f64, now: f64) -> bool {
        now - self.last_late_tick_at < seconds
    }

    /// Requests an early scheduling cycle, after a change on which the scheduler may act.
    pub fn request_cycle(&mut self) {
        self.cycle_requested = true;
    }

    /// Returns whether a scheduling cycle is due. If so, restarts the timer, and the caller must
    /// run the cycle.
    pub fn cycle_due(&mut self, now: f64, settings: &RuntimeSettings) -> bool {
        let since_last_s = now - self.last_cycle_at;
        let min_interval_s = settings.cycle_interval_s * MIN_CYCLE_INTERVAL_FRACTION;
        let is_early = self.cycle_requested && since_last_s >= min_interval_s;
        let is_due = is_early || since_last_s >= settings.cycle_interval_s;
        if is_due {
            self.last_cycle_at = now;
            self.cycle_requested = false;
        }
        is_due
    }

    /// Returns whether the maintenance steps, which examine every machine, are due. If so, restarts
    /// the timer, and the caller must run these steps.
    pub fn maintenance_due(&mut self, now: f64, settings: &RuntimeSettings) -> bool {
        let is_due = now - self.last_maintenance_at >= settings.cycle_interval_s;
        if is_due {
            self.last_maintenance_at = now;
        }
        is_due
    }

    /// Returns whether the checks for failed machines and cancellation deadlines are due. If so,
    /// restarts the timer, and the caller must run these checks.
    pub fn failure_check_due(&mut self, now: f64, settings: &RuntimeSettings) -> bool {
        let interval_s = settings.cycle_interval_s.min(MAX_FAILURE_CHECK_INTERVAL_S);
        let is_due = now - self.last_failure_check_at >= interval_s;
        if is_due {
            self.last_failure_check_at = now;
        }
        is_due
    }
}
