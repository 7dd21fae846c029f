//! A machine as the leader knows it from the cloud, its worker and the assignment log.
//!
//! Each aspect that changes by itself is a type of its own, which keeps the rules of its
//! transitions: [`Liveness`], [`Acknowledgements`], [`Deletion`], [`Workload`],
//! [`OutstandingCommands`], [`Quarantine`], [`CloudListing`] and [`ImageCache`].
//! Reconciliation, failure detection, scheduling, autoscaling and worker commands all read
//! machines; each transition is called from one of them.

mod acknowledgements;
mod cloud_listing;
mod deletion;
mod image_cache;
mod liveness;
mod outstanding_commands;
mod quarantine;
mod workload;

pub(super) use acknowledgements::{Acknowledgements, ExpectedEffects};
pub(super) use cloud_listing::CloudListing;
pub(super) use deletion::{Deletion, DeletionReason};
pub(super) use image_cache::ImageCache;
pub(super) use liveness::{Liveness, Responsiveness};
pub(super) use outstanding_commands::OutstandingCommands;
pub(super) use quarantine::Quarantine;
pub(super) use workload::Workload;

use super::AttemptId;
use gladekeel_sched::{MachineTypeIdx, Resources, ZoneIdx};
use gladekeel_wire::{cloud::MachineState, worker::Heartbeat};
use std::{collections::BTreeSet, fmt};

/// Orders the messages of a worker: by incarnation, then by their sequence number in it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// The worker's incarnation, which increases whenever its lease has expired.
    pub incarnation: u64,
    /// The number of the message in its incarnation.
    pub sequence: u64,
}

impl From<&Heartbeat> for MessageOrder {
    fn from(heartbeat: &Heartbeat) -> MessageOrder {
        MessageOrder { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }
}

/// When a machine was provisioned, which says how long it may take to boot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProvisionedAt {
    /// At this time, on the leader's clock.
    Time(f64),
    /// Before this leader's term: the assignment log places tasks on it, so it has booted.
    BeforeTerm,
}

impl ProvisionedAt {
    /// How long ago that was, in seconds.
    pub fn age_s(self, now: f64) -> f64 {
        match self {
            ProvisionedAt::Time(at) => now - at,
            ProvisionedAt::BeforeTerm => f64::INFINITY,
        }
    }
}

/// The condition of a machine as the admin API shows it; `Display` gives the API's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineCondition {
    /// Operators ordered it drained, and its deletion is not planned yet.
    Draining,
    /// It is reclaimed or deleted.
    Leaving,
    /// Its worker was not seen yet.
    Booting,
    /// It has no attempts.
    Idle,
    /// It has attempts.
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
    /// Its name in the cloud.
    pub name: String,
    /// Its type; unknown until the cloud or the worker names it.
    pub machine_type: Option<MachineTypeIdx>,
    /// Its zone; unknown until the cloud or the worker names it.
    pub zone: Option<ZoneIdx>,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// The address at which the worker takes direct commands.
    pub addr: Option<String>,
    /// The newest message of the worker; older ones that arrive later are ignored.
    pub newest_message: MessageOrder,
    /// When the worker was last seen, and whether it responds to direct commands.
    pub liveness: Liveness,
    /// Whether the worker acts on the responses to its heartbeats.
    pub acknowledgements: Acknowledgements,
    /// When the cloud reclaims it, once it has announced that.
    pub termination_at: Option<f64>,
    /// When it was provisioned.
    pub provisioned_at: ProvisionedAt,
    /// What the cloud's machine list says of it.
    pub listing: CloudListing,
    /// Whether and why it is to be deleted, and how far that is.
    pub deletion: Deletion,
    /// Whether operators have ordered it drained.
    pub draining: bool,
    /// Whether it is kept for gangs that should start at once.
    pub warm_pool: bool,
    /// Whether task failures keep new work off it.
    pub quarantine: Quarantine,
    /// The attempts on it, and the resources that they request.
    pub workload: Workload,
    /// Whether its existence is known from more than its heartbeats. A delayed copy of
    /// a heartbeat may name a machine that is gone, so one without this gets no work.
    pub existence_confirmed: bool,
    /// Direct commands without a response.
    pub commands: OutstandingCommands,
    /// The container images on it.
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

    /// A machine on which the assignment log places tasks: it was up before this term.
    pub(super) fn recovered(name: &str, now: f64) -> Machine {
        Machine {
            provisioned_at: ProvisionedAt::BeforeTerm,
            existence_confirmed: true,
            ..Machine::new(name, now)
        }
    }

    /// Drops what belongs to the previous fencing token. The attempts are replayed from the
    /// assignment log. No start of an older token can take effect once the worker has seen
    /// the new one.
    pub(super) fn reset_for_new_token(&mut self) {
        self.workload.clear();
        self.acknowledgements.expect(ExpectedEffects::default());
        self.commands.reset();
    }

    /// The attempts on it, those whose release is not committed yet included.
    pub fn attempts(&self) -> &BTreeSet<AttemptId> {
        self.workload.attempts()
    }

    /// Whether it has no attempts.
    pub fn is_idle(&self) -> bool {
        self.workload.attempts().is_empty()
    }

    /// The resources that its attempts request.
    pub fn requested(&self) -> Resources {
        self.workload.requested()
    }

    /// Whether heartbeats of it are expected, so that their absence says something: its
    /// worker was seen, or it holds attempts.
    pub fn should_send_heartbeats(&self) -> bool {
        !self.deletion.is_confirmed() && (self.liveness.was_seen() || !self.is_idle())
    }

    /// Whether it has booted, as far as the assignment log or the cloud's list say.
    pub(super) fn has_booted(&self) -> bool {
        self.provisioned_at == ProvisionedAt::BeforeTerm
            || self.listing.state() == Some(MachineState::Running)
    }

    /// Whether the cloud's list is known to have included it. One that only the assignment
    /// log names counts as such: it was up before this term.
    pub(super) fn was_listed(&self) -> bool {
        self.listing.state().is_some() || self.provisioned_at == ProvisionedAt::BeforeTerm
    }

    /// Whether it may get new work as far as its messages go: its existence is
    /// confirmed, and its worker acts on the responses to its heartbeats.
    pub fn is_reachable(&self) -> bool {
        self.existence_confirmed && self.acknowledgements.missed() == 0
    }

    /// Its condition as operators see it.
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

    /// Whether it gets no new work since it is drained, reclaimed or deleted.
    pub fn is_leaving(&self) -> bool {
        self.deletion.is_planned() || self.draining || self.termination_at.is_some()
    }

    /// Plans its deletion. Returns false if that was planned already.
    pub(super) fn mark_for_deletion(&mut self, now: f64, reason: DeletionReason) -> bool {
        let is_new = self.deletion.plan(reason);
        if is_new {
            tracing::info!(
                machine = self.name,
                %reason,
                silent_s = self.liveness.silent_s(now),
                attempts = self.attempts().len(),
                "machine marked for deletion"
            );
        }
        is_new
    }
}
