//! The stages of a machine's deletion: planned for a reason, requested from the cloud, confirmed.

use std::fmt;

/// Why a machine is to be deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeletionReason {
    /// The cloud reclaims the spot machine.
    SpotTermination,
    /// Operators ordered the machine to be drained, and no attempt is left on it.
    Drained,
    /// The machine responds to direct commands, but none of its heartbeats reaches a controller.
    OutboundPartition,
    /// The machine neither sends heartbeats nor responds to direct commands.
    HeartbeatTimeout,
    /// The machine has not booted in time.
    BootTimeout,
    /// The cloud lists the machine as failed.
    Failed,
    /// The cloud's list no longer includes the machine.
    NoLongerListed,
    /// The machine's heartbeats arrive, but show no effect of the responses to them, and the
    /// machine does not respond to direct commands.
    InboundPartition,
    /// Several consecutive tasks failed on the machine.
    RepeatedTaskFailures,
    /// The machine is idle, and the autoscaler does not need it.
    Idle,
    /// A task of a cancelled job may run on the machine past the cancellation deadline.
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

/// The stage of a machine's deletion.
///
/// A planned deletion is never cancelled: the cloud may execute a request late, so the machine gets
/// no more tasks, whatever the outcome of the request is.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Deletion {
    /// No deletion is planned.
    #[default]
    NotPlanned,
    /// The deletion is planned, but not yet requested from the cloud.
    Planned(DeletionReason),
    /// The deletion was requested from the cloud; the request is retried until the cloud confirms.
    Requested(DeletionReason),
    /// The cloud has confirmed the deletion. Nothing runs on the machine any more.
    Confirmed,
}

impl Deletion {
    /// Plans the deletion. Returns false if the deletion was already planned; the first reason is
    /// then kept.
    pub fn plan(&mut self, reason: DeletionReason) -> bool {
        let is_new = *self == Deletion::NotPlanned;
        if is_new {
            *self = Deletion::Planned(reason);
        }
        is_new
    }

    /// Records that a request to delete the machine is being sent.
    pub fn request(&mut self) {
        if let Deletion::Planned(reason) = *self {
            *self = Deletion::Requested(reason);
        }
    }

    /// Records that the cloud has confirmed the deletion.
    pub fn confirm(&mut self) {
        *self = Deletion::Confirmed;
    }

    /// Whether the machine is to be deleted or is already deleted.
    pub fn is_planned(self) -> bool {
        self != Deletion::NotPlanned
    }

    /// Whether a request for the deletion was sent and the cloud has not confirmed it.
    pub fn is_requested(self) -> bool {
        matches!(self, Deletion::Requested(_))
    }

    /// Whether the machine is to be deleted and the cloud has not confirmed the deletion.
    pub fn is_unconfirmed(self) -> bool {
        matches!(self, Deletion::Planned(_) | Deletion::Requested(_))
    }

    /// Whether the cloud has confirmed the deletion of the machine.
    pub fn is_confirmed(self) -> bool {
        self == Deletion::Confirmed
    }
}
