//! A token bucket: limits requests or writes to a rate, with bursts.
//!
//! Tokens are added at a steady rate up to the burst; each request takes its amount, or waits.
//! Two rules go beyond the usual bucket:
//!
//! - **Debt.** An amount above the burst, such as a transaction with more writes than a burst,
//!   could never be taken. It is taken as soon as the bucket is full, and leaves a negative number
//!   of tokens; until that is paid off nothing else can be taken, so that the rate holds over time.
//! - **Draining.** If the other side says that its limit is exceeded, the tokens are dropped and
//!   a debt stays.
//!
//! Over any span of `t` seconds at most `burst + rate × t` tokens are taken, plus what the last
//! amount exceeds the burst by. Time is passed in, in seconds; a time before an earlier one counts
//! as that one.
//!
//! The node keeps its share of the store's request and write limits with it (`rate_limits` of
//! `gladekeel-controller`).

/// Tolerance for rounding errors of the tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket over passed-in time.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// The maximum of tokens.
    burst: f64,
    /// Negative while there is a debt.
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A full bucket, with `rate` tokens per second and at most `burst` of them.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, refilled_at: 0.0 }
    }

    /// The maximum of tokens.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    fn refill(&mut self, now: f64) {
        let added = (now - self.refilled_at).max(0.0) * self.rate;
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `amount` if [`TokenBucket::can_take`] says so, and returns whether it did.
    pub fn try_take(&mut self, now: f64, amount: f64) -> bool {
        let can_take = self.can_take(now, amount);
        if can_take {
            self.tokens -= amount;
        }
        can_take
    }

    /// Whether `amount` could be taken: it is there, or it is above the burst and the bucket is
    /// full.
    pub fn can_take(&mut self, now: f64, amount: f64) -> bool {
        self.refill(now);
        self.tokens >= amount.min(self.burst) - ROUNDING_TOLERANCE
    }

    /// Empties the bucket after the other side has said that its limit is exceeded.
    pub fn drain(&mut self, now: f64) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }

    /// The tokens that are there; negative if there is a debt.
    pub fn available(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.tokens
    }
}
