//! Machine pools: what the cloud rents machines from.

use gladekeel_sched::{MachineTypeIdx, ZoneIdx};

/// How a machine is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(in crate::leader) enum PurchaseModel {
    /// At the spot price; the cloud may terminate it.
    Spot,
    /// At the list price, until it is deleted.
    OnDemand,
}

impl PurchaseModel {
    /// The purchase model of a machine, by the cloud's flag for it.
    pub fn from_spot_flag(spot: bool) -> PurchaseModel {
        if spot { PurchaseModel::Spot } else { PurchaseModel::OnDemand }
    }

    /// Whether these are spot machines.
    pub fn is_spot(self) -> bool {
        self == PurchaseModel::Spot
    }
}

/// Machines of one type and zone with one purchase model. The cloud has capacity in a pool or
/// has none, whatever it has in others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(in crate::leader) struct MachinePool {
    /// Their type.
    pub machine_type: MachineTypeIdx,
    /// Their zone.
    pub zone: ZoneIdx,
    /// How they are paid for.
    pub purchase_model: PurchaseModel,
}
