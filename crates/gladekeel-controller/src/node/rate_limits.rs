//! Parts of the services' limits that this node keeps to.

use gladekeel_store::TokenBucket;
use gladekeel_wire::settings::{Deployment, StoreLimits};

/// Part of the rate of requests that a node uses; its bursts come to the rest.
const STEADY_REQUESTS: f64 = 0.6;
/// Part of the writes that users' changes may take at one node. They come in clusters, and
/// after a crash all of them at the first node that is back: no node keeps to an equal part.
/// If several write at once, the service says so, and each waits.
const USERS_PART: f64 = 0.3;
/// Part of the cloud's requests that the leader uses.
const CLOUD_PART: f64 = 0.8;

/// What this node may ask of the state service and of the cloud.
#[derive(Debug)]
pub(crate) struct RateLimits {
    /// Requests to the state service.
    pub requests: TokenBucket,
    /// Writes for users and operators.
    pub user_writes: TokenBucket,
    /// Writes as the leader.
    pub leader_writes: LeaderWrites,
    /// Requests to the cloud.
    pub cloud: TokenBucket,
}

impl RateLimits {
    /// RateLimits by the limits that are kept to in `deployment`; `today` are the state service's
    /// limits until those that it will have apply.
    pub fn new(deployment: &Deployment, today: &StoreLimits) -> RateLimits {
        let share = deployment.store.rps / f64::from(deployment.controllers.max(1));
        let users = deployment.store.write_rps * USERS_PART;
        let cloud = deployment.cloud.rps * CLOUD_PART;
        RateLimits {
            requests: TokenBucket::new(share * STEADY_REQUESTS, share * (1.0 - STEADY_REQUESTS)),
            user_writes: TokenBucket::new(users.max(0.5), users.max(1.0)),
            leader_writes: LeaderWrites::new(deployment.store.write_rps, today.write_rps),
            cloud: TokenBucket::new(cloud, cloud.max(1.0)),
        }
    }
}

/// The leader's budget of writes. What is too large for a limit that has fallen is refused
/// for good, so sizes keep to the limits that will come from the first moment. A rate beyond
/// its limit is only told to slow down: today's rate is used until then.
#[derive(Debug)]
pub(crate) struct LeaderWrites {
    bucket: TokenBucket,
    /// The rate that will come, or today's if none will.
    kept_rate: f64,
    today_rate: f64,
    /// From when on today's rate is tried again, if the service refused it.
    retry_at: Option<f64>,
}

impl LeaderWrites {
    /// Part of the writes that the leader may take: it writes what has changed in few wide
    /// transactions.
    const PART: f64 = 0.75;
    /// Part of a second's writes that it may take at once.
    const BURST: f64 = 0.5;
    /// After a refusal the lower rate is kept for this long.
    const HOLD_S: f64 = 30.0;

    fn new(kept_rate: f64, today_rate: f64) -> LeaderWrites {
        let bucket = LeaderWrites::bucket(today_rate);
        LeaderWrites { bucket, kept_rate, today_rate, retry_at: None }
    }

    fn bucket(rate: f64) -> TokenBucket {
        TokenBucket::new(rate * LeaderWrites::PART, rate * LeaderWrites::BURST)
    }

    /// The bucket to take from now.
    pub fn bucket_at(&mut self, now: f64) -> &mut TokenBucket {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.use_rate(now, self.today_rate);
        }
        &mut self.bucket
    }

    /// The service refused a write as beyond its rate.
    pub fn refused(&mut self, now: f64) {
        self.retry_at = Some(now + LeaderWrites::HOLD_S);
        self.use_rate(now, self.kept_rate);
    }

    /// Goes on with another rate and an empty bucket.
    fn use_rate(&mut self, now: f64, rate: f64) {
        self.bucket = LeaderWrites::bucket(rate);
        self.bucket.drain(now);
    }
}
