//! This node's share of the rate limits of the store and the cloud.

use gladekeel_store::TokenBucket;
use gladekeel_wire::settings::{Deployment, StoreLimits};

/// Fraction of a node's share of the store's request rate at which the node's bucket refills. The
/// bucket's capacity is the number of requests that the rest of the share allows in one second.
const STEADY_REQUEST_SHARE: f64 = 0.6;
/// Fraction of the store's write rate that one node may use for users' changes. The nodes do not
/// divide this rate among themselves, since users' changes come in bursts, and after a crash all
/// these changes go to the first node that is available again. If several nodes write at once, the
/// store refuses the excess and the refused nodes back off.
const USER_WRITE_SHARE: f64 = 0.3;
/// Fraction of the cloud's request rate that the leader uses.
const CLOUD_SHARE: f64 = 0.8;
/// Minimum rate of users' writes, in writes per second.
const MIN_USER_WRITE_RATE: f64 = 0.5;

/// The token buckets that limit this node's requests to the store and the cloud.
#[derive(Debug)]
pub(super) struct RateLimits {
    /// Limits reads of the store.
    pub requests: TokenBucket,
    /// Limits users' writes. Operators' writes take tokens too, but never wait for them.
    pub user_writes: TokenBucket,
    /// Limits writes of the leader.
    pub leader_writes: LeaderWrites,
    /// Limits requests to the cloud.
    pub cloud: TokenBucket,
}

impl RateLimits {
    /// Creates the limits from the settings of a deployment, in which each limit of the store must
    /// be the lower of its current and its announced value. `current` holds the store's current
    /// limits.
    pub fn new(deployment: &Deployment, current: &StoreLimits) -> RateLimits {
        let requests = deployment.store.rps / f64::from(deployment.controllers.max(1));
        let user_writes = deployment.store.write_rps * USER_WRITE_SHARE;
        let cloud = deployment.cloud.rps * CLOUD_SHARE;
        RateLimits {
            requests: TokenBucket::new(
                requests * STEADY_REQUEST_SHARE,
                requests * (1.0 - STEADY_REQUEST_SHARE),
            ),
            user_writes: TokenBucket::new(
                user_writes.max(MIN_USER_WRITE_RATE),
                user_writes.max(1.0),
            ),
            leader_writes: LeaderWrites::new(deployment.store.write_rps, current.write_rps),
            cloud: TokenBucket::new(cloud, cloud.max(1.0)),
        }
    }
}

/// The rate limit of the leader's writes, before and after an announced change of the store's
/// limits.
///
/// A write that exceeds a lowered size limit is refused on every retry, so write sizes respect the
/// announced limits from the start. Writes that exceed the rate limit are only delayed, so the
/// current rate is used until the store refuses a write because of its rate limit.
#[derive(Debug)]
pub(super) struct LeaderWrites {
    bucket: TokenBucket,
    /// The lower of the store's current rate and the rate that the store has announced, in writes
    /// per second.
    lowest_rate: f64,
    /// The store's current rate, in writes per second.
    current_rate: f64,
    /// When the leader returns to the current rate after the store has refused a write; `None`
    /// while the current rate is in use.
    retry_at: Option<f64>,
}

impl LeaderWrites {
    /// Fraction of the store's write rate that the leader uses. The leader writes changes in few
    /// large transactions.
    const RATE_SHARE: f64 = 0.75;
    /// Maximum burst of the leader's writes, as a fraction of the store's write limit per second.
    const BURST_SHARE: f64 = 0.5;
    /// How long the lower rate is used after the store has refused a write because of its rate
    /// limit.
    const RETRY_AFTER_S: f64 = 30.0;

    fn new(lowest_rate: f64, current_rate: f64) -> LeaderWrites {
        let bucket = LeaderWrites::bucket_for(current_rate);
        LeaderWrites { bucket, lowest_rate, current_rate, retry_at: None }
    }

    fn bucket_for(rate: f64) -> TokenBucket {
        TokenBucket::new(rate * LeaderWrites::RATE_SHARE, rate * LeaderWrites::BURST_SHARE)
    }

    /// Returns the bucket that limits writes at `now`.
    pub fn bucket_at(&mut self, now: f64) -> &mut TokenBucket {
        if self.retry_at.is_some_and(|retry_at| now >= retry_at) {
            self.retry_at = None;
            self.use_rate(now, self.current_rate);
        }
        &mut self.bucket
    }

    /// Switches to the lower of the current and the announced rate after the store has refused a
    /// write because of its rate limit.
    pub fn on_rate_limited(&mut self, now: f64) {
        self.retry_at = Some(now + LeaderWrites::RETRY_AFTER_S);
        self.use_rate(now, self.lowest_rate);
    }

    /// Replaces the bucket with an empty one for another rate.
    fn use_rate(&mut self, now: f64, rate: f64) {
        self.bucket = LeaderWrites::bucket_for(rate);
        self.bucket.empty(now);
    }
}
