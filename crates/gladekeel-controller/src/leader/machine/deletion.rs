//! The deletion of a machine: planned for a reason, requested from the cloud, confirmed.

use std::fmt;

/// Why a machine is to be deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeletionReason {
    /// The cloud reclaims the spot machine.
    SpotTermination,
    /// Operators ordered it drained, and no attempt is left on it.
    Drained,
    /// It responds to direct commands, but none of its heartbeats reaches a controller.
    OutboundPartition,
    /// It neither sends heartbeats nor responds to direct commands.
    HeartbeatTimeout,
    /// It has not booted in time.
    BootTimeout,
    /// The cloud lists it as failed.
    Failed,
    /// The cloud's list no longer includes it.
    NoLongerListed,
    /// Its heartbeats arrive, but show no effect of the responses to them, and it does not
    /// respond to direct commands.
    InboundPartition,
    /// Task after task failed on it.
    RepeatedTaskFailures,
    /// It is idle, and the autoscaler does not need it.
    Idle,
    /// A task of a cancelled job may run on it beyond the cancellation deadline.
    CancelledTaskMayRun,
}

impl fmt::Display for DeletionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DeletionReason::SpotTermination => "spot termination",
            DeletionReason::Drained => "drained",
            DeletionReason::OutboundPartition => "outbound partition",
            DeletionReason::HeartbeatTimeout => "heartbeat timeout",
            DeletionReason::BootTimeout => "boot timeout",
            DeletionReason::Failed => "machine failed",
            DeletionReason::NoLongerListed => "no longer listed",
            DeletionReason::InboundPartition => "inbound partition",
            DeletionReason::RepeatedTaskFailures => "repeated task failures",
            DeletionReason::Idle => "idle",
            DeletionReason::CancelledTaskMayRun => "cancelled task may run",
        })
    }
}

/// How far the deletion of a machine is. A planned one is never taken back: the cloud may
/// carry out a request late, so the machine gets no more work whatever comes of it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Deletion {
    /// None is planned.
    #[default]
    NotPlanned,
    /// Planned, not yet requested from the cloud.
    Planned(DeletionReason),
    /// Requested from the cloud, and requested again until it confirms.
    Requested(DeletionReason),
    /// Confirmed by the cloud. Nothing runs on the machine any more.
    Confirmed,
}

impl Deletion {
    /// Plans the deletion. Returns false if it was planned already; its reason stays then.
    pub fn plan(&mut self, reason: DeletionReason) -> bool {
        let is_new = *self == Deletion::NotPlanned;
        if is_new {
            *self = Deletion::Planned(reason);
        }
        is_new
    }

    /// Records that a request to delete the machine goes out.
    pub fn request(&mut self) {
        if let Deletion::Planned(reason) = *self {
            *self = Deletion::Requested(reason);
        }
    }

    /// Records that the cloud has confirmed the deletion.
    pub fn confirm(&mut self) {
        *self = Deletion::Confirmed;
    }

    /// Whether the machine is to be deleted, or is deleted already.
    pub fn is_planned(self) -> bool {
        self != Deletion::NotPlanned
    }

    /// Whether a request was sent that the cloud has not confirmed.
    pub fn is_requested(self) -> bool {
        matches!(self, Deletion::Requested(_))
    }

    /// Whether the machine is to be deleted and the cloud has not confirmed it.
    pub fn is_unconfirmed(self) -> bool {
        matches!(self, Deletion::Planned(_) | Deletion::Requested(_))
    }

    /// Whether the machine is deleted for certain.
    pub fn is_confirmed(self) -> bool {
        self == Deletion::Confirmed
    }
}
