//! Machine pools: the groups of machines, each with its own capacity in the cloud, from which
//! machines are rented.

use gladekeel_sched::{MachineTypeIdx, ZoneIdx};

/// How a machine is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(in crate::leader) enum PurchaseModel {
    /// At the spot price; the cloud may terminate the machine.
    Spot,
    /// At the list price, until the machine is deleted.
    OnDemand,
}

impl PurchaseModel {
    /// Returns the purchase model of a machine for which the cloud reports this spot flag.
    pub fn from_spot_flag(spot: bool) -> PurchaseModel {
        if spot { PurchaseModel::Spot } else { PurchaseModel::OnDemand }
    }

    /// Whether machines with this purchase model are spot machines.
    pub fn is_spot(self) -> bool {
        self == PurchaseModel::Spot
    }
}

/// The machines of one type in one zone with one purchase model. The capacity of a pool is
/// independent of the capacity of other pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(in crate::leader) struct MachinePool {
    /// The type of the machines.
    pub machine_type: MachineTypeIdx,
    /// The zone of the machines.
    pub zone: ZoneIdx,
    /// How the machines are paid for.
    pub purchase_model: PurchaseModel,
}
