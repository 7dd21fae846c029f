//! Token buckets over passed-in time.

/// A bucket that fills at a steady rate and holds one second's worth.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A full bucket of `rate` per second.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, refilled_at: 0.0 }
    }

    /// How much there may be at most.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    fn refill(&mut self, now: f64) {
        self.tokens = (self.tokens + (now - self.refilled_at).max(0.0) * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `amount` if it is there. An amount above the burst is taken once
    /// the bucket is full, and leaves a debt.
    pub fn try_take(&mut self, now: f64, amount: f64) -> bool {
        let ready = self.can_take(now, amount);
        if ready {
            self.tokens -= amount;
        }
        ready
    }

    /// Whether `amount` could be taken.
    pub fn can_take(&mut self, now: f64, amount: f64) -> bool {
        self.refill(now);
        self.tokens >= amount.min(self.burst) - 1e-9
    }

    /// Empties the bucket: the other side said that it is over its limit.
    pub fn drain(&mut self, now: f64) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }

    /// How much is there.
    pub fn available(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.tokens
    }
}
