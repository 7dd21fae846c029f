//! A token bucket, which limits requests or writes to a rate and allows bursts.
//!
//! Tokens are added at a steady rate up to the burst; each request takes an amount of tokens, or
//! waits until they are available. Two rules extend the usual token bucket:
//!
//! - **Debt.** An amount above the burst, such as a transaction with more writes than the burst,
//!   would never be available. This amount is taken as soon as the bucket is full, and leaves a
//!   negative number of tokens. Until this debt is paid off nothing else can be taken, so that the
//!   rate holds over time.
//! - **Draining.** If the service responds that its limit is exceeded, all tokens are discarded; a
//!   debt remains.
//!
//! In any period of `t` seconds at most `burst + rate × t` tokens are taken, plus the excess of the
//! last amount over the burst. The caller passes in the time in seconds; a time earlier than the
//! latest time passed in so far is replaced by the latest time.
//!
//! The node uses token buckets to stay within its share of the store's request and write limits
//! (`rate_limits` of `gladekeel-controller`).

/// Tolerance for rounding errors in the number of tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket whose caller passes in the time, in seconds.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// Current number of tokens; negative while there is a debt.
    tokens: f64,
    /// Time up to which tokens have been added, in seconds.
    refilled_at: f64,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens per second and holds at most `burst` tokens.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, refilled_at: 0.0 }
    }

    /// Maximum number of tokens.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    fn refill(&mut self, now: f64) {
        let added = (now - self.refilled_at).max(0.0) * self.rate;
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `amount` tokens if [`TokenBucket::can_take`] allows it. Returns whether they were
    /// taken.
    pub fn try_take(&mut self, now: f64, amount: f64) -> bool {
        let can_take = self.can_take(now, amount);
        if can_take {
            self.tokens -= amount;
        }
        can_take
    }

    /// Whether `amount` tokens can be taken: they are available, or `amount` is above the burst and
    /// the bucket is full.
    pub fn can_take(&mut self, now: f64, amount: f64) -> bool {
        self.refill(now);
        self.tokens >= amount.min(self.burst) - ROUNDING_TOLERANCE
    }

    /// Discards all tokens after the service has responded that its limit is exceeded; a debt
    /// remains.
    pub fn empty(&mut self, now: f64) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }

    /// Number of available tokens; negative if there is a debt.
    pub fn available(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.tokens
    }
}
