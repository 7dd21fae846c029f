//! Parts of the services' limits that this node keeps to.

use gladekeel_store::Bucket;
use gladekeel_wire::settings::Params;

/// Part of the rate of requests that a node uses; its bursts come to the rest.
const STEADY_REQUESTS: f64 = 0.6;
/// Part of the writes that users' changes may take at one node. They come in clusters, and
/// after a crash all of them at the first node that is back: no node keeps to an equal part.
/// If several write at once, the service says so, and each waits.
const USERS_PART: f64 = 0.3;
/// Part of the writes that the leader may take: it writes what has changed in few wide
/// transactions.
const LEADER_PART: f64 = 0.75;
/// Part of a second's writes that the leader may take at once.
const LEADER_BURST: f64 = 0.5;
/// Part of the cloud's requests that the leader uses.
const CLOUD_PART: f64 = 0.8;

/// What this node may ask of the state service and of the cloud.
#[derive(Debug)]
pub(crate) struct Budgets {
    /// Requests to the state service.
    pub requests: Bucket,
    /// Writes for users and operators.
    pub user_writes: Bucket,
    /// Writes as the leader.
    pub leader_writes: Bucket,
    /// Requests to the cloud.
    pub cloud: Bucket,
}

impl Budgets {
    /// Budgets by the limits that are kept to.
    pub fn new(params: &Params) -> Budgets {
        let share = params.state.rps / f64::from(params.count.max(1));
        let users = params.state.write_rps * USERS_PART;
        let leader = params.state.write_rps;
        let cloud = params.cloud.rps * CLOUD_PART;
        Budgets {
            requests: Bucket::new(share * STEADY_REQUESTS, share * (1.0 - STEADY_REQUESTS)),
            user_writes: Bucket::new(users.max(0.5), users.max(1.0)),
            leader_writes: Bucket::new(leader * LEADER_PART, leader * LEADER_BURST),
            cloud: Bucket::new(cloud, cloud.max(1.0)),
        }
    }
}
