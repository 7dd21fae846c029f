//! Token buckets over passed-in time.

/// A bucket that fills at a steady rate and holds one second's worth.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    /// A full bucket of `rate` per second.
    pub fn new(rate: f64, burst: f64) -> Bucket {
        Bucket { rate, burst, level: burst, at: 0.0 }
    }

    /// How much there may be at most.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    fn fill(&mut self, now: f64) {
        self.level = (self.level + (now - self.at).max(0.0) * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Takes `amount` if it is there. An amount above the burst is taken once
    /// the bucket is full, and leaves a debt.
    pub fn take(&mut self, now: f64, amount: f64) -> bool {
        let ready = self.has(now, amount);
        if ready {
            self.level -= amount;
        }
        ready
    }

    /// Whether `amount` could be taken.
    pub fn has(&mut self, now: f64, amount: f64) -> bool {
        self.fill(now);
        self.level >= amount.min(self.burst) - 1e-9
    }

    /// Empties the bucket: the other side said that it is over its limit.
    pub fn drain(&mut self, now: f64) {
        self.fill(now);
        self.level = self.level.min(0.0);
    }

    /// How much is there.
    pub fn level(&mut self, now: f64) -> f64 {
        self.fill(now);
        self.level
    }
}
