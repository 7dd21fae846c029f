//! A machine as the leader knows it from the cloud, its worker and the assignment log.
//!
//! Each aspect that changes independently has its own type, which enforces the rules of its
//! transitions: [`Liveness`], [`Acknowledgements`], [`Deletion`], [`Workload`],
//! [`OutstandingCommands`], [`DirectStarts`], [`Quarantine`], [`CloudListing`] and [`ImageCache`].
//! Reconciliation, failure detection, scheduling, autoscaling and worker commands all read
//! machines; each transition is triggered by one of these modules.

mod acknowledgements;
mod cloud_listing;
mod deletion;
mod direct_starts;
mod image_cache;
mod liveness;
mod outstanding_commands;
mod quarantine;
mod workload;

pub(super) use acknowledgements::{Acknowledgements, ExpectedEffects};
pub(super) use cloud_listing::CloudListing;
pub(super) use deletion::{Deletion, DeletionReason};
pub(super) use direct_starts::DirectStarts;
pub(super) use image_cache::ImageCache;
pub(super) use liveness::{Liveness, Responsiveness};
pub(super) use outstanding_commands::OutstandingCommands;
pub(super) use quarantine::Quarantine;
pub(super) use workload::Workload;

use super::AttemptId;
use gladekeel_sched::{MachineTypeIdx, Resources, ZoneIdx};
use gladekeel_wire::{cloud::MachineState, worker::Heartbeat};
use std::{collections::BTreeSet, fmt};

/// The position of a message among all messages of a worker: ordered by incarnation, then by the
/// sequence number within the incarnation.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// The worker's incarnation, which increases whenever its lease has expired.
    pub incarnation: u64,
    /// The sequence number of the message within its incarnation.
    pub sequence: u64,
}

impl From<&Heartbeat> for MessageOrder {
    fn from(heartbeat: &Heartbeat) -> MessageOrder {
        MessageOrder { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }
}

/// When a machine was provisioned. The boot timeout of the machine counts from this time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProvisionedAt {
    /// The machine was provisioned at this time, in seconds on the node's clock.
    Time(f64),
    /// The machine was provisioned before this leader's term: the assignment log places tasks on
    /// it, so it has booted.
    BeforeTerm,
}

impl ProvisionedAt {
    /// The time since the machine was provisioned, in seconds; infinite for
    /// [`ProvisionedAt::BeforeTerm`].
    pub fn age_s(self, now: f64) -> f64 {
        match self {
            ProvisionedAt::Time(at) => now - at,
            ProvisionedAt::BeforeTerm => f64::INFINITY,
        }
    }
}

/// The condition of a machine as the admin API shows it. `Display` writes the API's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineCondition {
    /// Operators ordered the machine to be drained, and its deletion is not planned yet.
    Draining,
    /// The machine is being reclaimed or deleted.
    Leaving,
    /// The machine's worker has not been seen yet.
    Booting,
    /// The machine has no attempts.
    Idle,
    /// The machine has attempts.
    Working,
}

impl fmt::Display for MachineCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MachineCondition::Draining => "draining",
            MachineCondition::Leaving => "leaving",
            MachineCondition::Booting => "booting",
            MachineCondition::Idle => "idle",
            MachineCondition::Working => "working",
        })
    }
}

/// A machine of the cluster.
#[derive(Debug)]
pub struct Machine {
    /// The name of the machine in the cloud.
    pub name: String,
    /// The machine type; `None` until the cloud or the worker reports it.
    pub machine_type: Option<MachineTypeIdx>,
    /// The zone of the machine; `None` until the cloud or the worker reports it.
    pub zone: Option<ZoneIdx>,
    /// Whether this is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// The address at which the worker accepts direct commands; `None` while it is unknown.
    pub addr: Option<String>,
    /// The position of the worker's newest message; older messages that arrive later are ignored.
    pub newest_message: MessageOrder,
    /// When the worker was last seen, and whether it responds to direct commands.
    pub liveness: Liveness,
    /// Whether the worker acts on the responses to its heartbeats.
    pub acknowledgements: Acknowledgements,
    /// When the cloud reclaims the machine, in seconds on the node's clock; `None` until the
    /// cloud has announced it.
    pub termination_at: Option<f64>,
    /// When the machine was provisioned.
    pub provisioned_at: ProvisionedAt,
    /// The state of the machine according to the cloud's lists.
    pub listing: CloudListing,
    /// Whether and why the machine is to be deleted, and the stage of the deletion.
    pub deletion: Deletion,
    /// Whether operators have ordered the machine to be drained.
    pub draining: bool,
    /// Whether the machine is kept in the warm pool, for gangs that should start without delay.
    pub warm_pool: bool,
    /// The recent task failures and refused starts, which keep new tasks off the machine for a
    /// while.
    pub quarantine: Quarantine,
    /// The attempts on the machine, and the resources that they request.
    pub workload: Workload,
    /// Whether the cloud, the assignment log or a heartbeat under the leader's token confirms that
    /// the machine exists. A delayed copy of an older heartbeat may name a machine that no longer
    /// exists, so a machine whose existence is not confirmed gets no tasks.
    pub existence_confirmed: bool,
    /// The direct commands to the worker that await a response or may be executed again.
    pub commands: OutstandingCommands,
    /// The container images on the machine.
    pub images: ImageCache,
}

impl Machine {
    pub(super) fn new(name: &str, now: f64) -> Machine {
        Machine {
            name: name.to_owned(),
            machine_type: None,
            zone: None,
            spot: false,
            addr: None,
            newest_message: MessageOrder::default(),
            liveness: Liveness::new(now),
            acknowledgements: Acknowledgements::default(),
            termination_at: None,
            provisioned_at: ProvisionedAt::Time(now),
            listing: CloudListing::default(),
            deletion: Deletion::default(),
            draining: false,
            warm_pool: false,
            quarantine: Quarantine::default(),
            workload: Workload::new(now),
            existence_confirmed: false,
            commands: OutstandingCommands::default(),
            images: ImageCache::default(),
        }
    }

    /// Creates a machine on which the assignment log places tasks, and which was therefore up
    /// before this term.
    pub(super) fn recovered(name: &str, now: f64) -> Machine {
        Machine {
            provisioned_at: ProvisionedAt::BeforeTerm,
            existence_confirmed: true,
            ..Machine::new(name, now)
        }
    }

    /// Drops the state that belongs to the previous fencing token. The attempts are replayed from
    /// the assignment log. Outstanding starts can be dropped because no start under an older token
    /// takes effect once the worker has seen the new token.
    pub(super) fn reset_for_new_token(&mut self) {
        self.workload.clear();
        self.acknowledgements.expect(ExpectedEffects::default());
        self.commands.reset();
    }

    /// The attempts on the machine, including those whose release is not yet committed.
    pub fn attempts(&self) -> &BTreeSet<AttemptId> {
        self.workload.attempts()
    }

    /// Whether the machine has no attempts.
    pub fn is_idle(&self) -> bool {
        self.workload.attempts().is_empty()
    }

    /// The total resources that the attempts on the machine request.
    pub fn requested(&self) -> Resources {
        self.workload.requested()
    }

    /// Whether heartbeats are expected from the machine, so that their absence is significant: its
    /// worker was seen, or the machine has attempts.
    pub fn should_send_heartbeats(&self) -> bool {
        !self.deletion.is_confirmed() && (self.liveness.was_seen() || !self.is_idle())
    }

    /// Whether the machine has booted, according to the assignment log or the cloud's list.
    pub(super) fn has_booted(&self) -> bool {
        self.provisioned_at == ProvisionedAt::BeforeTerm
            || self.listing.state() == Some(MachineState::Running)
    }

    /// Whether the cloud's list is known to have included the machine. A machine that is known only
    /// from the assignment log also counts as listed, since it was up before this term.
    pub(super) fn was_listed(&self) -> bool {
        self.listing.state().is_some() || self.provisioned_at == ProvisionedAt::BeforeTerm
    }

    /// Whether the machine is reachable, so that it may get new tasks: its existence is confirmed,
    /// and its worker acts on the responses to its heartbeats.
    pub fn is_reachable(&self) -> bool {
        self.existence_confirmed && self.acknowledgements.missed() == 0
    }

    /// The condition of the machine, as shown to operators.
    pub fn condition(&self) -> MachineCondition {
        if self.draining && !self.deletion.is_planned() {
            MachineCondition::Draining
        } else if self.is_leaving() {
            MachineCondition::Leaving
        } else if !self.liveness.was_seen() {
            MachineCondition::Booting
        } else if self.is_idle() {
            MachineCondition::Idle
        } else {
            MachineCondition::Working
        }
    }

    /// Whether the machine is being drained, reclaimed or deleted, and therefore gets no new tasks.
    pub fn is_leaving(&self) -> bool {
        self.deletion.is_planned() || self.draining || self.termination_at.is_some()
    }

    /// Plans the deletion of the machine. Returns false if the deletion was already planned.
    pub(super) fn mark_for_deletion(&mut self, now: f64, reason: DeletionReason) -> bool {
        let is_new = self.deletion.plan(reason);
        if is_new {
            tracing::info!(
                machine = self.name,
                %reason,
                silent_s = self.liveness.since_last_seen_s(now),
                attempts = self.attempts().len(),
                "machine marked for deletion"
            );
        }
        is_new
    }
}
