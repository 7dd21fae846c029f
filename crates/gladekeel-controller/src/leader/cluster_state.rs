//! The cluster as heartbeats and the cloud describe it, as opposed to what is in the store.

use super::{
    LeaderCounters, Machine,
    autoscaling::{AutoscalerState, cloud_requests::CloudRequestQueue, warm_pool::WarmPool},
    catalog::Catalog,
    failure_detection::reachability::ReachableZones,
};
use gladekeel_sched::{Interner, MachineIdx};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a leader has learned since it began to lead. It outlives a change of fencing token on the
/// same node; another leader rebuilds it from heartbeats and the cloud's lists.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The indices by which everything else here refers to names. Between two tokens only: a
    /// leader holds them beside this state.
    pub(super) catalog: Catalog,
    pub(super) machine_names: Interner<String, MachineIdx>,
    pub(super) machines: BTreeMap<MachineIdx, Machine>,
    /// Machines that may be on their way out; [`Machine::is_leaving`] says which are.
    pub(super) leaving: BTreeSet<MachineIdx>,
    pub(super) cloud: CloudRequestQueue,
    pub(super) autoscaler: AutoscalerState,
    pub(super) warm_pool: WarmPool,
    /// Since when each zone has been reachable. Between two tokens only, like the catalog: the
    /// failure detector holds it.
    pub(super) reachable_zones: ReachableZones,
    /// Run time as a multiple of the owner's estimate, learned by class of jobs.
    pub(super) run_time_ratios: HashMap<String, f64>,
    /// Counters for metrics.
    pub counters: LeaderCounters,
}

impl ClusterState {
    /// Prepares the state for a new token on the same node. Heartbeats have come all the while,
    /// so silence goes on to count. Assignments are replayed from the log.
    pub(super) fn renew(&mut self) {
        for machine in self.machines.values_mut() {
            machine.reset_for_new_token();
        }
    }
}
