//! This node's share of the rate limits of the store and the cloud.

use gladekeel_store::TokenBucket;
use gladekeel_wire::settings::{Deployment, StoreLimits};

/// Part of a node's share of the store's request rate that refills its bucket; the rest is the
/// bucket's size.
const STEADY_REQUEST_SHARE: f64 = 0.6;
/// Part of the store's write rate that users' changes may take at one node. They come in
/// bursts, and after a crash all of them at the first node that is back, so the nodes do not
/// divide it among themselves. If several write at once the store refuses, and each backs off.
const USER_WRITE_SHARE: f64 = 0.3;
/// Part of the cloud's request rate that the leader uses.
const CLOUD_SHARE: f64 = 0.8;
/// Least rate of users' writes, a second.
const MIN_USER_WRITE_RATE: f64 = 0.5;

/// What this node may request of the store and the cloud.
#[derive(Debug)]
pub(super) struct RateLimits {
    /// Reads of the store.
    pub requests: TokenBucket,
    /// Writes for users and operators.
    pub user_writes: TokenBucket,
    /// Writes of the leader.
    pub leader_writes: LeaderWrites,
    /// Requests to the cloud.
    pub cloud: TokenBucket,
}

impl RateLimits {
    /// Limits by the settings of a deployment, which have the lowest limits of the store,
    /// present or announced. `current` are the present ones.
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

/// The leader's rate limit of writes, across an announced change of the store's limit.
///
/// A write that is too large for a limit that has fallen is refused for good, so sizes keep to
/// the announced limits from the start. A rate beyond its limit is only slowed down, so the
/// current rate is used until the store refuses it.
#[derive(Debug)]
pub(super) struct LeaderWrites {
    bucket: TokenBucket,
    /// The rate that has been announced, or the current one if none has.
    announced_rate: f64,
    current_rate: f64,
    /// When the current rate is tried again, after the store has refused it.
    retry_at: Option<f64>,
}

impl LeaderWrites {
    /// Part of the store's write rate that the leader uses. It writes what has changed in few
    /// large transactions.
    const RATE_SHARE: f64 = 0.75;
    /// Part of a second's writes that it may use at once.
    const BURST_SHARE: f64 = 0.5;
    /// How long the announced rate is kept to after a refusal.
    const RETRY_AFTER_S: f64 = 30.0;

    fn new(announced_rate: f64, current_rate: f64) -> LeaderWrites {
        let bucket = LeaderWrites::bucket_for(current_rate);
        LeaderWrites { bucket, announced_rate, current_rate, retry_at: None }
    }

    fn bucket_for(rate: f64) -> TokenBucket {
        TokenBucket::new(rate * LeaderWrites::RATE_SHARE, rate * LeaderWrites::BURST_SHARE)
    }

    /// The bucket to take writes from now.
    pub fn bucket_at(&mut self, now: f64) -> &mut TokenBucket {
        if self.retry_at.is_some_and(|retry_at| now >= retry_at) {
            self.retry_at = None;
            self.use_rate(now, self.current_rate);
        }
        &mut self.bucket
    }

    /// The store has refused a write as beyond its rate.
    pub fn on_refused(&mut self, now: f64) {
        self.retry_at = Some(now + LeaderWrites::RETRY_AFTER_S);
        self.use_rate(now, self.announced_rate);
    }

    /// Goes on with another rate and an empty bucket.
    fn use_rate(&mut self, now: f64, rate: f64) {
        self.bucket = LeaderWrites::bucket_for(rate);
        self.bucket.drain(now);
    }
}
