//! The observed state of the cluster, which comes from heartbeats and the cloud, not the store.

use super::{
    LeaderCounters, Machine,
    autoscaling::{AutoscalerState, cloud_requests::CloudRequestQueue, warm_pool::WarmPool},
    catalog::Catalog,
    failure_detection::{CancellationDeletion, reachability::ReachableZones},
};
use gladekeel_sched::{Interner, MachineIdx};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The state that a leader has gathered from heartbeats and the cloud.
///
/// This state survives a change of fencing token on the same node. A leader on another node
/// rebuilds it from heartbeats and the cloud's lists.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// Since when this node has led without interruption, in seconds on the node's clock; `None`
    /// before its first term. A new fencing token is no interruption.
    pub(super) leading_since: Option<f64>,
    /// The names of zones, machine types and images, to which the other fields refer by index. This
    /// field is filled only between two terms; during a term the leader itself holds the catalog.
    pub(super) catalog: Catalog,
    pub(super) machine_names: Interner<String, MachineIdx>,
    pub(super) machines: BTreeMap<MachineIdx, Machine>,
    /// Machines that may be leaving the cluster; [`Machine::is_leaving`] says which ones are.
    pub(super) leaving: BTreeSet<MachineIdx>,
    pub(super) cloud: CloudRequestQueue,
    pub(super) autoscaler: AutoscalerState,
    pub(super) warm_pool: WarmPool,
    /// Since when each zone has been reachable. This field is filled only between two terms, like
    /// the catalog; during a term the failure detector holds this state.
    pub(super) reachable_zones: ReachableZones,
    /// The deletions that cancellation deadlines will require. This field is filled only between
    /// two terms; during a term they follow from the attempts.
    pub(super) cancellation_deletions: Vec<CancellationDeletion>,
    /// Moving averages of the ratio of a task's run time to the user's estimate, by job class.
    pub(super) run_time_ratios: HashMap<String, f64>,
    /// Counters for metrics.
    pub counters: LeaderCounters,
}

impl ClusterState {
    /// Prepares the state for a new token on the same node. The time at which each machine was last
    /// seen is kept, since this node has received heartbeats without interruption. Attempts are
    /// dropped, and are then replayed from the assignment log.
    pub(super) fn renew(&mut self) {
        self.cancellation_deletions.clear();
        for machine in self.machines.values_mut() {
            machine.reset_for_new_token();
        }
    }
}
